package balance

// This file defines the messages in which instances report placements and load.

import (
	"time"

	"ivyridge/catalog"
)

// A Notice announces the placement of a request.
type Notice struct {
	Endpoint uint32 // EndpointHash of the endpoint's incarnation
	Uncached int    // prompt tokens to prefill
	Priority int    // 0 is the most urgent
	Fetched  int    // prompt tokens to fetch from another endpoint
	Parts    []PromptPart
	Suspect  bool // it was running at an endpoint that crashed

	// Residency is the set of regions to which Parts may be disclosed. It is not sent.
	Residency catalog.Residency
}

// A Report is the load of one instance, or of several, at an endpoint.
type Report struct {
	Endpoint uint32
	Replaced time.Duration // time left to skip the endpoint because another one has its address
	Backoff  time.Duration // time left of the endpoint's back-off for that instance
	Draining bool
	Limit    ReportedLimit // announced by the endpoint
	Brittle  time.Duration // time left to treat the endpoint as brittle
	Full     time.Duration // time left to send a brittle endpoint nothing
	Running
}

// Interval between an instance's reports to schedulers. It grows with the number of instances to
// bound the rate of reports received.
const (
	minReportInterval = 40 * time.Millisecond
	maxReportInterval = time.Second
	reportPerInstance = 2 * time.Millisecond
)

// ReportInterval returns the interval between an instance's reports to the schedulers of its data
// centre, for n instances in the data centre, or between the data centre's summary reports to
// others, for n instances in the fleet.
func ReportInterval(n int) time.Duration {
	return min(max(time.Duration(n)*reportPerInstance, minReportInterval), maxReportInterval)
}

// TakeNotices returns the notices queued since the last call.
func (b *Balancer) TakeNotices() []Notice {
	b.mu.Lock()
	defer b.mu.Unlock()
	placed := b.pendingNotices
	b.pendingNotices = nil
	return placed
}

// Reports returns this instance's load and observations per endpoint. If full, it returns all
// that are not empty; otherwise those changed after change number since. upTo is the number of the
// latest change.
func (b *Balancer) Reports(full bool, since uint64) (reports []Report, upTo uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	for _, l := range b.loads {
		recent := l.recent(now)
		down := b.reportsDown(l, now)
		replaced := l.replacedRemaining(now)
		backoff, draining := l.backoffRemaining(now), l.directive != nil && l.directive.draining
		lim := l.reportedLimit(now)
		idle := !now.Before(l.brittleUntil) && l.running == 0 && recent == (Observations{}) && replaced == 0 && !down && backoff == 0 && !draining && !lim.Known
		if full && idle || !full && l.changed <= since {
			continue
		}
		r := Report{Endpoint: l.hash, Replaced: replaced, Backoff: backoff, Draining: draining, Limit: lim, Running: l.own}
		r.Down = down
		l.reportBrittle(&r, now)
		if l.outOfReach(now) {
			r.dropPending()
		}
		r.Requests = l.running
		r.Observations = recent
		reports = append(reports, r)
	}
	return reports, b.changes
}

// dropPending leaves out prompts without a response: the endpoint is out of reach and may not have
// received them, and would be considered busy with them.
func (r *Running) dropPending() { r.PendingPrefill, r.PendingPrefillByLevel = 0, [levels]int{} }

// AggregateReports returns, per endpoint, the combined reports of the instances for which include
// is true. If full, it returns all that are not empty; otherwise those changed after change number
// since. upTo is the number of the latest change.
func (b *Balancer) AggregateReports(include func(instance uint64) bool, full bool, since uint64) (aggregates []Report, upTo uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	for _, l := range b.loads {
		if !full && l.remotesChanged <= since {
			continue
		}
		r, down := l.sum(include, now)
		r.Down = down >= downQuorum
		if full && r.empty() {
			continue
		}
		aggregates = append(aggregates, r)
	}
	return aggregates, b.remoteChanges
}

func (r *Report) empty() bool {
	return r.Running == (Running{}) && r.Replaced == 0 && r.Backoff == 0 && !r.Draining && !r.Limit.Known && r.Brittle == 0
}

// AggregateReportsWithOwn is like AggregateReports but includes this instance. If not full, it
// returns aggregates changed after since, or after ownSince for this instance's changes.
func (b *Balancer) AggregateReportsWithOwn(include func(instance uint64) bool, full bool, since, ownSince uint64) (aggregates []Report, upTo, ownUpTo uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	for _, l := range b.loads {
		if !full && l.remotesChanged <= since && l.changed <= ownSince {
			continue
		}
		r, down := l.sum(include, now)
		own := l.own
		own.Requests = l.running
		own.Observations = l.recent(now)
		r.Running.addAll(&own)
		r.Draining = r.Draining || l.directive != nil && l.directive.draining
		if b.reportsDown(l, now) {
			down++
		}
		r.Down = down >= downQuorum
		if full && r.empty() {
			continue
		}
		aggregates = append(aggregates, r)
	}
	return aggregates, b.remoteChanges, b.changes
}

// sum combines the unexpired reports about l of the instances for which include is true, and counts
// those that failed to connect.
func (l *load) sum(include func(instance uint64) bool, now time.Time) (r Report, down int) {
	r = Report{Endpoint: l.hash, Replaced: l.replacedRemaining(now), Limit: l.reportedLimit(now)}
	l.reportBrittle(&r, now)
	for id, remote := range l.remotes {
		if now.Sub(remote.at) >= remoteTTL || !include(id) {
			continue
		}
		r.Running.addAll(&remote.Running)
		r.Draining = r.Draining || remote.draining
		if remote.Down {
			down++
		}
	}
	return r, down
}

// Changes returns the number of the latest change to this instance's load.
func (b *Balancer) Changes() uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.changes
}

// Merge records another instance's notices and reports. If full, reports replace all earlier ones
// of that instance.
func (b *Balancer) Merge(instance uint64, notices []Notice, reports []Report, full bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	b.mergeNotices(now, notices)
	if full {
		for _, l := range b.loads {
			if _, reported := l.remotes[instance]; reported {
				delete(l.remotes, instance)
				b.markRemoteChanged(l)
			}
		}
	}
	for _, r := range reports {
		if l := b.loadByHash(r.Endpoint); l != nil {
			l.remotes[instance] = remote{Running: r.Running, at: now, backoffUntil: now.Add(r.Backoff), draining: r.Draining}
			if r.Draining {
				l.drainReportedUntil = now.Add(drainReportTTL)
			}
			b.mergeLimit(l, &r.Limit, now)
			l.mergeBrittle(&r, now)
			b.markRemoteChanged(l)
			if until := now.Add(min(r.Replaced, replacedTTL)); until.After(l.replacedUntil) {
				l.replacedUntil = until
			}
		}
	}
}

// markRemoteChanged records a change to other instances' load at l, for incremental aggregates.
func (b *Balancer) markRemoteChanged(l *load) {
	b.remoteChanges++
	l.remotesChanged = b.remoteChanges
	l.stale = true
}

func (b *Balancer) mergeNotices(now time.Time, notices []Notice) {
	for _, n := range notices {
		if l := b.loadByHash(n.Endpoint); l != nil {
			l.lastUsed = now
			b.recordPrefill(l, now, n.Parts, n.Uncached, n.Fetched)
			if n.Suspect {
				l.markSuspect(now)
			}
			l.remotePlacements = append(l.remotePlacements, remotePlacement{at: now, level: levelOf(n.Priority), tokens: n.Uncached})
		}
	}
}
