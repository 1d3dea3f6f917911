package queue_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"ivyridge/queue"
)

var allLevels = queue.Options{Tiers: true, Shares: true, Deadlines: true, Fair: true}

func accept(*queue.Request) bool { return true }

func pop(q *queue.Queue) *queue.Request { return q.Pop(accept, accept) }

func TestHigherTierFirst(t *testing.T) {
	q := queue.New([]queue.Class{{Tier: 1}, {Tier: 0}}, allLevels)
	low := &queue.Request{Class: 0, Cost: 1}
	high := &queue.Request{Class: 1, Cost: 1, Arrival: time.Second}
	q.Push(low)
	q.Push(high)
	if got := pop(q); got != high {
		t.Error("Pop returned the request of tier 1; want that of tier 0")
	}
}

func TestGuaranteedShare(t *testing.T) {
	q := queue.New([]queue.Class{{Tier: 0}, {Tier: 1, Share: 0.1}}, allLevels)
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
		t.Errorf("class with share 0.1 got %d of 1000 requests; want 90 to 110", served[1])
	}
}

// A burst of one team does not delay the others: each is served within a round.
func TestFairBetweenTeams(t *testing.T) {
	q := queue.New([]queue.Class{{}}, allLevels)
	for i := range 500 {
		q.Push(&queue.Request{Team: "rush", Cost: 1, Arrival: time.Duration(i)})
	}
	for i := range 5 {
		q.Push(&queue.Request{Team: fmt.Sprint(i), Cost: 1, Arrival: time.Second})
	}
	served := 0
	for range 12 {
		if pop(q).Team != "rush" {
			served++
		}
	}
	if served != 5 {
		t.Errorf("%d requests of teams other than rush among the first 12, want 5", served)
	}
}

func TestTeamWeights(t *testing.T) {
	q := queue.New([]queue.Class{{}}, allLevels)
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
		t.Errorf("team of weight 3 beside weight 1 got %d of 200 requests; want 140 to 160", heavy)
	}
}

func TestPushOrdersByArrival(t *testing.T) {
	q := queue.New([]queue.Class{{}}, allLevels)
	q.Push(&queue.Request{Team: "a", Cost: 1, Arrival: 2})
	first := &queue.Request{Team: "a", Cost: 1, Arrival: 1}
	q.Push(first)
	if pop(q) != first {
		t.Error("Pop returned the later arrival; want the earlier one")
	}
}

func TestExpire(t *testing.T) {
	q := queue.New([]queue.Class{{}, {FinishLate: true}}, allLevels)
	q.Push(&queue.Request{Class: 0, Team: "a", Cost: 1, LatestStart: 5})
	q.Push(&queue.Request{Class: 1, Team: "a", Cost: 1, LatestStart: 5})
	n := 0
	q.Expire(10, func(*queue.Request) { n++ })
	if n != 1 || q.Len() != 1 {
		t.Errorf("%d expired, %d waiting; want 1 and 1", n, q.Len())
	}
}

// Every pushed request leaves exactly once: served, removed or expired.
func TestEveryRequestLeavesOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		opt := queue.Options{Tiers: rapid.Bool().Draw(t, "tiers"), Shares: rapid.Bool().Draw(t, "shares"), Deadlines: rapid.Bool().Draw(t, "deadlines"), Fair: rapid.Bool().Draw(t, "fair")}
		q := queue.New([]queue.Class{{Tier: 0}, {Tier: 1, Share: 0.2}, {Tier: 2, Share: 0.1, FinishLate: true}}, opt)
		waiting := make(map[*queue.Request]bool)
		remove := func(r *queue.Request) {
			if !waiting[r] {
				t.Fatal("a request that was not waiting left the queue; want each to leave once")
			}
			delete(waiting, r)
		}
		var pushed []*queue.Request
		for i := range rapid.IntRange(1, 200).Draw(t, "steps") {
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0, 1:
				r := &queue.Request{
					Class: rapid.IntRange(0, 2).Draw(t, "class"), Team: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "team"),
					Weight: 1, Cost: rapid.Float64Range(0.01, 10).Draw(t, "cost"), Arrival: time.Duration(i), LatestStart: time.Duration(i + 50),
				}
				waiting[r] = true
				pushed = append(pushed, r)
				q.Push(r)
			case 2:
				if r := pop(q); r != nil {
					remove(r)
				} else if len(waiting) > 0 {
					t.Fatalf("Pop returned nil with %d requests waiting", len(waiting))
				}
			case 3:
				if len(pushed) > 0 {
					if r := rapid.SampledFrom(pushed).Draw(t, "removed"); q.Remove(r) {
						remove(r)
					}
				}
				q.Expire(time.Duration(i), remove)
			}
			if q.Len() != len(waiting) {
				t.Fatalf("Len() = %d; want %d", q.Len(), len(waiting))
			}
		}
	})
}
