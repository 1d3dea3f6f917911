package limit_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"ivyridge/limit"
)

var start = time.Unix(1000, 0)

// Answers pass each other, and instances hear them in any order: the newest word holds, and one
// that may be older than the limit ends none.
func TestWords(t *testing.T) {
	var w limit.Word
	if w.Known() || w.Lift(start) {
		t.Error("an endpoint that said nothing is known to have a limit")
	}
	if !w.Name(1.2, start) || w.Name(1.2, start.Add(time.Second)) {
		t.Error("a limit is news once")
	}
	if w.Lift(start.Add(500 * time.Millisecond)) {
		t.Error("an answer to a request from before the limit was last named ends it")
	}
	if !w.Name(0.5, start.Add(2*time.Second)) || w.Rate != 0.5 {
		t.Error("a limit that falls is not news")
	}
	other := w
	if !w.Lift(start.Add(3*time.Second)) || w.Named {
		t.Error("an answer to a later request does not end a limit")
	}
	if w.Merge(other) {
		t.Error("an older word is taken for a newer one")
	}
	if !other.Merge(w) || other.Named {
		t.Error("that a limit is over is not taken from another instance")
	}
}

// Told in a circle, each time a little too young, a word never outlasts the one that ends it.
func TestWordsDontGrowYoung(t *testing.T) {
	var a, b limit.Word
	a.Name(2, start)
	const way = 200 * time.Millisecond
	now := start
	for range 1000 {
		age := now.Sub(a.At)
		now = now.Add(way)
		b.Merge(limit.Told(a.Named, a.Rate, age, now))
		age = now.Sub(b.At)
		now = now.Add(way)
		a.Merge(limit.Told(b.Named, b.Rate, age, now))
	}
	if !a.Lift(start.Add(time.Second)) || !b.Merge(a) {
		t.Errorf("words of %v and %v are not ended after a second", a.At, b.At)
	}
}

// Whatever is merged, in whatever order and how often, all instances that have heard the same end up
// with the same.
func TestWordsAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		words := make([]limit.Word, rapid.IntRange(1, 6).Draw(t, "words"))
		for i := range words {
			// No two at the same instant, which two different answers don't share.
			words[i] = limit.Word{Named: rapid.Bool().Draw(t, "named"), At: start.Add(time.Duration(i+1) * time.Second)}
			if words[i].Named {
				words[i].Rate = float64(i) // no two name the same
			}
		}
		newest := words[len(words)-1]
		for range 2 {
			var w limit.Word
			for _, i := range rapid.Permutation(indexes(len(words))).Draw(t, "order") {
				w.Merge(words[i])
				if rapid.Bool().Draw(t, "twice") {
					w.Merge(words[i])
				}
			}
			if w.Named != newest.Named || w.Rate != newest.Rate {
				t.Fatalf("got %+v, want %+v", w, newest)
			}
		}
	})
}

func indexes(n int) (out []int) {
	for i := range n {
		out = append(out, i)
	}
	return out
}

// An asker is an instance that asks again when it was told to.
type asker struct {
	next  time.Time
	level int
}

// played is what came of asking for a while.
type played struct {
	granted []time.Time
	byLevel [limit.Levels]int
	asks    int
}

// play has askers ask for permits for a while. An asker has a request every pause; zero: always.
func play(d *limit.Divider, rate, share float64, askers []asker, pause, d2 time.Duration, rng *rand.Rand) (out played) {
	word := limit.Word{Named: true, Rate: rate, At: start}
	for now := start; now.Before(start.Add(d2)); now = now.Add(2 * time.Millisecond) {
		for i := range askers {
			a := &askers[i]
			if now.Before(a.next) {
				continue
			}
			out.asks++
			answer := d.Ask(7, word, share, a.level, now, rng.Float64())
			a.next = now.Add(pause + 2*time.Millisecond)
			if answer.Granted {
				out.granted = append(out.granted, now)
				out.byLevel[a.level]++
			} else if later := now.Add(answer.Wait); later.After(a.next) {
				a.next = later
			}
		}
	}
	return out
}

// most returns how many permits were given out within a span at most.
func most(at []time.Time, span time.Duration) (n int) {
	first := 0
	for i := range at {
		for at[i].Sub(at[first]) >= span {
			first++
		}
		n = max(n, i-first+1)
	}
	return n
}

// What is given out is within the limit over any 4 s, and little of it is left, however many ask
// and whether the limit is below a request a second or far above; and those who ask in vain are not many.
func TestLimitIsUsedAndKept(t *testing.T) {
	const span, lasts = 4 * time.Second, 60 * time.Second
	for _, rate := range []float64{0, 0.5, 1.2, 6, 50, 200} {
		for _, askers := range []int{1, 3, 18, 390} {
			t.Run(fmt.Sprintf("%v a second, %d askers", rate, askers), func(t *testing.T) {
				got := play(new(limit.Divider), rate, 1, make([]asker, askers), 0, lasts, rand.New(rand.NewPCG(1, 2)))
				if n := most(got.granted, span); float64(n) > 1.2*rate*span.Seconds()+4 {
					t.Errorf("%d in %v", n, span)
				}
				if used := float64(len(got.granted)) / lasts.Seconds(); used < 0.9*rate || rate == 0 && used < 0.4 {
					t.Errorf("%.2f a second are used", used)
				}
				if asks := float64(got.asks) / lasts.Seconds(); asks > max(1000, 8*rate) {
					t.Errorf("%.0f asks a second", asks)
				}
			})
		}
	}
}

// Less urgent requests get what the more urgent ones leave.
func TestUrgentRequestsGetPermitsFirst(t *testing.T) {
	askers := make([]asker, 6)
	for i := range askers {
		askers[i].level = i % 2
	}
	got := play(new(limit.Divider), 6, 1, askers, 0, 60*time.Second, rand.New(rand.NewPCG(1, 2)))
	if n := len(got.granted); got.byLevel[0] < n*95/100 {
		t.Errorf("the more urgent half got %d of %d permits", got.byLevel[0], n)
	}
	// With few urgent ones, one every two seconds, the others get the rest.
	for i := range askers {
		askers[i] = asker{level: 1}
	}
	askers[0].level = 0
	d := new(limit.Divider)
	word := limit.Word{Named: true, Rate: 6, At: start}
	urgent, other := 0, 0
	next := start
	for now := start; now.Before(start.Add(30 * time.Second)); now = now.Add(5 * time.Millisecond) {
		if !now.Before(next) {
			if a := d.Ask(7, word, 1, 0, now, 0); a.Granted {
				urgent++
				next = now.Add(2 * time.Second)
			} else {
				next = now.Add(a.Wait)
			}
		}
		if d.Ask(7, word, 1, 2, now, 0).Granted {
			other++
		}
	}
	if urgent < 13 || urgent+other < 160 {
		t.Errorf("%d urgent requests in 30 s, and %d others, at 6 a second", urgent, other)
	}
}

// Without a part nothing is given out, and an endpoint that names no limit any more takes all.
func TestDividerWithoutPart(t *testing.T) {
	d := new(limit.Divider)
	if a := d.Ask(7, limit.Word{Named: true, Rate: 50, At: start}, 0, 0, start.Add(time.Minute), 0); a.Granted || a.Wait != limit.NoPart {
		t.Errorf("got %+v", a)
	}
	if a := d.Ask(7, limit.Word{At: start.Add(time.Second)}, 0, 0, start.Add(time.Minute), 0); !a.Granted || a.Word.Named {
		t.Errorf("got %+v", a)
	}
}

// Each endpoint has one divider, of its own data centre if there is any, the same whoever works it
// out; and one that goes moves only what it had.
func TestOneDividesEachLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := make([]limit.Candidate, rapid.IntRange(1, 18).Draw(t, "candidates"))
		for i := range all {
			all[i] = limit.Candidate{ID: uint64(i + 1), DataCentre: fmt.Sprint("dc", rapid.IntRange(0, 5).Draw(t, "data centre"))}
		}
		endpoint, home := rapid.Uint32().Draw(t, "endpoint"), fmt.Sprint("dc", rapid.IntRange(0, 5).Draw(t, "home"))
		first := all[limit.Divides(endpoint, home, all)]
		for _, c := range all {
			if c.DataCentre == home && first.DataCentre != home {
				t.Fatalf("%+v divides a limit of %s, with %+v there", first, home, c)
			}
		}
		shuffled := rapid.Permutation(all).Draw(t, "order")
		if again := shuffled[limit.Divides(endpoint, home, shuffled)]; again != first {
			t.Fatalf("%+v in one order, %+v in another", first, again)
		}
		for i, c := range all {
			if c == first {
				continue
			}
			left := append(append([]limit.Candidate(nil), all[:i]...), all[i+1:]...)
			if again := left[limit.Divides(endpoint, home, left)]; again != first {
				t.Fatalf("%+v has gone, and %+v in place of %+v divides", c, again, first)
			}
		}
	})
	if limit.Divides(1, "a", nil) >= 0 {
		t.Error("a limit is divided though there is nobody")
	}
}

// An ask at the instance that divides the limits of 690 endpoints.
func BenchmarkAsk(b *testing.B) {
	d := new(limit.Divider)
	word := limit.Word{Named: true, Rate: 1.2, At: start}
	now := start
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		now = now.Add(time.Millisecond)
		d.Ask(uint32(i%690), word, 1, i%limit.Levels, now, 0.5)
	}
}
