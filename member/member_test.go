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

func TestOldListIsRefused(t *testing.T) {
	tb := member.New("n0")
	tb.SetList(0, listOf(5, "n0", "n1"))
	if tb.SetList(0, listOf(4, "n0")) || len(tb.Peers()) != 2 {
		t.Error("an older list was taken up")
	}
}

func TestSilenceIsSuspected(t *testing.T) {
	tb := member.New("n0")
	tb.SetList(0, listOf(1, "n0", "n1", "n2"))
	for now := time.Duration(0); now < 2*time.Second; now += 100 * time.Millisecond {
		tb.Hear(now, "n1", member.Heard{})
		tb.Tick(now)
	}
	if !tb.Peer("n1").Usable() || tb.Peer("n2").Usable() {
		t.Errorf("n1 is %s, n2 is %s", tb.Peer("n1").State(), tb.Peer("n2").State())
	}
	tb.Hear(2*time.Second, "n2", member.Heard{})
	if !tb.Peer("n2").Usable() {
		t.Error("n2 was heard and is still suspected")
	}
}

func TestRumourYieldsToOwnEars(t *testing.T) {
	tb := member.New("n0")
	tb.SetList(0, listOf(1, "n0", "n1", "n2"))
	tb.Hear(time.Second, "n2", member.Heard{})
	tb.Hear(time.Second, "n1", member.Heard{SuspectedBySender: []member.Suspicion{{Instance: "n2", Since: 500 * time.Millisecond}}})
	if !tb.Peer("n2").Usable() {
		t.Error("a rumour older than what was heard is believed")
	}
	tb.Hear(2*time.Second, "n1", member.Heard{SuspectedBySender: []member.Suspicion{{Instance: "n2", Since: 1500 * time.Millisecond}}})
	if tb.Peer("n2").Usable() {
		t.Error("a newer rumour is not believed")
	}
}

func TestSleeperDoesNotBlameOthers(t *testing.T) {
	tb := member.New("n0")
	tb.SetList(0, listOf(1, "n0", "n1"))
	tb.Hear(0, "n1", member.Heard{})
	tb.Tick(0)
	tb.Slept(time.Hour)
	tb.Tick(time.Hour)
	if !tb.Peer("n1").Usable() {
		t.Error("an instance that slept suspects the others of it")
	}
}

// The partners of a fleet reach all others in few beats, and are few.
func TestPartners(t *testing.T) {
	for _, n := range []int{6, 40, 390} {
		all := names(n)
		to := make(map[string][]string)
		for _, name := range all {
			tb := member.New(name)
			tb.SetList(0, listOf(1, all...))
			for _, p := range tb.BeatTo() {
				to[name] = append(to[name], p.Name)
				to[p.Name] = append(to[p.Name], name) // the answer tells as much
			}
			if k := len(tb.BeatTo()); k > 8 {
				t.Errorf("%d partners in a fleet of %d", k, n)
			}
		}
		reached := map[string]bool{all[0]: true}
		beats := 0
		for ; len(reached) < n && beats < 20; beats++ {
			next := make(map[string]bool)
			for name := range reached {
				next[name] = true
				for _, p := range to[name] {
					next[p] = true
				}
			}
			reached = next
		}
		if beats > 8 {
			t.Errorf("a fleet of %d takes %d beats until all have heard", n, beats)
		}
	}
}

// Rank moves few jobs when one instance goes.
func TestRankIsStable(t *testing.T) {
	all := names(10)
	moved := 0
	for i := range 1000 {
		job := fmt.Sprint(i)
		before, after := member.Rank(job, all)[0], member.Rank(job, all[:9])[0]
		if before != after {
			moved++
			if before != all[9] {
				t.Fatalf("job %s moved from %s, which is still there", job, before)
			}
		}
	}
	if moved < 50 || moved > 150 {
		t.Errorf("%d of 1000 jobs moved when one of 10 left", moved)
	}
}
