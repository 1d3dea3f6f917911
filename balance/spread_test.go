package balance_test

import (
	"container/heap"
	"math/rand/v2"
	"testing"
	"time"

	"ivyridge/balance"
)

// A prefill is a prompt whose prefill completes at the time at.
type prefill struct {
	at time.Time
	p  *balance.Placement
	d  time.Duration // time to first event
}

type prefills []prefill

func (r prefills) Len() int           { return len(r) }
func (r prefills) Less(i, j int) bool { return r[i].at.Before(r[j].at) }
func (r prefills) Swap(i, j int)      { r[i], r[j] = r[j], r[i] }
func (r *prefills) Push(x any)        { *r = append(*r, x.(prefill)) }
func (r *prefills) Pop() any {
	last := (*r)[len(*r)-1]
	*r = (*r)[:len(*r)-1]
	return last
}

// Guards against long prompts piling up at the engines that look fastest or cache the first part
// while others of the working set are idle.
func TestLongPromptsSpreadOverTheWorkingSet(t *testing.T) {
	const (
		schedulers     = 15
		step           = 3333 * time.Microsecond
		duration       = 6 * time.Second
		reportInterval = 90 * time.Millisecond
		perToken       = 18 * time.Microsecond
		maxDelay       = 1200 * time.Millisecond
	)
	rng := rand.New(rand.NewPCG(1, 1))
	f := newLargeFixture(1500)
	var balancers []*balance.Balancer
	for range schedulers {
		balancers = append(balancers, f.balancer())
	}
	busy := make(map[string]time.Time)
	cached := make(map[string]map[uint64]bool)
	count := make(map[string]int)
	inFlight := new(prefills)
	late, total := 0, 0
	lastReport := f.now
	for end := f.now.Add(duration); f.now.Before(end); f.now = f.now.Add(step) {
		for inFlight.Len() > 0 && !(*inFlight)[0].at.After(f.now) {
			r := heap.Pop(inFlight).(prefill)
			r.p.RecordStart(true)
			r.p.RecordFirstEvent(r.d)
			r.p.Done(balance.Served)
		}
		if f.now.Sub(lastReport) >= reportInterval {
			lastReport = f.now
			for i, from := range balancers {
				notices, reports := from.TakeNotices(), reportsOf(from)
				for j, to := range balancers {
					if i != j {
						to.Merge(uint64(i+1), notices, reports, true)
					}
				}
			}
		}
		d := f.long(uint64(rng.IntN(2600) + 2))
		d.Parts[0].ID = uint64(10_000 + rng.IntN(4))
		p := balancers[rng.IntN(schedulers)].Place(f.endpoints, d)
		id := p.Endpoint.ID
		tokens := d.Prompt
		if cached[id] == nil {
			cached[id] = make(map[uint64]bool)
		}
		for _, part := range d.Parts {
			if !cached[id][part.ID] {
				break
			}
			tokens -= part.Tokens
		}
		for _, part := range d.Parts {
			cached[id][part.ID] = true
		}
		took := time.Duration(tokens) * perToken
		if id[len(id)-1]%3 == 0 {
			took = took * 13 / 10
		}
		start := busy[id]
		if start.Before(f.now) {
			start = f.now
		}
		busy[id] = start.Add(took)
		first := busy[id].Sub(f.now)
		total++
		count[id]++
		if first > maxDelay {
			late++
		}
		heap.Push(inFlight, prefill{busy[id], p, first})
	}
	most := 0
	for _, n := range count {
		most = max(most, n)
	}
	t.Logf("%d of %d prompts late, %d engines used, at most %d at one", late, total, len(count), most)
	if late > total/100 {
		t.Errorf("%d of %d prompts get their first event after more than %v while other engines are idle, want at most a hundredth", late, total, maxDelay)
	}
	if mean := total / len(count); most > 8*mean {
		t.Errorf("%d prompts at one engine, want at most 8 times the mean of %d engines, %d", most, len(count), mean)
	}
}

func reportsOf(b *balance.Balancer) []balance.Report {
	reports, _ := b.Reports(true, 0)
	return reports
}
