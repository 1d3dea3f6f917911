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
)

// borrow has another instance pay for a retry, and reports whether one did.
func (g *Gossip) borrow(ctx context.Context, d *balance.Demand) bool {
	if d.Retry == balance.NoRetry {
		return false
	}
	silent := 0
	for _, address := range g.lenders(g.Now()) {
		choice, ok := g.askAt(ctx, address, &Ask{Service: d.Service.Name, Retry: d.Retry, Lend: true})
		if choice.Lent {
			g.Count("retry-borrowed")
			return true
		}
		if !ok {
			silent++
		}
		if silent >= lendersSilent {
			break
		}
	}
	g.Count("retry-not-borrowed")
	return false
}

// lenders returns the addresses of other instances that hold a part, those of the own region
// first and otherwise in any order.
func (g *Gossip) lenders(now time.Time) []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	var near, far []string
	g.members.live(now, func(m *Member) {
		switch s := g.silences[m.Address]; {
		case m.Part <= 0 || m.level < levelRetries || s != nil && now.Before(s.until):
		case g.Regions[m.DataCentre] == g.Regions[g.DataCentre]:
			near = append(near, m.Address)
		default:
			far = append(far, m.Address)
		}
	})
	shuffle(near)
	shuffle(far)
	all := append(near, far...)
	return all[:min(len(all), lendersAsked)]
}

func shuffle(s []string) {
	rand.Shuffle(len(s), func(i, j int) { s[i], s[j] = s[j], s[i] })
}
