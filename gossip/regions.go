package gossip

// This file exchanges load reports and placement notices with other regions.
//
// One instance of each region, its gateway, sends the notices and aggregates of its region to the
// gateway of each other region. That one forwards them to the first schedulers of its data
// centres, and these to the other schedulers, so that each crosses the narrow link between two
// regions once. The gateway is the highest-ranked of the region's first schedulers; each instance
// computes it from the members it sees. A receiver forwards even if it doesn't see itself as the
// gateway. If a gateway is lost the next first scheduler replaces it, with complete reports.
//
// Ordinary instances of different regions don't exchange messages; their number is taken from
// schedulers' reports. If a scheduler runs a version that doesn't forward, or only one region is
// configured, all schedulers exchange messages directly.

import (
	"time"

	"go.uber.org/zap"

	"ivyridge/balance"
	"ivyridge/catalog"
)

const (
	// minRegionInterval is the minimum pause between messages to another region.
	minRegionInterval = 200 * time.Millisecond
	// remoteHeartbeatInterval is the pause between heartbeats to schedulers of other regions,
	// which keep them known for a gateway failover and for rejoining after a partition.
	remoteHeartbeatInterval = time.Second
	// maxQueuedNotices bounds the notices that wait to be sent to other regions. At 1,800
	// placements a second they suffice for about a second.
	maxQueuedNotices = 2048
)

// regionRoles are the roles of instances in cross-region exchange.
type regionRoles struct {
	useGateways            bool      // regions exchange messages through gateways
	isGateway              bool      // this instance is the gateway of its region
	regionGateway          *Member   // gateway of this region; nil: none is live
	otherGateways          []*Member // gateways of the other regions
	regionSchedulers       []*Member // schedulers of this region, without this instance
	otherRegionSchedulers  []*Member
	regionFirstSchedulers  []*Member // first schedulers of the region's other data centres
	regionPeers            []*Member // ordinary instances of the region's other data centres
	regionRemoteSchedulers []*Member // schedulers of the region's other data centres
	regionDataCentres      map[string]bool
}

// assignRegionRoles computes the cross-region roles if there are several regions.
func (s *members) assignRegionRoles(r *roles) {
	self, regions := &s.self, s.regions
	r.regionSchedulers, r.regionFirstSchedulers, r.regionPeers, r.regionRemoteSchedulers = r.schedulers, r.remoteFirstSchedulers, r.remotePeers, r.remoteSchedulers
	own := regions[self.DataCentre]
	isRemote := func(m *Member) bool { return regions[m.DataCentre] != own }
	r.useGateways = s.multiRegion
	for _, m := range r.schedulers {
		r.useGateways = r.useGateways && m.protocol >= protocolRegions
	}
	if !r.useGateways {
		return
	}
	r.regionSchedulers, r.otherRegionSchedulers = partition(r.schedulers, isRemote)
	r.regionFirstSchedulers, _ = partition(r.remoteFirstSchedulers, isRemote)
	r.regionPeers, _ = partition(r.remotePeers, isRemote)
	r.regionRemoteSchedulers, _ = partition(r.remoteSchedulers, isRemote)
	r.localContacts = append(r.regionSchedulers[:len(r.regionSchedulers):len(r.regionSchedulers)], r.localPeers...)
	r.regionDataCentres = map[string]bool{self.DataCentre: true}
	for _, m := range r.regionFirstSchedulers {
		r.regionDataCentres[m.DataCentre] = true
	}
	gateways := r.gatewaysByRegion(self, regions)
	r.regionGateway = gateways[own]
	r.isGateway = gateways[own] == self
	for region, m := range gateways {
		if region != own {
			r.otherGateways = append(r.otherGateways, m)
		}
	}
}

// gatewaysByRegion returns the highest-ranked first scheduler of each region.
func (r *roles) gatewaysByRegion(self *Member, regions balance.Regions) map[string]*Member {
	out := make(map[string]*Member)
	consider := func(m *Member) {
		region := regions[m.DataCentre]
		if out[region] == nil || precedes(m, out[region]) {
			out[region] = m
		}
	}
	switch {
	case r.isFirstScheduler:
		consider(self)
	case len(r.predecessors) > 0:
		consider(r.predecessors[0])
	}
	for _, m := range r.remoteFirstSchedulers {
		consider(m)
	}
	return out
}

func (s *members) setRegions(regions balance.Regions) {
	s.regions = regions
	for a := range regions {
		s.multiRegion = s.multiRegion || regions.Between(a, s.self.DataCentre) == balance.OtherRegion
	}
}

// knownRegion reports whether region is configured. State of unknown regions is not kept.
func (g *Gossip) knownRegion(region string) bool {
	for _, r := range g.Regions {
		if r == region {
			return true
		}
	}
	return false
}

func partition(all []*Member, isRemote func(*Member) bool) (local, remote []*Member) {
	for _, m := range all {
		if isRemote(m) {
			remote = append(remote, m)
		} else {
			local = append(local, m)
		}
	}
	return local, remote
}

// crossRegion is the state of the exchange with other regions.
type crossRegion struct {
	notices     []balance.Notice
	gateways    receiverGroup
	ownSentUpTo uint64 // change counter of this instance's own load reports sent so far
	schedulers  receiverGroup

	loggedGateway      string // address of this region's gateway, as last logged
	loggedGatewayCount int    // number of other regions' gateways, as last logged
}

// queueForGateways queues notices for other regions if this instance is the gateway, and empties
// the queue otherwise. The caller holds g.mu.
func (g *Gossip) queueForGateways(r *roles, notices []balance.Notice) {
	if !r.isGateway || len(r.otherGateways) == 0 {
		g.crossRegion.notices = nil
		return
	}
	room := maxQueuedNotices - len(g.crossRegion.notices)
	if room < len(notices) {
		g.Count("notices-beyond-dropped")
		notices = notices[:max(0, room)]
	}
	g.crossRegion.notices = append(g.crossRegion.notices, notices...)
}

// collectNotices queues the notices of another instance of this region, unless its version can't
// mark the prompt parts that must not leave the region. The caller holds g.mu.
func (g *Gossip) collectNotices(now time.Time, m *Message) {
	r := g.members.currentRoles(now)
	if !r.isGateway || m.Protocol < protocolRegions || m.Region != "" || len(m.Notices) == 0 || g.Regions[m.DataCentre] != g.Regions[g.DataCentre] {
		return
	}
	notices := m.Notices
	if m.Restricted {
		notices = restrictToRegion(notices, g.Regions[g.DataCentre])
	}
	g.queueForGateways(r, notices)
}

// restrictToRegion returns a copy of notices whose prompt parts may only be sent within region.
func restrictToRegion(notices []balance.Notice, region string) []balance.Notice {
	out := append([]balance.Notice(nil), notices...)
	for i := range out {
		out[i].Residency = catalog.NewResidency([]string{region})
	}
	return out
}

// sendToGateways sends the load and the notices of this region to the other gateways, if this
// instance is the gateway and the interval has passed. The caller holds g.mu.
func (g *Gossip) sendToGateways(now time.Time, r *roles) {
	g.logGateways(r)
	group := &g.crossRegion.gateways
	if !r.isGateway || len(r.otherGateways) == 0 {
		*group, g.crossRegion.notices = receiverGroup{}, nil
		return
	}
	if now.Sub(group.lastSent) < regionInterval(g.fleetSize)-tickSlack {
		return
	}
	full := now.Sub(group.lastFull) >= fullAggregateInterval
	aggregates, upTo, ownUpTo := g.Balancer.AggregateReportsWithOwn(g.inRegion(r), full, group.sentUpTo, g.crossRegion.ownSentUpTo)
	group.sentUpTo, g.crossRegion.ownSentUpTo = upTo, ownUpTo
	notices := g.crossRegion.notices
	g.crossRegion.notices = nil
	if len(aggregates) == 0 && len(notices) == 0 && !full && now.Sub(group.lastSent) < maxUpdateInterval {
		return
	}
	group.lastSent = now
	if full {
		group.lastFull = now
	}
	for _, other := range r.otherGateways {
		allowed := balance.RedactParts(notices, g.Regions[other.DataCentre])
		g.sendRegionState(now, g.Regions[g.DataCentre], aggregates, full, allowed, []*Member{other})
	}
}

// logGateways logs changes of the regions' gateways. The caller holds g.mu.
func (g *Gossip) logGateways(r *roles) {
	if !r.isScheduler || r.regionGateway == nil {
		return
	}
	if r.regionGateway.Address == g.crossRegion.loggedGateway && len(r.otherGateways) == g.crossRegion.loggedGatewayCount {
		return
	}
	g.crossRegion.loggedGateway, g.crossRegion.loggedGatewayCount = r.regionGateway.Address, len(r.otherGateways)
	var others []string
	for _, m := range r.otherGateways {
		others = append(others, g.Regions[m.DataCentre]+"="+m.Address)
	}
	g.Log.Info("region gateways changed", zap.String("own", r.regionGateway.Address), zap.Bool("here", r.isGateway), zap.Strings("others", others))
}

// regionInterval returns the pause between messages to another region in a fleet of n instances.
func regionInterval(n int) time.Duration { return max(minRegionInterval, balance.ReportInterval(n)) }

// inRegion returns a predicate for the IDs of this region's instances and aggregates.
func (g *Gossip) inRegion(r *roles) func(uint64) bool {
	ids := make(map[uint64]bool)
	for _, m := range r.regionSchedulers {
		ids[m.ID] = true
	}
	for _, m := range r.localPeers {
		ids[m.ID] = true
	}
	for dataCentre := range r.regionDataCentres {
		if dataCentre != g.DataCentre {
			ids[aggregateKey(dataCentre)] = true
		}
	}
	return func(id uint64) bool { return ids[id] }
}

// sendRegionState sends the load and the notices of region in as many datagrams as needed.
func (g *Gossip) sendRegionState(now time.Time, region string, aggregates []balance.Report, full bool, notices []balance.Notice, to []*Member) {
	for first := true; first || len(aggregates) > 0 || len(notices) > 0; first = false {
		m := g.newMessage(now)
		m.NextWithin = maxUpdateInterval
		m.Region, m.AggregatesComplete = region, full
		n := min((maxDatagram-headerBytes)/aggregateBytes, len(aggregates))
		m.Aggregates, aggregates = aggregates[:n], aggregates[n:]
		n = min((maxDatagram-headerBytes-n*aggregateBytes)/noticeBytes, len(notices))
		m.Notices, notices = notices[:n], notices[n:]
		g.send(m, addresses(to))
		full = false
	}
}

// handleRegionState processes the load of another region. It forwards it to the other schedulers
// of this data centre and, if the sender is in another region, to the first schedulers of this
// region's other data centres. The caller holds g.mu.
func (g *Gossip) handleRegionState(now time.Time, m *Message) {
	own := g.Regions[g.DataCentre]
	if m.Region == "" || m.Region == own || !g.knownRegion(m.Region) {
		return
	}
	g.Balancer.Merge(regionKey(m.Region), nil, m.Aggregates, m.AggregatesComplete)
	r := g.members.currentRoles(now)
	if m.DataCentre == g.DataCentre || !r.isScheduler {
		return
	}
	to := r.localSchedulers[:len(r.localSchedulers):len(r.localSchedulers)]
	if g.Regions[m.DataCentre] != own {
		to = append(to, r.regionFirstSchedulers...)
	}
	if len(to) > 0 {
		g.sendRegionState(now, m.Region, m.Aggregates, m.AggregatesComplete, m.Notices, to)
	}
}

// regionKey returns the key that identifies a region in the Balancer, in place of an instance ID.
func regionKey(region string) uint64 { return aggregateKey("region " + region) }

// countByRegion counts the live instances of this region, and those that other regions report.
func (s *members) countByRegion(now time.Time) (local, remote int) {
	local = 1
	own := s.regions[s.self.DataCentre]
	reported := make(map[string]int)
	s.eachLive(now, func(m *Member) {
		region := s.regions[m.DataCentre]
		if region == own {
			local++
			return
		}
		reported[region] = max(reported[region], m.regionSize)
	})
	for _, n := range reported {
		remote += n
	}
	return local, remote
}

// sendRestrictedNotices sends the notices whose prompt parts must not leave the region, marked as
// such, and returns the others. All receivers must be in this region.
func (g *Gossip) sendRestrictedNotices(m *Message, notices []balance.Notice, to []*Member) (others []balance.Notice) {
	var restricted []balance.Notice
	for _, n := range notices {
		if len(n.Parts) > 0 && n.Residency.Restricted() {
			restricted = append(restricted, n)
		} else {
			others = append(others, n)
		}
	}
	if len(restricted) > 0 {
		restrictedMessage := *m
		restrictedMessage.Reports, restrictedMessage.Complete, restrictedMessage.Peers, restrictedMessage.Restricted = nil, false, nil, true
		g.sendNoticeDatagrams(&restrictedMessage, restricted, to)
	}
	return others
}

// Kinds of messages, for byte counts.
const (
	kindHeartbeat  = "heartbeat"
	kindLoad       = "load"   // load reports and notices of an instance
	kindAggregates = "sums"   // aggregate of a data centre
	kindRegion     = "region" // aggregate and notices of a region
)

func (m *Message) kind() string {
	switch {
	case m.Region != "":
		return kindRegion
	case m.AggregatesOf != "":
		return kindAggregates
	case m.Complete || len(m.Reports) > 0 || len(m.Notices) > 0:
		return kindLoad
	}
	return kindHeartbeat
}

// countCrossRegion counts bytes sent to a live member of another region.
func (g *Gossip) countCrossRegion(m *Message, receiver string, bytes int) {
	member := g.members.byAddress[receiver]
	if g.CountCrossRegion == nil || member == nil || member.lastHeard.IsZero() || g.Regions[member.DataCentre] == g.Regions[g.DataCentre] {
		return
	}
	g.CountCrossRegion(m.kind(), bytes)
}
