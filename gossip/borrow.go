package gossip

// This file has another data centre pay for a retry.
//
// Each data centre has the same part of the retries, and an engine's requests may all have
// come through one of them; a data centre whose first scheduler was lost has none for some
// seconds. So a request whose own data centre has no retry left asks who holds a part
// elsewhere to pay for it; its endpoint is chosen at home as ever. A retry that was paid for
// and whose answer is lost is lost. Schedulers that shift their parts to each other by
// demand were refused: a part that is on the way belongs to nobody, and need comes and goes
// within a second.

import (
	"context"
	"math/rand/v2"
	"time"

	"ivyridge/balance"
)

const (
	// lendersAsked is how many other holders are asked for a retry at most: one that has none
	// says so within a millisecond.
	lendersAsked = 6
	// lendersSilent is how many of them may keep silent: each costs askWithin of a caller's
	// time.
	lendersSilent = 2
	// lendBeyond is how long the way to another region and back is thought to take where it was
	// not measured: that over some 5,000 km.
	lendBeyond = 50 * time.Millisecond
	// lendAgain is the pause in which lenders are not asked after none had a retry: a few are
	// earned within it by a busy service.
	lendAgain = 100 * time.Millisecond
)

// A lender is an instance that is asked to pay for a retry.
type lender struct {
	address string
	within  time.Duration // it is waited for
}

// borrow has another instance pay for a retry, and reports whether one did.
func (g *Gossip) borrow(ctx context.Context, d *balance.Demand) bool {
	if d.Retry == balance.NoRetry {
		return false
	}
	now := g.Now()
	if !g.mayLend(d.Service.Name, now) {
		g.Count("retry-not-borrowed")
		return false
	}
	silent := 0
	for _, l := range g.lenders(now) {
		choice, end := g.askAt(ctx, l.address, &Ask{Service: d.Service.Name, Retry: d.Retry, Lend: true}, l.within)
		if choice.Lent {
			g.Count("retry-borrowed")
			return true
		}
		if end != askAnswered {
			silent++
		}
		if silent >= lendersSilent {
			break
		}
	}
	g.mu.Lock()
	g.unlent[d.Service.Name] = g.Now()
	g.mu.Unlock()
	g.Count("retry-not-borrowed")
	return false
}

// mayLend reports whether others may have a retry of a service: for a while after none had one,
// they are not asked again. Where a service fails, each of its requests would ask them all.
func (g *Gossip) mayLend(service string, now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	at, ok := g.unlent[service]
	if ok && now.Sub(at) < lendAgain {
		return false
	}
	delete(g.unlent, service)
	return true
}

// lenders returns other instances that hold a part, those of the own region first and
// otherwise in any order. One of another region is waited for as long as the way takes: what it
// pays for an answer that nobody waits for is lost.
func (g *Gossip) lenders(now time.Time) []lender {
	g.mu.Lock()
	defer g.mu.Unlock()
	beyond := askWithin + max(lendBeyond, g.link.trip)
	var near, far []lender
	g.members.live(now, func(m *Member) {
		switch s := g.silences[m.Address]; {
		case m.Part <= 0 || m.level < levelRetries || s != nil && now.Before(s.until):
		case g.Regions[m.DataCentre] == g.Regions[g.DataCentre]:
			near = append(near, lender{m.Address, askWithin})
		default:
			far = append(far, lender{m.Address, beyond})
		}
	})
	shuffle(near)
	shuffle(far)
	all := append(near, far...)
	return all[:min(len(all), lendersAsked)]
}

func shuffle(s []lender) {
	rand.Shuffle(len(s), func(i, j int) { s[i], s[j] = s[j], s[i] })
}
