package main

import (
	"fmt"
	"os"
	"path/filepath"
)

// plays are the cases by name. Each reports whether the rule was broken.
var plays = map[string]func(r *record, trouble bool) (broken bool, err error){
	"brittle": playBrittle,
	"slashes": playSlashes,
}

// Exit statuses.
const (
	held      = 0
	brokeRule = 1
	notPlayed = 2
)

// main plays the case that the first argument names and writes record.txt into the folder that the
// second one names. TROUBLE=0 plays it without the disruption.
func main() {
	if len(os.Args) != 3 || plays[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: driver-2 CASE FOLDER")
		os.Exit(notPlayed)
	}
	trouble := os.Getenv("TROUBLE") != "0"
	r := newRecord()
	r.event("case %s, trouble: %v", os.Args[1], trouble)
	broken, err := plays[os.Args[1]](r, trouble)
	status := held
	switch {
	case err != nil:
		r.event("could not be played: %s", err)
		status = notPlayed
	case broken:
		r.event("the rule was broken")
		status = brokeRule
	default:
		r.event("the rule held")
	}
	if err := r.write(filepath.Join(os.Args[2], "record.txt")); err != nil {
		fmt.Fprintln(os.Stderr, err)
		status = notPlayed
	}
	fmt.Println(r.last())
	os.Exit(status)
}
