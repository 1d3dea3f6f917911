// Package cli holds the version, exit codes and argument parsing that the commands share.
package cli

import (
	"fmt"
	"os"

	"github.com/integrii/flaggy"
)

// Version is set at build time for releases.
var Version = "0.1.0-dev"

// The exit codes of all commands.
const (
	OK         = 0
	Failed     = 1 // the operation failed, or a check found errors
	UsageError = 2 // invalid flags, settings or files; nothing was started
)

// Parser returns a flaggy parser for a command.
func Parser(name, description string) *flaggy.Parser {
	p := flaggy.NewParser(name)
	p.Description = description
	p.Version = Version
	p.ShowHelpOnUnexpected = false
	return p
}

// Parse parses the command line. On an error it exits with UsageError.
func Parse(p *flaggy.Parser) {
	if err := p.ParseArgs(os.Args[1:]); err != nil {
		Exit(UsageError, err)
	}
}

// Exit prints err to standard error, if it is not nil, and exits with code.
func Exit(code int, err error) {
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
	}
	os.Exit(code)
}
