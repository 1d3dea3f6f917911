// Package entry is the HTTP front end of the router. It admits callers' requests, obtains an
// endpoint for each from a Placer, forwards the request and relays the response.
//
// A response says "not run" only if no endpoint can have run the request, and a request that must
// run at most once is retried only in that case. The configuration and the endpoints are read
// again before every attempt.
package entry

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"ivyridge/balance"
	"ivyridge/discovery"
	"ivyridge/memory"
	"ivyridge/poison"
	"ivyridge/upstream"
	"ivyridge/verdict"
)

// Limits are enforced by a Proxy.
type Limits struct {
	Propagation  time.Duration // a configuration change must be in force within this time
	StrictRevoke bool          // a revoked key must be rejected within Revoke
	Revoke       time.Duration // see StrictRevoke
	RetryRatio   float64       // retries per request, over all instances
	RetryExtra   int           // retries allowed on top of the ratio, over all instances
	MaxRunning   int           // concurrent requests whose bodies have been read; zero: no limit

	StallTimeout time.Duration // a caller that reads nothing of its response for this long is disconnected; zero: a default
}

// revokeMargin is how much earlier than Limits.Revoke a configuration counts as too old.
const revokeMargin = 600 * time.Millisecond

// A Placer chooses endpoints. Implementations must be safe for concurrent use.
type Placer interface {
	// Place chooses an endpoint and counts the request as running there, or returns a
	// refusal. It returns nil for both if no endpoint may serve the request.
	Place(ctx context.Context, endpoints []*discovery.Endpoint, d *balance.Demand) (*balance.Placement, *balance.Refusal)
}

// Options are the dependencies and settings of a Proxy.
type Options struct {
	State    *discovery.Table
	Placer   Placer
	Pool     *upstream.Pool
	Codec    Codec
	Limits   Limits // initial value; see SetLimits
	Log      *zap.Logger
	Counters *Counters
	Now      func() time.Time
	// Settings returns the name of the settings in force, for the log; may be nil.
	Settings func() string
	Memory   *memory.Account // nil: no limit
	Poison   *poison.Table   // nil: an empty table
	// PublishPoison, if set, sends new findings about poison requests to the other instances.
	PublishPoison func([]poison.Entry)
	// OnConfigurationWait, if set, is called for each request that waits for a configuration.
	OnConfigurationWait func()
}

// A Proxy is the http.Handler for callers' requests. It is safe for concurrent use.
type Proxy struct {
	Options
	limits       atomic.Pointer[Limits]
	retryBudgets *retryBudgets
	monitor      *relayMonitor
	crashes      *crashTracker
	inFlight     inFlightRequests
	throttles    teamThrottles
	open         atomic.Int64 // requests being handled
	running      atomic.Int64 // those of open whose bodies have been read
	leaving      atomic.Int64 // when Leave was called, in nanoseconds since origin; zero: not leaving
	origin       time.Time
	handlers     sync.WaitGroup

	invalidLoadLogged sync.Once
}

// New returns a Proxy.
func New(o Options) *Proxy {
	if o.Memory == nil {
		o.Memory = memory.New(0)
	}
	if o.Poison == nil {
		o.Poison = poison.NewTable()
	}
	e := &Proxy{Options: o, crashes: newCrashTracker(), monitor: newRelayMonitor(o.Now), origin: o.Now().Add(-time.Nanosecond), retryBudgets: newRetryBudgets(o.Limits.RetryRatio, o.Limits.RetryExtra, o.Now)}
	e.SetLimits(o.Limits)
	return e
}

// SetLimits replaces the limits. Requests in progress use the new ones too.
func (e *Proxy) SetLimits(l Limits) {
	e.limits.Store(&l)
	e.retryBudgets.setLimits(l.RetryRatio, l.RetryExtra)
}

// SetInstances sets how many instances, including this one, share the retry budget; zero: unknown.
func (e *Proxy) SetInstances(n int) { e.retryBudgets.setInstances(n) }

// drainDelay is how long a leaving instance accepts requests, until its load balancer has noticed.
const drainDelay = 2600 * time.Millisecond

// Leave makes Ready return false. Requests are accepted for drainDelay more.
func (e *Proxy) Leave() { e.leaving.CompareAndSwap(0, int64(e.Now().Sub(e.origin))) }

// Leaving reports whether Leave was called, and whether new requests are rejected by now.
func (e *Proxy) Leaving() (leaving, stopped bool) {
	at := e.leaving.Load()
	if at == 0 {
		return false, false
	}
	return true, e.Now().Sub(e.origin)-time.Duration(at) > drainDelay
}

// Ready reports whether a load balancer should send requests to this instance.
func (e *Proxy) Ready() bool {
	if leaving, _ := e.Leaving(); leaving {
		return false
	}
	return e.State.View().Catalog != nil && e.configFresh()
}

// configFresh reports whether the configuration is recent enough to authenticate callers.
func (e *Proxy) configFresh() bool {
	age, ok := e.State.Age()
	b := e.limits.Load()
	return ok && (!b.StrictRevoke || age < b.Revoke-revokeMargin)
}

// Open returns the number of requests being handled.
func (e *Proxy) Open() int { return int(e.open.Load()) }

// Wait returns when no request is being handled or ctx is done.
func (e *Proxy) Wait(ctx context.Context) {
	done := make(chan struct{})
	go func() {
		e.handlers.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-ctx.Done():
	}
}

// atLimit reports whether MaxRunning is reached. Requests whose bodies are still being read do
// not count; the connection limit bounds them.
func (e *Proxy) atLimit() bool {
	limit := e.limits.Load().MaxRunning
	return limit > 0 && int(e.running.Load()) >= limit
}

// acquireRunning counts a request as running until releaseRunning. It returns false if MaxRunning
// is exceeded, since several bodies may have been completed after atLimit was checked.
func (e *Proxy) acquireRunning() bool {
	n, limit := int(e.running.Add(1)), e.limits.Load().MaxRunning
	if limit > 0 && n > limit {
		e.releaseRunning()
		return false
	}
	return true
}

func (e *Proxy) releaseRunning() { e.running.Add(-1) }

func (e *Proxy) overloaded() *verdict.Error {
	return verdict.Refuse(verdict.Overloaded, "%d requests in hand", e.Open()).WithRetryAfter(retryAfterLong)
}

// stallTimeout returns how long a caller may read nothing of its response.
func (e *Proxy) stallTimeout() time.Duration {
	if d := e.limits.Load().StallTimeout; d > 0 {
		return d
	}
	return defaultStallTimeout
}

// ServeHTTP handles a caller's request. It panics with http.ErrAbortHandler to close the
// connection if the response was truncated, so that the caller notices.
func (e *Proxy) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.handlers.Add(1)
	defer e.handlers.Done()
	defer e.open.Add(-1)
	e.open.Add(1)
	leaving, stopped := e.Leaving()
	if leaving {
		w.Header().Set("Connection", "close")
	}
	f := &exchange{proxy: e, w: w, r: r, arrived: e.Now()}
	call, err := e.Codec.Decode(r)
	f.call = call
	switch {
	case err != nil:
		f.refuse(verdict.Of(err))
	case stopped:
		f.refuse(verdict.Refuse(verdict.Leaving, "this instance stops").WithRetryAfter(retryAfterShort))
	case e.atLimit():
		f.refuse(e.overloaded())
	default:
		f.serve()
	}
	f.logRequest()
	if f.truncated {
		panic(http.ErrAbortHandler)
	}
}
