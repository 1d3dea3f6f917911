package fleet_test

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"ivyridge/member"
	"ivyridge/owner"
)

func replaceWhole(text string) string {
	return strings.Replace(text, "whole: 2s", "whole: 4s", 1)
}

// TestRandomSchedules runs random schedules of faults and checks the books.
// IVYRIDGE_SCHEDULES sets how many, IVYRIDGE_SEED the first seed.
func TestRandomSchedules(t *testing.T) {
	n, first := envInt("IVYRIDGE_SCHEDULES", 24), envInt("IVYRIDGE_SEED", 1)
	for i := range n {
		seed := uint64(first + i)
		t.Run(fmt.Sprintf("seed%d", seed), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) { schedule(t, seed) })
		})
	}
}

func envInt(name string, value int) int {
	if s := os.Getenv(name); s != "" {
		if n, err := strconv.Atoi(s); err == nil {
			return n
		}
	}
	return value
}

// schedule runs one fleet through faults drawn from the seed.
func schedule(t *testing.T, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 11))
	w := newWorld(t, seed, 3+rng.IntN(4), 2+rng.IntN(3))
	w.settle()
	var wg sync.WaitGroup
	for i := range 40 {
		wg.Add(1)
		at := time.Duration(rng.IntN(6000)) * time.Millisecond
		go func() {
			defer wg.Done()
			time.Sleep(at)
			w.persist(fmt.Sprintf("v%d", i), "verdict", 8)
		}()
	}
	faults := faultsOf(w)
	for range 2 + rng.IntN(4) {
		time.Sleep(time.Duration(rng.IntN(1500)) * time.Millisecond)
		k := rng.IntN(len(faults))
		w.trace("fault %d", k)
		faults[k](rng)
	}
	wg.Wait()
	w.check()
	if t.Failed() {
		t.Logf("reproduce with IVYRIDGE_SEED=%d IVYRIDGE_SCHEDULES=1", seed)
	}
	w.close()
}

// faultsOf returns the faults that a schedule may draw.
func faultsOf(w *world) []func(rng *rand.Rand) {
	some := func(rng *rand.Rand) *instance {
		all := w.all()
		return all[rng.IntN(len(all))]
	}
	clear := func(string, string, *rand.Rand) weather { return weather{} }
	return []func(rng *rand.Rand){
		func(rng *rand.Rand) { w.crash(some(rng)) },
		func(rng *rand.Rand) { // restart in place, with its memory gone
			x := some(rng)
			w.crash(x)
			time.Sleep(time.Duration(rng.IntN(300)) * time.Millisecond)
			w.start(x.name, x.side, owner.Retention)
		},
		func(rng *rand.Rand) { // two at once
			a, b := some(rng), some(rng)
			w.crash(a)
			w.crash(b)
			w.start(a.name, a.side, owner.Retention)
			if b != a {
				w.start(b.name, b.side, owner.Retention)
			}
		},
		func(rng *rand.Rand) { // unlisted though alive
			x := some(rng)
			w.setInstance(x.name, "")
			time.Sleep(time.Duration(rng.IntN(1500)) * time.Millisecond)
			w.setInstance(x.name, member.Live)
		},
		func(rng *rand.Rand) { // replaced by a new name
			x := some(rng)
			w.crash(x)
			w.setInstance(x.name, "")
			name := fmt.Sprintf("n%d", 7+rng.IntN(3))
			w.mu.Lock()
			taken := w.instances[name] != nil
			w.mu.Unlock()
			if !taken {
				w.setInstance(name, member.Live)
				w.start(name, x.side, owner.Retention)
			}
		},
		func(rng *rand.Rand) { w.cutFrom(0, time.Duration(rng.IntN(4000))*time.Millisecond) },
		func(rng *rand.Rand) {
			w.setWeather(rough)
			time.Sleep(time.Duration(rng.IntN(3000)) * time.Millisecond)
			w.setWeather(clear)
		},
		func(rng *rand.Rand) {
			w.mu.Lock()
			w.down = !w.down
			w.stir()
			w.mu.Unlock()
		},
		func(rng *rand.Rand) {
			modes := []string{"", "dead", "cut", "busy", "late"}
			w.mu.Lock()
			w.endpoints["e1"].mode = modes[rng.IntN(len(modes))]
			w.mu.Unlock()
		},
		func(rng *rand.Rand) { w.publish(declarations + fmt.Sprintf("# %d\n", rng.IntN(1000))) },
		func(rng *rand.Rand) {
			w.mu.Lock()
			if w.endpoints["e2"].leaving.IsZero() {
				w.endpoints["e2"].leaving = time.Now()
			}
			down := w.down
			w.mu.Unlock()
			if !down {
				w.setEndpoint("e2", member.Leaving)
			}
		},
	}
}
