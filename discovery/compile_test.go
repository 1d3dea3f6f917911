package discovery

import (
	"testing"
	"time"

	"ivyridge/catalog"
)

// Guards against holding the table's lock while compiling, which would block gossip.
func TestCompilingDoesNotBlockValidation(t *testing.T) {
	table := NewTable(time.Now)
	compiling, done := make(chan struct{}), make(chan struct{})
	table.compileFunc = func(d catalog.Document) (*catalog.Catalog, error) {
		if d.Version > 1 {
			close(compiling)
			<-done
		}
		return catalog.Compile(d)
	}
	if err := table.Apply(&Update{Revision: 1, Full: true, ValidatedAt: time.Now(), Config: &catalog.Document{Version: 1}}); err != nil {
		t.Fatal(err)
	}
	applied := make(chan error, 1)
	go func() {
		applied <- table.Apply(&Update{Revision: 2, ValidatedAt: time.Now(), Config: &catalog.Document{Version: 2}})
	}()
	<-compiling
	validated := make(chan Validation, 1)
	go func() {
		table.MergePeerValidation(1, time.Now())
		v, _ := table.Validation()
		validated <- v
	}()
	select {
	case v := <-validated:
		if v.Revision != 1 {
			t.Errorf("validated revision %d while version 2 is compiled, want 1", v.Revision)
		}
	case <-time.After(10 * time.Second):
		t.Error("reading and renewing the validation time blocks while a configuration is compiled")
	}
	close(done)
	if err := <-applied; err != nil {
		t.Fatal(err)
	}
	if got := table.View().Catalog.Version(); got != 2 {
		t.Errorf("version in force is %d, want 2", got)
	}
}
