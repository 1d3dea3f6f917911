package gossip

import (
	"context"
	"net"
	"testing"

	"ivyridge/balance"
	"ivyridge/limit"
)

// Regression test: a permit that arrived after the request timeout was charged to the limit but
// discarded, so that part of the limit went unused.
func TestLatePermitIsUsed(t *testing.T) {
	d := newDataCentre(t)
	address := d.scheduler.conn.(*net.UDPConn).LocalAddr().String()
	d.client.members.byAddress[address].protocol = protocolCurrent
	p := d.client.Balancer.Place(d.endpoints, d.demand)
	p.RecordLimit(1)
	p.Done(balance.Served)
	for _, e := range d.endpoints[1:] {
		e.Draining = true
	}
	endpoint, rateLimit, ok := d.client.Balancer.BeginPermitRequest(p.Endpoint, 0)
	if !ok {
		t.Fatal("endpoint needs no permit, want one to be needed")
	}
	requestedAt := d.client.Now()
	request := &PermitRequest{Endpoint: endpoint, Limit: reportedLimit(&rateLimit, requestedAt)}
	if _, answered := d.client.requestPermitFrom(context.Background(), address, request); answered {
		t.Fatal("an allocator that doesn't receive answered")
	}
	d.client.Balancer.EndPermitRequest(endpoint, 0, limit.Decision{Wait: limit.NoShareWait}, "", requestedAt)
	if _, refusal := d.client.Balancer.Admit(d.endpoints, d.demand); refusal == nil {
		t.Fatal("request placed without a permit")
	}
	late := &PermitResponse{Number: request.Number, Granted: true, Limit: balance.ReportedLimit{Known: true, Limited: true, Rate: 1}}
	d.client.handlePermitResponse(late)
	d.client.handlePermitResponse(late)
	if p, refusal := d.client.Balancer.Admit(d.endpoints, d.demand); p == nil || !p.MaySend() {
		t.Errorf("request refused or without a permit after a late one arrived: refusal %+v", refusal)
	}
	if p, _ := d.client.Balancer.Admit(d.endpoints, d.demand); p != nil {
		t.Error("duplicate permit counted twice")
	}
	if n := len(d.client.limits.abandoned); n != 0 {
		t.Errorf("%d abandoned requests remembered after their response, want none", n)
	}
}
