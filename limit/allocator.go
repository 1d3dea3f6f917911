package limit

// This file allocates the rate limit of an endpoint among the instances that send to it.

import (
	"math"
	"time"
)

const (
	// minRate is the lowest rate assigned to an endpoint, in requests per second. Only a response
	// can tell that the limit has been lifted, which is to be noticed within 3 s.
	minRate = 0.5
	// The capacity of a bucket is minBurst plus what the rate yields in burstTime. Clients return
	// some milliseconds after a permit is available, and a full bucket gains nothing meanwhile.
	minBurst  = 1.0
	burstTime = 250 * time.Millisecond

	// minRequestRate and requestsPerPermit limit the permit requests per second of denied clients,
	// absolutely and per permit, by spreading their retries. Lower rates would leave permits unused.
	minRequestRate    = 100.0
	requestsPerPermit = 8.0
	// maxSpread and maxWait limit the delay of a denied client, which may be the only one that
	// still needs the endpoint.
	maxSpread = 2 * time.Second
	maxWait   = 2 * time.Second
	// requestDecayTime is the time constant of the exponential decay of the count of permit requests.
	requestDecayTime = time.Second
	// urgentGrace is how late a denied, more urgent client may return. Less urgent clients get no
	// permit until then.
	urgentGrace = 200 * time.Millisecond
	// NoShareWait is the delay of a client that has found no instance with a share of the rate. A
	// new instance gains its share after some seconds.
	NoShareWait = 200 * time.Millisecond
	// entryTTL is how long an endpoint is kept without permit requests.
	entryTTL = time.Minute
)

// Levels is the number of levels of urgency; 0 is the most urgent. Each priority has two, the
// second for teams above their fair share.
const Levels = 6

// A bucket is a token bucket of permits. It starts empty, since an instance that takes over from
// another doesn't know what the other has granted.
type bucket struct {
	tokens       float64
	updatedAt    time.Time         // time of tokens and requests; zero before the first request
	pendingUntil [Levels]time.Time // by level: a denied client is expected until then
	requests     float64           // recent permit requests, decayed
}

// refill updates the bucket to now. The rate is in tokens per second.
func (b *bucket) refill(rate float64, now time.Time) {
	if b.updatedAt.IsZero() {
		b.updatedAt = now
	}
	elapsed := max(0, now.Sub(b.updatedAt))
	b.tokens = min(minBurst+rate*burstTime.Seconds(), b.tokens+rate*elapsed.Seconds())
	b.requests *= math.Exp(-elapsed.Seconds() / requestDecayTime.Seconds())
	b.updatedAt = now
}

// take spends a token and returns zero, or returns the delay until the client may request again. The
// random number chance, from 0 to 1, scales the random part of the delay.
func (b *bucket) take(rate float64, level int, now time.Time, chance float64) (wait time.Duration) {
	b.refill(rate, now)
	b.requests++
	if b.tokens >= 1 && !b.expectsMoreUrgent(level, now) {
		b.tokens--
		b.pendingUntil[level] = time.Time{}
		return 0
	}
	missing := max(0, 1-b.tokens)
	if missing == 0 {
		missing = 1 // the available permit is for a more urgent client
	}
	wait = seconds(missing / rate)
	spread := min(seconds(b.requests/max(minRequestRate, requestsPerPermit*rate)), maxSpread)
	wait = min(wait, maxWait) + time.Duration(chance*float64(spread))
	b.pendingUntil[level] = now.Add(wait + urgentGrace)
	return max(wait, time.Millisecond)
}

func (b *bucket) expectsMoreUrgent(level int, now time.Time) bool {
	for urgent := range level {
		if now.Before(b.pendingUntil[urgent]) {
			return true
		}
	}
	return false
}

// seconds converts s to a duration of at most one hour.
func seconds(s float64) time.Duration {
	return time.Duration(min(s, time.Hour.Seconds()) * float64(time.Second))
}

type entry struct {
	bucket
	state       State
	requestedAt time.Time
	permits     uint64 // number granted
}

// An Allocator grants permits for the endpoints whose limits this instance allocates. The zero
// value is ready to use.
type Allocator struct {
	endpoints map[uint32]*entry
	sweptAt   time.Time
}

// A Decision is the outcome of a permit request.
type Decision struct {
	Granted bool          // one request may be sent
	Wait    time.Duration // if not Granted: the delay until the next permit request
	State   State         // the allocator's knowledge of the limit; without a limit no permits are needed
}

// Allocate handles a request for a permit to send one request of urgency level to endpoint. state is
// the client's knowledge of the limit. share is the fraction of the rate that this allocator may
// grant; at 0 it grants nothing. chance is a random number from 0 to 1.
func (a *Allocator) Allocate(endpoint uint32, state State, share float64, level int, now time.Time, chance float64) Decision {
	a.sweep(now)
	if a.endpoints == nil {
		a.endpoints = make(map[uint32]*entry)
	}
	e := a.endpoints[endpoint]
	if e == nil {
		e = new(entry)
		a.endpoints[endpoint] = e
	}
	e.state.Merge(state)
	e.requestedAt = now
	if e.state.Known() && !e.state.Limited {
		return Decision{Granted: true, State: e.state}
	}
	if share <= 0 {
		return Decision{Wait: NoShareWait, State: e.state}
	}
	rate := share * max(minRate, e.state.Rate)
	wait := e.take(rate, min(max(level, 0), Levels-1), now, chance)
	if wait == 0 {
		e.permits++
	}
	return Decision{Granted: wait == 0, Wait: wait, State: e.state}
}

// Permits returns the number of permits granted for an endpoint since it was added.
func (a *Allocator) Permits(endpoint uint32) uint64 {
	if e := a.endpoints[endpoint]; e != nil {
		return e.permits
	}
	return 0
}

func (a *Allocator) sweep(now time.Time) {
	if now.Sub(a.sweptAt) < entryTTL {
		return
	}
	a.sweptAt = now
	for endpoint, e := range a.endpoints {
		if now.Sub(e.requestedAt) > entryTTL {
			delete(a.endpoints, endpoint)
		}
	}
}
