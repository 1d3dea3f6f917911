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
	"ivyridge/forward"
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
	// Settings returns the hash of the effective settings, for the log; may be nil.
	Settings func() string
	Memory   *memory.Account // nil: no limit
	Poison   *poison.Table   // nil: an empty table
	// PublishPoison, if set, sends new findings about poison requests to the other instances.
	PublishPoison func([]poison.Entry)
	// Peers are the instances that requests may be forwarded to, and PeerPool holds the connections
	// to them; nil: requests are not forwarded.
	Peers    Peers
	PeerPool *upstream.Pool
	Name     string  // of this instance, for the logs of others
	Streams  Streams // software versions of streams; nil: callers can't take streams up
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
	evidence     evidenceLog
	inFlight     inFlightRequests
	throttles    teamThrottles
	selector     *forward.Selector
	forwarded    atomic.Int64              // requests of other instances being handled
	open         atomic.Int64              // requests being handled
	running      atomic.Int64              // those of open whose bodies have been read
	departure    atomic.Pointer[departure] // nil: not leaving
	ending       context.Context           // done when EndRequests is called
	endRequests  context.CancelFunc
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
	p := &Proxy{Options: o, selector: forward.NewSelector(), crashes: newCrashTracker(), monitor: newRelayMonitor(o.Now), retryBudgets: newRetryBudgets(o.Limits.RetryRatio, o.Limits.RetryExtra, o.Now)}
	p.ending, p.endRequests = context.WithCancel(context.Background())
	p.SetLimits(o.Limits)
	return p
}

// SetLimits replaces the limits. Requests in progress use the new ones too.
func (p *Proxy) SetLimits(l Limits) {
	p.limits.Store(&l)
	p.retryBudgets.setLimits(l.RetryRatio, l.RetryExtra)
}

// SetInstances sets how many instances, including this one, share the retry budget; zero: unknown.
func (p *Proxy) SetInstances(n int) { p.retryBudgets.setInstances(n) }

// Ready reports whether a load balancer should send requests to this instance.
func (p *Proxy) Ready() bool {
	if leaving, _ := p.Leaving(); leaving {
		return false
	}
	return p.State.View().Catalog != nil && p.configFresh()
}

// configFresh reports whether the configuration is recent enough to authenticate callers.
func (p *Proxy) configFresh() bool {
	age, ok := p.State.Age()
	b := p.limits.Load()
	return ok && (!b.StrictRevoke || age < b.Revoke-revokeMargin)
}

// Open returns the number of requests being handled.
func (p *Proxy) Open() int { return int(p.open.Load()) }

// Wait returns when no request is being handled or ctx is done.
func (p *Proxy) Wait(ctx context.Context) {
	done := make(chan struct{})
	go func() {
		p.handlers.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-ctx.Done():
	}
}

// atLimit reports whether MaxRunning is reached. Requests whose bodies are still being read do
// not count; the connection limit bounds them.
func (p *Proxy) atLimit() bool {
	limit := p.limits.Load().MaxRunning
	return limit > 0 && int(p.running.Load()) >= limit
}

// acquireRunning counts a request as running until releaseRunning. It returns false if MaxRunning
// would be exceeded: atLimit is checked before the body is read, so too many requests may pass it.
func (p *Proxy) acquireRunning() bool {
	n, limit := int(p.running.Add(1)), p.limits.Load().MaxRunning
	if limit > 0 && n > limit {
		p.releaseRunning()
		return false
	}
	return true
}

func (p *Proxy) releaseRunning() { p.running.Add(-1) }

func (p *Proxy) overloaded() *verdict.Error {
	return verdict.Refuse(verdict.Overloaded, "%d requests in hand", p.Open()).WithRetryAfter(retryAfterLong)
}

// StallTimeout returns how long a caller may read nothing of its response.
func (p *Proxy) StallTimeout() time.Duration {
	if d := p.limits.Load().StallTimeout; d > 0 {
		return d
	}
	return defaultStallTimeout
}

// ServeHTTP handles a caller's request. It panics with http.ErrAbortHandler to close the
// connection if the response was truncated, so that the caller notices.
func (p *Proxy) ServeHTTP(w http.ResponseWriter, r *http.Request) { p.handle(w, r, nil) }

// handle handles a caller's request, which another instance forwarded if head is set.
func (p *Proxy) handle(w http.ResponseWriter, r *http.Request, head *forward.Head) {
	p.handlers.Add(1)
	defer p.handlers.Done()
	defer p.open.Add(-1)
	p.open.Add(1)
	leaving, drained := p.Leaving()
	if leaving {
		w.Header().Set("Connection", "close")
	}
	ex := &exchange{proxy: p, w: w, r: r, arrived: p.Now(), forwarded: head}
	call, err := p.Codec.Decode(r)
	ex.call = call
	switch {
	case err != nil:
		ex.refuse(verdict.Of(err))
	case drained:
		ex.refuse(leavingError())
	case p.atLimit(), head != nil && p.atForwardedLimit():
		ex.refuse(p.overloaded())
	default:
		ex.serve()
	}
	ex.logRequest()
	ex.linger()
	if ex.truncated {
		if !r.ProtoAtLeast(1, 1) {
			ex.resetOnClose()
		}
		panic(http.ErrAbortHandler)
	}
}
