package soak

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

// Params configure a soak.
type Params struct {
	Seed          uint64
	Duration      time.Duration // how long faults are injected
	Instances     int
	Rate          float64  // requests per second
	Binary        string   // path of the daemon
	PreviousBuild Build    // build that every second instance runs at first
	Dir           string   // for settings and logs
	Subnet        int      // second octet of the loopback addresses 127.NET.x.x; concurrent soaks need different ones
	Kinds         []string // of faults; empty: all
	Log           *zap.Logger
}

// dataCentres are assigned to instances and endpoints in rotation.
var dataCentres = []string{"hall-a", "hall-b", "hall-c"}

const stopGrace = 8 * time.Second // from SIGTERM to SIGKILL

const (
	readyTimeout        = 20 * time.Second
	warmUp              = 2 * time.Second
	maxConcurrentFaults = 3
	faultFreeDuration   = 4 * time.Second
)

// deploymentBounds are checked by the rules. Those that are settings are set on all instances.
var deploymentBounds = Bounds{
	Contact: 3 * time.Second, Propagation: 2 * time.Second, Revoke: 5 * time.Second, Drain: 2 * time.Second,
	Recover: 12 * time.Second, RetryWindow: 10 * time.Second, RetryRatio: 0.2, RetryExtra: 54,
	Evacuate: 3 * time.Second, ColdOver: 1.5, ColdSlack: 5,
}

// A Result is the outcome of a soak.
type Result struct {
	Params
	Record        *Record
	Violations    []Violation
	Faults        map[string]int // number injected by kind
	Notes         []string
	Began         time.Time
	StartupTime   time.Duration   // from the start of the processes until all were ready
	RecoveryTimes []time.Duration // from each restart of all instances until one was ready
}

// A run is the state of a soak in progress.
type run struct {
	Params
	kinds   []faultKind
	site    *site
	fleet   *fleet
	callers *callers
	ctx     context.Context
	result  *Result

	mu       sync.Mutex
	acquired map[*instance]bool
	failed   error

	crashRequestActive atomic.Bool // a request that crashes endpoints is being sent
	rushActive         atomic.Bool // a rush is active, or the baseline of the next one has not passed
}

// Run runs a soak and checks the rules. Violations are in the Result. The error, which may come with
// a Result, is one of the soak itself.
func Run(ctx context.Context, p Params) (*Result, error) {
	if err := os.MkdirAll(p.Dir, 0o700); err != nil {
		return nil, errors.Wrap(err, "soak")
	}
	kinds, err := selectFaultKinds(p.Kinds, p.PreviousBuild.Binary != "")
	if err != nil {
		return nil, err
	}
	record := &Record{Bounds: deploymentBounds, Requests: make(map[string]*Request), Deliveries: make(map[string][]Delivery), OlderRules: p.PreviousBuild.UnknownRules}
	r := &run{
		Params: p, kinds: kinds, site: newSite(record), ctx: ctx, acquired: make(map[*instance]bool),
		result: &Result{Params: p, Record: record, Faults: make(map[string]int), Began: time.Now()},
	}
	defer r.site.close()
	r.fleet = newFleet(&p, r.site.store.Address, r.recordExit)
	defer r.fleet.close()
	if err := r.site.open(); err != nil {
		return nil, err
	}
	if err := r.startInstances(); err != nil {
		return nil, err
	}
	r.execute()
	r.site.collectDeliveries()
	r.result.Violations = Check(record)
	return r.result, r.failed
}

// recordExit records an unexpected exit of a process, which is not restarted.
func (r *run) recordExit(e Exit) {
	r.site.mu.Lock()
	r.site.record.Exits = append(r.site.record.Exits, e)
	r.site.mu.Unlock()
	r.Log.Error("instance process ended unexpectedly", zap.String("instance", e.Instance), zap.String("error", e.Error))
}

func (r *run) startInstances() error {
	began := time.Now()
	for n := range r.Instances {
		x, err := r.fleet.add(dataCentres[n%len(dataCentres)])
		if err != nil {
			return err
		}
		r.site.recordBuild(x)
	}
	if !r.awaitReady() {
		return errors.Errorf("soak: instances not ready within %v of their start", readyTimeout)
	}
	r.result.StartupTime = time.Since(began)
	return nil
}

// awaitReady reports whether all instances become ready within readyTimeout.
func (r *run) awaitReady() bool {
	for end := time.Now().Add(readyTimeout); time.Now().Before(end); {
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

func (r *run) execute() {
	r.callers = newCallers(r.fleet, r.site, r.Seed, r.Rate)
	sending, stop := context.WithCancel(r.ctx)
	var done sync.WaitGroup
	done.Go(func() { r.callers.run(sending) })
	r.wait(warmUp)
	r.injectFaults()
	r.awaitRecovery()
	stop()
	done.Wait()
	for _, x := range r.fleet.live() {
		f := r.fleet.footprint(x)
		r.site.record.Footprints = append(r.site.record.Footprints, f)
	}
}

// injectFaults injects random faults for r.Duration, up to maxConcurrentFaults at once, and waits for
// their end.
func (r *run) injectFaults() {
	rng := rand.New(rand.NewPCG(r.Seed, 3))
	semaphore := make(chan struct{}, maxConcurrentFaults)
	var active sync.WaitGroup
	for deadline := time.Now().Add(r.Duration); time.Now().Before(deadline) && r.ctx.Err() == nil; {
		f := r.kinds[rng.IntN(len(r.kinds))]
		s := &injection{rng: rand.New(rand.NewPCG(rng.Uint64(), 4)), duration: randomDuration(rng, maxFaultDuration), site: r.site, run: r}
		gap := time.Duration(rng.ExpFloat64() * float64(meanFaultInterval))
		semaphore <- struct{}{}
		r.Log.Info("drawn", zap.String("kind", f.name), zap.Duration("lasts", s.duration))
		active.Go(func() {
			f.inject(s)
			<-semaphore
		})
		r.wait(gap)
	}
	active.Wait()
}

// awaitRecovery waits for Bounds.Recover, records that time, and lets traffic continue without
// faults.
func (r *run) awaitRecovery() {
	r.wait(deploymentBounds.Recover)
	r.site.mu.Lock()
	r.site.record.RecoveredAt = time.Now()
	r.site.mu.Unlock()
	r.wait(faultFreeDuration)
}

// wait waits for d, or until the soak is cancelled.
func (r *run) wait(d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-r.ctx.Done():
	case <-timer.C:
	}
}

// acquire returns a random instance that no fault has acquired, or nil if there is none.
func (r *run) acquire(rng *rand.Rand) *instance {
	r.mu.Lock()
	defer r.mu.Unlock()
	var free []*instance
	for _, x := range r.fleet.live() {
		if !r.acquired[x] {
			free = append(free, x)
		}
	}
	if len(free) == 0 {
		return nil
	}
	x := free[rng.IntN(len(free))]
	r.acquired[x] = true
	return x
}

// acquireAll returns all instances, or nil if a fault has acquired any.
func (r *run) acquireAll() []*instance {
	r.mu.Lock()
	defer r.mu.Unlock()
	all := r.fleet.live()
	if len(r.acquired) > 0 {
		return nil
	}
	for _, x := range all {
		r.acquired[x] = true
	}
	return all
}

func (r *run) release(instances ...*instance) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, x := range instances {
		delete(r.acquired, x)
	}
}

func (r *run) start(x *instance) {
	if err := r.fleet.startProcess(x); err != nil {
		r.fail(err)
	}
}

// replace adds an instance at a new address and updates the seeds in all settings.
func (r *run) replace(dataCentre string) {
	x, err := r.fleet.add(dataCentre)
	if err != nil {
		r.fail(err)
		return
	}
	r.site.recordBuild(x)
	for _, x := range r.fleet.live() {
		if err := r.fleet.write(x, false); err != nil {
			r.fail(err)
		}
	}
}

func (r *run) writeSettings(x *instance, faulty bool) {
	if err := r.fleet.write(x, faulty); err != nil {
		r.fail(err)
	}
}

// fail records an error of the soak itself.
func (r *run) fail(err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.failed = err
}

// recordRecovery records the time until one of the instances is ready again.
func (r *run) recordRecovery(instances []*instance) {
	began := time.Now()
	for time.Since(began) < readyTimeout && r.ctx.Err() == nil {
		for _, x := range instances {
			if r.fleet.ready(x) {
				r.mu.Lock()
				defer r.mu.Unlock()
				r.result.RecoveryTimes = append(r.result.RecoveryTimes, time.Since(began))
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

func (r *run) logFault(f Fault) {
	r.mu.Lock()
	r.result.Faults[f.Kind]++
	r.mu.Unlock()
	r.Log.Info("trouble", zap.String("kind", f.Kind), zap.String("instance", f.Instance), zap.Bool("planned", f.Planned))
}
