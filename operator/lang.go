// Package operator implements the query and command language for operators, which
// docs/query-language.md describes, and its HTTP interface.
//
// A statement is one line: show queries the fleet, other verbs change it. Each instance evaluates
// queries for itself (QueryHandler). The instance that received the statement merges the results and
// names the instances that did not reply.
package operator

import (
	"strings"
	"time"

	"github.com/alecthomas/participle/v2"
	"github.com/alecthomas/participle/v2/lexer"
	"github.com/pkg/errors"

	"ivyridge/command"
)

var statementLexer = lexer.MustSimple([]lexer.SimpleRule{
	{Name: "String", Pattern: `"[^"]*"`},
	{Name: "Op", Pattern: `!=|=|,`},
	{Name: "Word", Pattern: `[^\s,=!"]+`},
	{Name: "space", Pattern: `\s+`},
})

var parser = participle.MustBuild[Statement](
	participle.Lexer(statementLexer),
	participle.Unquote("String"),
	participle.UseLookahead(2),
)

// A Statement is a parsed query or command.
type Statement struct {
	Show     *Show     `parser:"( 'show' @@"`
	SetClass *SetClass `parser:"| 'set' 'class' @@"`
	Act      *Act      `parser:"| @@ )"`
}

// A Show is a query.
type Show struct {
	Pos     lexer.Position
	Subject string   `parser:"@Word"`
	By      []string `parser:"( 'by' @Word ( ',' @Word )* )?"`
	Where   []*Cond  `parser:"( 'where' @@ ( 'and' @@ )* )?"`
	Over    string   `parser:"( 'over' @Word )?"`

	window time.Duration
}

// A Cond selects rows by comparing a field with a value.
type Cond struct {
	Pos   lexer.Position
	Field string `parser:"@Word"`
	Op    string `parser:"@Op"`
	Value string `parser:"@(Word | String)"`
}

// A SetClass sets a field of a class.
type SetClass struct {
	Name  string `parser:"@(Word | String)"`
	Field string `parser:"@Word"`
	Value string `parser:"@(Word | String)"`
}

// An Act drains an instance or stops an endpoint, or undoes that.
type Act struct {
	Pos    lexer.Position
	Verb   string `parser:"@( 'drain' | 'undrain' | 'stop' | 'start' )"`
	Kind   string `parser:"@( 'instance' | 'endpoint' )"`
	Target string `parser:"@(Word | String)"`
}

// A SyntaxError reports an invalid statement.
type SyntaxError struct {
	Col int // 1-based
	Msg string
}

func (e *SyntaxError) Error() string { return errors.Errorf("column %d: %s", e.Col, e.Msg).Error() }

const defaultWindow = time.Minute

// subjects are the subjects of show; true marks those that are counted and can be grouped.
var subjects = map[string]bool{
	"queued": true, "running": true, "served": true, "late": true, "refused": true, "failed": true,
	"endpoints": false, "instances": false, "cells": false, "config": false, "classes": false, "commands": false,
}

// countedFields are the fields by which counted rows can be grouped and filtered.
var countedFields = []string{"class", "team", "endpoint", "reason", "data_centre", "instance"}

// Parse parses one statement. The error, if any, is a *SyntaxError.
func Parse(text string) (*Statement, error) {
	s, err := parser.ParseString("", text)
	if err != nil {
		var pe participle.Error
		if errors.As(err, &pe) {
			return nil, &SyntaxError{pe.Position().Column, pe.Message()}
		}
		return nil, &SyntaxError{1, err.Error()}
	}
	if s.Show != nil {
		if err := s.Show.check(); err != nil {
			return nil, err
		}
	}
	if s.Act != nil {
		if err := s.Act.check(); err != nil {
			return nil, err
		}
	}
	return s, nil
}

func (s *Show) check() error {
	counted, ok := subjects[s.Subject]
	if !ok {
		return &SyntaxError{s.Pos.Column, "cannot show " + s.Subject}
	}
	if !counted && (len(s.By) > 0 || s.Over != "") {
		return &SyntaxError{s.Pos.Column, s.Subject + " are not counted: by and over do not apply"}
	}
	for _, f := range s.By {
		if !isCountedField(f) {
			return &SyntaxError{s.Pos.Column, "cannot group by " + f + "; want one of " + strings.Join(countedFields, ", ")}
		}
	}
	for _, c := range s.Where {
		if c.Op != "=" && c.Op != "!=" {
			return &SyntaxError{c.Pos.Column, "want = or !="}
		}
		if counted && !isCountedField(c.Field) {
			return &SyntaxError{c.Pos.Column, "no field " + c.Field + "; want one of " + strings.Join(countedFields, ", ")}
		}
	}
	s.window = defaultWindow
	if s.Over != "" {
		d, err := time.ParseDuration(s.Over)
		if err != nil || d <= 0 || d >= 5*time.Minute {
			return &SyntaxError{s.Pos.Column, "want a window below 5m, such as 30s, got " + s.Over}
		}
		s.window = d
	}
	return nil
}

func isCountedField(name string) bool {
	for _, f := range countedFields {
		if f == name {
			return true
		}
	}
	return false
}

func (a *Act) check() error {
	drains := a.Verb == "drain" || a.Verb == "undrain"
	if drains != (a.Kind == "instance") {
		return &SyntaxError{a.Pos.Column, "an instance is drained, an endpoint is stopped"}
	}
	return nil
}

// Command returns the statement's command, or false for a query.
func (s *Statement) Command() (command.Command, bool) {
	switch {
	case s.SetClass != nil:
		c := s.SetClass
		return command.Command{Op: command.SetClass, Target: c.Name, Field: c.Field, Value: c.Value}, true
	case s.Act != nil:
		return command.Command{Op: command.Op(s.Act.Verb + "-" + s.Act.Kind), Target: s.Act.Target}, true
	}
	return command.Command{}, false
}
