package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"ivyridge/internal/link"
	"ivyridge/platform/standin"
)

const (
	meanFaultInterval = 1500 * time.Millisecond // between the starts of faults
	minFaultDuration  = 300 * time.Millisecond
	maxFaultDuration  = 4 * time.Second
	maxPause          = 7 * time.Second // longer than the bound on revocations
	restartDelay      = 300 * time.Millisecond
	drainPeriod       = 2500 * time.Millisecond // from the leaving notice of an endpoint until it is withdrawn
	growthRoutes      = 800                     // added by one configuration growth
	rapidVersions     = 6                       // published in quick succession
	burstFactor       = 8                       // on the request rate
)

// An injection is one drawn fault: its random source, its duration and the site it affects.
type injection struct {
	rng      *rand.Rand
	duration time.Duration
	site     *site
	run      *run
}

// A faultKind is a kind of fault. inject starts it, waits, undoes it and records it.
type faultKind struct {
	name   string
	inject func(*injection)
}

// allFaultKinds are the kinds that need no older build.
var allFaultKinds = []faultKind{
	{"instance killed", func(s *injection) { s.withInstance(s.kill) }},
	{"data centre killed", func(s *injection) { s.killDataCentre() }},
	{"all killed", func(s *injection) { s.killAll() }},
	{"instance replaced at another address", func(s *injection) { s.withInstance(s.replace) }},
	{"instance paused", func(s *injection) { s.withInstance(s.pause) }},
	{"instance stopped", func(s *injection) { s.withInstance(s.restart) }},
	{"all stopped in turn", func(s *injection) { s.rollingRestart() }},
	{"settings reloaded", func(s *injection) { s.withInstance(func(r *instance) { s.reload(r, false) }) }},
	{"faulty settings", func(s *injection) { s.withInstance(func(r *instance) { s.reload(r, true) }) }},
	{"callers' connections reset", func(s *injection) { s.withInstance(s.resetCallers) }},
	{"callers' link slow", func(s *injection) {
		s.degradeLink("callers' link slow", func(r *instance) *link.TCP { return r.callers }, link.Conditions{Delay: 60 * time.Millisecond})
	}},
	{"callers' answers cut", func(s *injection) {
		s.degradeLink("callers' answers cut", func(r *instance) *link.TCP { return r.callers }, link.Conditions{ResetAfter: 900})
	}},
	{"instance cut off the store", func(s *injection) {
		s.degradeLink("instance cut off the store", func(r *instance) *link.TCP { return r.store }, link.Conditions{BlockForward: true, BlockBack: true})
	}},
	{"store's answers lost", func(s *injection) {
		s.degradeLink("store's answers lost", func(r *instance) *link.TCP { return r.store }, link.Conditions{BlockBack: true})
	}},
	{"link to the store slow", func(s *injection) {
		s.degradeLink("link to the store slow", func(r *instance) *link.TCP { return r.store }, link.Conditions{Rate: 200_000})
	}},
	{"beliefs of an instance silent", func(s *injection) {
		s.degradeLink("beliefs of an instance silent", func(r *instance) *link.TCP { return r.peers }, link.Conditions{BlockBack: true})
	}},
	{"beliefs of an instance slow", func(s *injection) {
		s.degradeLink("beliefs of an instance slow", func(r *instance) *link.TCP { return r.peers }, link.Conditions{Rate: 50_000})
	}},
	{"instance cut off the others", func(s *injection) { s.withInstance(s.cutGossip) }},
	{"datagrams lost, doubled, late", func(s *injection) { s.disturbGossip() }},
	{"regions cut off each other", func(s *injection) { s.cutRegions("regions cut off each other", true) }},
	{"regions cut off one way", func(s *injection) { s.cutRegions("regions cut off one way", false) }},
	{"store refuses", func(s *injection) { s.failStore("store refuses", standin.Busy) }},
	{"store counts too many calls", func(s *injection) { s.failStore("store counts too many calls", standin.Throttled) }},
	{"store silent", func(s *injection) { s.failStore("store silent", standin.Silent) }},
	{"store resets", func(s *injection) { s.failStore("store resets", standin.Reset) }},
	{"store slow", func(s *injection) { s.slowStore() }},
	{"store forgets its history", func(s *injection) { s.instant("store forgets its history", s.site.store.DropHistory) }},
	{"route moved", func(s *injection) { s.planned("route moved", s.moveRoute) }},
	{"configurations in quick succession", func(s *injection) { s.publishRapidly() }},
	{"homes changed", func(s *injection) { s.changeHomeRegions() }},
	{"configuration grows", func(s *injection) {
		s.planned("configuration grows", func() { s.site.publish(func() { s.site.extraRoutes += growthRoutes }) })
	}},
	{"key taken away", func(s *injection) { s.planned("key taken away", s.revoke) }},
	{"endpoint leaves", func(s *injection) { s.removeEndpoint(true) }},
	{"endpoint leaves without a word", func(s *injection) { s.removeEndpoint(false) }},
	{"data centre evacuated", func(s *injection) { s.evacuate() }},
	{"endpoint added cold", func(s *injection) { s.addCold() }},
	{"endpoint silent", func(s *injection) {
		s.degradeEndpointLink("endpoint silent", link.Conditions{BlockForward: true, BlockBack: true})
	}},
	{"endpoint's answers cut", func(s *injection) { s.degradeEndpointLink("endpoint's answers cut", link.Conditions{ResetAfter: 300}) }},
	{"endpoint slow", func(s *injection) {
		s.degradeEndpointLink("endpoint slow", link.Conditions{Delay: 150 * time.Millisecond})
	}},
	{"endpoint's connections reset", func(s *injection) { s.resetEndpoint() }},
	{"endpoint's connections silent", func(s *injection) { s.silenceEndpointConnections() }},
	{"store's connections silent", func(s *injection) {
		s.silenceConnections("store's connections silent", func(r *instance) *link.TCP { return r.store })
	}},
	{"connections between instances silent", func(s *injection) {
		s.silenceConnections("connections between instances silent", func(r *instance) *link.TCP { return r.peers })
	}},
	{"endpoint fails", func(s *injection) { s.changeBehaviour("endpoint fails", func(b *standin.Behaviour) { b.Status = 500 }) }},
	{"endpoint hangs", func(s *injection) {
		s.changeBehaviour("endpoint hangs", func(b *standin.Behaviour) { b.Delay = 3 * time.Second })
	}},
	{"endpoint refuses", func(s *injection) {
		s.changeBehaviour("endpoint refuses", func(b *standin.Behaviour) { b.Shed = true })
	}},
	{"endpoint asks for rest", func(s *injection) { s.rejectWithRetryAfter() }},
	{"all endpoints of a service ask for rest", func(s *injection) { s.rejectAllWithRetryAfter() }},
	{"endpoint names its limit", func(s *injection) { s.announceLimit() }},
	{"all endpoints of a service name limits", func(s *injection) { s.announceAllLimits() }},
	{"endpoint names odd limits", func(s *injection) { s.announceInvalidLimits() }},
	{"endpoint leaves, as its answers say", func(s *injection) { s.announceLeavingInResponses() }},
	{"endpoint breaks off", func(s *injection) {
		s.changeBehaviour("endpoint breaks off", func(b *standin.Behaviour) { b.Cut, b.CutAfter, b.CutMidEvent = true, 3, true })
	}},
	{"endpoint answers twice", func(s *injection) {
		s.changeBehaviour("endpoint answers twice", func(b *standin.Behaviour) { b.ExtraResponse = true })
	}},
	{"endpoint sends what is no answer", func(s *injection) {
		s.changeBehaviour("endpoint sends what is no answer", func(b *standin.Behaviour) { b.Unsealed = true })
	}},
	{slowCallerKinds[0].kind, func(s *injection) { s.startSlowCallers(slowCallerKinds[0]) }},
	{slowCallerKinds[1].kind, func(s *injection) { s.startSlowCallers(slowCallerKinds[1]) }},
	{slowCallerKinds[2].kind, func(s *injection) { s.startSlowCallers(slowCallerKinds[2]) }},
	{slowCallerKinds[3].kind, func(s *injection) { s.startSlowCallers(slowCallerKinds[3]) }},
	{"engines lost in the middle of streams", func(s *injection) { s.cutEngines() }},
	{"one team's rush", func(s *injection) { s.rush() }},
	{"request that ends endpoints", func(s *injection) { s.sendCrashRequest() }},
	{"endpoint ends and returns", func(s *injection) { s.restartEndpoint() }},
	{"entries of another writer", func(s *injection) { s.corruptEntries() }},
	{"burst", func(s *injection) { s.burst() }},
	{"all killed beside a request that ends endpoints", func(s *injection) { s.killAllBesideCrashRequest() }},
}

// upgradeFaultKinds are the kinds that need an older build.
var upgradeFaultKinds = []faultKind{
	{"builds replaced in turn", func(s *injection) { s.upgrade(false) }},
	{"builds replaced in turn, and taken back", func(s *injection) { s.upgrade(true) }},
}

// Kinds returns the names of all kinds of faults.
func Kinds() []string {
	var out []string
	for _, f := range slices.Concat(allFaultKinds, upgradeFaultKinds) {
		out = append(out, f.name)
	}
	return out
}

// selectFaultKinds returns the named kinds, or all if none is named. Kinds that need an older build
// are available only if mixed is set.
func selectFaultKinds(kinds []string, mixed bool) ([]faultKind, error) {
	all := allFaultKinds
	if mixed {
		all = slices.Concat(allFaultKinds, upgradeFaultKinds)
	}
	if len(kinds) == 0 {
		return all, nil
	}
	var out []faultKind
	for _, kind := range kinds {
		i := slices.IndexFunc(all, func(f faultKind) bool { return f.name == kind })
		if i < 0 {
			return nil, errors.Errorf("soak: unknown kind of fault %q", kind)
		}
		out = append(out, all[i])
	}
	return out, nil
}

func randomDuration(rng *rand.Rand, longest time.Duration) time.Duration {
	return minFaultDuration + time.Duration(rng.Int64N(int64(longest-minFaultDuration)))
}

// withInstance acquires a random instance and calls do with it. It does nothing if none is free.
func (s *injection) withInstance(do func(*instance)) {
	if r := s.run.acquire(s.rng); r != nil {
		defer s.run.release(r)
		do(r)
	}
}

// apply calls begin, waits for duration, calls end, and records f with the times of both.
func (s *injection) apply(f Fault, begin func(), duration time.Duration, end func()) {
	f.From = time.Now()
	s.run.logFault(f)
	begin()
	s.run.wait(duration)
	end()
	f.To = time.Now()
	s.site.recordFault(f)
}

func (s *injection) kill(r *instance) {
	s.apply(Fault{Kind: "instance killed", Instance: r.name}, r.kill, restartDelay, func() { s.run.start(r) })
}

func (s *injection) killDataCentre() {
	dataCentre := dataCentres[s.rng.IntN(len(dataCentres))]
	s.killMany("data centre killed", false, func(r *instance) bool { return r.dataCentre == dataCentre })
}

func (s *injection) killAll() {
	s.killMany("all killed", true, func(*instance) bool { return true })
}

// killMany kills the selected instances at the same time and restarts them. If all is set, they are
// all instances, and the recovery time is recorded.
func (s *injection) killMany(kind string, all bool, selects func(*instance) bool) {
	instances := s.run.acquireAll()
	if instances == nil {
		return
	}
	defer s.run.release(instances...)
	var affected []*instance
	for _, r := range instances {
		if selects(r) {
			affected = append(affected, r)
		}
	}
	f := Fault{Kind: kind, AllInstances: all}
	s.apply(f, func() {
		for _, r := range affected {
			r.signal(syscall.SIGKILL)
		}
		for _, r := range affected {
			<-r.exited()
		}
	}, restartDelay, func() {
		for _, r := range affected {
			s.run.start(r)
		}
	})
	if all {
		s.run.recordRecovery(instances)
	}
}

func (s *injection) replace(r *instance) {
	s.apply(Fault{Kind: "instance replaced at another address", Instance: r.name}, func() {
		r.kill()
		s.run.fleet.retire(r)
	}, restartDelay, func() { s.run.replace(r.dataCentre) })
}

func (s *injection) pause(r *instance) {
	s.apply(Fault{Kind: "instance paused", Instance: r.name}, func() { r.signal(syscall.SIGSTOP) },
		randomDuration(s.rng, maxPause), func() { r.signal(syscall.SIGCONT) })
}

func (s *injection) restart(r *instance) {
	s.apply(Fault{Kind: "instance stopped", Instance: r.name, Planned: true}, func() {
		if !r.stop() {
			s.run.note(fmt.Sprintf("%s did not exit within the grace period", r.name))
		}
	}, restartDelay, func() { s.run.start(r) })
}

func (s *injection) rollingRestart() {
	instances := s.run.acquireAll()
	if instances == nil {
		return
	}
	defer s.run.release(instances...)
	for _, r := range instances {
		s.restart(r)
	}
}

func (s *injection) reload(r *instance, faulty bool) {
	s.apply(Fault{Kind: "settings reloaded", Instance: r.name, Planned: true, KeepsContact: true}, func() {
		s.run.writeSettings(r, faulty)
		r.signal(syscall.SIGHUP)
	}, s.duration, func() {
		s.run.writeSettings(r, false)
		r.signal(syscall.SIGHUP)
	})
}

func (s *injection) resetCallers(r *instance) {
	s.apply(Fault{Kind: "callers' connections reset", Instance: r.name}, r.callers.Reset, 0, func() {})
}

// degradeLink sets the conditions of a link of a random instance to w for s.duration.
func (s *injection) degradeLink(kind string, which func(*instance) *link.TCP, w link.Conditions) {
	s.withInstance(func(r *instance) {
		l, normal := which(r), link.Conditions{}
		if l == r.peers {
			normal = r.peersConditions()
		}
		s.apply(Fault{Kind: kind, Instance: r.name}, func() { l.Set(w) }, s.duration, func() {
			l.Set(normal)
			l.Reset()
		})
	})
}

// silenceConnections silences the open connections of a link of a random instance permanently.
func (s *injection) silenceConnections(kind string, which func(*instance) *link.TCP) {
	s.withInstance(func(r *instance) { s.apply(Fault{Kind: kind, Instance: r.name}, which(r).Silence, 0, func() {}) })
}

func (s *injection) cutGossip(r *instance) {
	s.apply(Fault{Kind: "instance cut off the others", Instance: r.name}, func() {
		s.run.fleet.setDatagramFault(s, func(from, to *instance) link.DatagramConditions {
			return link.DatagramConditions{Cut: from == r || to == r}
		})
		r.peers.Set(link.Conditions{BlockForward: true, BlockBack: true})
	}, s.duration, func() {
		s.run.fleet.setDatagramFault(s, nil)
		r.peers.Set(r.peersConditions())
	})
}

func (s *injection) disturbGossip() {
	conditions := link.DatagramConditions{Loss: 0.2, Duplicate: 0.2, Jitter: 80 * time.Millisecond}
	s.apply(Fault{Kind: "datagrams lost, doubled, late"}, func() {
		s.run.fleet.setDatagramFault(s, func(*instance, *instance) link.DatagramConditions { return conditions })
	}, s.duration, func() {
		s.run.fleet.setDatagramFault(s, nil)
	})
}

func (s *injection) failStore(kind string, f standin.Fault) {
	s.apply(Fault{Kind: kind}, func() { s.site.store.SetFault(f) }, s.duration, func() { s.site.store.SetFault(standin.None) })
}

func (s *injection) slowStore() {
	s.apply(Fault{Kind: "store slow"}, func() { s.site.store.SetDelay(300 * time.Millisecond) }, s.duration, func() { s.site.store.SetDelay(0) })
}

func (s *injection) instant(kind string, do func()) { s.apply(Fault{Kind: kind}, do, 0, func() {}) }

// planned applies do as a planned operation, which must not lose requests.
func (s *injection) planned(kind string, do func()) {
	s.apply(Fault{Kind: kind, Planned: true, KeepsContact: true}, do, 0, func() {})
}

func (s *injection) moveRoute() {
	s.site.publish(func() {
		if s.site.routes["moved"] == "app" {
			s.site.routes["moved"] = "other"
		} else {
			s.site.routes["moved"] = "app"
		}
	})
}

func (s *injection) publishRapidly() {
	for range rapidVersions {
		s.planned("configurations in quick succession", s.moveRoute)
		s.run.wait(minFaultDuration)
	}
}

func (s *injection) revoke() {
	s.site.publish(func() {
		for _, team := range sortedKeys(s.site.keys) {
			if len(s.site.keys[team]) > 1 {
				s.site.keys[team] = s.site.keys[team][:1]
				return
			}
		}
	})
}

// replaceEndpoint starts a replacement for a random endpoint and returns the old one, which the
// caller withdraws; nil if too few are left.
func (s *injection) replaceEndpoint() *endpoint {
	e := s.site.randomEndpoint(s.rng, 2)
	if e == nil {
		return nil
	}
	if _, err := s.site.addEndpoint(e.server.Service, e.server.DataCentre); err != nil {
		s.run.note(err.Error())
		return nil
	}
	return e
}

// removeEndpoint replaces a random endpoint. With announce set, it publishes a leaving notice first.
func (s *injection) removeEndpoint(announce bool) {
	e := s.replaceEndpoint()
	if e == nil {
		return
	}
	kind := "endpoint leaves without a word"
	if announce {
		kind = "endpoint leaves"
	}
	s.run.logFault(Fault{Kind: kind, Endpoint: e.server.ID})
	if announce {
		s.site.announceLeaving(e)
		s.run.wait(drainPeriod)
	}
	s.site.withdraw(e)
	s.run.wait(drainPeriod)
}

func (s *injection) degradeEndpointLink(kind string, w link.Conditions) {
	e := s.site.randomEndpoint(s.rng, 1)
	if e == nil {
		return
	}
	s.apply(Fault{Kind: kind, Endpoint: e.server.ID}, func() { e.link.Set(w) }, s.duration, func() {
		e.link.Set(link.Conditions{})
		e.link.Reset()
	})
}

func (s *injection) resetEndpoint() {
	if e := s.site.randomEndpoint(s.rng, 1); e != nil {
		s.apply(Fault{Kind: "endpoint's connections reset", Endpoint: e.server.ID}, e.link.Reset, 0, func() {})
	}
}

func (s *injection) silenceEndpointConnections() {
	if e := s.site.randomEndpoint(s.rng, 1); e != nil {
		s.apply(Fault{Kind: "endpoint's connections silent", Endpoint: e.server.ID}, e.link.Silence, 0, func() {})
	}
}

func (s *injection) changeBehaviour(kind string, change func(*standin.Behaviour)) {
	e := s.site.randomEndpoint(s.rng, 1)
	if e == nil {
		return
	}
	b := normalBehaviour[e.server.Service]
	change(&b)
	s.apply(Fault{Kind: kind, Endpoint: e.server.ID}, func() { e.server.SetBehaviour(b) }, s.duration, func() { e.server.SetBehaviour(normalBehaviour[e.server.Service]) })
}

func (s *injection) burst() {
	s.apply(Fault{Kind: "burst", KeepsContact: true}, func() { s.run.callers.setRate(s.run.Rate * burstFactor) }, s.duration, func() { s.run.callers.setRate(s.run.Rate) })
}
