package gossip

// This file tells other regions what the instances of this one run and place.
//
// The link between two regions is narrow, and requests pass there too. Were all to tell all, as
// within a region, a placement would cross nine times and a data centre's sum three times, of 70
// instances in six data centres: 719 KB/s at 600 requests a second, against 59. So one
// instance of each region, its gateway, collects both, adds up the sums of all data
// centres, and tells one instance of each other region, which passes them on to the first
// schedulers of its data centres, and these to the others: everything crosses once. The
// gateway is the first of its region's first schedulers, worked out by each instance from whom
// it hears, as all roles are; whoever is told passes on, also one that does not take itself for
// the gateway. When the gateway is lost the next first scheduler takes its place as soon as its
// region has noticed, and begins with everything.
//
// Ordinary instances of two regions don't speak to each other. They are counted by what
// schedulers say of their own region.
//
// Where a scheduler is of a version that does not pass on, or settings name no second region,
// all tell all as within a region.

import (
	"time"

	"go.uber.org/zap"

	"ivyridge/balance"
	"ivyridge/catalog"
)

const (
	// beyondLeast is the least pause between what one region tells another: twice that between
	// schedulers at home, since a region seldom places by the load of another. Not tuned.
	beyondLeast = 200 * time.Millisecond
	// abroadEvery is the pause between heartbeats of schedulers to those of other regions:
	// they are there to take over, and to be found again after a cut.
	abroadEvery = time.Second
	// heldBeyond bounds the placements that wait to be told to other regions: 0.2 s of 1,800 a
	// second, several times over.
	heldBeyond = 2048
)

// regional are the roles of instances towards other regions.
type regional struct {
	divided     bool      // regions are told through their gateways
	gateway     bool      // this instance is the gateway of its region
	homeGateway *Member   // that of its region; nil: none is heard
	others      []*Member // the gateways of other regions
	home        []*Member // the schedulers of the own region, without this instance
	abroad      []*Member // the others
	homeFirsts  []*Member // the first schedulers of the region's other data centres
	homeFar     []*Member // the ordinary instances of the region's other data centres
	homeBeyond  []*Member // the schedulers of the region's other data centres
	dataCentres map[string]bool
}

// divide works out the roles towards other regions, where there are several.
func (s *members) divide(r *roles) {
	self, regions := &s.self, s.regions
	r.home, r.homeFirsts, r.homeFar, r.homeBeyond = r.schedulers, r.gateways, r.far, r.beyond
	own := regions[self.DataCentre]
	away := func(m *Member) bool { return regions[m.DataCentre] != own }
	r.divided = s.several
	for _, m := range r.schedulers {
		r.divided = r.divided && m.level >= levelRegions
	}
	if !r.divided {
		return
	}
	r.home, r.abroad = part(r.schedulers, away)
	r.homeFirsts, _ = part(r.gateways, away)
	r.homeFar, _ = part(r.far, away)
	r.homeBeyond, _ = part(r.beyond, away)
	r.known = append(r.home[:len(r.home):len(r.home)], r.near...)
	r.dataCentres = map[string]bool{self.DataCentre: true}
	for _, m := range r.homeFirsts {
		r.dataCentres[m.DataCentre] = true
	}
	firsts := r.firsts(self, regions)
	r.homeGateway = firsts[own]
	r.gateway = firsts[own] == self
	for region, m := range firsts {
		if region != own {
			r.others = append(r.others, m)
		}
	}
}

// firsts returns the first of the first schedulers of each region.
func (r *roles) firsts(self *Member, regions balance.Regions) map[string]*Member {
	out := make(map[string]*Member)
	consider := func(m *Member) {
		region := regions[m.DataCentre]
		if out[region] == nil || goesBefore(m, out[region]) {
			out[region] = m
		}
	}
	switch {
	case r.first:
		consider(self)
	case len(r.ahead) > 0:
		consider(r.ahead[0])
	}
	for _, m := range r.gateways {
		consider(m)
	}
	return out
}

// setRegions tells the region of each data centre.
func (s *members) setRegions(regions balance.Regions) {
	s.regions = regions
	for a := range regions {
		s.several = s.several || regions.Between(a, s.self.DataCentre) == balance.Beyond
	}
}

// named reports whether the settings name a region: what a message calls one is kept only then.
func (g *Gossip) named(region string) bool {
	for _, r := range g.Regions {
		if r == region {
			return true
		}
	}
	return false
}

// part divides members into those that are not away and those that are.
func part(all []*Member, away func(*Member) bool) (home, abroad []*Member) {
	for _, m := range all {
		if away(m) {
			abroad = append(abroad, m)
		} else {
			home = append(home, m)
		}
	}
	return home, abroad
}

// beyond is what waits to be told to other regions.
type beyond struct {
	notices  []balance.Notice
	told     audience
	ownSince uint64 // the last change of what this instance runs itself that was told
	abroad   audience

	gateway string // of the own region, by its address, as last logged
	regions int    // others that were heard then
}

// holdBeyond keeps notices for other regions, if this instance is to tell them. The caller
// holds g.mu.
func (g *Gossip) holdBeyond(r *roles, notices []balance.Notice) {
	if !r.gateway || len(r.others) == 0 {
		g.beyond.notices = nil
		return
	}
	room := heldBeyond - len(g.beyond.notices)
	if room < len(notices) {
		g.Count("notices-beyond-dropped")
		notices = notices[:max(0, room)]
	}
	g.beyond.notices = append(g.beyond.notices, notices...)
}

// collect keeps what an instance of the own region placed for other regions. One of an older
// version does not say which parts may not be told there. The caller holds g.mu.
func (g *Gossip) collect(now time.Time, m *Message) {
	r := g.members.current(now)
	if !r.gateway || m.Level < levelRegions || m.RegionOf != "" || len(m.Notices) == 0 || g.Regions[m.DataCentre] != g.Regions[g.DataCentre] {
		return
	}
	notices := m.Notices
	if m.Stays {
		notices = bind(notices, g.Regions[g.DataCentre])
	}
	g.holdBeyond(r, notices)
}

// bind returns notices whose parts may be told in one region only.
func bind(notices []balance.Notice, region string) []balance.Notice {
	out := append([]balance.Notice(nil), notices...)
	for i := range out {
		out[i].Homes = catalog.NewHomes([]string{region})
	}
	return out
}

// tellBeyond tells the gateways of other regions what the instances of this one run and have
// placed, if this is its gateway and a pause has passed. The caller holds g.mu.
func (g *Gossip) tellBeyond(now time.Time, r *roles) {
	g.logRegions(r)
	a := &g.beyond.told
	if !r.gateway || len(r.others) == 0 {
		*a, g.beyond.notices = audience{}, nil
		return
	}
	if now.Sub(a.last) < beyondEvery(g.count)-beatSlack {
		return
	}
	whole := now.Sub(a.lastWhole) >= wholeSums
	sums, upTo, ownUpTo := g.Balancer.SumsWithOwn(g.ofRegion(r), whole, a.since, g.beyond.ownSince)
	a.since, g.beyond.ownSince = upTo, ownUpTo
	notices := g.beyond.notices
	g.beyond.notices = nil
	if len(sums) == 0 && len(notices) == 0 && !whole && now.Sub(a.last) < quietFor {
		return
	}
	a.last = now
	if whole {
		a.lastWhole = now
	}
	for _, other := range r.others {
		told := balance.Withhold(notices, g.Regions[other.DataCentre])
		g.sendRegion(now, g.Regions[g.DataCentre], sums, whole, told, []*Member{other})
	}
}

// logRegions logs a change of the own region's gateway, and regions that are lost or found. The
// caller holds g.mu.
func (g *Gossip) logRegions(r *roles) {
	if !r.schedules || r.homeGateway == nil {
		return
	}
	if r.homeGateway.Address == g.beyond.gateway && len(r.others) == g.beyond.regions {
		return
	}
	g.beyond.gateway, g.beyond.regions = r.homeGateway.Address, len(r.others)
	var others []string
	for _, m := range r.others {
		others = append(others, g.Regions[m.DataCentre]+"="+m.Address)
	}
	g.Log.Info("gateways of regions", zap.String("own", r.homeGateway.Address), zap.Bool("here", r.gateway), zap.Strings("others", others))
}

// beyondEvery is the pause between what one region tells another, in a fleet of n.
func beyondEvery(n int) time.Duration { return max(beyondLeast, balance.ReportEvery(n)) }

// ofRegion returns whether what an instance, or a data centre's sum, tells is of this region.
func (g *Gossip) ofRegion(r *roles) func(uint64) bool {
	ids := make(map[uint64]bool)
	for _, m := range r.home {
		ids[m.ID] = true
	}
	for _, m := range r.near {
		ids[m.ID] = true
	}
	for dataCentre := range r.dataCentres {
		if dataCentre != g.DataCentre {
			ids[sumsKey(dataCentre)] = true
		}
	}
	return func(id uint64) bool { return ids[id] }
}

// sendRegion sends what a region runs and has placed, in as many datagrams as that needs.
func (g *Gossip) sendRegion(now time.Time, region string, sums []balance.Report, whole bool, notices []balance.Notice, to []*Member) {
	for first := true; first || len(sums) > 0 || len(notices) > 0; first = false {
		m := g.message(now)
		m.Next = quietFor
		m.RegionOf, m.SumsWhole = region, whole
		n := min((maxDatagram-headBytes)/sumBytes, len(sums))
		m.Sums, sums = sums[:n], sums[n:]
		n = min((maxDatagram-headBytes-n*sumBytes)/noticeBytes, len(notices))
		m.Notices, notices = notices[:n], notices[n:]
		g.send(m, addresses(to))
		whole = false
	}
}

// takeRegion takes up what a region runs, and passes it on: from another region to the
// schedulers of the own data centre and the first ones of the region's others, from another
// data centre to those of the own. The caller holds g.mu.
func (g *Gossip) takeRegion(now time.Time, m *Message) {
	own := g.Regions[g.DataCentre]
	if m.RegionOf == "" || m.RegionOf == own || !g.named(m.RegionOf) {
		return
	}
	g.Balancer.Merge(regionKey(m.RegionOf), nil, m.Sums, m.SumsWhole)
	r := g.members.current(now)
	if m.DataCentre == g.DataCentre || !r.schedules {
		return
	}
	to := r.nearby[:len(r.nearby):len(r.nearby)]
	if g.Regions[m.DataCentre] != own {
		to = append(to, r.homeFirsts...)
	}
	if len(to) > 0 {
		g.sendRegion(now, m.RegionOf, m.Sums, m.SumsWhole, m.Notices, to)
	}
}

// regionKey is what stands for the instances of a region in place of an ID.
func regionKey(region string) uint64 { return sumsKey("region " + region) }

// hearsHome returns how many instances of the own region are heard, and how many others
// schedulers of other regions say that theirs have.
func (s *members) hearsHome(now time.Time) (home, abroad int) {
	home = 1
	own := s.regions[s.self.DataCentre]
	told := make(map[string]int)
	s.live(now, func(m *Member) {
		region := s.regions[m.DataCentre]
		if region == own {
			home++
			return
		}
		told[region] = max(told[region], m.hearsHome)
	})
	for _, n := range told {
		abroad += n
	}
	return home, abroad
}

// sendStaying sends the notices that may not be told in other regions, in datagrams that say
// so, and returns the others. All receivers are of the own region.
func (g *Gossip) sendStaying(m *Message, notices []balance.Notice, to []*Member) (others []balance.Notice) {
	var staying []balance.Notice
	for _, n := range notices {
		if len(n.Parts) > 0 && n.Homes.Bound() {
			staying = append(staying, n)
		} else {
			others = append(others, n)
		}
	}
	if len(staying) > 0 {
		apart := *m
		apart.Reports, apart.Whole, apart.Peers, apart.Stays = nil, false, nil, true
		g.sendParts(&apart, staying, to)
	}
	return others
}

// Kinds of messages, for counts of bytes.
const (
	kindHeartbeat = "heartbeat"
	kindLoad      = "load"   // what an instance runs and places
	kindSums      = "sums"   // what a data centre runs
	kindRegion    = "region" // what a region runs and places
)

func (m *Message) kind() string {
	switch {
	case m.RegionOf != "":
		return kindRegion
	case m.SumsOf != "":
		return kindSums
	case m.Whole || len(m.Reports) > 0 || len(m.Notices) > 0:
		return kindLoad
	}
	return kindHeartbeat
}

// countBeyond counts what is sent to another region. An address that is not heard yet is
// of no region that is known.
func (g *Gossip) countBeyond(m *Message, receiver string, bytes int) {
	member := g.members.all[receiver]
	if g.Beyond == nil || member == nil || member.heard.IsZero() || g.Regions[member.DataCentre] == g.Regions[g.DataCentre] {
		return
	}
	g.Beyond(m.kind(), bytes)
}
