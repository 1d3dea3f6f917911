package balance_test

import (
	"testing"
	"time"

	"ivyridge/balance"
)

// letter returns the demand of a request between a stream and a long prompt in urgency and
// length.
func (f *fixture) letter() *balance.Demand {
	d := f.stream()
	d.Priority, d.Objective, d.Prompt, d.Output = 1, 500*time.Millisecond, 2400, 25
	return d
}

// flood admits long prompts until one of them is refused, and returns how many were admitted.
func (f *fixture) flood(t *testing.T, b *balance.Balancer) (admitted int) {
	t.Helper()
	for part := uint64(1000); part < 2000; part++ {
		if _, refusal := b.Admit(f.endpoints, f.long(part)); refusal != nil {
			return admitted
		}
		admitted++
	}
	t.Fatal("a thousand long prompts at once are admitted")
	return 0
}

// rush lets streams, letters and long prompts come in turn, the first two of which take half
// of the engines' time and have begun when the next come, and returns how many of each are
// refused.
func (f *fixture) rush(b *balance.Balancer, n int) (streams, letters, long int) {
	var begun []*balance.Placement
	turn := 100 * time.Millisecond / time.Duration(len(f.endpoints))
	for part := range uint64(n) {
		f.now = f.now.Add(turn)
		for _, p := range begun {
			p.First(turn)
		}
		begun = begun[:0]
		begun = f.count(b, f.stream(), &streams, begun)
		begun = f.count(b, f.letter(), &letters, begun)
		f.count(b, f.long(5000+part), &long, nil)
	}
	return streams, letters, long
}

// count admits a request to those placed, or counts it as refused.
func (f *fixture) count(b *balance.Balancer, d *balance.Demand, refused *int, placed []*balance.Placement) []*balance.Placement {
	p, _ := b.Admit(f.endpoints, d)
	if p == nil {
		*refused++
		return placed
	}
	return append(placed, p)
}

// Symptom: in a rush, one letter in three was turned away though it would have waited 40 ms,
// while long prompts, which are less urgent, were let in by other schedulers. Sequence: long
// prompts fill the engines up to their own objective; a stream comes, with an objective below that
// wait; it is refused; for half a second letters give way to it as long prompts do. Cause: the
// stream was counted behind prompts that it goes ahead of.
func TestUrgentRequestsAreNotRefusedBehindLessUrgentOnes(t *testing.T) {
	for _, engines := range []int{2, 6, 20} {
		f := newFixture(engines)
		b := f.balancer()
		admitted := f.flood(t, b)
		streams, letters, long := f.rush(b, 20)
		if streams > 0 || letters > 0 {
			t.Errorf("%d engines, %d long prompts: %d streams and %d letters refused", engines, admitted, streams, letters)
		}
		if long < 10 {
			t.Errorf("%d engines: %d of 20 long prompts refused while they fill the engines", engines, long)
		}
	}
}

// The same where another instance has let the long prompts in, and told so by notices or by
// reports.
func TestUrgencyOfOthersRequestsIsTold(t *testing.T) {
	for _, told := range []string{"notices", "reports"} {
		f := newFixture(4)
		other, b := f.balancer(), f.balancer()
		b.Place(f.endpoints, f.letter()).Done(balance.Served) // b knows the endpoints
		f.flood(t, other)
		reports, _ := other.Reports(true, 0)
		if told == "notices" {
			reports = nil
		}
		b.Merge(1, other.Placed(), reports, true)
		if told == "reports" {
			f.now = f.now.Add(100 * time.Millisecond) // the notices have lapsed
		}
		if streams, letters, _ := f.rush(b, 10); streams > 0 || letters > 0 {
			t.Errorf("told by %s: %d streams and %d letters refused", told, streams, letters)
		}
	}
}

// What goes ahead counts: letters that fill the engines give way to streams, after long
// prompts did.
func TestTheLeastUrgentGiveWayFirst(t *testing.T) {
	f := newFixture(4)
	b := f.balancer()
	for refused := 0; refused == 0; {
		refused = admit(t, f, b, 1, f.letter)
	}
	long := func() *balance.Demand { return f.long(9000) }
	if refused := admit(t, f, b, 20, long); refused != 20 {
		t.Errorf("%d of 20 long prompts refused while letters are", refused)
	}
	if refused := admit(t, f, b, 20, f.stream); refused > 0 {
		t.Errorf("%d of 20 streams refused behind letters that they go ahead of", refused)
	}
	if refused := admit(t, f, b, 20, f.letter); refused < 19 {
		t.Errorf("%d of 20 letters refused behind others that fill the engines", refused)
	}
}
