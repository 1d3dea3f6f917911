package soak

import (
	"context"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"go.uber.org/zap"
)

const (
	shortSeed      = 4
	shortFor       = 12 * time.Second
	shortInstances = 4
	shortRate      = 40
	shortNet       = 16
)

// Runs a race build of the daemon under a fixed sequence of faults, which must violate no rule.
func TestShortSoak(t *testing.T) {
	dir := t.TempDir()
	binary := filepath.Join(dir, "ivyentry")
	build := exec.Command("go", "build", "-race", "-o", binary, "ivyridge/cmd/ivyentry")
	build.Stderr = os.Stderr
	if err := build.Run(); err != nil {
		t.Fatal(err)
	}
	r, err := Run(context.Background(), Params{
		Seed: shortSeed, Duration: shortFor, Instances: shortInstances, Rate: shortRate,
		Binary: binary, Dir: dir, Subnet: shortNet, Log: zap.NewNop(),
	})
	if err != nil {
		t.Fatal(err)
	}
	r.Write(os.Stderr)
	for _, b := range r.Violations {
		t.Errorf("%s: %s", b.Rule, b.What)
	}
	if c := r.Count(); c.Served < c.Requests/2 || r.inContact() == 0 {
		t.Errorf("got counts %+v and %d requests to instances in contact, want at least half of the requests served and one in contact", c, r.inContact())
	}
}
