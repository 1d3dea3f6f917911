package gossip

// This file decides which messages are sent to which instances, and when.

import (
	"time"

	"ivyridge/balance"
)

// tickSlack keeps a tick that fires slightly early from postponing a send to the next tick.
const tickSlack = minTick / 2

// A receiverGroup is a group of members that are sent the same messages.
type receiverGroup struct {
	lastSent    time.Time
	lastFull    time.Time // last complete message
	sentUpTo    uint64    // change counter of the load reports sent so far
	sentSummary sentSummary
}

// receiverGroups are the groups that an instance sends to, depending on its role.
type receiverGroups struct {
	schedulers       receiverGroup
	ownScheduler     receiverGroup // the scheduler that this instance sends requests to
	remoteSchedulers receiverGroup // for an ordinary instance: schedulers of other data centres
	startup          receiverGroup // for a seed: all live members, shortly after start
	localPeers       receiverGroup // for a scheduler: the other instances of its data centre
	heartbeatOnly    receiverGroup // members that only get heartbeats
	aggregates       receiverGroup // for a first scheduler: the first schedulers of other data centres
	teams            receiverGroup // for a scheduler: the other schedulers, while capacity is scarce
}

// tick sends what is due to each receiver group.
func (g *Gossip) tick() {
	now := g.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.prune(now)
	r := g.members.currentRoles(now)
	n := g.fleetSize
	g.updateShares(now, r)
	g.announceFirstState(now, r)
	g.announceSchedulers(now, r)
	g.announceFreshState(now, r)
	switch {
	case r.isScheduler:
		g.sendUpdates(now, r.regionSchedulers, r, r.tickInterval())
		g.publishAggregates(now, r)
		g.sendTeams(now, r)
		g.sendToGateways(now, r)
		g.heartbeat(now, &g.crossRegion.schedulers, r.otherRegionSchedulers, remoteHeartbeatInterval, r.regionSchedulers)
		g.heartbeat(now, &g.groups.localPeers, r.localPeers, maxUpdateInterval, r.localContacts)
		g.heartbeat(now, &g.groups.heartbeatOnly, r.regionPeers, heartbeatInterval(n), r.regionSchedulers)
	default:
		g.reportToScheduler(now, r)
		g.sendUpdates(now, r.localSchedulers, r, balance.ReportInterval(r.dataCentreSize()))
		g.heartbeat(now, &g.groups.heartbeatOnly, r.localPeers, heartbeatInterval(n), r.localContacts)
		g.heartbeat(now, &g.groups.remoteSchedulers, r.regionRemoteSchedulers, heartbeatInterval(n), nil)
	}
	g.probe(now, r)
	g.logTeams(now)
}

// announceFirstState announces this instance's first state once, since instances that start at
// the same time wait for one to fetch it from. Seeds announce it to all members.
func (g *Gossip) announceFirstState(now time.Time, r *roles) {
	if g.firstStateAnnounced || g.State.View().Revision == 0 {
		return
	}
	g.firstStateAnnounced = true
	to := append(r.schedulers[:len(r.schedulers):len(r.schedulers)], r.localPeers...)
	if g.members.isSeed() {
		to = append(to, r.remotePeers...)
	}
	m := g.newMessage(now)
	m.NextWithin = heartbeatInterval(g.fleetSize)
	m.Peers = g.members.initialPeers()
	g.send(m, addresses(to))
}

// Ages at which state counts as stale, and as fresh again.
const (
	stateStaleAfter  = 2 * time.Second
	stateFreshWithin = time.Second
)

// announceFreshState announces at once that stale state was confirmed again. Others may refuse
// requests until they learn of it, and heartbeats take up to maxUpdateInterval per hop.
func (g *Gossip) announceFreshState(now time.Time, r *roles) {
	age, confirmed := g.State.Age()
	if !confirmed {
		return
	}
	if age > stateStaleAfter {
		g.wasStale = true
	}
	if !g.wasStale || age > stateFreshWithin {
		return
	}
	g.wasStale = false
	to := r.localSchedulers
	if r.isScheduler {
		to = r.localContacts
	}
	m := g.newMessage(now)
	m.NextWithin = maxUpdateInterval
	g.send(m, addresses(to))
}

// announceSchedulers sends the schedulers' addresses to all members of a seed shortly after its
// start: when a whole fleet starts, the first instances to contact a seed learn of only a few.
func (g *Gossip) announceSchedulers(now time.Time, r *roles) {
	if !g.members.isSeed() || now.Sub(g.startedAt) > startupPeriod {
		return
	}
	to := append(r.localPeers[:len(r.localPeers):len(r.localPeers)], r.remotePeers...)
	if len(to) == 0 || now.Sub(g.groups.startup.lastSent) < maxUpdateInterval {
		return
	}
	g.groups.startup.lastSent = now
	m := g.newMessage(now)
	m.NextWithin = heartbeatInterval(g.fleetSize)
	m.Peers = g.members.initialPeers()
	g.send(m, addresses(to))
}

// sendUpdates sends placement notices and load reports to schedulers, if the interval has passed.
func (g *Gossip) sendUpdates(now time.Time, to []*Member, r *roles, interval time.Duration) {
	group := &g.groups.schedulers
	if len(to) == 0 {
		g.queueForGateways(r, g.Balancer.TakeNotices()) // no receivers in this region
		return
	}
	if now.Sub(group.lastSent) < interval-tickSlack {
		return
	}
	full := now.Sub(group.lastFull) >= max(maxUpdateInterval, fullReportTicks*interval)
	notices := g.Balancer.TakeNotices()
	reports, upTo := g.Balancer.Reports(full, group.sentUpTo)
	group.sentUpTo = upTo
	starting := now.Sub(g.startedAt) < startupPeriod
	if len(notices) == 0 && len(reports) == 0 && !full && !starting && now.Sub(group.lastSent) < maxUpdateInterval {
		return
	}
	group.lastSent = now
	m := g.newMessage(now)
	m.NextWithin = max(maxUpdateInterval, interval)
	m.Reports, m.Complete = reports, full
	if full {
		group.lastFull = now
		m.Summary = group.sentSummary.next(g.ownSummary(), now)
		m.Peers = samplePeers(r.localContacts)
	}
	g.queueForGateways(r, notices)
	g.sendNotices(m, notices, to)
}

// sendNotices sends m with notices, without the prompt parts that a receiver's region may not get.
func (g *Gossip) sendNotices(m *Message, notices []balance.Notice, to []*Member) {
	if !balance.AnyRestricted(notices) {
		g.sendNoticeDatagrams(m, notices, to)
		return
	}
	regions := make(map[string][]*Member)
	for _, member := range to {
		region := g.Regions[member.DataCentre]
		regions[region] = append(regions[region], member)
	}
	for region, members := range regions {
		part := *m
		allowed := balance.RedactParts(notices, region)
		if region == g.Regions[g.DataCentre] {
			allowed = g.sendRestrictedNotices(&part, allowed, members)
		}
		g.sendNoticeDatagrams(&part, allowed, members)
	}
}

// sendNoticeDatagrams sends m with notices in as many datagrams as needed.
func (g *Gossip) sendNoticeDatagrams(m *Message, notices []balance.Notice, to []*Member) {
	for {
		room := max(1, (maxDatagram-headerBytes-reportBytes*len(m.Reports))/noticeBytes)
		n := min(room, len(notices))
		m.Notices, notices = notices[:n], notices[n:]
		g.send(m, addresses(to))
		if len(notices) == 0 {
			return
		}
		m.Reports, m.Complete, m.Peers = nil, false, nil
	}
}

// reportToScheduler reports load changes, such as ended requests, at once to the scheduler in use.
func (g *Gossip) reportToScheduler(now time.Time, r *roles) {
	address := g.nextScheduler(now)
	group := &g.groups.ownScheduler
	if address == "" || g.Balancer.Changes() == group.sentUpTo {
		return
	}
	m := g.newMessage(now)
	m.NextWithin = max(maxUpdateInterval, balance.ReportInterval(r.dataCentreSize()))
	m.Reports, group.sentUpTo = g.Balancer.Reports(false, group.sentUpTo)
	g.send(m, []string{address})
}

// heartbeat sends liveness, state age and some addresses of peers, if the interval has passed for
// group or a changed summary is urgent.
func (g *Gossip) heartbeat(now time.Time, group *receiverGroup, to []*Member, interval time.Duration, peers []*Member) {
	summary := g.ownSummary()
	if len(to) == 0 || now.Sub(group.lastSent) < interval && !group.sentSummary.urgent(summary) {
		return
	}
	group.lastSent = now
	m := g.newMessage(now)
	m.NextWithin = interval
	m.Summary = group.sentSummary.next(summary, now)
	m.Peers = samplePeers(peers)
	g.send(m, addresses(to))
}

// probe contacts candidates, and also seeds during startup, on a scheduler, or if not connected.
func (g *Gossip) probe(now time.Time, r *roles) {
	interval := probeInterval
	starting := now.Sub(g.startedAt) < startupPeriod
	if starting {
		interval = startupProbeInterval
	}
	if now.Sub(g.lastProbe) < interval {
		return
	}
	g.lastProbe = now
	to := g.members.candidates(starting || r.isScheduler || !g.members.connected())
	if len(to) == 0 {
		return
	}
	m := g.newMessage(now)
	m.NextWithin = heartbeatInterval(g.fleetSize)
	m.Peers = samplePeers(r.regionSchedulers)
	g.send(m, to)
}

// sendInitialPeers sends schedulers' addresses to the new member at address. The caller holds g.mu.
func (g *Gossip) sendInitialPeers(now time.Time, address string) {
	m := g.newMessage(now)
	m.NextWithin = heartbeatInterval(g.fleetSize)
	m.Summary = g.ownSummary()
	m.Peers = g.members.initialPeers()
	g.send(m, []string{address})
}

func addresses(members []*Member) []string {
	out := make([]string, 0, len(members))
	for _, m := range members {
		out = append(out, m.Address)
	}
	return out
}
