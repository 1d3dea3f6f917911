package gossip

// This file borrows retries from other data centres.
//
// Each data centre has an equal share of the retry budget, but all requests of a failed endpoint
// may have come through one of them, and one that lost its first scheduler has no share for some
// seconds. If the local share is used up, the instance asks holders of other shares to charge a
// retry to theirs; the endpoint is still chosen locally. If the response is lost, the retry is
// charged but not used. Moving shares by demand instead would leave them unused in transit.

import (
	"context"
	"math/rand/v2"
	"time"

	"ivyridge/balance"
)

const (
	// maxLenders is how many other share holders are asked for a retry. One without a retry says so
	// within a millisecond.
	maxLenders = 6
	// maxLenderTimeouts is how many unanswered requests end an attempt to borrow.
	maxLenderTimeouts = 2
	// defaultRemoteRTT is the assumed round trip to another region until one is measured: that of
	// about 5,000 km.
	defaultRemoteRTT = 50 * time.Millisecond
	// borrowBackoff is the pause in borrowing after no lender had a retry. A busy service earns a
	// few retries within it.
	borrowBackoff = 100 * time.Millisecond
)

// A lender is an instance that may be asked to charge a retry to its share.
type lender struct {
	address string
	timeout time.Duration // to wait for its response
}

// borrow asks other instances to charge a retry to their share, and reports whether one did.
func (g *Gossip) borrow(ctx context.Context, d *balance.Demand) bool {
	if d.Retry == balance.NoRetry {
		return false
	}
	now := g.Now()
	if !g.mayBorrow(d.Service.Name, now) {
		g.Count("retry-not-borrowed")
		return false
	}
	unanswered := 0
	for _, l := range g.lenders(now) {
		grant, outcome := g.requestFrom(ctx, l.address, &PlacementRequest{Service: d.Service.Name, Retry: d.Retry, ChargeRetry: true}, l.timeout)
		if grant.RetryCharged {
			g.Count("retry-borrowed")
			return true
		}
		if outcome != requestAnswered {
			unanswered++
		}
		if unanswered >= maxLenderTimeouts {
			break
		}
	}
	g.mu.Lock()
	g.borrowFailedAt[d.Service.Name] = g.Now()
	g.mu.Unlock()
	g.Count("retry-not-borrowed")
	return false
}

// mayBorrow reports whether lenders may be asked for a retry of service. The pause after a
// failure keeps each request of a failing service from asking all of them.
func (g *Gossip) mayBorrow(service string, now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	at, ok := g.borrowFailedAt[service]
	if ok && now.Sub(at) < borrowBackoff {
		return false
	}
	delete(g.borrowFailedAt, service)
	return true
}

// lenders returns other share holders in random order, those of this region first. The timeout of
// remote ones includes the round trip: a retry is charged even if the borrower stopped waiting.
func (g *Gossip) lenders(now time.Time) []lender {
	g.mu.Lock()
	defer g.mu.Unlock()
	timeout := g.responseTimeout.timeout(0)
	remoteTimeout := timeout + max(defaultRemoteRTT, g.link.rtt)
	var local, remote []lender
	g.members.eachLive(now, func(m *Member) {
		switch s := g.backoffs[m.Address]; {
		case m.RetryShare <= 0 || m.protocol < protocolRetries || s != nil && now.Before(s.until):
		case g.Regions[m.DataCentre] == g.Regions[g.DataCentre]:
			local = append(local, lender{m.Address, timeout})
		default:
			remote = append(remote, lender{m.Address, remoteTimeout})
		}
	})
	shuffle(local)
	shuffle(remote)
	all := append(local, remote...)
	return all[:min(len(all), maxLenders)]
}

func shuffle(s []lender) {
	rand.Shuffle(len(s), func(i, j int) { s[i], s[j] = s[j], s[i] })
}
