package node

// An instance that reports ready before its view is built refuses its first callers.

import (
	"os"
	"testing"

	"go.uber.org/zap"

	"ivyridge/clock"
)

func TestNotReadyBeforeViewIsBuilt(t *testing.T) {
	n := New(Options{Name: "r", DataCentre: "a", Clock: clock.Monotonic(), Log: zap.NewNop(), ColdStart: true})
	defer n.cancel()
	declarations, err := os.ReadFile("../demo/huurtoets/declarations.yaml")
	if err != nil {
		t.Fatal(err)
	}
	if !n.acceptConfig(1, declarations, "test") || !n.acceptList(1, []byte(`{"instances":[{"name":"r","data_centre":"a","peers":"127.0.0.1:1"}]}`), "test") {
		t.Fatal("the documents were rejected")
	}
	if _, served := n.Declarations(); served {
		t.Fatal("declarations are served before the view is built")
	}
	if ready, _ := n.Ready(); ready {
		t.Error("the instance reports ready before its view is built")
	}
	n.refresh()
	if ready, why := n.Ready(); !ready {
		t.Errorf("the instance is not ready after its view was built: %s", why)
	}
}
