package gossip

import (
	"context"
	"net"
	"testing"

	"ivyridge/balance"
	"ivyridge/limit"
)

// On a machine with other work, a divider's answers took longer than the 15 ms for which a request
// waits: the permits were charged to the endpoint's limit and thrown away, and 0.87 of the limit
// was used. The counters of the asker: permit-unanswered and permit-late, equally many.
func TestLatePermitIsOfUse(t *testing.T) {
	d := newDataCentre(t)
	address := d.scheduler.conn.(*net.UDPConn).LocalAddr().String()
	d.asker.members.all[address].level = levelNow
	p := d.asker.Balancer.Place(d.endpoints, d.demand)
	p.Limits(1)
	p.Done(balance.Served)
	for _, e := range d.endpoints[1:] {
		e.Draining = true
	}
	endpoint, word, ok := d.asker.Balancer.WantPermit(p.Endpoint, 0)
	if !ok {
		t.Fatal("no permit is wanted")
	}
	asked := d.asker.Now()
	ask := &PermitAsk{Endpoint: endpoint, Limit: toldLimit(&word, asked)}
	if _, answered := d.asker.askPermitAt(context.Background(), address, ask); answered {
		t.Fatal("a divider answers that doesn't listen")
	}
	d.asker.Balancer.TakePermit(endpoint, 0, limit.Answer{Wait: limit.NoPart}, "", asked)
	if _, refusal := d.asker.Balancer.Admit(d.endpoints, d.demand); refusal == nil {
		t.Fatal("a request is placed without a permit")
	}
	late := &Permit{Number: ask.Number, Granted: true, Limit: balance.ToldLimit{Known: true, Named: true, Rate: 1}}
	d.asker.settlePermit(late)
	d.asker.settlePermit(late) // a copy
	if p, refusal := d.asker.Balancer.Admit(d.endpoints, d.demand); p == nil || !p.MaySend() {
		t.Errorf("a permit that came late is lost: %+v", refusal)
	}
	if p, _ := d.asker.Balancer.Admit(d.endpoints, d.demand); p != nil {
		t.Error("a permit that came twice counts twice")
	}
	if n := len(d.asker.dividing.late); n != 0 {
		t.Errorf("%d asks are remembered", n)
	}
}
