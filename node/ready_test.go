package node

// A caller of an instance that had just called itself ready was refused: "no-configuration: no
// configuration is in force yet". Readiness was told by the documents, which had come; callers
// are served by the view that is derived from them, a moment later. Seen once, on a machine
// with a load of 24, 22 ms after the start.

import (
	"os"
	"testing"

	"go.uber.org/zap"

	"ivyridge/clock"
)

// An instance is not ready before callers are served by what has come.
func TestReadyOnlyOnceCallersAreServed(t *testing.T) {
	n := New(Options{Name: "r", DataCentre: "a", Clock: clock.Monotonic(), Log: zap.NewNop(), ColdStart: true})
	defer n.cancel()
	declarations, err := os.ReadFile("../demo/huurtoets/declarations.yaml")
	if err != nil {
		t.Fatal(err)
	}
	if !n.acceptConfig(1, declarations, "test") || !n.acceptList(1, []byte(`{"instances":[{"name":"r","data_centre":"a","peers":"127.0.0.1:1"}]}`), "test") {
		t.Fatal("the documents were not accepted")
	}
	if _, served := n.Declarations(); served {
		t.Fatal("callers are served before the view is derived")
	}
	if ready, _ := n.Ready(); ready {
		t.Error("the instance is ready, and refuses callers")
	}
	n.refresh()
	if ready, why := n.Ready(); !ready {
		t.Errorf("the instance is not ready after that: %s", why)
	}
}
