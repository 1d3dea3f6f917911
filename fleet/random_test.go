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

func withLongerTarget(text string) string {
	return strings.Replace(text, "whole: 2s", "whole: 4s", 1)
}

// IVYRIDGE_SCHEDULES sets the number of schedules, IVYRIDGE_SEED the first seed.
func TestRandomSchedules(t *testing.T) {
	count, firstSeed := envInt("IVYRIDGE_SCHEDULES", 24), envInt("IVYRIDGE_SEED", 1)
	for i := range count {
		seed := uint64(firstSeed + i)
		t.Run(fmt.Sprintf("seed%d", seed), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) { runSchedule(t, seed) })
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

func runSchedule(t *testing.T, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 11))
	sim := newSimulation(t, seed, 3+rng.IntN(4), 2+rng.IntN(3))
	sim.awaitSettled()
	var wg sync.WaitGroup
	for i := range 40 {
		wg.Add(1)
		at := time.Duration(rng.IntN(6000)) * time.Millisecond
		go func() {
			defer wg.Done()
			time.Sleep(at)
			sim.callWithRetries(fmt.Sprintf("v%d", i), "verdict", 8)
		}()
	}
	faults := scheduleFaults(sim)
	for range 2 + rng.IntN(4) {
		time.Sleep(time.Duration(rng.IntN(1500)) * time.Millisecond)
		k := rng.IntN(len(faults))
		sim.trace("fault %d", k)
		faults[k](rng)
	}
	wg.Wait()
	sim.check()
	if t.Failed() {
		t.Logf("reproduce with IVYRIDGE_SEED=%d IVYRIDGE_SCHEDULES=1", seed)
	}
	sim.close()
}

// scheduleFaults returns the faults to draw from. Seeds depend on their order.
func scheduleFaults(sim *simulation) []func(rng *rand.Rand) {
	randomInstance := func(rng *rand.Rand) *instance {
		all := sim.allInstances()
		return all[rng.IntN(len(all))]
	}
	noFault := func(string, string, *rand.Rand) linkFault { return linkFault{} }
	return []func(rng *rand.Rand){
		func(rng *rand.Rand) { sim.crash(randomInstance(rng)) },
		func(rng *rand.Rand) { // restart under the same name with empty state
			inst := randomInstance(rng)
			sim.crash(inst)
			time.Sleep(time.Duration(rng.IntN(300)) * time.Millisecond)
			sim.start(inst.name, inst.side, owner.Retention)
		},
		func(rng *rand.Rand) { // two instances crash at the same time and restart
			a, b := randomInstance(rng), randomInstance(rng)
			sim.crash(a)
			sim.crash(b)
			sim.start(a.name, a.side, owner.Retention)
			if b != a {
				sim.start(b.name, b.side, owner.Retention)
			}
		},
		func(rng *rand.Rand) { // a running instance is missing from the list temporarily
			inst := randomInstance(rng)
			sim.setInstance(inst.name, "")
			time.Sleep(time.Duration(rng.IntN(1500)) * time.Millisecond)
			sim.setInstance(inst.name, member.Live)
		},
		func(rng *rand.Rand) { // replacement by an instance with a new name
			inst := randomInstance(rng)
			sim.crash(inst)
			sim.setInstance(inst.name, "")
			name := fmt.Sprintf("n%d", 7+rng.IntN(3))
			sim.mu.Lock()
			taken := sim.instances[name] != nil
			sim.mu.Unlock()
			if !taken {
				sim.setInstance(name, member.Live)
				sim.start(name, inst.side, owner.Retention)
			}
		},
		func(rng *rand.Rand) { sim.partition(0, time.Duration(rng.IntN(4000))*time.Millisecond) },
		func(rng *rand.Rand) {
			sim.setLinkFault(lossyLink)
			time.Sleep(time.Duration(rng.IntN(3000)) * time.Millisecond)
			sim.setLinkFault(noFault)
		},
		func(rng *rand.Rand) {
			sim.mu.Lock()
			sim.platformDown = !sim.platformDown
			sim.notifyWatchers()
			sim.mu.Unlock()
		},
		func(rng *rand.Rand) {
			modes := []string{"", "dead", "cut", "busy", "late"}
			sim.mu.Lock()
			sim.endpoints["e1"].mode = modes[rng.IntN(len(modes))]
			sim.mu.Unlock()
		},
		func(rng *rand.Rand) { sim.publish(declarations + fmt.Sprintf("# %d\n", rng.IntN(1000))) },
		func(rng *rand.Rand) {
			sim.mu.Lock()
			if sim.endpoints["e2"].leavingSince.IsZero() {
				sim.endpoints["e2"].leavingSince = time.Now()
			}
			down := sim.platformDown
			sim.mu.Unlock()
			if !down {
				sim.setEndpoint("e2", member.Leaving)
			}
		},
	}
}
