package instance

import (
	"expvar"
	"fmt"
	"testing"
	"time"

	"go.uber.org/zap"

	"ivyridge/internal/freeport"
)

// Stop must return within the grace period even if background work does not end.
func TestStopWithinGracePeriod(t *testing.T) {
	const grace = 3 * time.Second
	s, err := ParseSettings("test.yaml", fmt.Appendf(nil, `
name: router-1
data_centre: hall-a
listen: {callers: "127.0.0.1:%d", ready: "127.0.0.1:%d", peers: "127.0.0.1:%d", gossip: %d}
store: "127.0.0.1:%d"
promises: {propagation_ms: 2000, revoke_ms: 5000, grace_s: %v}
`, freeport.Find(t), freeport.Find(t), freeport.Find(t), freeport.Find(t), freeport.Find(t), grace.Seconds()))
	if err != nil {
		t.Fatal(err)
	}
	i, err := Start(s, zap.NewNop(), new(expvar.Map).Init())
	if err != nil {
		t.Fatal(err)
	}
	release := make(chan struct{})
	t.Cleanup(func() {
		close(release)
		i.wg.Wait()
	})
	i.spawn(func() { <-release })
	began := time.Now()
	stopped := make(chan struct{})
	go func() {
		i.Stop()
		close(stopped)
	}()
	select {
	case <-stopped:
	case <-time.After(grace):
		t.Fatal("background work delayed Stop beyond the grace period")
	}
	t.Logf("stopped after %v of %v", time.Since(began), grace)
}
