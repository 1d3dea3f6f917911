package queue_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"ivyridge/queue"
)

var all = queue.Options{Tiers: true, Shares: true, Deadlines: true, Fair: true}

func accept(*queue.Request) bool { return true }

func pop(q *queue.Queue) *queue.Request { return q.Pop(accept, accept) }

func TestTiersGoFirst(t *testing.T) {
	q := queue.New([]queue.Class{{Tier: 1}, {Tier: 0}}, all)
	low := &queue.Request{Class: 0, Cost: 1}
	high := &queue.Request{Class: 1, Cost: 1, Arrival: time.Second}
	q.Push(low)
	q.Push(high)
	if got := pop(q); got != high {
		t.Error("the lower tier went first")
	}
}

func TestSharesKeepFromStarving(t *testing.T) {
	q := queue.New([]queue.Class{{Tier: 0}, {Tier: 1, Share: 0.1}}, all)
	served := [2]int{}
	for i := range 1000 {
		q.Push(&queue.Request{Class: 0, Cost: 1, Arrival: time.Duration(i)})
		if i < 500 {
			q.Push(&queue.Request{Class: 1, Cost: 1, Arrival: time.Duration(i)})
		}
	}
	for range 1000 {
		served[pop(q).Class]++
	}
	if served[1] < 90 || served[1] > 110 {
		t.Errorf("a class with a share of 0.1 got %d of 1000", served[1])
	}
}

// A team's rush costs the others nothing: every team with work gets its turn
// within one round.
func TestTeamsAreFair(t *testing.T) {
	q := queue.New([]queue.Class{{}}, all)
	for i := range 500 {
		q.Push(&queue.Request{Team: "rush", Cost: 1, Arrival: time.Duration(i)})
	}
	for i := range 5 {
		q.Push(&queue.Request{Team: fmt.Sprint(i), Cost: 1, Arrival: time.Second})
	}
	quiet := 0
	for range 12 {
		if pop(q).Team != "rush" {
			quiet++
		}
	}
	if quiet != 5 {
		t.Errorf("%d of 5 quiet teams were served within two rounds", quiet)
	}
}

func TestWeightsCount(t *testing.T) {
	q := queue.New([]queue.Class{{}}, all)
	for i := range 400 {
		q.Push(&queue.Request{Team: "heavy", Weight: 3, Cost: 1, Arrival: time.Duration(i)})
		q.Push(&queue.Request{Team: "light", Weight: 1, Cost: 1, Arrival: time.Duration(i)})
	}
	heavy := 0
	for range 200 {
		if pop(q).Team == "heavy" {
			heavy++
		}
	}
	if heavy < 140 || heavy > 160 {
		t.Errorf("weight 3 beside weight 1 got %d of 200", heavy)
	}
}

func TestAskedAgainRegainsItsPlace(t *testing.T) {
	q := queue.New([]queue.Class{{}}, all)
	q.Push(&queue.Request{Team: "a", Cost: 1, Arrival: 2})
	first := &queue.Request{Team: "a", Cost: 1, Arrival: 1}
	q.Push(first)
	if pop(q) != first {
		t.Error("the earlier arrival lost its place")
	}
}

func TestExpire(t *testing.T) {
	q := queue.New([]queue.Class{{}, {FinishLate: true}}, all)
	q.Push(&queue.Request{Class: 0, Team: "a", Cost: 1, Latest: 5})
	q.Push(&queue.Request{Class: 1, Team: "a", Cost: 1, Latest: 5})
	n := 0
	q.Expire(10, func(*queue.Request) { n++ })
	if n != 1 || q.Len() != 1 {
		t.Errorf("%d expired, %d wait; want 1 and 1", n, q.Len())
	}
}

// Whatever is pushed comes out once: served, removed or expired.
func TestNothingIsLost(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		opt := queue.Options{Tiers: rapid.Bool().Draw(t, "tiers"), Shares: rapid.Bool().Draw(t, "shares"), Deadlines: rapid.Bool().Draw(t, "deadlines"), Fair: rapid.Bool().Draw(t, "fair")}
		q := queue.New([]queue.Class{{Tier: 0}, {Tier: 1, Share: 0.2}, {Tier: 2, Share: 0.1, FinishLate: true}}, opt)
		in := make(map[*queue.Request]bool)
		out := func(r *queue.Request) {
			if !in[r] {
				t.Fatal("a request came out twice, or was never in")
			}
			delete(in, r)
		}
		var list []*queue.Request
		for i := range rapid.IntRange(1, 200).Draw(t, "steps") {
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0, 1:
				r := &queue.Request{
					Class: rapid.IntRange(0, 2).Draw(t, "class"), Team: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "team"),
					Weight: 1, Cost: rapid.Float64Range(0.01, 10).Draw(t, "cost"), Arrival: time.Duration(i), Latest: time.Duration(i + 50),
				}
				in[r] = true
				list = append(list, r)
				q.Push(r)
			case 2:
				if r := pop(q); r != nil {
					out(r)
				} else if len(in) > 0 {
					t.Fatalf("%d wait, and none is served", len(in))
				}
			case 3:
				if len(list) > 0 {
					if r := rapid.SampledFrom(list).Draw(t, "removed"); q.Remove(r) {
						out(r)
					}
				}
				q.Expire(time.Duration(i), out)
			}
			if q.Len() != len(in) {
				t.Fatalf("the queue has %d, %d were put in and not taken out", q.Len(), len(in))
			}
		}
	})
}
