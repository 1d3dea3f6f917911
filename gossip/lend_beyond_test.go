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

// A farConn is a connection whose datagrams take a while.
type farConn struct {
	packetConn
	takes time.Duration
}

func (c farConn) WriteToUDPAddrPort(data []byte, to netip.AddrPort) (int, error) {
	data = append([]byte(nil), data...)
	time.AfterFunc(c.takes, func() { _, _ = c.packetConn.WriteToUDPAddrPort(data, to) })
	return len(data), nil
}

// Where only another region has a retry left, 12 ms away each way, it was charged there and its
// answer came 24 ms later, when it was not waited for any more (askWithin is 15 ms): the request
// was denied all the same, and the lender taken for silent.
func TestRetryOfAnotherRegionIsOfUse(t *testing.T) {
	const roundTrip = 24 * time.Millisecond
	d := newDataCentre(t)
	d.asker.Regions = balance.Regions{"x": "a", "y": "b"}
	d.asker.members.all[d.scheduler.conn.(*net.UDPConn).LocalAddr().String()].level = levelNow
	lender := listen(t, 77)
	address := lender.conn.(*net.UDPConn).LocalAddr().String()
	m := &Message{Sender: 77, DataCentre: "y", Next: time.Minute, Level: levelNow, Part: 1}
	d.asker.members.heard(time.Now(), address, m, time.Time{})
	hold(d.scheduler, 0)
	hold(lender, 20)
	lender.conn = farConn{lender.conn, roundTrip}
	for _, g := range []*Gossip{d.scheduler, d.asker, lender} {
		go g.receive()
	}
	d.demand.Retry, d.demand.Sent = balance.RetryInTime, true
	p, refusal := d.asker.Place(context.Background(), d.endpoints, d.demand)
	time.Sleep(2 * roundTrip)
	if lent := granted(lender); p == nil || lent != 1 {
		t.Errorf("%d retries are charged in the other region, and the request got %+v", lent, refusal)
	}
	d.asker.mu.Lock()
	defer d.asker.mu.Unlock()
	if d.asker.silences[address] != nil {
		t.Errorf("a lender that answered after %v counts as silent", roundTrip)
	}
}

// Where a service fails, each of its requests found no retry and asked all other holders for
// one: ten thousand asks a second across a link that is full already.
func TestLendersWithoutRetriesAreLeftAloneForAWhile(t *testing.T) {
	d := newDataCentre(t)
	start := time.Now()
	var passed, asked atomic.Int64
	d.asker.Now = func() time.Time { return start.Add(time.Duration(passed.Load())) }
	lender := listen(t, 78)
	m := &Message{Sender: 78, DataCentre: "y", Next: time.Minute, Level: levelNow, Part: 1}
	d.asker.members.heard(start, lender.conn.(*net.UDPConn).LocalAddr().String(), m, time.Time{})
	hold(lender, 0)
	d.asker.Count = func(event string) {
		if event == "asked" {
			asked.Add(1)
		}
	}
	for _, g := range []*Gossip{d.asker, lender} {
		go g.receive()
	}
	d.demand.Retry = balance.RetryInTime
	for range 5 {
		if d.asker.borrow(context.Background(), d.demand) {
			t.Fatal("a retry was borrowed of a lender that has none")
		}
	}
	passed.Store(int64(lendAgain))
	d.asker.borrow(context.Background(), d.demand)
	if n := asked.Load(); n != 2 {
		t.Errorf("the lender was asked %d times, want once and again after %v", n, lendAgain)
	}
}
