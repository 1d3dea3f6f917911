package instance

// This file probes endpoints that are out of reach, and selects the instances that requests are
// forwarded to.

import (
	"context"
	"net"
	"net/http"
	"time"

	"go.uber.org/zap"

	"ivyridge/balance"
	"ivyridge/catalog"
	"ivyridge/forward"
	"ivyridge/upstream"
)

// probeEndpoints probes endpoints that are out of reach until ctx is done.
func (i *Instance) probeEndpoints(ctx context.Context) {
	for {
		probes, wait := i.balancer.TakeProbes()
		for _, p := range probes {
			i.spawn(func() {
				result := i.pool.Probe(ctx, p.Incarnation, p.Address, balance.ProbeTimeout)
				if ctx.Err() == nil {
					i.balancer.RecordProbe(p.Incarnation, result == upstream.ProbeListening)
				}
			})
		}
		i.logReachChanges()
		if !i.awaitProbes(ctx, wait) {
			return
		}
	}
}

// awaitProbes waits until TakeProbes should be called: after wait, unless that is zero, or when the
// balancer wants a probe. It reports false if ctx is done.
func (i *Instance) awaitProbes(ctx context.Context, wait time.Duration) bool {
	var elapsed <-chan time.Time
	if wait > 0 {
		timer := time.NewTimer(wait)
		defer timer.Stop()
		elapsed = timer.C
	}
	select {
	case <-ctx.Done():
		return false
	case <-elapsed:
	case <-i.balancer.ProbeWanted():
	}
	return true
}

func (i *Instance) logReachChanges() {
	for _, c := range i.balancer.TakeReachChanges() {
		fields := []zap.Field{zap.String("service", c.Service), zap.String("of", c.DataCentre)}
		if c.Out {
			i.log.Warn("endpoints out of reach", fields...)
			continue
		}
		i.log.Info("endpoints within reach again", append(fields, zap.Duration("after", c.After))...)
	}
}

// Candidates implements entry.Peers.
func (i *Instance) Candidates(residency catalog.Residency) []forward.Peer {
	var out []forward.Peer
	ownRegions := balance.Regions(regions(i.settings))
	for _, m := range i.gossip.Members() {
		if m.Leaving || !m.TakesForwarded() || !residency.Allows(ownRegions[m.DataCentre]) {
			continue
		}
		out = append(out, forward.Peer{
			Address:  net.JoinHostPort(hostOf(m.Address), portOf(i.settings.Listen.Peers)),
			ID:       m.ID,
			Distance: ownRegions.Between(i.settings.DataCentre, m.DataCentre),

			KnowsSoftware: m.KnowsSoftware(),
		})
	}
	return out
}

func (i *Instance) serveForwarded(w http.ResponseWriter, r *http.Request) {
	i.entry.ServeForwarded(w, r, i.gossip.ID())
}
