package gossip

// This file asks the instance that divides an endpoint's limit for permits, and answers those who
// ask.
//
// Whoever chooses endpoints for others may divide limits, and says so in each message; package
// limit has the order in which they do. An instance that is asked and hears a better one names that, so that an
// ordinary instance, which hears of the schedulers of other data centres seldom, asks the right
// one at the second try. Each region divides its own part of a limit: the way to another one
// takes longer than most requests may wait, and two regions that lose each other each have theirs.

import (
	"context"
	"math"
	"math/rand/v2"
	"net/netip"
	"time"

	"go.uber.org/zap"
	"google.golang.org/protobuf/encoding/protowire"

	"ivyridge/balance"
	"ivyridge/belief"
	"ivyridge/limit"
	"ivyridge/quota"
)

const (
	// permitsAsked is how many endpoints a request asks permits for. Each that is denied is
	// closed for the next requests.
	permitsAsked = 6
	// permitHops is how many instances are asked for one permit: the second is the one that the
	// first names.
	permitHops = 2
	// homeShare is the part of a limit that the endpoint's own region divides; the others have the rest.
	// Requests seldom leave their region.
	homeShare = 0.9
)

// A PermitAsk asks for a permit to send one request to an endpoint.
type PermitAsk struct {
	Number     uint64 // comes back in the Permit
	Endpoint   uint32 // balance.EndpointHash of its incarnation
	DataCentre string // the endpoint's
	Urgency    int    // of the request, below limit.Levels
	Limit      balance.ToldLimit
}

// A Permit is the answer to a PermitAsk.
type Permit struct {
	Number  uint64
	Granted bool
	Wait    time.Duration // otherwise: to ask again after that
	Divider string        // the gossip address of who divides the limit, if that is another instance
	Limit   balance.ToldLimit
}

// The fields of a PermitAsk and a Permit, and of a limit that is told.
const (
	fieldPermitNumber     protowire.Number = 1
	fieldPermitEndpoint   protowire.Number = 2
	fieldPermitDataCentre protowire.Number = 3
	fieldPermitUrgency    protowire.Number = 4
	fieldPermitLimit      protowire.Number = 5
	fieldPermitGranted    protowire.Number = 6
	fieldPermitWait       protowire.Number = 7 // microseconds
	fieldPermitDivider    protowire.Number = 8

	fieldLimitNamed protowire.Number = 1
	fieldLimitRate  protowire.Number = 2 // bits of a float64
	fieldLimitAge   protowire.Number = 3 // microseconds
)

func (a *PermitAsk) append(b []byte) []byte {
	b = appendUint(b, fieldPermitNumber, a.Number)
	b = appendFixed(b, fieldPermitEndpoint, a.Endpoint)
	b = appendBytes(b, fieldPermitDataCentre, []byte(a.DataCentre))
	b = appendUint(b, fieldPermitUrgency, uint64(max(0, a.Urgency)))
	return appendLimit(b, fieldPermitLimit, &a.Limit)
}

func (a *PermitAsk) decode(b []byte) error {
	return eachField(b, func(f field) (err error) {
		switch f.number {
		case fieldPermitNumber:
			a.Number = f.value
		case fieldPermitEndpoint:
			a.Endpoint = uint32(f.value)
		case fieldPermitDataCentre:
			a.DataCentre = string(f.bytes)
		case fieldPermitUrgency:
			a.Urgency = boundedCount(f.value)
		case fieldPermitLimit:
			a.Limit, err = decodeLimit(f.bytes)
		}
		return err
	})
}

func (p *Permit) append(b []byte) []byte {
	b = appendUint(b, fieldPermitNumber, p.Number)
	b = appendUint(b, fieldPermitGranted, protowire.EncodeBool(p.Granted))
	b = appendUint(b, fieldPermitWait, microseconds(p.Wait))
	if p.Divider != "" {
		b = appendBytes(b, fieldPermitDivider, []byte(p.Divider))
	}
	return appendLimit(b, fieldPermitLimit, &p.Limit)
}

func (p *Permit) decode(b []byte) error {
	return eachField(b, func(f field) (err error) {
		switch f.number {
		case fieldPermitNumber:
			p.Number = f.value
		case fieldPermitGranted:
			p.Granted = f.value != 0
		case fieldPermitWait:
			p.Wait = fromMicroseconds(f.value)
		case fieldPermitDivider:
			p.Divider = string(f.bytes)
		case fieldPermitLimit:
			p.Limit, err = decodeLimit(f.bytes)
		}
		return err
	})
}

// appendLimit adds a limit as a field, if there is something to tell.
func appendLimit(b []byte, n protowire.Number, t *balance.ToldLimit) []byte {
	if !t.Known {
		return b
	}
	limit := appendUint(nil, fieldLimitNamed, protowire.EncodeBool(t.Named))
	limit = appendUint(limit, fieldLimitRate, math.Float64bits(t.Rate))
	limit = appendUint(limit, fieldLimitAge, microseconds(t.Age))
	return appendBytes(b, n, limit)
}

// decodeLimit reads a limit. A rate that is no finite number of zero or more is none.
func decodeLimit(b []byte) (balance.ToldLimit, error) {
	t := balance.ToldLimit{Known: true}
	err := eachField(b, func(f field) error {
		switch f.number {
		case fieldLimitNamed:
			t.Named = f.value != 0
		case fieldLimitRate:
			t.Rate = math.Float64frombits(f.value)
		case fieldLimitAge:
			t.Age = fromMicroseconds(f.value)
		}
		return nil
	})
	if math.IsNaN(t.Rate) || math.IsInf(t.Rate, 0) || t.Rate < 0 {
		return balance.ToldLimit{}, err
	}
	return t, err
}

// dividing is what an instance keeps for dividing limits, and for asking others. It is guarded by
// g.mu.
type dividing struct {
	claim   quota.SideClaim
	part    quota.Part // of limits
	divider limit.Divider
	pending map[uint64]chan Permit // by the number of the ask
}

// divides reports whether this instance may divide limits, by what it believes of its role.
func (r *roles) divides() bool { return r.schedules && len(r.ahead) < r.choosers() }

// side returns what this instance sees of its region's side of a cut.
func (g *Gossip) side(now time.Time, r *roles) quota.Side {
	s := g.members
	heard, told := s.count(now)
	side := quota.Side{Alone: s.alone(r), Named: g.DataCentres}
	region := g.Regions[g.DataCentre]
	if s.several {
		heard, told, side.Named = s.home, s.home, 0
		for _, of := range g.Regions {
			if of == region {
				side.Named++
			}
		}
	}
	dataCentres := map[string]bool{g.DataCentre: true}
	s.live(now, func(m *Member) {
		if g.Regions[m.DataCentre] != region {
			return
		}
		dataCentres[m.DataCentre] = true
		if s.several {
			told = max(told, m.hearsHome)
		}
	})
	side.Heard, side.Told, side.DataCentres = heard, told, len(dataCentres)
	return side
}

// setDividing works out anew which part of limits this instance divides. The caller holds g.mu.
func (g *Gossip) setDividing(now time.Time, r *roles) {
	part := g.dividing.claim.Part(g.side(now, r), now)
	if !r.divides() || g.members.self.Leaving {
		part = 0
	}
	held := g.dividing.part.Share(now)
	if g.dividing.part.Hold(part, now); part != held {
		g.Log.Info("part of limits", zap.Float64("part", part), zap.Float64("before", held))
	}
}

// share returns which part of the limit of an endpoint in a data centre this instance divides.
// The caller holds g.mu.
func (g *Gossip) share(now time.Time, dataCentre string) float64 {
	part := g.dividing.part.Share(now)
	if !g.members.several {
		return part
	}
	regions := make(map[string]bool)
	for _, region := range g.Regions {
		regions[region] = true
	}
	if g.Regions[dataCentre] == g.Regions[g.DataCentre] {
		return part * homeShare
	}
	return part * (1 - homeShare) / float64(max(1, len(regions)-1))
}

// divider returns the gossip address of the instance that divides the limit of an endpoint in a
// data centre, as far as this one hears: its own address if it is this one, empty if there is none. The caller
// holds g.mu.
func (g *Gossip) divider(now time.Time, endpoint uint32, dataCentre string) string {
	var candidates []limit.Candidate
	var at []string
	if g.dividing.part.Share(now) > 0 {
		candidates = append(candidates, limit.Candidate{ID: g.id, DataCentre: g.DataCentre})
		at = append(at, g.Address)
	}
	for _, m := range g.members.current(now).schedulers {
		if m.Divides && !m.Leaving && m.level >= levelLimits && g.Regions[m.DataCentre] == g.Regions[g.DataCentre] {
			candidates = append(candidates, limit.Candidate{ID: m.ID, DataCentre: m.DataCentre})
			at = append(at, m.Address)
		}
	}
	if i := limit.Divides(endpoint, dataCentre, candidates); i >= 0 {
		return at[i]
	}
	return ""
}

// permit has a permit for an endpoint asked for, and takes the answer up. It returns the hash of the
// endpoint if there is one, and otherwise zero.
func (g *Gossip) permit(ctx context.Context, e *belief.Endpoint, urgency int) uint32 {
	endpoint, word, ok := g.Balancer.WantPermit(e, urgency)
	if !ok {
		return 0
	}
	asked := g.Now()
	g.mu.Lock()
	divider := g.divider(asked, endpoint, e.DataCentre)
	g.mu.Unlock()
	ask := &PermitAsk{Endpoint: endpoint, DataCentre: e.DataCentre, Urgency: urgency, Limit: toldLimit(&word, asked)}
	answer := limit.Answer{Wait: limit.NoPart}
	for range permitHops {
		if divider == "" {
			g.Count("permit-nobody")
			break
		}
		if divider == g.Address {
			answer, _ = g.divide(ask)
			g.Count("permit-own")
			break
		}
		p, answered := g.askPermitAt(ctx, divider, ask)
		if !answered {
			g.Count("permit-unanswered")
			break
		}
		answer = limit.Answer{Granted: p.Granted, Wait: p.Wait, Word: word}
		if p.Limit.Known {
			answer.Word = p.Limit.Word(g.Now())
		}
		if p.Divider == "" || p.Divider == divider {
			break
		}
		g.Count("permit-redirected")
		divider = p.Divider
	}
	g.Balancer.TakePermit(endpoint, urgency, answer, divider, asked)
	if !answer.Granted {
		g.Count("permit-denied")
		return 0
	}
	g.Count("permit-granted")
	return endpoint
}

// toldLimit returns what is told of a limit at now.
func toldLimit(w *limit.Word, now time.Time) balance.ToldLimit {
	if !w.Known() {
		return balance.ToldLimit{}
	}
	return balance.ToldLimit{Known: true, Named: w.Named, Rate: w.Rate, Age: max(0, now.Sub(w.At))}
}

// askPermitAt asks the instance at an address, and reports whether it answered.
func (g *Gossip) askPermitAt(ctx context.Context, address string, a *PermitAsk) (Permit, bool) {
	g.mu.Lock()
	to, ok := g.resolve(address)
	known := g.members.all[address]
	ok = ok && known != nil && known.level >= levelLimits // others would take an ask for a heartbeat
	g.asks++
	a.Number = g.asks
	reply := make(chan Permit, 1)
	g.dividing.pending[a.Number] = reply
	g.mu.Unlock()
	defer func() {
		g.mu.Lock()
		delete(g.dividing.pending, a.Number)
		g.mu.Unlock()
	}()
	if !ok || !g.write(&Message{Sender: g.id, DataCentre: g.DataCentre, PermitAsk: a}, to) {
		return Permit{}, false
	}
	timer := time.NewTimer(askWithin)
	defer timer.Stop()
	select {
	case p := <-reply:
		return p, true
	case <-timer.C:
	case <-ctx.Done():
	}
	return Permit{}, false
}

// write sends a message that is no heartbeat.
func (g *Gossip) write(m *Message, to netip.AddrPort) bool {
	if _, err := g.conn.WriteToUDPAddrPort(m.Append(make([]byte, 0, askBytes)), to); err != nil {
		g.Count("send-failed")
		return false
	}
	return true
}

// divide answers an ask, and names the instance that divides the limit if that is another one.
func (g *Gossip) divide(a *PermitAsk) (answer limit.Answer, divider string) {
	now := g.Now()
	word := a.Limit.Word(now)
	word.Merge(g.Balancer.Word(a.Endpoint))
	g.mu.Lock()
	defer g.mu.Unlock()
	divider = g.divider(now, a.Endpoint, a.DataCentre)
	if divider != g.Address {
		return limit.Answer{Wait: limit.NoPart, Word: word}, divider
	}
	share := g.share(now, a.DataCentre)
	return g.dividing.divider.Ask(a.Endpoint, word, share, a.Urgency, now, rand.Float64()), ""
}

// Divided returns which part of the limit of an endpoint in a data centre this instance gives out
// permits for, zero if another one does, and how many it has given out.
func (g *Gossip) Divided(endpoint uint32, dataCentre string) (part float64, permits uint64) {
	now := g.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.divider(now, endpoint, dataCentre) == g.Address {
		part = g.share(now, dataCentre)
	}
	return part, g.dividing.divider.Permits(endpoint)
}

// grantPermit answers an instance that asks for a permit.
func (g *Gossip) grantPermit(to netip.AddrPort, a *PermitAsk) {
	answer, divider := g.divide(a)
	now := g.Now()
	p := &Permit{Number: a.Number, Granted: answer.Granted, Wait: answer.Wait, Divider: divider, Limit: toldLimit(&answer.Word, now)}
	g.write(&Message{Sender: g.id, DataCentre: g.DataCentre, Permit: p}, to)
	g.Count("permits")
}

// settlePermit hands a permit to the request that waits for it.
func (g *Gossip) settlePermit(p *Permit) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if reply := g.dividing.pending[p.Number]; reply != nil {
		select {
		case reply <- *p:
		default: // a copy of an answer that came
		}
		return
	}
	g.Count("permit-late")
}
