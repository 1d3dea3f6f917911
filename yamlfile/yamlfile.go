// Package yamlfile decodes YAML strictly and reports every error with its position.
//
// Decode collects all unknown fields, duplicate fields, wrong types and invalid values. Fields are
// matched by their yaml tags; a type with UnmarshalText decodes a scalar itself. A struct field of
// type Pos named "Pos" receives the position of its node, for later checks.
package yamlfile

import (
	"encoding"
	"fmt"
	"reflect"
	"sort"
	"strings"
	"time"

	"github.com/pkg/errors"
	"go.yaml.in/yaml/v3"
)

// A Pos is a position in a file. Lines and columns count from one.
type Pos struct {
	File string
	Line int
	Col  int
}

func (p Pos) String() string { return fmt.Sprintf("%s:%d:%d", p.File, p.Line, p.Col) }

// An Error is an error in a file.
type Error struct {
	Pos        Pos
	Msg        string
	Unreadable bool // the file could not be parsed, so further checks are pointless
}

func (e *Error) Error() string { return e.Pos.String() + ": " + e.Msg }

// Errors is a list of errors in a file.
type Errors []*Error

// Error returns one error per line.
func (es Errors) Error() string {
	lines := make([]string, len(es))
	for i, e := range es {
		lines[i] = e.Error()
	}
	return strings.Join(lines, "\n")
}

// Add appends an error.
func (es *Errors) Add(p Pos, format string, args ...any) {
	*es = append(*es, &Error{Pos: p, Msg: fmt.Sprintf(format, args...)})
}

// Unreadable reports whether the file could not be parsed at all.
func (es Errors) Unreadable() bool { return len(es) > 0 && es[0].Unreadable }

// Err sorts the errors by position and returns them, or nil if there are none.
func (es Errors) Err() error {
	if len(es) == 0 {
		return nil
	}
	sort.SliceStable(es, func(i, j int) bool {
		a, b := es[i].Pos, es[j].Pos
		if a.Line != b.Line {
			return a.Line < b.Line
		}
		return a.Col < b.Col
	})
	return es
}

// Decode fills out, a pointer to a struct, from data. Errors name the file. A non-nil error is an
// Errors; out is then filled as far as possible.
func Decode(file string, data []byte, out any) error {
	d := &decoder{file: file}
	var root yaml.Node
	if err := yaml.Unmarshal(data, &root); err != nil {
		return Errors{syntaxError(file, err)}
	}
	if len(root.Content) == 0 {
		return Errors{{Pos: Pos{file, 1, 1}, Msg: "the document is empty", Unreadable: true}}
	}
	d.value(root.Content[0], reflect.ValueOf(out).Elem())
	return d.errs.Err()
}

// syntaxError converts a parser's error, which names the line in its text only.
func syntaxError(file string, err error) *Error {
	msg := strings.TrimPrefix(err.Error(), "yaml: ")
	line := 1
	if _, e := fmt.Sscanf(msg, "line %d:", &line); e == nil {
		_, msg, _ = strings.Cut(msg, ": ")
	}
	return &Error{Pos: Pos{file, line, 1}, Msg: msg, Unreadable: true}
}

type decoder struct {
	file string
	errs Errors
}

var (
	posType         = reflect.TypeFor[Pos]()
	durationType    = reflect.TypeFor[time.Duration]()
	unmarshalerType = reflect.TypeFor[encoding.TextUnmarshaler]()
)

func (d *decoder) pos(n *yaml.Node) Pos { return Pos{d.file, n.Line, n.Column} }

func (d *decoder) value(n *yaml.Node, v reflect.Value) {
	if n.Kind == yaml.AliasNode {
		d.errs.Add(d.pos(n), "aliases are not supported")
		return
	}
	switch {
	case v.Type() == durationType:
		d.duration(n, v)
	case v.Kind() == reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		d.value(n, v.Elem())
	case v.Addr().Type().Implements(unmarshalerType):
		d.text(n, v)
	case v.Kind() == reflect.Struct:
		d.structure(n, v)
	case v.Kind() == reflect.Slice:
		d.slice(n, v)
	default:
		d.scalar(n, v)
	}
}

func (d *decoder) duration(n *yaml.Node, v reflect.Value) {
	t, err := time.ParseDuration(n.Value)
	if n.Kind != yaml.ScalarNode || err != nil {
		d.errs.Add(d.pos(n), "want a duration such as 250ms or 2s, got %s", describe(n))
		return
	}
	v.SetInt(int64(t))
}

func (d *decoder) text(n *yaml.Node, v reflect.Value) {
	if n.Kind != yaml.ScalarNode {
		d.errs.Add(d.pos(n), "want a string, got %s", describe(n))
		return
	}
	err := v.Addr().Interface().(encoding.TextUnmarshaler).UnmarshalText([]byte(n.Value))
	if err != nil {
		d.errs.Add(d.pos(n), "%s", errors.Cause(err))
	}
}

func (d *decoder) scalar(n *yaml.Node, v reflect.Value) {
	if n.Kind != yaml.ScalarNode || n.Tag == "!!null" || n.Decode(v.Addr().Interface()) != nil {
		d.errs.Add(d.pos(n), "want %s, got %s", kindName(v.Kind()), describe(n))
	}
}

func (d *decoder) slice(n *yaml.Node, v reflect.Value) {
	if n.Kind != yaml.SequenceNode {
		d.errs.Add(d.pos(n), "want a list, got %s", describe(n))
		return
	}
	out := reflect.MakeSlice(v.Type(), len(n.Content), len(n.Content))
	for i, item := range n.Content {
		d.value(item, out.Index(i))
	}
	v.Set(out)
}

func (d *decoder) structure(n *yaml.Node, v reflect.Value) {
	if n.Kind != yaml.MappingNode {
		d.errs.Add(d.pos(n), "want fields, got %s", describe(n))
		return
	}
	fields := fieldsOf(v)
	if p := v.FieldByName("Pos"); p.IsValid() && p.Type() == posType {
		p.Set(reflect.ValueOf(d.pos(n)))
	}
	seen := make(map[string]bool, len(n.Content)/2)
	for i := 0; i+1 < len(n.Content); i += 2 {
		key := n.Content[i]
		field, ok := fields[key.Value]
		switch {
		case !ok:
			d.errs.Add(d.pos(key), "unknown field %q", key.Value)
		case seen[key.Value]:
			d.errs.Add(d.pos(key), "duplicate field %q", key.Value)
		default:
			d.value(n.Content[i+1], field)
		}
		seen[key.Value] = true
	}
}

func fieldsOf(v reflect.Value) map[string]reflect.Value {
	fields := make(map[string]reflect.Value)
	for i := range v.NumField() {
		if name := v.Type().Field(i).Tag.Get("yaml"); name != "" {
			fields[name] = v.Field(i)
		}
	}
	return fields
}

func describe(n *yaml.Node) string {
	switch n.Kind {
	case yaml.MappingNode:
		return "fields"
	case yaml.SequenceNode:
		return "a list"
	}
	if n.Value == "" {
		return "nothing"
	}
	return fmt.Sprintf("%q", n.Value)
}

func kindName(k reflect.Kind) string {
	switch k {
	case reflect.Int, reflect.Int64:
		return "a whole number"
	case reflect.Float64:
		return "a number"
	case reflect.Bool:
		return "true or false"
	}
	return "a string"
}
