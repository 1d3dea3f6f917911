package gossip

// This file decides what is said to whom, and when.

import (
	"time"

	"ivyridge/balance"
)

// beatSlack is how much before its time a beat is due: a tick that comes a
// little early must not make it wait for the next.
const beatSlack = beatLeast / 2

// An audience is a group of receivers that are told the same.
type audience struct {
	last      time.Time // something was said
	lastWhole time.Time // everything was said
	since     uint64    // the last change of what this instance runs that was told
	told      told      // of what it is: its mark
}

// audiences are those of one instance, by the roles of the receivers.
type audiences struct {
	schedulers audience
	asked      audience // the one scheduler that this instance asks
	beyond     audience // of an ordinary instance: the schedulers of other data centres
	early      audience // of a seed: all who are heard, soon after its start
	near       audience // of a scheduler: the others of its data centre
	others     audience // those who need heartbeats only
	sums       audience // of a first scheduler: one scheduler of each other data centre
	teams      audience // of a scheduler: the others, while something is scarce
}

// beat says what there is to say to each audience.
func (g *Gossip) beat() {
	now := g.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.forget(now)
	r := g.members.current(now)
	n := g.count
	g.setParts(now, r)
	g.announceFirst(now, r)
	g.introduce(now, r)
	g.announceProof(now, r)
	switch {
	case r.schedules:
		g.tell(now, r.home, r, r.interval())
		g.tellSums(now, r)
		g.tellTeams(now, r)
		g.tellBeyond(now, r)
		g.heartbeat(now, &g.beyond.abroad, r.abroad, abroadEvery, r.home)
		g.heartbeat(now, &g.told.near, r.near, quietFor, r.known)
		g.heartbeat(now, &g.told.others, r.homeFar, heartbeatEvery(n), r.home)
	default:
		g.tellAsked(now, r)
		g.tell(now, r.nearby, r, balance.ReportEvery(r.dataCentreSize()))
		g.heartbeat(now, &g.told.others, r.near, heartbeatEvery(n), r.known)
		g.heartbeat(now, &g.told.beyond, r.homeBeyond, heartbeatEvery(n), nil)
	}
	g.greet(now, r)
	g.logTeams(now)
}

// announceFirst says once that this instance has its first beliefs: those that
// start at the same time wait for somebody who can tell them. Seeds, which all
// greet first, say it to all.
func (g *Gossip) announceFirst(now time.Time, r *roles) {
	if g.announced || g.Beliefs.View().Revision == 0 {
		return
	}
	g.announced = true
	to := append(r.schedulers[:len(r.schedulers):len(r.schedulers)], r.near...)
	if g.members.isSeed() {
		to = append(to, r.far...)
	}
	m := g.message(now)
	m.Next = heartbeatEvery(g.count)
	m.Peers = g.members.welcome()
	g.send(m, addresses(to))
}

// Ages of a proof: it has grown old, and is young again.
const (
	proofOld   = 2 * time.Second
	proofYoung = time.Second
)

// announceProof says at once that this instance's beliefs are proved again after they had
// grown old: others may be refusing callers meanwhile. Heartbeats alone would take 0.4 s
// from a scheduler to its data centre.
func (g *Gossip) announceProof(now time.Time, r *roles) {
	age, proved := g.Beliefs.Age()
	if !proved {
		return
	}
	if age > proofOld {
		g.proofOld = true
	}
	if !g.proofOld || age > proofYoung {
		return
	}
	g.proofOld = false
	to := r.nearby
	if r.schedules {
		to = r.known
	}
	m := g.message(now)
	m.Next = quietFor
	g.send(m, addresses(to))
}

// introduce tells all whom a seed hears soon after its start who the schedulers
// are: where a whole fleet starts, those that greeted it first were told of few.
func (g *Gossip) introduce(now time.Time, r *roles) {
	if !g.members.isSeed() || now.Sub(g.began) > earlyFor {
		return
	}
	to := append(r.near[:len(r.near):len(r.near)], r.far...)
	if len(to) == 0 || now.Sub(g.told.early.last) < quietFor {
		return
	}
	g.told.early.last = now
	m := g.message(now)
	m.Next = heartbeatEvery(g.count)
	m.Peers = g.members.welcome()
	g.send(m, addresses(to))
}

// tell tells schedulers what this instance placed and runs, if a pause has
// passed since it last did.
func (g *Gossip) tell(now time.Time, to []*Member, r *roles, every time.Duration) {
	a := &g.told.schedulers
	if len(to) == 0 {
		g.holdBeyond(r, g.Balancer.Placed()) // nobody else wants to know
		return
	}
	if now.Sub(a.last) < every-beatSlack {
		return
	}
	whole := now.Sub(a.lastWhole) >= max(quietFor, wholeBeats*every)
	notices := g.Balancer.Placed()
	reports, upTo := g.Balancer.Reports(whole, a.since)
	a.since = upTo
	early := now.Sub(g.began) < earlyFor
	if len(notices) == 0 && len(reports) == 0 && !whole && !early && now.Sub(a.last) < quietFor {
		return
	}
	a.last = now
	m := g.message(now)
	m.Next = max(quietFor, every)
	m.Reports, m.Whole = reports, whole
	if whole {
		a.lastWhole = now
		m.Mark = a.told.next(g.mark(), now)
		m.Peers = sample(r.known)
	}
	g.holdBeyond(r, notices)
	g.sendNotices(m, notices, to)
}

// sendNotices sends m and notices to members, each region as much as it may be told.
func (g *Gossip) sendNotices(m *Message, notices []balance.Notice, to []*Member) {
	if !balance.AnyBound(notices) {
		g.sendParts(m, notices, to)
		return
	}
	regions := make(map[string][]*Member)
	for _, member := range to {
		region := g.Regions[member.DataCentre]
		regions[region] = append(regions[region], member)
	}
	for region, members := range regions {
		part := *m
		told := balance.Withhold(notices, region)
		if region == g.Regions[g.DataCentre] {
			told = g.sendStaying(&part, told, members)
		}
		g.sendParts(&part, told, members)
	}
}

// sendParts sends m and notices in as many datagrams as they need.
func (g *Gossip) sendParts(m *Message, notices []balance.Notice, to []*Member) {
	for {
		room := max(1, (maxDatagram-headBytes-reportBytes*len(m.Reports))/noticeBytes)
		n := min(room, len(notices))
		m.Notices, notices = notices[:n], notices[n:]
		g.send(m, addresses(to))
		if len(notices) == 0 {
			return
		}
		m.Reports, m.Whole, m.Peers = nil, false, nil
	}
}

// tellAsked tells the scheduler that this instance asks what it runs as soon as
// that changes: what the scheduler granted has ended.
func (g *Gossip) tellAsked(now time.Time, r *roles) {
	address := g.scheduler(now)
	a := &g.told.asked
	if address == "" || g.Balancer.Changes() == a.since {
		return
	}
	m := g.message(now)
	m.Next = max(quietFor, balance.ReportEvery(r.dataCentreSize()))
	m.Reports, a.since = g.Balancer.Reports(false, a.since)
	g.send(m, []string{address})
}

// heartbeat tells members that this instance lives and how fresh its beliefs
// are, and names some others, if a pause has passed since it last did.
func (g *Gossip) heartbeat(now time.Time, a *audience, to []*Member, every time.Duration, names []*Member) {
	mark := g.mark()
	if len(to) == 0 || now.Sub(a.last) < every && !a.told.urgent(mark) {
		return
	}
	a.last = now
	m := g.message(now)
	m.Next = every
	m.Mark = a.told.next(mark, now)
	m.Peers = sample(names)
	g.send(m, addresses(to))
}

// greet speaks to addresses that are named and not heard. Seeds in other data
// centres need not be heard once schedulers there are.
func (g *Gossip) greet(now time.Time, r *roles) {
	every := helloEvery
	early := now.Sub(g.began) < earlyFor
	if early {
		every = helloEarly
	}
	if now.Sub(g.hello) < every {
		return
	}
	g.hello = now
	to := g.members.unheard(early || r.schedules || !g.members.connected())
	if len(to) == 0 {
		return
	}
	m := g.message(now)
	m.Next = heartbeatEvery(g.count)
	m.Peers = sample(r.home)
	g.send(m, to)
}

// welcome answers a member that is new, so that it soon knows the schedulers.
// The caller holds g.mu.
func (g *Gossip) welcome(now time.Time, address string) {
	m := g.message(now)
	m.Next = heartbeatEvery(g.count)
	m.Mark = g.mark()
	m.Peers = g.members.welcome()
	g.send(m, []string{address})
}

func addresses(members []*Member) []string {
	out := make([]string, 0, len(members))
	for _, m := range members {
		out = append(out, m.Address)
	}
	return out
}
