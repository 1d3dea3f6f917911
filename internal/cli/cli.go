// Package cli holds what the project's commands share: their version, their
// exit codes, and how they tell of errors.
package cli

import (
	"fmt"
	"os"

	"github.com/integrii/flaggy"
)

// Version is set when a release is built.
var Version = "0.1.0-dev"

// The exit codes of all commands.
const (
	OK       = 0
	Failed   = 1 // the work failed, or a check found faults
	BadUsage = 2 // bad flags, settings or files; nothing was started
)

// Parser returns a flaggy parser that describes a command.
func Parser(name, description string) *flaggy.Parser {
	p := flaggy.NewParser(name)
	p.Description = description
	p.Version = Version
	p.ShowHelpOnUnexpected = false
	return p
}

// Parse reads the command line, or ends the process.
func Parse(p *flaggy.Parser) {
	if err := p.ParseArgs(os.Args[1:]); err != nil {
		Exit(BadUsage, err)
	}
}

// Exit prints err, if any, and ends the process.
func Exit(code int, err error) {
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
	}
	os.Exit(code)
}
