package gossip

import (
	"context"
	"net"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"ivyridge/balance"
)

// A delayedConn sends each datagram after a delay.
type delayedConn struct {
	packetConn
	delay time.Duration
}

func (c delayedConn) WriteToUDPAddrPort(data []byte, to netip.AddrPort) (int, error) {
	data = append([]byte(nil), data...)
	time.AfterFunc(c.delay, func() { _, _ = c.packetConn.WriteToUDPAddrPort(data, to) })
	return len(data), nil
}

// Regression test: a retry was charged in another region, but the borrower had stopped waiting
// after a timeout shorter than the round trip.
func TestRetryBorrowedFromRemoteRegion(t *testing.T) {
	const roundTrip = 24 * time.Millisecond
	d := newDataCentre(t)
	d.client.Regions = balance.Regions{"x": "a", "y": "b"}
	d.client.members.byAddress[d.scheduler.conn.(*net.UDPConn).LocalAddr().String()].protocol = protocolCurrent
	lender := listen(t, 77)
	address := lender.conn.(*net.UDPConn).LocalAddr().String()
	m := &Message{Sender: 77, DataCentre: "y", NextWithin: time.Minute, Protocol: protocolCurrent, RetryShare: 1}
	d.client.members.observe(time.Now(), address, m, time.Time{})
	setEarnedRetries(d.scheduler, 0)
	setEarnedRetries(lender, 20)
	lender.conn = delayedConn{lender.conn, roundTrip}
	for _, g := range []*Gossip{d.scheduler, d.client, lender} {
		go g.receive()
	}
	d.demand.Retry, d.demand.Sent = balance.RetryInTime, true
	p, refusal := d.client.Place(context.Background(), d.endpoints, d.demand)
	time.Sleep(2 * roundTrip)
	if charged := grantedRetries(lender); p == nil || charged != 1 {
		t.Errorf("%d retries charged in the other region, refusal %+v, want one retry and a placement", charged, refusal)
	}
	d.client.mu.Lock()
	defer d.client.mu.Unlock()
	if d.client.backoffs[address] != nil {
		t.Errorf("lender that answered after %v is in backoff, want no backoff", roundTrip)
	}
}

// Regression test: each request of a failing service asked all other share holders for a retry.
func TestBorrowPauseAfterFailure(t *testing.T) {
	d := newDataCentre(t)
	start := time.Now()
	var elapsed, asked atomic.Int64
	d.client.Now = func() time.Time { return start.Add(time.Duration(elapsed.Load())) }
	lender := listen(t, 78)
	m := &Message{Sender: 78, DataCentre: "y", NextWithin: time.Minute, Protocol: protocolCurrent, RetryShare: 1}
	d.client.members.observe(start, lender.conn.(*net.UDPConn).LocalAddr().String(), m, time.Time{})
	setEarnedRetries(lender, 0)
	d.client.Count = func(event string) {
		if event == "asked" {
			asked.Add(1)
		}
	}
	for _, g := range []*Gossip{d.client, lender} {
		go g.receive()
	}
	d.demand.Retry = balance.RetryInTime
	for range 5 {
		if d.client.borrow(context.Background(), d.demand) {
			t.Fatal("borrowed a retry from a lender that has none")
		}
	}
	elapsed.Store(int64(borrowBackoff))
	d.client.borrow(context.Background(), d.demand)
	if n := asked.Load(); n != 2 {
		t.Errorf("lender asked %d times, want 2: at first, and again after %v", n, borrowBackoff)
	}
}
