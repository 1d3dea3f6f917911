package command_test

import (
	"testing"
	"time"

	"ivyridge/command"
)

func cmd(origin, field string, version int64) command.Command {
	return command.Command{Op: command.SetClass, Target: "c", Field: field, Value: "1s", Origin: origin, Version: version}
}

func TestPrepareConflicts(t *testing.T) {
	s := command.NewSet()
	if err := s.Prepare(0, cmd("a", "whole", 1)); err != nil {
		t.Fatal(err)
	}
	for what, c := range map[string]command.Command{
		"same slot, other origin":             cmd("b", "whole", 2),
		"same version, other slot":            cmd("b", "tier", 1),
		"same slot and version, other origin": cmd("b", "whole", 1),
	} {
		if s.Prepare(time.Second, c) == nil {
			t.Errorf("Prepare accepted a conflicting command: %s", what)
		}
	}
	if err := s.Prepare(time.Minute, cmd("b", "whole", 2)); err != nil {
		t.Errorf("Prepare after the promise expired: %v", err)
	}
}

func TestMergeKeepsLaterVersion(t *testing.T) {
	a, b := command.NewSet(), command.NewSet()
	a.Commit(cmd("a", "whole", 1))
	b.Commit(cmd("b", "whole", 2))
	if changed, err := a.Merge(b.Encode()); !changed || err != nil {
		t.Errorf("merge of a later command: changed %v, error %v", changed, err)
	}
	if changed, _ := b.Merge(a.Encode()); changed {
		t.Error("an older command replaced a later one")
	}
	if _, err := a.Merge([]byte("{")); err == nil {
		t.Error("no error for malformed input")
	}
}
