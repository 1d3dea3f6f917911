package gossip

// This file asks schedulers for endpoints, and answers those who ask.

import (
	"context"
	"net/netip"
	"slices"
	"time"

	"go.uber.org/zap"

	"ivyridge/balance"
	"ivyridge/belief"
	"ivyridge/quota"
)

const (
	// askWithin is how long a scheduler is waited for. A request that gets no
	// answer is placed by what its own instance knows.
	askWithin = 15 * time.Millisecond
	// A scheduler that kept silent is left alone for a while, longer each time.
	silentLeft     = 300 * time.Millisecond
	silentLeftMost = 2 * time.Second
)

// An asked scheduler that kept silent.
type silence struct {
	until time.Time
	lasts time.Duration
}

// Place chooses an endpoint for a request, or refuses it: by a scheduler if this
// instance asks one, and otherwise, or if none answers, by what it knows itself.
// It returns neither if no endpoint may take the request.
func (g *Gossip) Place(ctx context.Context, endpoints []*belief.Endpoint, d *balance.Demand) (*balance.Placement, *balance.Refusal) {
	p, refusal := g.place(ctx, endpoints, d)
	if refusal == nil || refusal.Cause != balance.RetriesSpent || !g.borrow(ctx, d) {
		return p, refusal
	}
	paid := *d
	paid.Retry = balance.NoRetry
	return g.place(ctx, endpoints, &paid)
}

// place is Place with the retries of the own data centre. Where the best endpoint names a limit, a
// permit is asked for, and the endpoint chosen anew: those that are denied are no choice for a while.
func (g *Gossip) place(ctx context.Context, endpoints []*belief.Endpoint, d *balance.Demand) (*balance.Placement, *balance.Refusal) {
	for range permitsAsked {
		p, refusal, charged := g.choose(ctx, endpoints, d)
		if refusal == nil || refusal.Cause != balance.PermitWanted {
			return p, refusal
		}
		permit := g.permit(ctx, refusal.Limited, refusal.Urgency)
		if charged {
			d = settled(d)
		}
		offered := *d
		offered.Offered, offered.Permit = true, permit
		d = &offered
	}
	again := *d
	again.Permitted = true
	p, refusal, _ := g.choose(ctx, endpoints, &again)
	return p, refusal
}

// choose has a scheduler or the own balancer choose an endpoint. It reports whether a scheduler
// has charged what the request is charged for.
func (g *Gossip) choose(ctx context.Context, endpoints []*belief.Endpoint, d *balance.Demand) (p *balance.Placement, refusal *balance.Refusal, charged bool) {
	if scheduler, choice, ok := g.ask(ctx, d); ok {
		if choice.Refusal != nil {
			g.Count("granted-refusal")
			choice.Refusal.Chooser = scheduler
			return nil, choice.Refusal, true
		}
		p, wanted := g.Balancer.Adopt(choice, endpoints, d)
		if p != nil {
			g.Count("granted")
			p.Chooser = scheduler
			return p, nil, true
		}
		if wanted != nil {
			g.Count("grant-needs-permit")
			return nil, wanted, true
		}
		g.Count("grant-not-used")
		d, charged = settled(d), true
	}
	p, refusal = g.Balancer.Admit(endpoints, d)
	return p, refusal, charged
}

// settled returns the demand of a request whose retry a scheduler has charged, and of which
// it has taken up that it was placed.
func settled(d *balance.Demand) *balance.Demand {
	again := *d
	again.Earns, again.Retry = quota.EarnsNothing, balance.NoRetry
	return &again
}

// levelFor returns what a scheduler must understand to choose for a request.
func levelFor(d *balance.Demand) int {
	switch {
	case d.Retry != balance.NoRetry:
		return levelRetries
	case d.Homes.Bound():
		return levelHomes
	}
	return 0
}

// ask asks the first scheduler that is not silent, and returns its address and choice.
func (g *Gossip) ask(ctx context.Context, d *balance.Demand) (string, balance.Choice, bool) {
	g.mu.Lock()
	scheduler := g.scheduler(g.Now())
	able := scheduler != "" && g.members.all[scheduler].level >= levelFor(d)
	g.mu.Unlock()
	if !able {
		return "", balance.Choice{}, false
	}
	choice, end := g.askAt(ctx, scheduler, g.newAsk(d), askWithin)
	switch end {
	case askAnswered:
		g.answered(scheduler)
	case askSilent:
		g.silent(scheduler)
	}
	return scheduler, choice, end == askAnswered && (choice.Endpoint != 0 || choice.Refusal != nil)
}

// An askEnd says how an ask has ended.
type askEnd uint8

const (
	askLost   askEnd = iota // it was not sent, or the request that asks is over
	askSilent               // no answer came in time
	askAnswered
)

// askAt asks the instance at an address, and returns its answer if there is one within a time.
func (g *Gossip) askAt(ctx context.Context, address string, a *Ask, within time.Duration) (balance.Choice, askEnd) {
	g.mu.Lock()
	to, ok := g.resolve(address)
	g.asks++
	a.Number = g.asks
	reply := make(chan balance.Choice, 1)
	g.pending[a.Number] = reply
	g.mu.Unlock()
	defer g.forgetAsk(a.Number)
	if !ok {
		return balance.Choice{}, askLost
	}
	m := Message{Sender: g.id, DataCentre: g.DataCentre, Ask: a}
	if _, err := g.conn.WriteToUDPAddrPort(m.Append(make([]byte, 0, askBytes)), to); err != nil {
		g.Count("send-failed")
		return balance.Choice{}, askLost
	}
	g.Count("asked")
	timer := time.NewTimer(within)
	defer timer.Stop()
	select {
	case choice := <-reply:
		return choice, askAnswered
	case <-timer.C:
		return balance.Choice{}, askSilent
	case <-ctx.Done():
	}
	return balance.Choice{}, askLost
}

// askBytes is the size of most asks.
const askBytes = 256

func (g *Gossip) newAsk(d *balance.Demand) *Ask {
	return &Ask{
		Service: d.Service.Name, Priority: d.Priority, Objective: d.Objective, Pause: d.Pause, Deadline: d.Deadline,
		Prompt: d.Prompt, Output: d.Output, Parts: d.Parts, Sent: d.Sent,
		Team: d.Team, Homes: d.Homes, Bytes: d.Bytes, Retry: d.Retry, Earns: d.Earns, Suspect: d.Suspect,
		Avoid: slices.Concat(g.Balancer.Unreachable(), g.Balancer.Resting(d), d.Avoid),
	}
}

func (g *Gossip) forgetAsk(number uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.pending, number)
}

// scheduler returns the address of the scheduler to ask, or "". The caller
// holds g.mu.
func (g *Gossip) scheduler(now time.Time) string {
	for _, m := range g.members.current(now).asked {
		if s := g.silences[m.Address]; s == nil || !now.Before(s.until) {
			return m.Address
		}
	}
	return ""
}

func (g *Gossip) answered(scheduler string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.silences[scheduler] != nil {
		delete(g.silences, scheduler)
		g.Log.Info("scheduler regained", zap.String("address", scheduler))
	}
}

func (g *Gossip) silent(scheduler string) {
	g.Count("ask-unanswered")
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.silences[scheduler]
	if s == nil {
		s = new(silence)
		g.silences[scheduler] = s
		g.Log.Warn("scheduler silent", zap.String("address", scheduler))
	}
	now := g.Now()
	if now.Before(s.until) {
		return // asked at the same time as another request that has said so
	}
	s.lasts = bounded(2*s.lasts, silentLeft, silentLeftMost)
	s.until = now.Add(s.lasts)
}

// grant answers an instance that asks.
func (g *Gossip) grant(to netip.AddrPort, instance uint64, a *Ask) {
	m := Message{Sender: g.id, DataCentre: g.DataCentre, Grant: &Grant{Number: a.Number}}
	view := g.Beliefs.View()
	if view.Catalog != nil {
		service := view.Catalog.Service(a.Service)
		switch {
		case service == nil:
		case a.Lend:
			m.Grant.Choice.Lent = g.Balancer.PayRetry(a.Service, a.Retry)
		default:
			endpoints := view.Endpoints(a.Service)
			d := &balance.Demand{
				Service: service, Priority: a.Priority, Objective: a.Objective, Pause: a.Pause, Deadline: a.Deadline,
				Prompt: a.Prompt, Output: a.Output, Parts: a.Parts, Avoid: a.Avoid, Sent: a.Sent,
				Team: a.Team, Homes: a.Homes, Bytes: a.Bytes, Retry: a.Retry, Earns: a.Earns, Suspect: a.Suspect,
			}
			m.Grant.Choice = g.Balancer.Grant(instance, endpoints, d)
		}
	}
	if _, err := g.conn.WriteToUDPAddrPort(m.Append(make([]byte, 0, askBytes)), to); err != nil {
		g.Count("send-failed")
		return
	}
	g.Count("grants")
}

// settle hands a grant to the request that waits for it.
func (g *Gossip) settle(m *Grant) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if reply := g.pending[m.Number]; reply != nil {
		select {
		case reply <- m.Choice:
		default: // a copy of an answer that came
		}
		return
	}
	g.Count("grant-late")
}
