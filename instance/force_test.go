package instance

import (
	"reflect"
	"testing"
	"time"
)

// Symptom: the list of what instances run said that a new grace was in force, while a stop went
// by the old one; and new descriptors were used at once, though said to wait for a restart.
//
// Cause: parts of the instance read the settings of its start, others those of the reload.
func TestWhatIsSaidToBeInForceIs(t *testing.T) {
	start := &Settings{Name: "a", Seeds: []string{"10.0.0.1:1"}, Machine: Machine{MemoryMB: 184, Descriptors: 4000}, Promises: Promises{GraceS: 8, RetryExtra: 10}}
	next := &Settings{Name: "b", Seeds: []string{"10.0.0.2:1"}, Machine: Machine{MemoryMB: 300, Descriptors: 8000}, Promises: Promises{GraceS: 5, RetryExtra: 20}}
	i := &Instance{settings: start, running: newRunning(start, time.Now())}
	i.force.Store(start)
	force := i.takeUp(next)
	changed, waiting := i.running.reload(next, time.Now())
	if want := []string{"machine.memory_mb", "promises.grace_s", "promises.retry_extra", "seeds"}; !reflect.DeepEqual(changed, want) {
		t.Errorf("in force: %v, want %v", changed, want)
	}
	if want := []string{"machine.descriptors", "name"}; !reflect.DeepEqual(waiting, want) {
		t.Errorf("waiting: %v, want %v", waiting, want)
	}
	want := &Settings{Name: "a", Seeds: next.Seeds, Machine: Machine{MemoryMB: 300, Descriptors: 4000}, Promises: next.Promises}
	if !reflect.DeepEqual(force, want) || !reflect.DeepEqual(i.force.Load(), want) {
		t.Errorf("in force: %+v, want %+v", force, want)
	}
	if got := bounds(force); got.MaxOpen != bounds(start).MaxOpen || got.RetryExtra != 20 {
		t.Errorf("bounds: %+v", got)
	}
}
