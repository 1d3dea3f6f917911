// Package fleet_test runs whole fleets of real instances in virtual time, in
// one process, with a network, a platform and endpoints in memory, and causes
// the failures that the promises are meant for. The endpoints' books, not the
// system's word, say what ran.
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
	"ivyridge/publish"
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

// A world is a fleet and what surrounds it.
type world struct {
	t         *testing.T
	rng       *rand.Rand
	mu        sync.Mutex
	instances map[string]*instance
	endpoints map[string]*endpoint
	config    publish.Published
	list      member.List
	down      bool
	old       bool // the platform serves revision 1
	calls     int  // of the platform
	changed   chan struct{}
	weather   func(from, to string, rng *rand.Rand) weather
	attempts  map[string][]string // runs by attempt: endpoints
	runs      map[string]int      // runs by request id
	seeds     []string            // of instances that start from now on
	faults    []string            // breaches found
}

// A weather is what happens to one message.
type weather struct {
	drop, loseReply, double bool
	delay                   time.Duration
	rate                    int // bytes a second each way; zero: no bound
}

type instance struct {
	w       *world
	name    string
	side    int
	node    *node.Node
	disp    *dispatch.Dispatcher
	handler http.Handler
	life    context.Context
	kill    context.CancelFunc
	open    sync.WaitGroup
	leaving bool
}

type endpoint struct {
	name    string
	side    int
	work    time.Duration
	mode    string // "", "dead", "cut", "busy", "late"
	leaving time.Time
	now     int // requests that it works on
	most    int // the most that it has worked on at once
}

func newWorld(t *testing.T, seed uint64, instances, endpoints int) *world {
	w := &world{
		t: t, rng: rand.New(rand.NewPCG(seed, 7)),
		instances: make(map[string]*instance), endpoints: make(map[string]*endpoint),
		attempts: make(map[string][]string), runs: make(map[string]int),
		changed: make(chan struct{}),
		weather: func(string, string, *rand.Rand) weather { return weather{} },
	}
	w.config = publish.Published{Revision: 1, Value: declarations}
	w.list.Revision = 1
	for i := range endpoints {
		name := fmt.Sprintf("e%d", i+1)
		w.endpoints[name] = &endpoint{name: name, side: i % 2, work: 50 * time.Millisecond}
		w.list.Endpoints = append(w.list.Endpoints, member.Endpoint{Name: name, Addr: name, DataCentre: "x", Region: "r", Pool: "work", State: member.Live})
	}
	for i := range instances {
		name := fmt.Sprintf("n%d", i+1)
		w.list.Instances = append(w.list.Instances, member.Instance{Name: name, Addr: name, DataCentre: centreOf(name), State: member.Live})
	}
	for i, in := range w.list.Instances {
		w.startCold(in.Name, i%2)
	}
	return w
}

// centreOf spreads instances over three data centres.
func centreOf(name string) string { return string("xyz"[(name[1]-'1')%3]) }

// startCold starts an instance of a fleet that starts for the first time.
func (w *world) startCold(name string, side int) *instance {
	return w.launch(name, side, owner.Retention, true)
}

// start starts an instance, anew if it has been killed.
func (w *world) start(name string, side int, quarantine time.Duration) *instance {
	return w.launch(name, side, quarantine, false)
}

func (w *world) launch(name string, side int, quarantine time.Duration, cold bool) *instance {
	x := &instance{w: w, name: name, side: side}
	w.trace("start %s on side %d", name, side)
	x.life, x.kill = context.WithCancel(context.Background())
	x.node = node.New(node.Options{
		Name: name, DataCentre: centreOf(name), Addr: name, Policy: fullPolicy(), Quarantine: quarantine, ColdStart: cold,
		Seeds: w.seeds, Clock: clock.Monotonic(), Log: zap.NewNop(), Transport: &link{w, x}, Platform: &reader{w, x}, Loads: &loads{w, x},
	})
	x.handler = x.node.Handler()
	x.disp = dispatch.NewOver(x.node, new(expvar.Map).Init(), &link{w, x}, &link{w, x})
	w.mu.Lock()
	w.instances[name] = x
	w.mu.Unlock()
	x.node.Run()
	return x
}

func fullPolicy() home.Policy {
	p, err := home.ParsePolicy(home.Full)
	if err != nil {
		panic(err)
	}
	return p
}

// trace logs an event, if IVYRIDGE_TRACE asks for it.
func (w *world) trace(format string, args ...any) {
	if os.Getenv("IVYRIDGE_TRACE") != "" {
		w.t.Logf(time.Now().Format("04:05.000 ")+format, args...)
	}
}

// crash ends an instance at once.
func (w *world) crash(x *instance) {
	w.trace("crash %s", x.name)
	x.kill()
	x.node.Close()
}

// leave ends an instance as planned, as package daemon does.
func (w *world) leave(x *instance) {
	w.mu.Lock()
	x.leaving = true
	w.mu.Unlock()
	w.setInstance(x.name, member.Leaving)
	x.node.Leave()
	time.Sleep(time.Second)
	x.open.Wait()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	x.node.AwaitHandOver(ctx)
	w.crash(x)
	w.setInstance(x.name, "")
}

func (w *world) close() {
	for _, x := range w.all() {
		x.kill()
		x.node.Close()
	}
	time.Sleep(10 * time.Minute) // what still waits gives up
}

func (w *world) all() []*instance {
	w.mu.Lock()
	defer w.mu.Unlock()
	var out []*instance
	for _, in := range []string{"n1", "n2", "n3", "n4", "n5", "n6", "n7", "n8", "n9"} {
		if x := w.instances[in]; x != nil {
			out = append(out, x)
		}
	}
	return out
}

// live returns the instances that a balancer would send to.
func (w *world) live() []*instance {
	var out []*instance
	for _, x := range w.all() {
		w.mu.Lock()
		leaving := x.leaving
		w.mu.Unlock()
		if ready, _ := x.node.Ready(); x.life.Err() == nil && ready && !leaving {
			out = append(out, x)
		}
	}
	return out
}

// publish changes the configuration.
func (w *world) publish(text string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.config.Revision++
	w.config.Value = text
	w.stir()
}

// setInstance changes an instance's state in the list; empty takes it out.
func (w *world) setInstance(name string, s member.State) {
	w.trace("list %s as %q", name, s)
	w.mu.Lock()
	defer w.mu.Unlock()
	var kept []member.Instance
	for _, in := range w.list.Instances {
		if in.Name != name {
			kept = append(kept, in)
		}
	}
	if s != "" {
		kept = append(kept, member.Instance{Name: name, Addr: name, DataCentre: centreOf(name), State: s})
	}
	w.list.Instances = kept
	w.list.Revision++
	w.stir()
}

func (w *world) setEndpoint(name string, s member.State) {
	w.mu.Lock()
	defer w.mu.Unlock()
	list := append([]member.Endpoint(nil), w.list.Endpoints...)
	for i := range list {
		if list[i].Name == name {
			list[i].State = s
		}
	}
	w.list.Endpoints = list
	w.list.Revision++
	w.stir()
}

// stir wakes the watches. The world is locked.
func (w *world) stir() {
	close(w.changed)
	w.changed = make(chan struct{})
}

// breach records that a promise was broken.
func (w *world) breach(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.faults = append(w.faults, fmt.Sprintf(format, args...))
}

// sink keeps an answer.
type sink struct {
	status int
	body   bytes.Buffer
}

func (s *sink) Start(status int, _ http.Header) { s.status = status }

func (s *sink) Write(p []byte) error {
	s.body.Write(p)
	return nil
}

// A reply is what one caller's try came to.
type reply struct {
	body string
	err  *verdict.Error
}

// call sends one request through an instance, as a caller does.
func (w *world) call(x *instance, id, attempt, class string) reply {
	set, ok := x.node.Declarations()
	if !ok {
		return reply{err: verdict.Refuse(verdict.NoConfiguration, "")}
	}
	req := &dispatch.Request{
		ID: attempt, Pool: set.Pool("work"), Class: set.Class(class), Team: "a", Method: http.MethodPost, Path: "/do",
		Header: http.Header{}, Body: []byte(id), Repeatable: set.Class(class).Repeatable, Arrived: x.node.Now(),
	}
	if class == "verdict" {
		var k owner.Key
		copy(k[:], id)
		req.Key = &k
	}
	x.open.Add(1)
	defer x.open.Done()
	ctx, cancel := context.WithTimeout(x.life, time.Minute)
	defer cancel()
	s := new(sink)
	got := make(chan dispatch.Result, 1)
	go func() { got <- x.disp.Do(ctx, req, s) }()
	var res dispatch.Result
	select {
	case res = <-got:
	case <-x.life.Done():
		return reply{err: verdict.Fail(verdict.MayHaveRun, verdict.CallerGone, "the instance died")}
	}
	if x.life.Err() != nil {
		return reply{err: verdict.Fail(verdict.MayHaveRun, verdict.CallerGone, "the instance died")}
	}
	w.checkReply(id, attempt, s, res)
	if res.Err != nil {
		w.trace("reply %s via %s: %v", attempt, x.name, res.Err)
	}
	return reply{s.body.String(), res.Err}
}

// checkReply checks what must hold of every single answer.
func (w *world) checkReply(id, attempt string, s *sink, res dispatch.Result) {
	if res.Err == nil && s.body.String() != id {
		w.breach("%s got the answer %q", attempt, s.body.String())
	}
	if res.Err != nil && res.Err.Verdict == verdict.NotRun {
		w.mu.Lock()
		ran := len(w.attempts[attempt])
		w.mu.Unlock()
		if ran > 0 {
			w.breach("%s was told not-run (%v) but ran", attempt, res.Err)
		}
	}
}

// persist calls until the request is answered, on one instance after the
// other, as a caller does who must have the answer.
func (w *world) persist(id, class string, tries int) reply {
	var last reply
	for try := range tries {
		live := w.live()
		if len(live) == 0 {
			time.Sleep(200 * time.Millisecond)
			continue
		}
		w.mu.Lock()
		x := live[w.rng.IntN(len(live))]
		w.mu.Unlock()
		last = w.call(x, id, fmt.Sprintf("%s/%d", id, try), class)
		if last.err == nil {
			return last
		}
		time.Sleep(max(last.err.RetryAfter, 50*time.Millisecond))
	}
	return last
}

// check reports all breaches, and runs of requests that ran twice.
func (w *world) check() {
	w.t.Helper()
	w.mu.Lock()
	defer w.mu.Unlock()
	for id, n := range w.runs {
		if id[0] == 'v' && n > 1 {
			w.faults = append(w.faults, fmt.Sprintf("%s ran %d times", id, n))
		}
	}
	for _, f := range w.faults {
		w.t.Error(f)
	}
}

// settle waits until all instances are ready and vouch for their keys.
func (w *world) settle() {
	w.t.Helper()
	for range 100 {
		time.Sleep(100 * time.Millisecond)
		done := true
		for _, x := range w.all() {
			if x.life.Err() == nil {
				ready, _ := x.node.Ready()
				done = done && ready && x.node.Config().Settled
			}
		}
		if done {
			return
		}
	}
	w.t.Fatal("the fleet did not settle")
}

// inWorld runs a test in virtual time with a settled fleet.
func inWorld(t *testing.T, seed uint64, instances, endpoints int, f func(w *world)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, seed, instances, endpoints)
		w.settle()
		f(w)
		w.check()
		w.close()
	})
}
