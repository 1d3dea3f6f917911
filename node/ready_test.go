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
		t.Fatal("acceptConfig or acceptList returned false; want both documents accepted")
	}
	if _, served := n.Declarations(); served {
		t.Fatal("Declarations reports declarations in force before the view is built; want none")
	}
	if ready, _ := n.Ready(); ready {
		t.Error("Ready = true before the view is built; want false")
	}
	n.refresh()
	if ready, why := n.Ready(); !ready {
		t.Errorf("Ready = false after the view was built, because %s; want true", why)
	}
}
