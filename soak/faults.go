package soak

// This file holds the kinds of faults, and draws when each strikes.

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

// Times of the plan.
const (
	faultGap      = 1500 * time.Millisecond // between faults, in the mean
	faultLeast    = 300 * time.Millisecond  // that a fault lasts
	faultMost     = 4 * time.Second
	pauseMost     = 7 * time.Second // longer than the time for revocations
	restartAfter  = 300 * time.Millisecond
	drainFor      = 2500 * time.Millisecond // an endpoint that leaves serves on
	growthRoutes  = 800
	stormVersions = 6
	busyRate      = 8 // times the rate in a burst
)

// A strike is a fault as it was drawn: who it befalls, for how long.
type strike struct {
	rng  *rand.Rand
	last time.Duration
	site *site
	run  *run
}

// A fault is a kind of fault. Strike brings it about, waits as long as it
// lasts, and takes it back; it books the trouble.
type fault struct {
	kind   string
	strike func(*strike)
}

// faults are all kinds.
var faults = []fault{
	{"instance killed", func(s *strike) { s.one(s.kill) }},
	{"data centre killed", func(s *strike) { s.killDataCentre() }},
	{"all killed", func(s *strike) { s.killAll() }},
	{"instance replaced at another address", func(s *strike) { s.one(s.replace) }},
	{"instance paused", func(s *strike) { s.one(s.pause) }},
	{"instance stopped", func(s *strike) { s.one(s.stop) }},
	{"all stopped in turn", func(s *strike) { s.roll() }},
	{"settings reloaded", func(s *strike) { s.one(func(r *instance) { s.reload(r, false) }) }},
	{"faulty settings", func(s *strike) { s.one(func(r *instance) { s.reload(r, true) }) }},
	{"callers' connections reset", func(s *strike) { s.one(s.resetCallers) }},
	{"callers' link slow", func(s *strike) {
		s.link("callers' link slow", func(r *instance) *link.TCP { return r.callers }, link.Weather{Delay: 60 * time.Millisecond})
	}},
	{"callers' answers cut", func(s *strike) {
		s.link("callers' answers cut", func(r *instance) *link.TCP { return r.callers }, link.Weather{Cut: 900})
	}},
	{"instance cut off the store", func(s *strike) {
		s.link("instance cut off the store", func(r *instance) *link.TCP { return r.store }, link.Weather{Silent: true, SilentOut: true})
	}},
	{"store's answers lost", func(s *strike) {
		s.link("store's answers lost", func(r *instance) *link.TCP { return r.store }, link.Weather{SilentOut: true})
	}},
	{"link to the store slow", func(s *strike) {
		s.link("link to the store slow", func(r *instance) *link.TCP { return r.store }, link.Weather{Rate: 200_000})
	}},
	{"beliefs of an instance silent", func(s *strike) {
		s.link("beliefs of an instance silent", func(r *instance) *link.TCP { return r.peers }, link.Weather{SilentOut: true})
	}},
	{"beliefs of an instance slow", func(s *strike) {
		s.link("beliefs of an instance slow", func(r *instance) *link.TCP { return r.peers }, link.Weather{Rate: 50_000})
	}},
	{"instance cut off the others", func(s *strike) { s.one(s.cutGossip) }},
	{"datagrams lost, doubled, late", func(s *strike) { s.roughGossip() }},
	{"regions cut off each other", func(s *strike) { s.cutRegions("regions cut off each other", true) }},
	{"regions cut off one way", func(s *strike) { s.cutRegions("regions cut off one way", false) }},
	{"store refuses", func(s *strike) { s.storeTrouble("store refuses", standin.Busy) }},
	{"store counts too many calls", func(s *strike) { s.storeTrouble("store counts too many calls", standin.Many) }},
	{"store silent", func(s *strike) { s.storeTrouble("store silent", standin.Silent) }},
	{"store resets", func(s *strike) { s.storeTrouble("store resets", standin.Reset) }},
	{"store slow", func(s *strike) { s.storeSlow() }},
	{"store forgets its history", func(s *strike) { s.once("store forgets its history", s.site.store.Forget) }},
	{"route moved", func(s *strike) { s.planned("route moved", s.moveRoute) }},
	{"configurations in quick succession", func(s *strike) { s.storm() }},
	{"homes changed", func(s *strike) { s.moveHomes() }},
	{"configuration grows", func(s *strike) {
		s.planned("configuration grows", func() { s.site.publish(func() { s.site.extra += growthRoutes }) })
	}},
	{"key taken away", func(s *strike) { s.planned("key taken away", s.revoke) }},
	{"endpoint leaves", func(s *strike) { s.leave(true) }},
	{"endpoint leaves without a word", func(s *strike) { s.leave(false) }},
	{"data centre evacuated", func(s *strike) { s.evacuate() }},
	{"endpoint added cold", func(s *strike) { s.addCold() }},
	{"endpoint silent", func(s *strike) { s.endpointLink("endpoint silent", link.Weather{Silent: true, SilentOut: true}) }},
	{"endpoint's answers cut", func(s *strike) { s.endpointLink("endpoint's answers cut", link.Weather{Cut: 300}) }},
	{"endpoint slow", func(s *strike) { s.endpointLink("endpoint slow", link.Weather{Delay: 150 * time.Millisecond}) }},
	{"endpoint's connections reset", func(s *strike) { s.resetEndpoint() }},
	{"endpoint's connections silent", func(s *strike) { s.hushEndpoint() }},
	{"store's connections silent", func(s *strike) {
		s.hush("store's connections silent", func(r *instance) *link.TCP { return r.store })
	}},
	{"connections between instances silent", func(s *strike) {
		s.hush("connections between instances silent", func(r *instance) *link.TCP { return r.peers })
	}},
	{"endpoint fails", func(s *strike) { s.behave("endpoint fails", func(b *standin.Behaviour) { b.Status = 500 }) }},
	{"endpoint hangs", func(s *strike) { s.behave("endpoint hangs", func(b *standin.Behaviour) { b.Hang = 3 * time.Second }) }},
	{"endpoint refuses", func(s *strike) { s.behave("endpoint refuses", func(b *standin.Behaviour) { b.Shed = true }) }},
	{"endpoint asks for rest", func(s *strike) { s.askForRest() }},
	{"all endpoints of a service ask for rest", func(s *strike) { s.allAskForRest() }},
	{"endpoint names its limit", func(s *strike) { s.nameLimit() }},
	{"all endpoints of a service name limits", func(s *strike) { s.nameAllLimits() }},
	{"endpoint names odd limits", func(s *strike) { s.nameOddLimits() }},
	{"endpoint leaves, as its answers say", func(s *strike) { s.leaveByAnswers() }},
	{"endpoint breaks off", func(s *strike) {
		s.behave("endpoint breaks off", func(b *standin.Behaviour) { b.Cut, b.CutAfter, b.Mid = true, 3, true })
	}},
	{"endpoint answers twice", func(s *strike) { s.behave("endpoint answers twice", func(b *standin.Behaviour) { b.Extra = true }) }},
	{"endpoint sends what is no answer", func(s *strike) {
		s.behave("endpoint sends what is no answer", func(b *standin.Behaviour) { b.Unsealed = true })
	}},
	{slownesses[0].kind, func(s *strike) { s.comeSlowly(slownesses[0]) }},
	{slownesses[1].kind, func(s *strike) { s.comeSlowly(slownesses[1]) }},
	{slownesses[2].kind, func(s *strike) { s.comeSlowly(slownesses[2]) }},
	{slownesses[3].kind, func(s *strike) { s.comeSlowly(slownesses[3]) }},
	{"engines lost in the middle of streams", func(s *strike) { s.loseEngines() }},
	{"one team's rush", func(s *strike) { s.rush() }},
	{"request that ends endpoints", func(s *strike) { s.poison() }},
	{"endpoint ends and returns", func(s *strike) { s.endEndpoint() }},
	{"entries of another writer", func(s *strike) { s.spoil() }},
	{"burst", func(s *strike) { s.burst() }},
}

// upgrades are the kinds that strike only beside an older build.
var upgrades = []fault{
	{"builds replaced in turn", func(s *strike) { s.upgrade(false) }},
	{"builds replaced in turn, and taken back", func(s *strike) { s.upgrade(true) }},
}

// Kinds returns the kinds of faults.
func Kinds() []string {
	var out []string
	for _, f := range slices.Concat(faults, upgrades) {
		out = append(out, f.kind)
	}
	return out
}

// chosen returns the faults of some kinds; if none is named, all that can strike.
func chosen(kinds []string, mixed bool) ([]fault, error) {
	all := faults
	if mixed {
		all = slices.Concat(faults, upgrades)
	}
	if len(kinds) == 0 {
		return all, nil
	}
	var out []fault
	for _, kind := range kinds {
		i := slices.IndexFunc(all, func(f fault) bool { return f.kind == kind })
		if i < 0 {
			return nil, errors.Errorf("soak: no kind of fault is called %q", kind)
		}
		out = append(out, all[i])
	}
	return out, nil
}

// duration draws how long a fault lasts.
func duration(rng *rand.Rand, most time.Duration) time.Duration {
	return faultLeast + time.Duration(rng.Int64N(int64(most-faultLeast)))
}

// one calls do with an instance by chance, which no other fault holds
// meanwhile. Where all are held, nothing happens.
func (s *strike) one(do func(*instance)) {
	if r := s.run.hold(s.rng); r != nil {
		defer s.run.release(r)
		do(r)
	}
}

// over runs a trouble of an instance: it begins, lasts and ends.
func (s *strike) over(t Trouble, begin func(), last time.Duration, end func()) {
	t.From = time.Now()
	s.run.began(t)
	begin()
	s.run.wait(last)
	end()
	t.To = time.Now()
	s.site.trouble(t)
}

func (s *strike) kill(r *instance) {
	s.over(Trouble{Kind: "instance killed", Instance: r.name}, r.kill, restartAfter, func() { s.run.start(r) })
}

func (s *strike) killDataCentre() {
	at := dataCentres[s.rng.IntN(len(dataCentres))]
	s.killMany("data centre killed", false, func(r *instance) bool { return r.dataCentre == at })
}

func (s *strike) killAll() {
	s.killMany("all killed", true, func(*instance) bool { return true })
}

// killMany kills the instances that a choice names, at once.
func (s *strike) killMany(kind string, all bool, chosen func(*instance) bool) {
	held := s.run.holdAll()
	if held == nil {
		return
	}
	defer s.run.release(held...)
	var struck []*instance
	for _, r := range held {
		if chosen(r) {
			struck = append(struck, r)
		}
	}
	t := Trouble{Kind: kind, All: all}
	s.over(t, func() {
		for _, r := range struck {
			r.signal(syscall.SIGKILL)
		}
		for _, r := range struck {
			<-r.ended()
		}
	}, restartAfter, func() {
		for _, r := range struck {
			s.run.start(r)
		}
	})
	if all {
		s.run.returned(held)
	}
}

// replace ends an instance for good and starts another one elsewhere; the
// others are told of the new seeds.
func (s *strike) replace(r *instance) {
	s.over(Trouble{Kind: "instance replaced at another address", Instance: r.name}, func() {
		r.kill()
		s.run.fleet.retire(r)
	}, restartAfter, func() { s.run.replace(r.dataCentre) })
}

func (s *strike) pause(r *instance) {
	s.over(Trouble{Kind: "instance paused", Instance: r.name}, func() { r.signal(syscall.SIGSTOP) },
		duration(s.rng, pauseMost), func() { r.signal(syscall.SIGCONT) })
}

// stop stops an instance as planned and starts it again.
func (s *strike) stop(r *instance) {
	s.over(Trouble{Kind: "instance stopped", Instance: r.name, Planned: true}, func() {
		if !r.stop() {
			s.run.note(fmt.Sprintf("%s did not end within its grace", r.name))
		}
	}, restartAfter, func() { s.run.start(r) })
}

func (s *strike) roll() {
	held := s.run.holdAll()
	if held == nil {
		return
	}
	defer s.run.release(held...)
	for _, r := range held {
		s.stop(r)
	}
}

// reload rewrites the settings of an instance and tells it so.
func (s *strike) reload(r *instance, faulty bool) {
	s.over(Trouble{Kind: "settings reloaded", Instance: r.name, Planned: true, Spares: true}, func() {
		s.run.rewrite(r, faulty)
		r.signal(syscall.SIGHUP)
	}, s.last, func() {
		s.run.rewrite(r, false)
		r.signal(syscall.SIGHUP)
	})
}

func (s *strike) resetCallers(r *instance) {
	s.over(Trouble{Kind: "callers' connections reset", Instance: r.name}, r.callers.Reset, 0, func() {})
}

// link gives one of an instance's links a weather.
func (s *strike) link(kind string, which func(*instance) *link.TCP, w link.Weather) {
	s.one(func(r *instance) {
		l, calm := which(r), link.Weather{}
		if l == r.peers {
			calm = r.peersWeather()
		}
		s.over(Trouble{Kind: kind, Instance: r.name}, func() { l.Set(w) }, s.last, func() {
			l.Set(calm)
			l.Reset()
		})
	})
}

// hush makes the open connections of one of an instance's links silent for good.
func (s *strike) hush(kind string, which func(*instance) *link.TCP) {
	s.one(func(r *instance) { s.over(Trouble{Kind: kind, Instance: r.name}, which(r).Hush, 0, func() {}) })
}

func (s *strike) cutGossip(r *instance) {
	s.over(Trouble{Kind: "instance cut off the others", Instance: r.name}, func() {
		s.run.fleet.cloud(s, func(from, to *instance) link.Sky { return link.Sky{Cut: from == r || to == r} })
		r.peers.Set(link.Weather{Silent: true, SilentOut: true})
	}, s.last, func() {
		s.run.fleet.cloud(s, nil)
		r.peers.Set(r.peersWeather())
	})
}

func (s *strike) roughGossip() {
	sky := link.Sky{Lose: 0.2, Double: 0.2, Late: 80 * time.Millisecond}
	s.over(Trouble{Kind: "datagrams lost, doubled, late"}, func() {
		s.run.fleet.cloud(s, func(*instance, *instance) link.Sky { return sky })
	}, s.last, func() {
		s.run.fleet.cloud(s, nil)
	})
}

func (s *strike) storeTrouble(kind string, t standin.Trouble) {
	s.over(Trouble{Kind: kind}, func() { s.site.store.SetTrouble(t) }, s.last, func() { s.site.store.SetTrouble(standin.None) })
}

func (s *strike) storeSlow() {
	s.over(Trouble{Kind: "store slow"}, func() { s.site.store.SetSlow(300 * time.Millisecond) }, s.last, func() { s.site.store.SetSlow(0) })
}

func (s *strike) once(kind string, do func()) { s.over(Trouble{Kind: kind}, do, 0, func() {}) }

// planned is work that may cost no request.
func (s *strike) planned(kind string, do func()) {
	s.over(Trouble{Kind: kind, Planned: true, Spares: true}, do, 0, func() {})
}

// moveRoute has the route "moved" served by the other plain service.
func (s *strike) moveRoute() {
	s.site.publish(func() {
		if s.site.routes["moved"] == "app" {
			s.site.routes["moved"] = "other"
		} else {
			s.site.routes["moved"] = "app"
		}
	})
}

func (s *strike) storm() {
	for range stormVersions {
		s.planned("configurations in quick succession", s.moveRoute)
		s.run.wait(faultLeast)
	}
}

// revoke takes the second key of a team away, for good.
func (s *strike) revoke() {
	s.site.publish(func() {
		for _, team := range sortedKeys(s.site.keys) {
			if len(s.site.keys[team]) > 1 {
				s.site.keys[team] = s.site.keys[team][:1]
				return
			}
		}
	})
}

// successor starts an endpoint in place of a sound one that is to leave, and returns that one; nil
// if too few are left.
func (s *strike) successor() *endpoint {
	e := s.site.sound(s.rng, 2)
	if e == nil {
		return nil
	}
	if _, err := s.site.addEndpoint(e.server.Service, e.server.DataCentre); err != nil {
		s.run.note(err.Error())
		return nil
	}
	return e
}

// leave has an endpoint leave and starts another one in its place.
func (s *strike) leave(said bool) {
	e := s.successor()
	if e == nil {
		return
	}
	kind := "endpoint leaves without a word"
	if said {
		kind = "endpoint leaves"
	}
	s.run.began(Trouble{Kind: kind, Endpoint: e.server.ID})
	if said {
		s.site.leave(e)
		s.run.wait(drainFor)
	}
	s.site.withdraw(e)
	s.run.wait(drainFor)
}

// endpointLink gives an endpoint's link a weather.
func (s *strike) endpointLink(kind string, w link.Weather) {
	e := s.site.sound(s.rng, 1)
	if e == nil {
		return
	}
	s.over(Trouble{Kind: kind, Endpoint: e.server.ID}, func() { e.link.Set(w) }, s.last, func() {
		e.link.Set(link.Weather{})
		e.link.Reset()
	})
}

func (s *strike) resetEndpoint() {
	if e := s.site.sound(s.rng, 1); e != nil {
		s.over(Trouble{Kind: "endpoint's connections reset", Endpoint: e.server.ID}, e.link.Reset, 0, func() {})
	}
}

func (s *strike) hushEndpoint() {
	if e := s.site.sound(s.rng, 1); e != nil {
		s.over(Trouble{Kind: "endpoint's connections silent", Endpoint: e.server.ID}, e.link.Hush, 0, func() {})
	}
}

// behave changes how an endpoint answers.
func (s *strike) behave(kind string, change func(*standin.Behaviour)) {
	e := s.site.sound(s.rng, 1)
	if e == nil {
		return
	}
	b := behaviour[e.server.Service]
	change(&b)
	s.over(Trouble{Kind: kind, Endpoint: e.server.ID}, func() { e.server.Behave(b) }, s.last, func() { e.server.Behave(behaviour[e.server.Service]) })
}

func (s *strike) burst() {
	s.over(Trouble{Kind: "burst", Spares: true}, func() { s.run.callers.setRate(s.run.Rate * busyRate) }, s.last, func() { s.run.callers.setRate(s.run.Rate) })
}
