package belief

// Symptom: an instance behind slow links was not ready while a large configuration
// arrived on a busy machine.
//
// Sequence: the follower applied an update and held the table's lock while the
// configuration was compiled; gossip, which reads the proof for each datagram it sends and
// dates the beliefs for each that comes, waited for that lock.

import (
	"testing"
	"time"

	"ivyridge/catalog"
)

// Proofs are read and renewed while a configuration is being compiled.
func TestProofsGoOnWhileAConfigurationIsCompiled(t *testing.T) {
	table := NewTable(time.Now)
	compiling, done := make(chan struct{}), make(chan struct{})
	table.compiler = func(d catalog.Document) (*catalog.Catalog, error) {
		if d.Version > 1 {
			close(compiling)
			<-done
		}
		return catalog.Compile(d)
	}
	if err := table.Apply(&Update{Revision: 1, Whole: true, Proved: time.Now(), Config: &catalog.Document{Version: 1}}); err != nil {
		t.Fatal(err)
	}
	applied := make(chan error, 1)
	go func() {
		applied <- table.Apply(&Update{Revision: 2, Proved: time.Now(), Config: &catalog.Document{Version: 2}})
	}()
	<-compiling
	proved := make(chan Proof, 1)
	go func() {
		table.Confirm(1, time.Now())
		p, _ := table.Proof()
		proved <- p
	}()
	select {
	case p := <-proved:
		if p.Revision != 1 {
			t.Errorf("the proof is of revision %d while version 2 is compiled, want 1", p.Revision)
		}
	case <-time.After(10 * time.Second):
		t.Error("proofs wait for the configuration that is compiled")
	}
	close(done)
	if err := <-applied; err != nil {
		t.Fatal(err)
	}
	if got := table.View().Catalog.Version(); got != 2 {
		t.Errorf("version %d is in force, want 2", got)
	}
}
