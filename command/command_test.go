package command_test

import (
	"testing"
	"time"

	"ivyridge/command"
)

func cmd(origin, field string, version int64) command.Command {
	return command.Command{Op: command.SetClass, Target: "c", Field: field, Value: "1s", Origin: origin, Version: version}
}

func TestPromisesBind(t *testing.T) {
	s := command.NewSet()
	if err := s.Prepare(0, cmd("a", "whole", 1)); err != nil {
		t.Fatal(err)
	}
	for what, c := range map[string]command.Command{
		"the same slot from another":           cmd("b", "whole", 2),
		"the same version of another slot":     cmd("b", "tier", 1),
		"the same slot and version of another": cmd("b", "whole", 1),
	} {
		if s.Prepare(time.Second, c) == nil {
			t.Errorf("%s was promised too", what)
		}
	}
	if err := s.Prepare(time.Minute, cmd("b", "whole", 2)); err != nil {
		t.Errorf("after the promise has run out: %v", err)
	}
}

func TestLaterWins(t *testing.T) {
	a, b := command.NewSet(), command.NewSet()
	a.Commit(cmd("a", "whole", 1))
	b.Commit(cmd("b", "whole", 2))
	if changed, err := a.Merge(b.Encode()); !changed || err != nil {
		t.Errorf("merging a later command: %v %v", changed, err)
	}
	if changed, _ := b.Merge(a.Encode()); changed {
		t.Error("an older command displaced a later one")
	}
	if _, err := a.Merge([]byte("{")); err == nil {
		t.Error("nonsense was merged")
	}
}
