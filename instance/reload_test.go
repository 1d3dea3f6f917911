package instance

import (
	"reflect"
	"testing"
	"time"
)

// A reload must apply exactly the fields that it reports as changed.
func TestReloadReportsEffectiveSettings(t *testing.T) {
	start := &Settings{Name: "a", Seeds: []string{"10.0.0.1:1"}, Machine: Machine{MemoryMB: 184, Descriptors: 4000}, Promises: Promises{GraceS: 8, RetryExtra: 10}}
	next := &Settings{Name: "b", Seeds: []string{"10.0.0.2:1"}, Machine: Machine{MemoryMB: 300, Descriptors: 8000}, Promises: Promises{GraceS: 5, RetryExtra: 20}}
	i := &Instance{settings: start, status: newStatus(start, time.Now())}
	i.effective.Store(start)
	effective := i.applyReload(next)
	changed, pending := i.status.reload(next, time.Now())
	if want := []string{"machine.memory_mb", "promises.grace_s", "promises.retry_extra", "seeds"}; !reflect.DeepEqual(changed, want) {
		t.Errorf("changed: %v, want %v", changed, want)
	}
	if want := []string{"machine.descriptors", "name"}; !reflect.DeepEqual(pending, want) {
		t.Errorf("pending restart: %v, want %v", pending, want)
	}
	want := &Settings{Name: "a", Seeds: next.Seeds, Machine: Machine{MemoryMB: 300, Descriptors: 4000}, Promises: next.Promises}
	if !reflect.DeepEqual(effective, want) || !reflect.DeepEqual(i.effective.Load(), want) {
		t.Errorf("effective: %+v, want %+v", effective, want)
	}
	if got := proxyLimits(effective); got.MaxRunning != proxyLimits(start).MaxRunning || got.RetryExtra != 20 {
		t.Errorf("limits: %+v, want the MaxRunning of the start and RetryExtra 20", got)
	}
}
