package balance_test

import (
	"slices"
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
// of the time of engines that read tokensPerMS, and have begun when the next come. It returns
// how many of each are refused.
func (f *fixture) rush(b *balance.Balancer, n int, tokensPerMS float64) (streams, letters, long int) {
	var begun []*balance.Placement
	turn := time.Duration(5000 / tokensPerMS / float64(len(f.endpoints)) * float64(time.Millisecond))
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
		for _, speed := range []float64{25, 50, 100} {
			f := newFleet(slices.Repeat([]float64{speed}, engines)...)
			f.play(60, 500*time.Millisecond/time.Duration(engines)) // the speed is learned
			f.answer(f.now.Add(time.Minute))
			f.now = f.now.Add(time.Minute)
			admitted := f.flood(t, f.b)
			turns := int(speed) * engines / 10 // half a second
			streams, letters, long := f.rush(f.b, turns, speed)
			if streams > 0 || letters > 0 {
				t.Errorf("%d engines of %.0f tokens a ms, %d long prompts: %d streams and %d letters refused", engines, speed, admitted, streams, letters)
			}
			if long < turns/4 {
				t.Errorf("%d engines of %.0f tokens a ms: %d of %d long prompts refused while they fill the engines", engines, speed, long, turns)
			}
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
		if streams, letters, _ := f.rush(b, 10, 50); streams > 0 || letters > 0 {
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
