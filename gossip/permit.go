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
	"math/rand/v2"
	"net/netip"
	"time"

	"ivyridge/balance"
	"ivyridge/belief"
	"ivyridge/limit"
)

const (
	// permitsAsked is how many endpoints a request asks permits for. Each that is denied is
	// closed for the next requests.
	permitsAsked = 6
	// permitHops is how many instances are asked for one permit: the second is the one that the
	// first names.
	permitHops = 2
)

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

// A latePermit is an ask that was given up before its answer came.
type latePermit struct {
	ask     PermitAsk
	divider string // the address that was asked
	asked   time.Time
}

// lapsed reports whether a permit that answers the ask would be of no use any more.
func (p *latePermit) lapsed(now time.Time) bool { return now.Sub(p.asked) > balance.PermitFor }

// endAsk notes that no request waits for the answer to an ask any more. One that was sent and not
// answered is remembered: what it grants is paid for at the divider.
func (g *Gossip) endAsk(a *PermitAsk, divider string, asked time.Time, unanswered bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.dividing.pending, a.Number)
	now := g.Now()
	for number, p := range g.dividing.late {
		if p.lapsed(now) {
			delete(g.dividing.late, number)
		}
	}
	if unanswered {
		g.dividing.late[a.Number] = latePermit{ask: *a, divider: divider, asked: asked}
	}
}

// askPermitAt asks the instance at an address, and reports whether it answered.
func (g *Gossip) askPermitAt(ctx context.Context, address string, a *PermitAsk) (p Permit, answered bool) {
	g.mu.Lock()
	to, ok := g.resolve(address)
	known := g.members.all[address]
	ok = ok && known != nil && known.level >= levelLimits // others would take an ask for a heartbeat
	g.asks++
	a.Number = g.asks
	reply := make(chan Permit, 1)
	g.dividing.pending[a.Number] = reply
	g.mu.Unlock()
	asked := g.Now()
	sent := false
	defer func() { g.endAsk(a, address, asked, sent && !answered) }()
	if !ok || !g.write(&Message{Sender: g.id, DataCentre: g.DataCentre, PermitAsk: a}, to) {
		return Permit{}, false
	}
	sent = true
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
	if reply := g.dividing.pending[p.Number]; reply != nil {
		select {
		case reply <- *p:
		default: // a copy of an answer that came
		}
		g.mu.Unlock()
		return
	}
	late, ok := g.dividing.late[p.Number]
	delete(g.dividing.late, p.Number)
	now := g.Now()
	g.mu.Unlock()
	g.Count("permit-late")
	if !ok || !p.Granted || late.lapsed(now) {
		return
	}
	// The request that asked is over; thrown away, a busy instance's permits are lost to all.
	answer := limit.Answer{Granted: true, Word: p.Limit.Word(now)}
	g.Balancer.TakePermit(late.ask.Endpoint, late.ask.Urgency, answer, late.divider, late.asked)
	g.Count("permit-late-kept")
}
