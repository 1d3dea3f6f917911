// Package fleet_test injects faults into fleets of instances that run in one process
// and in virtual time, and checks the guarantees against the executions that the
// simulated endpoints recorded.
package fleet_test

import (
	"bytes"
	"context"
	"expvar"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"ivyridge/clock"
	"ivyridge/dispatch"
	"ivyridge/home"
	"ivyridge/member"
	"ivyridge/node"
	"ivyridge/owner"
	"ivyridge/platformclient"
	"ivyridge/verdict"
)

const declarations = `
classes:
  - {name: verdict, tier: 0, whole: 3s, repeatable: false}
  - {name: lookup, tier: 0, whole: 2s, repeatable: true}
  - {name: letter, tier: 2, whole: 20s, repeatable: true, finish_late: true}
pools:
  - {name: work, kind: service, slots: 4, class: lookup}
teams:
  - {name: a, class: verdict, classes: [lookup, letter]}
`

// A simulation is a fleet with its platform, network and endpoints. mu guards the
// state that instances use concurrently.
type simulation struct {
	t             *testing.T
	rng           *rand.Rand
	mu            sync.Mutex
	instances     map[string]*instance
	endpoints     map[string]*endpoint
	config        platformclient.Published
	list          member.List
	platformDown  bool
	platformStale bool // the platform serves the configuration as revision 1
	platformCalls int
	updated       chan struct{} // closed and replaced by notifyWatchers
	linkFault     func(from, to string, rng *rand.Rand) linkFault
	attempts      map[string][]string // endpoints that ran each attempt, by attempt id
	runs          map[string]int      // executions, by request id
	seeds         []string            // seed addresses of instances to be started
	violations    []string
}

// A linkFault applies to one message between instances.
type linkFault struct {
	drop, loseReply, duplicate bool
	delay                      time.Duration
	bytesPerSecond             int // in each direction; zero means unlimited
}

type instance struct {
	sim        *simulation
	name       string
	side       int // side of a network partition, 0 or 1
	node       *node.Node
	dispatcher *dispatch.Dispatcher
	handler    http.Handler
	ctx        context.Context
	cancel     context.CancelFunc
	inFlight   sync.WaitGroup
	leaving    bool // shutting down gracefully
}

type endpoint struct {
	name         string
	side         int
	serviceTime  time.Duration
	mode         string    // "dead" refuses connections, "cut" resets them after the work, "busy" answers 429, "late" takes 5 s
	leavingSince time.Time // zero if not leaving
	inFlight     int
	maxInFlight  int
}

func newSimulation(t *testing.T, seed uint64, instances, endpoints int) *simulation {
	sim := &simulation{
		t: t, rng: rand.New(rand.NewPCG(seed, 7)),
		instances: make(map[string]*instance), endpoints: make(map[string]*endpoint),
		attempts: make(map[string][]string), runs: make(map[string]int),
		updated:   make(chan struct{}),
		linkFault: func(string, string, *rand.Rand) linkFault { return linkFault{} },
	}
	sim.config = platformclient.Published{Revision: 1, Value: declarations}
	sim.list.Revision = 1
	for i := range endpoints {
		name := fmt.Sprintf("e%d", i+1)
		sim.endpoints[name] = &endpoint{name: name, side: i % 2, serviceTime: 50 * time.Millisecond}
		sim.list.Endpoints = append(sim.list.Endpoints, member.Endpoint{Name: name, Addr: name, DataCentre: "x", Region: "r", Pool: "work", State: member.Live})
	}
	for i := range instances {
		name := fmt.Sprintf("n%d", i+1)
		sim.list.Instances = append(sim.list.Instances, member.Instance{Name: name, Addr: name, DataCentre: dataCentreOf(name), State: member.Live})
	}
	for i, in := range sim.list.Instances {
		sim.startCold(in.Name, i%2)
	}
	return sim
}

func dataCentreOf(name string) string { return string("xyz"[(name[1]-'1')%3]) }

// startCold starts an instance of a new fleet.
func (sim *simulation) startCold(name string, side int) *instance {
	return sim.launch(name, side, owner.Retention, true)
}

// start starts an instance, without state, that joins a running fleet.
func (sim *simulation) start(name string, side int, quarantine time.Duration) *instance {
	return sim.launch(name, side, quarantine, false)
}

func (sim *simulation) launch(name string, side int, quarantine time.Duration, cold bool) *instance {
	inst := &instance{sim: sim, name: name, side: side}
	sim.trace("start %s on side %d", name, side)
	inst.ctx, inst.cancel = context.WithCancel(context.Background())
	inst.node = node.New(node.Options{
		Name: name, DataCentre: dataCentreOf(name), Addr: name, Policy: fullPolicy(), Quarantine: quarantine, ColdStart: cold,
		Seeds: sim.seeds, Clock: clock.Monotonic(), Log: zap.NewNop(), Transport: &transport{sim, inst}, Platform: &platformClient{sim, inst}, Loads: &loadClient{sim, inst},
	})
	inst.handler = inst.node.Handler()
	inst.dispatcher = dispatch.NewWithTransports(inst.node, new(expvar.Map).Init(), &transport{sim, inst}, &transport{sim, inst})
	sim.mu.Lock()
	sim.instances[name] = inst
	sim.mu.Unlock()
	inst.node.Run()
	return inst
}

func fullPolicy() home.Policy {
	p, err := home.ParsePolicy(home.Full)
	if err != nil {
		panic(err)
	}
	return p
}

// trace logs an event if IVYRIDGE_TRACE is set.
func (sim *simulation) trace(format string, args ...any) {
	if os.Getenv("IVYRIDGE_TRACE") != "" {
		sim.t.Logf(time.Now().Format("04:05.000 ")+format, args...)
	}
}

func (sim *simulation) crash(inst *instance) {
	sim.trace("crash %s", inst.name)
	inst.cancel()
	inst.node.Close()
}

// leave shuts an instance down gracefully, in the same order as package daemon.
func (sim *simulation) leave(inst *instance) {
	sim.mu.Lock()
	inst.leaving = true
	sim.mu.Unlock()
	sim.setInstance(inst.name, member.Leaving)
	inst.node.Leave()
	time.Sleep(time.Second)
	inst.inFlight.Wait()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	inst.node.AwaitHandOver(ctx)
	sim.crash(inst)
	sim.setInstance(inst.name, "")
}

func (sim *simulation) close() {
	for _, inst := range sim.allInstances() {
		inst.cancel()
		inst.node.Close()
	}
	time.Sleep(10 * time.Minute) // lets all pending timers and calls expire
}

func (sim *simulation) allInstances() []*instance {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	var out []*instance
	for _, in := range []string{"n1", "n2", "n3", "n4", "n5", "n6", "n7", "n8", "n9"} {
		if inst := sim.instances[in]; inst != nil {
			out = append(out, inst)
		}
	}
	return out
}

// readyInstances returns the instances that accept requests.
func (sim *simulation) readyInstances() []*instance {
	var out []*instance
	for _, inst := range sim.allInstances() {
		sim.mu.Lock()
		leaving := inst.leaving
		sim.mu.Unlock()
		if ready, _ := inst.node.Ready(); inst.ctx.Err() == nil && ready && !leaving {
			out = append(out, inst)
		}
	}
	return out
}

func (sim *simulation) publish(text string) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	sim.config.Revision++
	sim.config.Value = text
	sim.notifyWatchers()
}

// setInstance sets the listed state of the named instance; an empty one unlists it.
func (sim *simulation) setInstance(name string, s member.State) {
	sim.trace("list %s as %q", name, s)
	sim.mu.Lock()
	defer sim.mu.Unlock()
	var kept []member.Instance
	for _, in := range sim.list.Instances {
		if in.Name != name {
			kept = append(kept, in)
		}
	}
	if s != "" {
		kept = append(kept, member.Instance{Name: name, Addr: name, DataCentre: dataCentreOf(name), State: s})
	}
	sim.list.Instances = kept
	sim.list.Revision++
	sim.notifyWatchers()
}

func (sim *simulation) setEndpoint(name string, s member.State) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	list := append([]member.Endpoint(nil), sim.list.Endpoints...)
	for i := range list {
		if list[i].Name == name {
			list[i].State = s
		}
	}
	sim.list.Endpoints = list
	sim.list.Revision++
	sim.notifyWatchers()
}

// notifyWatchers wakes all watch calls. sim.mu must be held.
func (sim *simulation) notifyWatchers() {
	close(sim.updated)
	sim.updated = make(chan struct{})
}

func (sim *simulation) recordViolation(format string, args ...any) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	sim.violations = append(sim.violations, fmt.Sprintf(format, args...))
}

// responseRecorder is a dispatch.Sink.
type responseRecorder struct {
	status int
	body   bytes.Buffer
}

func (s *responseRecorder) Start(status int, _ http.Header) { s.status = status }

func (s *responseRecorder) Write(p []byte) error {
	s.body.Write(p)
	return nil
}

type reply struct {
	body string
	err  *verdict.Error
}

// call sends one attempt to inst. Requests of class verdict use id as idempotency key.
func (sim *simulation) call(inst *instance, id, attempt, class string) reply {
	set, ok := inst.node.Declarations()
	if !ok {
		return reply{err: verdict.Refuse(verdict.NoConfiguration, "")}
	}
	req := &dispatch.Request{
		ID: attempt, Pool: set.Pool("work"), Class: set.Class(class), Team: "a", Method: http.MethodPost, Path: "/do",
		Header: http.Header{}, Body: []byte(id), Repeatable: set.Class(class).Repeatable, Arrived: inst.node.Now(),
	}
	if class == "verdict" {
		var k owner.Key
		copy(k[:], id)
		req.Key = &k
	}
	inst.inFlight.Add(1)
	defer inst.inFlight.Done()
	ctx, cancel := context.WithTimeout(inst.ctx, time.Minute)
	defer cancel()
	s := new(responseRecorder)
	got := make(chan dispatch.Result, 1)
	go func() { got <- inst.dispatcher.Do(ctx, req, s) }()
	var res dispatch.Result
	select {
	case res = <-got:
	case <-inst.ctx.Done():
		return reply{err: verdict.Fail(verdict.MayHaveRun, verdict.CallerGone, "the instance crashed")}
	}
	if inst.ctx.Err() != nil {
		return reply{err: verdict.Fail(verdict.MayHaveRun, verdict.CallerGone, "the instance crashed")}
	}
	sim.checkReply(id, attempt, s, res)
	if res.Err != nil {
		sim.trace("reply %s via %s: %v", attempt, inst.name, res.Err)
	}
	return reply{s.body.String(), res.Err}
}

// checkReply detects responses to other requests, and runs reported as not run.
func (sim *simulation) checkReply(id, attempt string, s *responseRecorder, res dispatch.Result) {
	if res.Err == nil && s.body.String() != id {
		sim.recordViolation("%s: got the response to another request: %q", attempt, s.body.String())
	}
	if res.Err != nil && res.Err.Verdict == verdict.NotRun {
		sim.mu.Lock()
		ran := len(sim.attempts[attempt])
		sim.mu.Unlock()
		if ran > 0 {
			sim.recordViolation("%s: reported as not run (%v), but it ran", attempt, res.Err)
		}
	}
}

// callWithRetries sends a request to random ready instances, up to tries times,
// until it succeeds. It returns the last reply.
func (sim *simulation) callWithRetries(id, class string, tries int) reply {
	var last reply
	for try := range tries {
		live := sim.readyInstances()
		if len(live) == 0 {
			time.Sleep(200 * time.Millisecond)
			continue
		}
		sim.mu.Lock()
		inst := live[sim.rng.IntN(len(live))]
		sim.mu.Unlock()
		last = sim.call(inst, id, fmt.Sprintf("%s/%d", id, try), class)
		if last.err == nil {
			return last
		}
		time.Sleep(max(last.err.RetryAfter, 50*time.Millisecond))
	}
	return last
}

// check reports violations, and keyed requests (with an id v*) that ran repeatedly.
func (sim *simulation) check() {
	sim.t.Helper()
	sim.mu.Lock()
	defer sim.mu.Unlock()
	for id, n := range sim.runs {
		if id[0] == 'v' && n > 1 {
			sim.violations = append(sim.violations, fmt.Sprintf("keyed request %s ran %d times, want at most once", id, n))
		}
	}
	for _, f := range sim.violations {
		sim.t.Error(f)
	}
}

// awaitSettled waits until all running instances are ready and hold the records of
// their idempotency keys. It fails the test after 10 s.
func (sim *simulation) awaitSettled() {
	sim.t.Helper()
	for range 100 {
		time.Sleep(100 * time.Millisecond)
		done := true
		for _, inst := range sim.allInstances() {
			if inst.ctx.Err() == nil {
				ready, _ := inst.node.Ready()
				done = done && ready && inst.node.Config().Settled
			}
		}
		if done {
			return
		}
	}
	sim.t.Fatal("the fleet was not ready and settled within 10 s")
}

// simulate calls f in virtual time and then checks the guarantees.
func simulate(t *testing.T, seed uint64, instances, endpoints int, f func(sim *simulation)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		sim := newSimulation(t, seed, instances, endpoints)
		sim.awaitSettled()
		f(sim)
		sim.check()
		sim.close()
	})
}
