package balance

// This file holds what instances tell each other of the requests they place.

import (
	"time"

	"ivyridge/catalog"
)

// A Notice says that an instance placed a request for a model.
type Notice struct {
	Endpoint uint32 // EndpointHash of its ID
	Uncached int    // prompt tokens to read
	Priority int    // of the request; 0 is the most urgent
	Fetched  int    // prompt tokens to fetch from another endpoint
	Parts    []Part
	Suspect  bool // it was in hand when an endpoint ended

	// Homes are where Parts may be told; they are not told themselves.
	Homes catalog.Homes
}

// A Report is what an instance runs at an endpoint.
type Report struct {
	Endpoint uint32
	Gone     time.Duration // another endpoint has its address, so that it is not tried for so long
	Rest     time.Duration // it wants nothing from that instance for so long
	Leaves   bool          // it said that it leaves
	Limit    ToldLimit     // that it names
	Running
}

// Pauses between reports of an instance to those that choose endpoints.
const (
	reportLeast       = 40 * time.Millisecond
	reportMost        = time.Second
	reportPerInstance = 2 * time.Millisecond // what an instance receives hardly grows with the fleet
)

// ReportEvery returns the pause between reports of an instance to the schedulers of
// its data centre, where there are n instances, and that between their sums for
// other data centres, in a fleet of n.
func ReportEvery(n int) time.Duration {
	return min(max(time.Duration(n)*reportPerInstance, reportLeast), reportMost)
}

// Placed returns the placements since the last call.
func (b *Balancer) Placed() []Notice {
	b.mu.Lock()
	defer b.mu.Unlock()
	placed := b.placed
	b.placed = nil
	return placed
}

// Reports returns what this instance runs and how its requests ended, as far
// as it changed after the change numbered since, and the number of the last
// change. Whole reports are all that there is to say.
func (b *Balancer) Reports(whole bool, since uint64) (reports []Report, upTo uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	for _, l := range b.endpoints {
		recent := l.recent(now)
		down := l.downUntil.After(now)
		gone := l.goneYet(now)
		rest, leaves := l.rest(now), l.said != nil && l.said.leaves
		lim := l.toldLimit(now)
		idle := l.running == 0 && recent == (Seen{}) && gone == 0 && !down && rest == 0 && !leaves && !lim.Known
		if whole && idle || !whole && l.changed <= since {
			continue
		}
		r := Report{Endpoint: l.hash, Gone: gone, Rest: rest, Leaves: leaves, Limit: lim, Running: l.own}
		r.Down = down
		r.Requests = l.running
		r.Seen = recent
		reports = append(reports, r)
	}
	return reports, b.changes
}

// Sums returns, as reports, what the instances that share says run together, as far
// as it changed after the change numbered since, and the number of the last change.
// Whole sums are all that there is to say.
func (b *Balancer) Sums(share func(instance uint64) bool, whole bool, since uint64) (sums []Report, upTo uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	for _, l := range b.endpoints {
		if !whole && l.remotesChanged <= since {
			continue
		}
		r, down := l.sum(share, now)
		r.Down = down >= downByMany
		if whole && r.silent() {
			continue
		}
		sums = append(sums, r)
	}
	return sums, b.remoteChanges
}

// silent reports whether there is nothing to say.
func (r *Report) silent() bool {
	return r.Running == (Running{}) && r.Gone == 0 && r.Rest == 0 && !r.Leaves && !r.Limit.Known
}

// SumsWithOwn returns what the instances that share says and this one run together, as Sums does,
// as far as it changed after the changes numbered since and ownSince.
func (b *Balancer) SumsWithOwn(share func(instance uint64) bool, whole bool, since, ownSince uint64) (sums []Report, upTo, ownUpTo uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	for _, l := range b.endpoints {
		if !whole && l.remotesChanged <= since && l.changed <= ownSince {
			continue
		}
		r, down := l.sum(share, now)
		own := l.own
		own.Requests = l.running
		own.Seen = l.recent(now)
		r.Running.addAll(&own)
		r.Leaves = r.Leaves || l.said != nil && l.said.leaves
		if l.downUntil.After(now) {
			down++
		}
		r.Down = down >= downByMany
		if whole && r.silent() {
			continue
		}
		sums = append(sums, r)
	}
	return sums, b.remoteChanges, b.changes
}

// sum adds up what the instances that share says run at the endpoint, and counts those that
// could not connect.
func (l *load) sum(share func(instance uint64) bool, now time.Time) (r Report, down int) {
	r = Report{Endpoint: l.hash, Gone: l.goneYet(now), Limit: l.toldLimit(now)}
	for id, remote := range l.remotes {
		if now.Sub(remote.at) >= remoteFor || !share(id) {
			continue
		}
		r.Running.addAll(&remote.Running)
		r.Leaves = r.Leaves || remote.leaves
		if remote.Down {
			down++
		}
	}
	return r, down
}

// Changes returns the number of the last change of what this instance runs.
func (b *Balancer) Changes() uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.changes
}

// Merge takes up what another instance said. Whole reports are all that it
// runs.
func (b *Balancer) Merge(instance uint64, notices []Notice, reports []Report, whole bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	b.noticed(now, notices)
	if whole {
		for _, l := range b.endpoints {
			if _, told := l.remotes[instance]; told {
				delete(l.remotes, instance)
				b.changeRemote(l)
			}
		}
	}
	for _, r := range reports {
		if l := b.known(r.Endpoint); l != nil {
			l.remotes[instance] = remote{Running: r.Running, at: now, restUntil: now.Add(r.Rest), leaves: r.Leaves}
			if r.Leaves {
				l.leavesTold = now.Add(leavingTold)
			}
			b.mergeLimit(l, &r.Limit, now)
			b.changeRemote(l)
			if until := now.Add(min(r.Gone, goneFor)); until.After(l.goneUntil) {
				l.goneUntil = until
			}
		}
	}
}

// changeRemote notes that what others run at an endpoint has changed.
func (b *Balancer) changeRemote(l *load) {
	b.remoteChanges++
	l.remotesChanged = b.remoteChanges
	l.stale = true
}

func (b *Balancer) noticed(now time.Time, notices []Notice) {
	for _, n := range notices {
		if l := b.known(n.Endpoint); l != nil {
			l.used = now
			b.read(l, now, n.Parts, n.Uncached, n.Fetched)
			if n.Suspect {
				l.suspected(now)
			}
			l.noticed = append(l.noticed, notice{at: now, level: levelOf(n.Priority), tokens: n.Uncached})
		}
	}
}
