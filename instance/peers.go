package instance

// This file selects the instances that data is fetched from, and serves other instances.

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"time"

	"github.com/go-chi/chi/v5"

	"ivyridge/balance"
	"ivyridge/catalog"
	"ivyridge/discovery"
	"ivyridge/forward"
	"ivyridge/gossip"
	"ivyridge/inventory"
	"ivyridge/resume"
)

const (
	// recentValidationAge is the age up to which another instance's validation counts as recent.
	recentValidationAge = 2500 * time.Millisecond
	// maxPeerSources limits the instances that are asked in turn for a newer revision.
	maxPeerSources   = 2
	relayIdleTimeout = 5 * time.Second
)

// validationTurn returns the position of this instance in the order of validation. Schedulers with a
// recent validation take turns. Other instances ask the store only if no scheduler can, unordered.
func (i *Instance) validationTurn() discovery.ValidationTurn {
	schedulers, isScheduler := i.gossip.Schedulers()
	if !isScheduler {
		return discovery.ValidationTurn{Unranked: i.gossip.OrdinaryInstances()}
	}
	rank := 0
	now := i.now()
	for _, m := range schedulers {
		if m.ID < i.gossip.ID() && !m.Leaving && now.Sub(m.ValidatedAt) < recentValidationAge {
			rank++
		}
	}
	return discovery.ValidationTurn{Rank: rank}
}

// A placer selects endpoints through the instance's gossip, which is set up after the entry proxy.
type placer struct{ i *Instance }

// Place implements entry.Placer.
func (p placer) Place(ctx context.Context, endpoints []*discovery.Endpoint, d *balance.Demand) (*balance.Placement, *balance.Refusal) {
	return p.i.gossip.Place(ctx, endpoints, d)
}

// streams are the records of streams, which the instance's gossip exchanges.
type streams struct{ i *Instance }

// RecordStream implements entry.Streams.
func (s streams) RecordStream(stream resume.StreamID, software catalog.SoftwareID, ttl time.Duration) {
	s.i.gossip.RecordStream(stream, software, ttl)
}

// StreamSoftware implements entry.Streams.
func (s streams) StreamSoftware(ctx context.Context, stream resume.StreamID, service string) catalog.SoftwareID {
	return s.i.gossip.StreamSoftware(ctx, stream, service)
}

// ContentSoftware implements entry.Streams.
func (s streams) ContentSoftware(ctx context.Context, content resume.StreamID, service string, ttl time.Duration) catalog.SoftwareID {
	return s.i.gossip.ContentSoftware(ctx, content, service, ttl)
}

// upstream returns the instance to fetch updates from, or false for the store: the first candidate
// validated recently and, if the current source is lagging, at the newest revision. Without one,
// the first candidate is kept unless lagging: the store is probably down, and needs no more load.
func (i *Instance) upstream(lagging bool) (discovery.NamedSource, bool) {
	now := i.now()
	upstreams, newest := i.gossip.Upstreams()
	upstreams = i.excludeOlderBuilds(upstreams)
	for _, m := range upstreams {
		if now.Sub(m.ValidatedAt) < recentValidationAge && (!lagging || m.Revision >= newest) {
			return i.relay(&m), true
		}
	}
	if lagging || len(upstreams) == 0 || upstreams[0].ValidatedAt.IsZero() {
		return discovery.NamedSource{}, false
	}
	return i.relay(&upstreams[0]), true
}

// bootstrapTimeout is how long a starting instance waits for a peer's data, a few heartbeats. Without
// the wait, a restart of the fleet loads the store with one full read per instance.
const bootstrapTimeout = 300 * time.Millisecond

// bootstrapWait returns how long to wait for peers at start: 0 for seeds, which others depend on.
func (i *Instance) bootstrapWait() time.Duration {
	address := i.settings.Listen.Peers
	if len(i.settings.Seeds) == 0 || slices.Contains(i.settings.Seeds, address) {
		return 0
	}
	return bootstrapTimeout
}

// newerPeers returns instances with a newer revision: local ones first, shuffled to spread the load.
func (i *Instance) newerPeers() []discovery.NamedSource {
	revision := i.discovery.View().Revision
	var local, remote []discovery.NamedSource
	for _, m := range i.excludeOlderBuilds(i.gossip.Members()) {
		if m.Revision <= revision {
			continue
		}
		if m.DataCentre == i.settings.DataCentre {
			local = append(local, i.relay(&m))
		} else {
			remote = append(remote, i.relay(&m))
		}
	}
	shuffle(local)
	shuffle(remote)
	all := append(local, remote...)
	return all[:min(len(all), maxPeerSources)]
}

func shuffle(s []discovery.NamedSource) {
	rand.Shuffle(len(s), func(i, j int) { s[i], s[j] = s[j], s[i] })
}

// relay returns another instance as a source of updates.
func (i *Instance) relay(m *gossip.Member) discovery.NamedSource {
	address := net.JoinHostPort(hostOf(m.Address), portOf(i.settings.Listen.Peers))
	return discovery.NamedSource{Name: address, Source: &gossip.Relay{
		Address: address, HTTP: i.relayClient, Now: i.now, Version: i.version,
		OnError: func(err error) { i.noteOlderBuild(m.Address, err) },
	}}
}

// version returns the version of the current configuration, or 0 if there is none.
func (i *Instance) version() int64 {
	if c := i.discovery.View().Catalog; c != nil {
		return c.Version()
	}
	return 0
}

func portOf(address string) string {
	_, port, _ := net.SplitHostPort(address)
	return port
}

func (i *Instance) peersHandler() http.Handler {
	r := chi.NewRouter()
	r.Get(gossip.StatePath, gossip.StateHandler(i.discovery, i.log))
	r.Get(gossip.SuspectsPath, gossip.SuspectsHandler(i.suspects, i.now))
	r.HandleFunc(forward.Path, i.serveForwarded)
	s := i.inventorySource()
	r.Get(inventory.DetailPath, s.ServeDetail)
	r.Get(inventory.FleetPath, s.ServeLocalFleet)
	return r
}
