package soak

// This file runs a soak: it starts the site, draws faults, waits for calm, and
// collects the books.

import (
	"context"
	"math/rand/v2"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"
)

// Params say what a soak is.
type Params struct {
	Seed      uint64
	For       time.Duration // of faults
	Instances int
	Rate      float64  // requests a second
	Binary    string   // of the daemon
	Older     Older    // runs beside it
	Dir       string   // of settings and logs
	Net       int      // of the addresses 127.NET.x.x, which no other soak uses at the time
	Kinds     []string // of faults; none: all
	Log       *zap.Logger
}

// dataCentres are where instances and endpoints stand, in turn.
var dataCentres = []string{"hall-a", "hall-b", "hall-c"}

// grace is what a planned stop may take.
const grace = 8 * time.Second

// Times of a soak beside its faults.
const (
	readyWithin  = 20 * time.Second
	warmUp       = 2 * time.Second
	faultsAtOnce = 3
	calmFor      = 4 * time.Second
)

// promised is what the instances are held to: the bounds of the small deployments.
var promised = Bounds{
	Contact: 3 * time.Second, Propagation: 2 * time.Second, Revoke: 5 * time.Second, Drain: 2 * time.Second,
	Recover: 12 * time.Second, RetryWindow: 10 * time.Second, RetryRatio: 0.2, RetryExtra: 54,
	Evacuate: 3 * time.Second, ColdOver: 1.5, ColdSlack: 5,
}

// A Result is what a soak found.
type Result struct {
	Params
	Books    *Books
	Breaches []Breach
	Faults   map[string]int // that struck, by kind
	Notes    []string
	Began    time.Time
	Serving  time.Duration   // from the start of the processes until all were ready
	Returns  []time.Duration // from each loss of all until an instance was ready again
}

// A run is a soak while it runs.
type run struct {
	Params
	kinds   []fault
	site    *site
	fleet   *fleet
	callers *callers
	ctx     context.Context
	result  *Result

	mu     sync.Mutex
	held   map[*instance]bool
	failed error

	poisoning atomic.Bool // a request that ends endpoints is sent
	rushing   atomic.Bool // a team's rush is in force, or was a moment ago
}

// Play runs a soak and checks its books.
func Play(ctx context.Context, p Params) (*Result, error) {
	if err := os.MkdirAll(p.Dir, 0o700); err != nil {
		return nil, errors.Wrap(err, "soak")
	}
	kinds, err := chosen(p.Kinds, p.Older.Binary != "")
	if err != nil {
		return nil, err
	}
	books := &Books{Bounds: promised, Requests: make(map[string]*Request), Runs: make(map[string][]Run), OlderRules: p.Older.Rules}
	r := &run{
		Params: p, kinds: kinds, site: newSite(books), ctx: ctx, held: make(map[*instance]bool),
		result: &Result{Params: p, Books: books, Faults: make(map[string]int), Began: time.Now()},
	}
	defer r.site.close()
	r.fleet = newFleet(&p, r.site.store.Address, r.exited)
	defer r.fleet.close()
	if err := r.site.open(); err != nil {
		return nil, err
	}
	if err := r.open(); err != nil {
		return nil, err
	}
	r.play()
	r.site.collect()
	r.result.Breaches = Check(books)
	return r.result, r.failed
}

// exited books a process that ended by itself. It stays down.
func (r *run) exited(e Exit) {
	r.site.mu.Lock()
	r.site.books.Exits = append(r.site.books.Exits, e)
	r.site.mu.Unlock()
	r.Log.Error("process ended by itself", zap.String("instance", e.Instance), zap.String("error", e.Error))
}

// open starts all instances and waits until they are ready.
func (r *run) open() error {
	began := time.Now()
	for n := range r.Instances {
		x, err := r.fleet.add(dataCentres[n%len(dataCentres)])
		if err != nil {
			return err
		}
		r.site.bookOlder(x)
	}
	if !r.allReady() {
		return errors.Errorf("soak: the instances are not ready %v after their start", readyWithin)
	}
	r.result.Serving = time.Since(began)
	return nil
}

// allReady waits until all instances are ready.
func (r *run) allReady() bool {
	for end := time.Now().Add(readyWithin); time.Now().Before(end); {
		ready := true
		for _, x := range r.fleet.live() {
			ready = ready && r.fleet.ready(x)
		}
		if ready {
			return true
		}
		r.wait(20 * time.Millisecond)
	}
	return false
}

// play sends requests, strikes, waits for calm, and measures what is held then.
func (r *run) play() {
	r.callers = newCallers(r.fleet, r.site, r.Seed, r.Rate)
	sending, stop := context.WithCancel(r.ctx)
	var done sync.WaitGroup
	done.Go(func() { r.callers.run(sending) })
	r.wait(warmUp)
	r.strikes()
	r.settle()
	stop()
	done.Wait()
	for _, x := range r.fleet.live() {
		f := r.fleet.footprint(x)
		r.site.books.Footprints = append(r.site.books.Footprints, f)
	}
}

// strikes draws faults until the time is over, some at once, and returns when
// all have ended.
func (r *run) strikes() {
	rng := rand.New(rand.NewPCG(r.Seed, 3))
	slots := make(chan struct{}, faultsAtOnce)
	var open sync.WaitGroup
	for end := time.Now().Add(r.For); time.Now().Before(end) && r.ctx.Err() == nil; {
		f := r.kinds[rng.IntN(len(r.kinds))]
		s := &strike{rng: rand.New(rand.NewPCG(rng.Uint64(), 4)), last: duration(rng, faultMost), site: r.site, run: r}
		gap := time.Duration(rng.ExpFloat64() * float64(faultGap))
		slots <- struct{}{}
		r.Log.Info("drawn", zap.String("kind", f.kind), zap.Duration("lasts", s.last))
		open.Go(func() {
			f.strike(s)
			<-slots
		})
		r.wait(gap)
	}
	open.Wait()
}

// settle waits until the site is calm, and for a while after it.
func (r *run) settle() {
	r.wait(promised.Recover)
	r.site.mu.Lock()
	r.site.books.Calm = time.Now()
	r.site.mu.Unlock()
	r.wait(calmFor)
}

// wait waits, or returns when the soak is ended.
func (r *run) wait(d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-r.ctx.Done():
	case <-timer.C:
	}
}

// hold returns an instance that no fault holds; nil if all are held.
func (r *run) hold(rng *rand.Rand) *instance {
	r.mu.Lock()
	defer r.mu.Unlock()
	var free []*instance
	for _, x := range r.fleet.live() {
		if !r.held[x] {
			free = append(free, x)
		}
	}
	if len(free) == 0 {
		return nil
	}
	x := free[rng.IntN(len(free))]
	r.held[x] = true
	return x
}

// holdAll returns all instances, if none is held.
func (r *run) holdAll() []*instance {
	r.mu.Lock()
	defer r.mu.Unlock()
	all := r.fleet.live()
	if len(r.held) > 0 {
		return nil
	}
	for _, x := range all {
		r.held[x] = true
	}
	return all
}

func (r *run) release(instances ...*instance) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, x := range instances {
		delete(r.held, x)
	}
}

// start starts the process of x again.
func (r *run) start(x *instance) {
	if err := r.fleet.run(x); err != nil {
		r.fail(err)
	}
}

// replace starts an instance at a new address, and tells all of the seeds.
func (r *run) replace(dataCentre string) {
	x, err := r.fleet.add(dataCentre)
	if err != nil {
		r.fail(err)
		return
	}
	r.site.bookOlder(x)
	for _, x := range r.fleet.live() {
		if err := r.fleet.write(x, false); err != nil {
			r.fail(err)
		}
	}
}

// rewrite writes the settings of x, faulty ones if that is wanted.
func (r *run) rewrite(x *instance, faulty bool) {
	if err := r.fleet.write(x, faulty); err != nil {
		r.fail(err)
	}
}

// fail notes that the soak itself could not go on.
func (r *run) fail(err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.failed = err
}

// returned notes how long it takes until one of the instances is ready again.
func (r *run) returned(instances []*instance) {
	began := time.Now()
	for time.Since(began) < readyWithin && r.ctx.Err() == nil {
		for _, x := range instances {
			if r.fleet.ready(x) {
				r.mu.Lock()
				defer r.mu.Unlock()
				r.result.Returns = append(r.result.Returns, time.Since(began))
				return
			}
		}
		r.wait(10 * time.Millisecond)
	}
}

func (r *run) note(text string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.result.Notes = append(r.result.Notes, text)
	r.Log.Warn("note", zap.String("what", text))
}

// began logs a trouble, and counts it.
func (r *run) began(t Trouble) {
	r.mu.Lock()
	r.result.Faults[t.Kind]++
	r.mu.Unlock()
	r.Log.Info("trouble", zap.String("kind", t.Kind), zap.String("instance", t.Instance), zap.Bool("planned", t.Planned))
}
