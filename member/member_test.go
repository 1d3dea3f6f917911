package member_test

import (
	"fmt"
	"testing"
	"time"

	"ivyridge/member"
)

func listOf(revision int64, names ...string) member.List {
	l := member.List{Revision: revision}
	for _, n := range names {
		l.Instances = append(l.Instances, member.Instance{Name: n, Addr: n, State: member.Live})
	}
	return l
}

func names(n int) []string {
	out := make([]string, n)
	for i := range out {
		out[i] = fmt.Sprintf("n%d", i)
	}
	return out
}

func TestOldListRefused(t *testing.T) {
	tb := member.New("n0")
	tb.SetList(0, listOf(5, "n0", "n1"))
	if tb.SetList(0, listOf(4, "n0")) || len(tb.Peers()) != 2 {
		t.Error("SetList applied revision 4 after revision 5; want it ignored")
	}
}

func TestSilentPeerSuspected(t *testing.T) {
	tb := member.New("n0")
	tb.SetList(0, listOf(1, "n0", "n1", "n2"))
	for now := time.Duration(0); now < 2*time.Second; now += 100 * time.Millisecond {
		tb.HandleHeartbeat(now, "n1", member.Heartbeat{})
		tb.Tick(now)
	}
	if !tb.Peer("n1").Usable() || tb.Peer("n2").Usable() {
		t.Errorf("n1 is %s, n2 is %s; want n1 usable and n2 suspected", tb.Peer("n1").State(), tb.Peer("n2").State())
	}
	tb.HandleHeartbeat(2*time.Second, "n2", member.Heartbeat{})
	if !tb.Peer("n2").Usable() {
		t.Error("n2 is not usable after a heartbeat; want it usable")
	}
}

func TestDirectHeartbeatOverridesSuspicion(t *testing.T) {
	tb := member.New("n0")
	tb.SetList(0, listOf(1, "n0", "n1", "n2"))
	tb.HandleHeartbeat(time.Second, "n2", member.Heartbeat{})
	tb.HandleHeartbeat(time.Second, "n1", member.Heartbeat{SuspectedBySender: []member.Suspicion{{Instance: "n2", Since: 500 * time.Millisecond}}})
	if !tb.Peer("n2").Usable() {
		t.Error("n2 is suspected, though heard since the suspicion began; want it usable")
	}
	tb.HandleHeartbeat(2*time.Second, "n1", member.Heartbeat{SuspectedBySender: []member.Suspicion{{Instance: "n2", Since: 1500 * time.Millisecond}}})
	if tb.Peer("n2").Usable() {
		t.Error("n2 is usable after a suspicion newer than its last heartbeat; want it suspected")
	}
}

func TestResetSilenceAfterSuspension(t *testing.T) {
	tb := member.New("n0")
	tb.SetList(0, listOf(1, "n0", "n1"))
	tb.HandleHeartbeat(0, "n1", member.Heartbeat{})
	tb.Tick(0)
	tb.ResetSilence(time.Hour)
	tb.Tick(time.Hour)
	if !tb.Peer("n1").Usable() {
		t.Error("n1 is suspected after this instance was suspended; want it usable")
	}
}

// A change reaches the whole fleet in few rounds of heartbeats to few partners.
func TestPartners(t *testing.T) {
	for _, n := range []int{6, 40, 390} {
		all := names(n)
		links := make(map[string][]string)
		for _, name := range all {
			tb := member.New(name)
			tb.SetList(0, listOf(1, all...))
			for _, p := range tb.Partners() {
				links[name] = append(links[name], p.Name)
				links[p.Name] = append(links[p.Name], name) // the answer is a heartbeat too
			}
			if k := len(tb.Partners()); k > 8 {
				t.Errorf("%d partners in a fleet of %d; want at most 8", k, n)
			}
		}
		reached := map[string]bool{all[0]: true}
		rounds := 0
		for ; len(reached) < n && rounds < 20; rounds++ {
			next := make(map[string]bool)
			for name := range reached {
				next[name] = true
				for _, p := range links[name] {
					next[p] = true
				}
			}
			reached = next
		}
		if rounds > 8 {
			t.Errorf("in a fleet of %d, a change takes %d rounds of heartbeats; want at most 8", n, rounds)
		}
	}
}

// Removing one instance moves only the jobs that ranked it first.
func TestRankIsStable(t *testing.T) {
	all := names(10)
	moved := 0
	for i := range 1000 {
		job := fmt.Sprint(i)
		before, after := member.Rank(job, all)[0], member.Rank(job, all[:9])[0]
		if before != after {
			moved++
			if before != all[9] {
				t.Fatalf("job %s moved from %s, which was not removed; want it to stay", job, before)
			}
		}
	}
	if moved < 50 || moved > 150 {
		t.Errorf("%d of 1000 jobs moved when 1 of 10 instances was removed; want 50 to 150", moved)
	}
}
