package gossip

// This file borrows retries from other data centres.
//
// Each data centre has an equal share of the retry budget, but all requests of a failed endpoint
// may have come through one of them, and a data centre that lost its first scheduler has no share
// for some seconds. If the local share is used up, the instance asks holders of other shares to
// pay for a retry; the endpoint is still chosen locally. A retry whose answer is lost is paid for
// but not used. Shares are not moved between schedulers by demand: a share in transit would
// belong to nobody, and demand changes within a second.

import (
	"context"
	"math/rand/v2"
	"time"

	"ivyridge/balance"
)

const (
	// maxLenders is how many other share holders are asked for a retry.
	maxLenders = 6
	// maxSilentLenders is after how many unanswered requests borrowing gives up. Each costs the
	// caller a timeout.
	maxSilentLenders = 2
	// defaultRemoteRTT is the assumed round trip to another region until it is measured.
	defaultRemoteRTT = 50 * time.Millisecond
	// borrowPause is how long lenders are not asked again after none of them had a retry.
	borrowPause = 100 * time.Millisecond
)

// A lender is an instance that may be asked to pay for a retry.
type lender struct {
	address string
	timeout time.Duration // to wait for its answer
}

// borrow asks other instances to pay for a retry, and reports whether one did.
func (g *Gossip) borrow(ctx context.Context, d *balance.Demand) bool {
	if d.Retry == balance.NoRetry {
		return false
	}
	now := g.Now()
	if !g.mayBorrow(d.Service.Name, now) {
		g.Count("retry-not-borrowed")
		return false
	}
	silent := 0
	for _, l := range g.lenders(now) {
		choice, outcome := g.requestFrom(ctx, l.address, &PlacementRequest{Service: d.Service.Name, Retry: d.Retry, ChargeRetry: true}, l.timeout)
		if choice.RetryCharged {
			g.Count("retry-borrowed")
			return true
		}
		if outcome != requestAnswered {
			silent++
		}
		if silent >= maxSilentLenders {
			break
		}
	}
	g.mu.Lock()
	g.borrowFailedAt[d.Service.Name] = g.Now()
	g.mu.Unlock()
	g.Count("retry-not-borrowed")
	return false
}

// mayBorrow reports whether lenders may be asked for a retry of a service. After a failed attempt
// they are left alone for borrowPause; otherwise each request of a failing service would ask all
// of them.
func (g *Gossip) mayBorrow(service string, now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	at, ok := g.borrowFailedAt[service]
	if ok && now.Sub(at) < borrowPause {
		return false
	}
	delete(g.borrowFailedAt, service)
	return true
}

// lenders returns other share holders, those of this region first and otherwise in random order.
// The timeout for lenders of other regions includes the round trip, since a retry is charged even
// if the borrower no longer waits for the answer.
func (g *Gossip) lenders(now time.Time) []lender {
	g.mu.Lock()
	defer g.mu.Unlock()
	remoteTimeout := requestTimeout + max(defaultRemoteRTT, g.link.rtt)
	var local, remote []lender
	g.members.eachLive(now, func(m *Member) {
		switch s := g.backoffs[m.Address]; {
		case m.RetryShare <= 0 || m.protocol < protocolRetries || s != nil && now.Before(s.until):
		case g.Regions[m.DataCentre] == g.Regions[g.DataCentre]:
			local = append(local, lender{m.Address, requestTimeout})
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
