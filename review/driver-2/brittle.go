package main

import (
	"fmt"
	"net"
	"sync"
	"time"
)

// Case 4: the servers of a service are brittle while more comes than they can run.

// Figures of case 4. The service is like portal-api: three servers with six slots each.
const (
	portalServers = 3
	portalSlots   = 6
	portalQueue   = 24                     // requests that wait at a server that is not brittle
	portalWork    = 100 * time.Millisecond // of each request
	portalPerS    = 150.0                  // requests a second of all clients: five sixths of what the servers run
	brittleN      = 4                      // Server-Brittle
	contact       = 3 * time.Second        // contact-ms
	backAfter     = 3 * time.Second        // from a fall to the next process
	calmFor       = 4 * time.Second        // traffic before the servers are brittle
	brittleFor    = 25 * time.Second
)

// A portal is one server of the service.
type portal struct {
	*server
	fleet *fleet

	mu       sync.Mutex
	born     time.Time
	running  map[string]bool // IDs of the requests that run
	waiting  []waiter
	turned   []turnedAway
	falls    []portalFall
	brittle  time.Time // since when it says that it is brittle; zero: it does not
	life     int       // number of its process
	ran      int
	rejected int
}

// A waiter is a request in the queue; a value of false on turn says that the process has ended.
type waiter struct {
	id   string
	turn chan bool
}

// turnedAway is a request that was turned away for want of room.
type turnedAway struct {
	at time.Time
	id string
}

type portalFall struct {
	turned []turnedAway // within a second
	cut    int          // requests that ran
}

func newPortal(f *fleet, id, zone string) (*portal, error) {
	p := &portal{fleet: f, born: time.Now(), running: make(map[string]bool)}
	s, err := newServer(f.record, id, "portal", zone, p.handle)
	if err != nil {
		return nil, err
	}
	p.server = s
	p.list()
	return p, nil
}

func (p *portal) list() {
	p.fleet.store.Put("servers/"+p.id, map[string]any{
		"service": p.service, "address": p.address, "zone": p.zone, "version": "v1", "slots": portalSlots,
		"state": "ready", "cold-left-ms": 0, "seq": 1, "born": p.born.UnixMilli(),
	})
}

// setBrittle makes the server say that it is brittle, or no longer.
func (p *portal) setBrittle(on bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.brittle = time.Time{}
	if on {
		p.brittle = time.Now()
	}
}

// head returns the headers of all answers. The caller holds p.mu.
func (p *portal) head(a *arrival) string {
	h := fmt.Sprintf("Ivyridge-Request-Id: %s\r\nIvyridge-Server-Load: %d,%d,%d\r\n", a.id(), len(p.running), len(p.waiting), portalSlots)
	if !p.brittle.IsZero() {
		h += fmt.Sprintf("Server-Brittle: %d\r\n", brittleN)
	}
	return h
}

// fragile reports whether the server lets none wait and may fall over: from contact-ms after it first
// said that it is brittle. The caller holds p.mu.
func (p *portal) fragile(now time.Time) bool {
	return !p.brittle.IsZero() && now.Sub(p.brittle) > contact
}

func (p *portal) handle(_ *server, c net.Conn, a *arrival) {
	p.mu.Lock()
	life := p.life
	if len(p.running) >= portalSlots {
		queue := portalQueue
		if p.fragile(time.Now()) {
			queue = 0
		}
		if len(p.waiting) >= queue {
			p.turnAway(c, a)
			return
		}
		w := waiter{a.id(), make(chan bool, 1)}
		p.waiting = append(p.waiting, w)
		p.mu.Unlock()
		if !<-w.turn {
			return
		}
		p.mu.Lock()
	} else {
		p.running[a.id()] = true
	}
	p.ran++
	p.mu.Unlock()
	time.Sleep(portalWork)
	p.mu.Lock()
	if p.life != life {
		p.mu.Unlock()
		return // the process has ended
	}
	delete(p.running, a.id())
	if len(p.waiting) > 0 {
		p.running[p.waiting[0].id] = true
		p.waiting[0].turn <- true
		p.waiting = p.waiting[1:]
	}
	h := p.head(a)
	p.mu.Unlock()
	body := "answer of " + p.id + " to " + a.id()
	_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%sIvyridge-Response-Seal: seal.%s.%s\r\nContent-Length: %d\r\n\r\n%s", h, p.id, a.id(), len(body), body)
}

// turnAway answers a request for which there is no room, and falls over if these are too many. The
// caller holds p.mu, which turnAway releases.
func (p *portal) turnAway(c net.Conn, a *arrival) {
	now := time.Now()
	p.rejected++
	h := p.head(a)
	var recent []turnedAway
	for _, t := range p.turned {
		if now.Sub(t.at) < time.Second {
			recent = append(recent, t)
		}
	}
	p.turned = nil
	if p.fragile(now) {
		p.turned = append(recent, turnedAway{now, a.id()})
	}
	fell := len(p.turned) > brittleN
	if fell {
		p.fall()
	}
	p.mu.Unlock()
	if fell {
		p.close()
		time.AfterFunc(backAfter, p.comeBack)
		return
	}
	_, _ = fmt.Fprintf(c, "HTTP/1.1 503 Service Unavailable\r\n%sIvyridge-Not-Run: 1\r\nContent-Length: 0\r\n\r\n", h)
}

// fall ends the process. The caller holds p.mu.
func (p *portal) fall() {
	p.falls = append(p.falls, portalFall{p.turned, len(p.running)})
	turned, cut := "", ""
	for _, t := range p.turned {
		turned += " " + t.id
	}
	for id := range p.running {
		cut += " " + id
	}
	p.record.event("%s falls over: within a second it turned away%s; it was running%s", p.id, turned, cut)
	for _, w := range p.waiting {
		w.turn <- false
	}
	p.waiting, p.turned, p.running = nil, nil, make(map[string]bool)
	p.life++
}

// comeBack starts the next process at the same address and with the same ID.
func (p *portal) comeBack() {
	l, err := net.Listen("tcp", p.address)
	if err != nil {
		time.AfterFunc(20*time.Millisecond, p.comeBack)
		return
	}
	p.mu.Lock()
	p.born = time.Now()
	p.mu.Unlock()
	p.record.event("%s is back", p.id)
	p.reopen(l)
	p.list()
}

func playBrittle(r *record, trouble bool) (broken bool, err error) {
	f, err := newFleet(r, 6)
	if err != nil {
		return false, err
	}
	defer f.close()
	var portals []*portal
	for i := range portalServers {
		p, err := newPortal(f, fmt.Sprintf("i-portal-%d", i+1), fmt.Sprintf("z%d", i+1))
		if err != nil {
			return false, err
		}
		defer p.close()
		portals = append(portals, p)
	}
	f.publish(3, []any{f.route("ping", "/ping/", "unsafe", "portal", 1)}, "portal")
	if err := f.startAll(); err != nil {
		return false, err
	}
	time.Sleep(contact)
	t := f.startTraffic(portalPerS, "/ping/x")
	time.Sleep(calmFor)
	before := t.count()
	r.event("before: %s", before)
	if trouble {
		r.event("the servers begin to say Server-Brittle: %d", brittleN)
		for _, p := range portals {
			p.setBrittle(true)
		}
	}
	last := before
	for range int(brittleFor.Seconds()) {
		time.Sleep(time.Second)
		now := t.count()
		text := ""
		for _, p := range portals {
			p.mu.Lock()
			text += fmt.Sprintf(", %s has run %d and turned away %d", p.id, p.ran, p.rejected)
			p.mu.Unlock()
		}
		r.event("last second: %s%s", now.minus(last), text)
		last = now
	}
	t.stop()
	r.event("in the %s after that: %s", brittleFor, t.count().minus(before))
	falls, cut := 0, 0
	for _, p := range portals {
		p.setBrittle(false)
		p.mu.Lock()
		r.event("%s ran %d requests, turned away %d, fell over %d times", p.id, p.ran, p.rejected, len(p.falls))
		for _, x := range p.falls {
			falls++
			cut += x.cut
		}
		p.mu.Unlock()
	}
	allowed := 2 + 0.1*portalServers
	r.event("%d falls, all by requests of machines in touch; %.1f are allowed; %d running requests were cut off", falls, allowed, cut)
	return float64(falls) > allowed, nil
}
