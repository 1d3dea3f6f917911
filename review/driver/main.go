// Command driver runs the scripts of the cases under review/: instances as processes, with stand-ins of
// the clients, the servers and the platform. It exits with 1 if the rule was broken, 0 if it held, and
// 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"path/filepath"
)

// An environment is what a case runs in.
type environment struct {
	binary  string // ivyentry
	dir     string // temporary
	trouble bool
	rec     *record
}

// A run plays a case and reports whether its rule held.
type run func(*environment) (held bool, err error)

var cases = map[string]run{
	"no-answer":    runNoAnswer,
	"readers-away": runReadersAway,
}

func main() { os.Exit(play()) }

func play() int {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: driver CASE IVYENTRY RECORD")
		return 2
	}
	dir, err := os.MkdirTemp("", "ivyridge-review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer os.RemoveAll(dir)
	rec, err := newRecord(os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer rec.close()
	binary, err := filepath.Abs(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	e := &environment{binary: binary, dir: dir, trouble: os.Getenv("TROUBLE") != "0", rec: rec}
	held, err := cases[os.Args[1]](e)
	switch {
	case err != nil:
		rec.say("could not run: %s", err)
		return 2
	case !held:
		return 1
	}
	return 0
}
