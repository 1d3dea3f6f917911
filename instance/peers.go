package instance

// This file decides what an instance asks of the others.

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"time"

	"github.com/go-chi/chi/v5"

	"ivyridge/balance"
	"ivyridge/belief"
	"ivyridge/gossip"
	"ivyridge/inventory"
)

const (
	// freshFor is how young another instance's proof must be for it to rank.
	freshFor = 2500 * time.Millisecond
	// peersAsked is how many instances are asked in turn for their beliefs.
	peersAsked = 2
	relayIdle  = 5 * time.Second
)

// turn returns this instance's place among those that prove beliefs: schedulers go
// one after the other, those with young proofs first. The others, told by these, ask
// only where no scheduler can, and then as a crowd.
func (i *Instance) turn() belief.Turn {
	schedulers, schedules := i.gossip.Schedulers()
	if !schedules {
		return belief.Turn{Crowd: i.gossip.Crowd()}
	}
	rank := 0
	now := i.now()
	for _, m := range schedulers {
		if m.ID < i.gossip.ID() && !m.Leaving && now.Sub(m.Proved) < freshFor {
			rank++
		}
	}
	return belief.Turn{Rank: rank}
}

// A placer has endpoints chosen by the instance's gossip, which is not open
// yet when the entry is made.
type placer struct{ i *Instance }

// Place implements entry.Placer.
func (p placer) Place(ctx context.Context, endpoints []*belief.Endpoint, d *balance.Demand) (*balance.Placement, *balance.Refusal) {
	return p.i.gossip.Place(ctx, endpoints, d)
}

// upstream returns the instance whose beliefs this one follows: the first of those
// that it may follow with a young proof; where others have overtaken what is followed,
// one that also knows as much as any scheduler. Where none has a young proof, the store
// is in trouble for all: the first is followed on, since 280 instances that turn to the
// store then only add to the trouble. Readers of the store follow none.
func (i *Instance) upstream(overtaken bool) (belief.NamedSource, bool) {
	now := i.now()
	upstreams, newest := i.gossip.Upstreams()
	upstreams = i.newerOf(upstreams)
	for _, m := range upstreams {
		if now.Sub(m.Proved) < freshFor && (!overtaken || m.Revision >= newest) {
			return i.relay(&m), true
		}
	}
	if overtaken || len(upstreams) == 0 || upstreams[0].Proved.IsZero() {
		return belief.NamedSource{}, false
	}
	return i.relay(&upstreams[0]), true
}

// startWithin is how long an instance that starts waits for others' beliefs: some
// greetings' time. A restart of 295 instances, each with a load of its own, was 295
// calls to the store.
const startWithin = 300 * time.Millisecond

// startWait returns how long this instance waits for others' beliefs at its start.
// Seeds, which others turn to, ask the store at once.
func (i *Instance) startWait() time.Duration {
	own := i.settings.Listen.Peers
	if len(i.settings.Seeds) == 0 || slices.Contains(i.settings.Seeds, own) {
		return 0
	}
	return startWithin
}

// relays returns instances that know a newer revision, those of the own data
// centre first, otherwise in any order: many may ask at once.
func (i *Instance) relays() []belief.NamedSource {
	revision := i.beliefs.View().Revision
	var near, far []belief.NamedSource
	for _, m := range i.newerOf(i.gossip.Members()) {
		if m.Revision <= revision {
			continue
		}
		if m.DataCentre == i.settings.DataCentre {
			near = append(near, i.relay(&m))
		} else {
			far = append(far, i.relay(&m))
		}
	}
	shuffle(near)
	shuffle(far)
	all := append(near, far...)
	return all[:min(len(all), peersAsked)]
}

func shuffle(s []belief.NamedSource) {
	rand.Shuffle(len(s), func(i, j int) { s[i], s[j] = s[j], s[i] })
}

// relay returns another instance as a source of beliefs.
func (i *Instance) relay(m *gossip.Member) belief.NamedSource {
	address := net.JoinHostPort(hostOf(m.Address), portOf(i.settings.Listen.Peers))
	return belief.NamedSource{Name: address, Source: &gossip.Relay{
		Address: address, HTTP: i.relayClient, Now: i.now, Version: i.version,
		Failed: func(err error) { i.foundOlder(m.Address, err) },
	}}
}

// version returns that of the configuration in force; zero if none is.
func (i *Instance) version() int64 {
	if c := i.beliefs.View().Catalog; c != nil {
		return c.Version()
	}
	return 0
}

func portOf(address string) string {
	_, port, _ := net.SplitHostPort(address)
	return port
}

// peersHandler answers other instances.
func (i *Instance) peersHandler() http.Handler {
	r := chi.NewRouter()
	r.Get(gossip.BeliefsPath, gossip.BeliefsHandler(i.beliefs, i.log))
	r.Get(gossip.SuspectsPath, gossip.SuspectsHandler(i.suspects, i.now))
	s := i.inventorySource()
	r.Get(inventory.DetailPath, s.ServeDetail)
	r.Get(inventory.FleetPath, s.ServeHeard)
	return r
}
