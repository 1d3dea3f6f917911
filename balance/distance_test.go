package balance_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"ivyridge/balance"
)

// regionsFixture returns n engines, the second half of them in another region, and a balancer in
// the first region.
func regionsFixture(n int) (*fixture, *balance.Balancer) {
	f := newFixture(n)
	for _, e := range f.endpoints[n/2:] {
		e.DataCentre = "far"
	}
	b := f.balancer()
	b.SetRegions(map[string]string{"z": "here", "far": "there"})
	return f, b
}

// prompt returns a request whose parts have shared and own tokens. The size of its body is bytes.
func (f *fixture) prompt(id uint64, shared, own, bytes int) *balance.Demand {
	return &balance.Demand{
		Service: f.engines, Priority: 2, Objective: 2 * time.Second, Prompt: shared + own, Output: 120, Bytes: bytes,
		Parts: []balance.PromptPart{{ID: id, Tokens: shared}, {ID: uint64(f.now.UnixNano()), Tokens: own}},
	}
}

// A short prompt, whose prefill costs less than sending it, is prefilled locally.
func TestLongPromptsCrossRegionsForCachedParts(t *testing.T) {
	for _, c := range []struct {
		name               string
		shared, own, bytes int
		crosses            bool
	}{
		{"13,300 tokens in 17 KB", 13300, 3720, 17000, true},
		{"6,300 tokens in 9 KB", 6300, 2890, 9200, true},
		{"350 tokens in 1.5 KB", 350, 1110, 1500, false},
		{"13,300 tokens in 400 KB", 13300, 3720, 400_000, false},
	} {
		f, b := regionsFixture(8)
		b.Place(f.endpoints[4:], f.prompt(5, c.shared, c.own, c.bytes)).Done(balance.Served)
		f.now = f.now.Add(10 * time.Second)
		p := b.Place(f.endpoints, f.prompt(5, c.shared, c.own, c.bytes))
		if crosses := p.Distance == balance.OtherRegion; crosses != c.crosses {
			t.Errorf("%s: placed at distance %v with %d tokens cached, want crossing: %v", c.name, p.Distance, p.Cached, c.crosses)
		}
	}
}

// An expired measurement of a congested link has no effect.
func TestCongestedLinkKeepsRequestsLocal(t *testing.T) {
	for _, c := range []struct {
		queue   time.Duration
		age     time.Duration
		crosses bool
	}{{0, 0, true}, {5 * time.Millisecond, 0, true}, {100 * time.Millisecond, 0, false}, {100 * time.Millisecond, 6 * time.Second, true}} {
		f, b := regionsFixture(8)
		b.Place(f.endpoints[4:], f.prompt(5, 13300, 3720, 17000)).Done(balance.Served)
		f.now = f.now.Add(10 * time.Second)
		b.SetLink(25*time.Millisecond, c.queue)
		f.now = f.now.Add(c.age)
		p := b.Place(f.endpoints, f.prompt(5, 13300, 3720, 17000))
		if crosses := p.Distance == balance.OtherRegion; crosses != c.crosses {
			t.Errorf("queueing delay %v, measured %v ago: request leaves its region: %v, want %v", c.queue, c.age, crosses, c.crosses)
		}
	}
}

// A frequently used part is prefilled locally once leaving the region has cost about as much; one
// used once a minute stays where it is.
func TestPopularPartsAreCachedInBothRegions(t *testing.T) {
	// The first request of each case is placed in the other region.
	for _, c := range []struct {
		every       time.Duration
		least, most int // of 40 requests, the range that leaves the region
	}{
		{500 * time.Millisecond, 1, 3},
		{8 * time.Second, 2, 10},
		{time.Minute, 40, 40},
	} {
		f, b := regionsFixture(8)
		crossed := 0
		for i := range 40 {
			f.now = f.now.Add(c.every)
			among := f.endpoints
			if i == 0 {
				among = f.endpoints[4:]
			}
			p := b.Place(among, f.prompt(5, 13300, 3720, 17000))
			p.Done(balance.Served)
			if p.Distance == balance.OtherRegion {
				crossed++
			}
		}
		if crossed < c.least || crossed > c.most {
			t.Errorf("one request every %v: %d of 40 leave the region, want %d to %d", c.every, crossed, c.least, c.most)
		}
	}
}

// An overloaded region spills over before it refuses requests of any priority, until it is idle.
func TestOverloadedRegionSpillsOver(t *testing.T) {
	for priority := range 10 {
		f, b := regionsFixture(8)
		demand := func() *balance.Demand {
			d := f.prompt(uint64(f.now.UnixNano()), 6300, 3000, 9200)
			d.Priority = priority
			return d
		}
		crossed, refused := 0, 0
		for range 60 {
			f.now = f.now.Add(time.Millisecond)
			p, refusal := b.Admit(f.endpoints, demand())
			switch {
			case refusal != nil:
				refused++
			case p.Distance == balance.OtherRegion:
				crossed++
			}
		}
		if crossed < 15 || refused > 0 {
			t.Errorf("priority %d: of 60 concurrent requests %d leave the region and %d are refused, want at least 15 leaving and none refused", priority, crossed, refused)
		}
		f.now = f.now.Add(30 * time.Second)
		if p, _ := b.Admit(f.endpoints, demand()); p == nil || p.Distance == balance.OtherRegion {
			t.Errorf("priority %d: placed %+v once the local region is idle, want a local endpoint", priority, p)
		}
	}
}

func TestCongestedLinkLimitsSpillover(t *testing.T) {
	spilled := func(queue time.Duration) (crossed int) {
		f, b := regionsFixture(8)
		b.SetLink(25*time.Millisecond, queue)
		for range 60 {
			f.now = f.now.Add(time.Millisecond)
			if p, _ := b.Admit(f.endpoints, f.prompt(uint64(f.now.UnixNano()), 6300, 3000, 9200)); p != nil && p.Distance == balance.OtherRegion {
				crossed++
			}
		}
		return crossed
	}
	if idle, congested := spilled(0), spilled(200*time.Millisecond); 2*congested > idle {
		t.Errorf("of 60 concurrent requests %d cross an idle link and %d a congested one, want at most half as many", idle, congested)
	}
}

// Plain requests use all data centres of their region before they leave it.
func TestPlainRequestsStayInTheirRegion(t *testing.T) {
	f := newFixture(4) // with 8 slots each
	f.endpoints[1].DataCentre = "near"
	f.endpoints[2].DataCentre, f.endpoints[3].DataCentre = "far", "far"
	b := f.balancer()
	b.SetRegions(map[string]string{"z": "here", "near": "here", "far": "there"})
	d := &balance.Demand{Service: f.plain, Objective: 250 * time.Millisecond, Bytes: 300}
	at := make(map[balance.Distance]int)
	for range 24 {
		at[b.Place(f.endpoints, d).Distance]++
	}
	if local := at[balance.SameDataCentre] + at[balance.SameRegion]; local < 13 || local > 17 {
		t.Errorf("of 24 concurrent requests %d stay in a region with 16 slots, want 13 to 17: %v", local, at)
	}
}

// Without regions, or with a single one, the size of the body affects neither choice nor cost.
func TestSingleRegionHasNoEffect(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		f := newFixture(9)
		for i, e := range f.endpoints {
			e.DataCentre = fmt.Sprint("dc", i%3)
		}
		now := func() time.Time { return f.now }
		unset, single := balance.New("dc0", now), balance.New("dc0", now)
		single.SetRegions(map[string]string{"dc0": "here", "dc1": "here", "dc2": "here"})
		for range rapid.IntRange(1, 60).Draw(r, "requests") {
			f.now = f.now.Add(time.Duration(rapid.IntRange(0, 300).Draw(r, "pause")) * time.Millisecond)
			d := f.prompt(uint64(rapid.IntRange(1, 5).Draw(r, "part")), 6300, 2000, 0)
			if rapid.Bool().Draw(r, "plain") {
				d = &balance.Demand{Service: f.plain, Objective: 250 * time.Millisecond}
			}
			want := unset.Place(f.endpoints, d)
			d.Bytes = rapid.IntRange(0, 1_000_000).Draw(r, "bytes")
			got := single.Place(f.endpoints, d)
			if got.Endpoint != want.Endpoint || got.Cost != want.Cost {
				r.Fatalf("placed at %s with cost %v, want %s with cost %v", got.Endpoint.ID, got.Cost, want.Endpoint.ID, want.Cost)
			}
			if rapid.Bool().Draw(r, "ends") {
				want.Done(balance.Served)
				got.Done(balance.Served)
			}
		}
	})
}

// A data centre without a configured region is in another region than those with one.
func TestDistances(t *testing.T) {
	regions := balance.Regions{"a1": "a", "a2": "a", "b1": "b"}
	for _, c := range []struct {
		regions  balance.Regions
		from, to string
		want     balance.Distance
	}{
		{regions, "a1", "a1", balance.SameDataCentre},
		{regions, "a1", "a2", balance.SameRegion},
		{regions, "a1", "b1", balance.OtherRegion},
		{regions, "a1", "unknown", balance.OtherRegion},
		{regions, "unknown", "unknown", balance.SameDataCentre},
		{nil, "a1", "b1", balance.SameRegion},
	} {
		if got := c.regions.Between(c.from, c.to); got != c.want {
			t.Errorf("distance from %s to %s = %v, want %v", c.from, c.to, got, c.want)
		}
	}
}

// Compare with BenchmarkPlace: two regions must not make choices slower.
func BenchmarkPlaceInTwoRegions(bench *testing.B) {
	for _, n := range []int{12, 63, 204, 690} {
		bench.Run(fmt.Sprint(n), func(bench *testing.B) {
			f, b := regionsFixture(n)
			d := f.long(9)
			bench.ReportAllocs()
			for bench.Loop() {
				f.now = f.now.Add(time.Millisecond)
				b.Place(f.endpoints, d).Done(balance.Served)
				b.TakeNotices()
			}
		})
	}
}
