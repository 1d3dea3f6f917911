package fleet_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"time"

	"ivyridge/command"
	"ivyridge/member"
	"ivyridge/owner"
	"ivyridge/verdict"
)

func TestServes(t *testing.T) {
	simulate(t, 1, 3, 2, func(sim *simulation) {
		for i := range 20 {
			if r := sim.callWithRetries(fmt.Sprintf("v%d", i), "verdict", 1); r.err != nil {
				t.Errorf("request v%d: got error %v, want none", i, r.err)
			}
		}
	})
}

// callConcurrently sends n requests of class verdict, spread evenly over the
// duration over, with up to tries attempts each.
func (sim *simulation) callConcurrently(n int, over time.Duration, tries int) []reply {
	out := make([]reply, n)
	var wg sync.WaitGroup
	for i := range n {
		wg.Add(1)
		go func() {
			defer wg.Done()
			time.Sleep(over * time.Duration(i) / time.Duration(n))
			out[i] = sim.callWithRetries(fmt.Sprintf("v%d", i), "verdict", tries)
		}()
	}
	wg.Wait()
	return out
}

func countAnswered(rs []reply) int {
	n := 0
	for _, r := range rs {
		if r.err == nil {
			n++
		}
	}
	return n
}

// homeInstance returns the running instance that is home of the only cell.
func (sim *simulation) homeInstance() *instance {
	sim.t.Helper()
	for _, inst := range sim.allInstances() {
		for _, c := range inst.node.Cells() {
			if c.Rank == 0 && inst.ctx.Err() == nil {
				return inst
			}
		}
	}
	sim.t.Fatal("no running instance is home of the cell")
	return nil
}

func TestHomeCrash(t *testing.T) {
	simulate(t, 2, 5, 3, func(sim *simulation) {
		sim.callWithRetries("v-first", "verdict", 1)
		go func() {
			time.Sleep(time.Second)
			sim.crash(sim.homeInstance())
		}()
		rs := sim.callConcurrently(200, 3*time.Second, 6)
		lost := 0
		for _, r := range rs {
			if r.err != nil && r.err.Reason != verdict.EntryLost {
				lost++
			}
		}
		if lost > 0 {
			t.Errorf("%d of %d requests failed, want none when only the home crashes", lost, len(rs))
		}
	})
}

// Retries of a crashed entry's open requests get may-have-run and do not run.
func TestEntryCrash(t *testing.T) {
	simulate(t, 3, 5, 3, func(sim *simulation) {
		go func() {
			time.Sleep(time.Second)
			sim.crash(sim.allInstances()[1])
		}()
		rs := sim.callConcurrently(200, 3*time.Second, 6)
		if n := countAnswered(rs); n < 190 {
			t.Errorf("%d of 200 requests answered, want at least 190", n)
		}
		for _, r := range rs {
			if r.err != nil && r.err.Verdict == verdict.NotRun {
				t.Errorf("request got %v after all retries, want no verdict not-run", r.err)
			}
		}
	})
}

func TestOwnerCrash(t *testing.T) {
	simulate(t, 4, 6, 3, func(sim *simulation) {
		eligible := owner.Eligible(&sim.list)
		for i := range 30 {
			id := fmt.Sprintf("vk%d", i)
			var k owner.Key
			copy(k[:], id)
			entry, other := sim.allInstances()[0], sim.allInstances()[1]
			done := make(chan reply, 1)
			go func() { done <- sim.call(entry, id, id+"/first", "verdict") }()
			time.Sleep(time.Duration(i%5) * 15 * time.Millisecond)
			var crashed *instance
			for _, name := range owner.Of(owner.PartitionOf(k), eligible) {
				if name != entry.name && name != other.name && crashed == nil {
					crashed = sim.instances[name]
				}
			}
			if crashed != nil {
				sim.crash(crashed)
			}
			second := sim.call(other, id, id+"/second", "verdict")
			<-done
			if second.err != nil && second.err.Verdict != verdict.NotRun {
				t.Errorf("%s: the retry failed with %v, want success or not-run", id, second.err)
			}
			if crashed != nil {
				sim.start(crashed.name, crashed.side, owner.Retention)
				sim.awaitSettled()
			}
		}
	})
}

// Both sides of a partition serve requests.
func TestPartition(t *testing.T) {
	simulate(t, 5, 6, 4, func(sim *simulation) {
		sim.partition(500*time.Millisecond, 4*time.Second)
		rs := sim.callConcurrently(200, 4*time.Second, 12)
		if n := countAnswered(rs); n < 150 {
			t.Errorf("%d of 200 requests answered during the partition, want at least 150", n)
		}
		time.Sleep(5 * time.Second)
		if n := countAnswered(sim.callSequentially("vafter", 20)); n < 20 {
			t.Errorf("%d of 20 requests answered after the partition, want all", n)
		}
	})
}

// callSequentially sends n requests of class verdict with up to 3 attempts each.
func (sim *simulation) callSequentially(prefix string, n int) []reply {
	var out []reply
	for i := range n {
		out = append(out, sim.callWithRetries(fmt.Sprintf("%s%d", prefix, i), "verdict", 3))
	}
	return out
}

// partition separates the sides of the network for duration, in the background.
func (sim *simulation) partition(after, duration time.Duration) {
	go func() {
		time.Sleep(after)
		sim.setLinkFault(func(from, to string, _ *rand.Rand) linkFault {
			return linkFault{drop: sim.instances[from].side != sim.instances[to].side}
		})
		time.Sleep(duration)
		sim.setLinkFault(func(string, string, *rand.Rand) linkFault { return linkFault{} })
	}()
}

func (sim *simulation) setLinkFault(f func(from, to string, rng *rand.Rand) linkFault) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	sim.linkFault = f
}

// lossyLink drops, duplicates, delays and reorders messages between peers.
func lossyLink(_, _ string, rng *rand.Rand) linkFault {
	return linkFault{
		drop:      rng.IntN(20) == 0,
		loseReply: rng.IntN(20) == 0,
		duplicate: rng.IntN(5) == 0,
		delay:     time.Duration(rng.IntN(80)) * time.Millisecond,
	}
}

func TestLossyNetwork(t *testing.T) {
	simulate(t, 6, 5, 3, func(sim *simulation) {
		sim.setLinkFault(lossyLink)
		if n := countAnswered(sim.callConcurrently(150, 5*time.Second, 10)); n < 140 {
			t.Errorf("%d of 150 requests answered over a lossy network, want at least 140", n)
		}
	})
}

// No request fails during planned shutdowns.
func TestPlannedStops(t *testing.T) {
	simulate(t, 7, 4, 3, func(sim *simulation) {
		go func() {
			for i, inst := range sim.allInstances() {
				sim.leave(inst)
				sim.setInstance(fmt.Sprintf("n%d", i+5), member.Live)
				sim.start(fmt.Sprintf("n%d", i+5), inst.side, owner.Retention)
				sim.awaitSettled()
			}
		}()
		for i, r := range sim.callConcurrently(400, 20*time.Second, 4) {
			if r.err != nil {
				t.Errorf("request v%d: got error %v, want none", i, r.err)
			}
		}
	})
}

// All instances but one restart with empty state.
func TestAllButOneCrash(t *testing.T) {
	simulate(t, 8, 5, 3, func(sim *simulation) {
		go func() {
			time.Sleep(time.Second)
			for _, inst := range sim.allInstances()[1:] {
				sim.crash(inst)
			}
			for _, inst := range sim.allInstances()[1:] {
				sim.start(inst.name, inst.side, owner.Retention)
			}
		}()
		sim.callConcurrently(100, 2*time.Second, 12)
		time.Sleep(owner.Retention)
		if n := countAnswered(sim.callSequentially("vafter", 20)); n != 20 {
			t.Errorf("%d of 20 requests answered after the quarantine, want all", n)
		}
	})
}

// transport.toEndpoint checks that a leaving endpoint gets no requests after 2 s.
func TestEndpointLeaves(t *testing.T) {
	simulate(t, 9, 4, 3, func(sim *simulation) {
		go func() {
			time.Sleep(time.Second)
			sim.mu.Lock()
			sim.endpoints["e1"].leavingSince = time.Now()
			sim.mu.Unlock()
			sim.setEndpoint("e1", member.Leaving)
		}()
		for i, r := range sim.callConcurrently(300, 6*time.Second, 3) {
			if r.err != nil {
				t.Errorf("request v%d: got error %v, want none", i, r.err)
			}
		}
	})
}

func TestEndpointFaults(t *testing.T) {
	for _, mode := range []string{"dead", "cut", "busy", "late"} {
		t.Run(mode, func(t *testing.T) {
			simulate(t, 10, 3, 3, func(sim *simulation) {
				sim.endpoints["e1"].mode = mode
				rs := sim.callConcurrently(100, 3*time.Second, 3)
				for i, r := range rs {
					if r.err != nil && r.err.Verdict == verdict.NotRun {
						t.Errorf("request v%d got %v after all retries, want no verdict not-run", i, r.err)
					}
				}
			})
		})
	}
}

// countInForce returns how many running instances apply the revision.
func (sim *simulation) countInForce(revision int64) int {
	n := 0
	for _, inst := range sim.allInstances() {
		if inst.ctx.Err() == nil && inst.node.Config().Revision == revision {
			n++
		}
	}
	return n
}

func TestRevisionSpreads(t *testing.T) {
	simulate(t, 11, 6, 2, func(sim *simulation) {
		sim.publish(declarations + "# two\n")
		time.Sleep(time.Second)
		if n := sim.countInForce(2); n != 6 {
			t.Errorf("revision 2 is in force on %d of 6 instances after a second, want all", n)
		}
		sim.publish("classes: [{nonsense: 1}]")
		time.Sleep(2 * time.Second)
		if n := sim.countInForce(2); n != 6 {
			t.Errorf("revision 2 is in force on %d of 6 instances after an invalid publication, want all", n)
		}
		sim.mu.Lock()
		sim.platformStale = true
		sim.notifyWatchers()
		sim.mu.Unlock()
		time.Sleep(3 * time.Second)
		if n := sim.countInForce(2); n != 6 {
			t.Errorf("revision 2 is in force on %d of 6 instances after the platform served an old revision, want all", n)
		}
		sim.crash(sim.allInstances()[0])
		added := sim.start("n1", 0, 0) // restarts while the platform serves an old revision
		time.Sleep(3 * time.Second)
		if ready, reason := added.node.Ready(); !ready || added.node.Config().Revision != 2 {
			t.Errorf("the restarted instance has revision %d (ready %v %s), want 2 and ready", added.node.Config().Revision, ready, reason)
		}
	})
}

// Guards against a timeout of 500 ms for documents, whose transfer takes 1.2 s.
func TestLargeRevisionSpreadsOverSlowLinks(t *testing.T) {
	simulate(t, 21, 6, 2, func(sim *simulation) {
		sim.mu.Lock()
		sim.linkFault = func(string, string, *rand.Rand) linkFault { return linkFault{bytesPerSecond: 250_000} }
		sim.mu.Unlock()
		sim.publish(declarations + strings.Repeat("# a comment of forty bytes to fill lines\n", 7500))
		time.Sleep(6 * time.Second)
		if n := sim.countInForce(2); n != 6 {
			t.Errorf("revision 2 is in force on %d of 6 instances after 6 s over slow links, want all", n)
		}
	})
}

// The number of calls to the platform does not grow with the fleet.
func TestPlatformCalls(t *testing.T) {
	callsDuringRetention := func(instances int) (calls int) {
		simulate(t, 12, instances, 1, func(sim *simulation) {
			time.Sleep(5 * time.Second)
			sim.mu.Lock()
			before := sim.platformCalls
			sim.mu.Unlock()
			time.Sleep(owner.Retention)
			sim.mu.Lock()
			calls = sim.platformCalls - before
			sim.mu.Unlock()
		})
		return calls
	}
	three, nine := callsDuringRetention(3), callsDuringRetention(9)
	if nine > three+three/4 {
		t.Errorf("nine instances made %d platform calls during the retention period, want at most 5/4 of the %d of three instances", nine, three)
	}
}

func TestPlatformDown(t *testing.T) {
	simulate(t, 13, 5, 3, func(sim *simulation) {
		sim.mu.Lock()
		sim.platformDown = true
		sim.notifyWatchers()
		sim.mu.Unlock()
		time.Sleep(20 * time.Second)
		if n := countAnswered(sim.callConcurrently(50, 2*time.Second, 3)); n != 50 {
			t.Errorf("%d of 50 requests answered while the platform is down, want all", n)
		}
		sim.mu.Lock()
		sim.platformDown = false
		sim.mu.Unlock()
		sim.publish(declarations + "# two\n")
		time.Sleep(8 * time.Second)
		if n := sim.countInForce(2); n != 5 {
			t.Errorf("revision 2 is in force on %d of 5 instances after the outage, want all", n)
		}
	})
}

func lookupTargetCommand(value string) command.Command {
	return command.Command{Op: command.SetClass, Target: "lookup", Field: "whole", Value: value, Operator: "test"}
}

func (inst *instance) lookupTarget() time.Duration {
	s, _ := inst.node.Declarations()
	return s.Class("lookup").Whole
}

func TestCommandSurvivesReplacement(t *testing.T) {
	simulate(t, 14, 4, 2, func(sim *simulation) {
		if _, err := sim.allInstances()[0].node.Command(context.Background(), lookupTargetCommand("1500ms")); err != nil {
			t.Fatal(err)
		}
		for i, inst := range sim.allInstances() {
			if got := inst.lookupTarget(); got != 1500*time.Millisecond {
				t.Errorf("%s applies target %s after the command was accepted, want 1.5s", inst.name, got)
			}
			sim.leave(inst)
			sim.setInstance(fmt.Sprintf("n%d", i+5), member.Live)
			sim.start(fmt.Sprintf("n%d", i+5), inst.side, owner.Retention)
			sim.awaitSettled()
		}
		for _, inst := range sim.readyInstances() {
			if got := inst.lookupTarget(); got != 1500*time.Millisecond {
				t.Errorf("%s applies target %s after all were replaced, want 1.5s", inst.name, got)
			}
		}
	})
}

func TestCommandNeedsAllInstances(t *testing.T) {
	simulate(t, 15, 4, 2, func(sim *simulation) {
		sim.partition(0, 10*time.Second)
		time.Sleep(time.Second)
		if _, err := sim.allInstances()[0].node.Command(context.Background(), lookupTargetCommand("1500ms")); err == nil {
			t.Error("a command was accepted on one side of a partition, want an error")
		}
		for _, inst := range sim.allInstances() {
			if got := inst.lookupTarget(); got != 2*time.Second {
				t.Errorf("%s applies target %s after the command was refused, want 2s", inst.name, got)
			}
		}
		time.Sleep(15 * time.Second)
		if _, err := sim.allInstances()[0].node.Command(context.Background(), lookupTargetCommand("1500ms")); err != nil {
			t.Errorf("command after the partition: got error %v, want none", err)
		}
	})
}

// Concurrent commands for a field leave the same value in force on all instances.
func TestCommandRace(t *testing.T) {
	simulate(t, 16, 4, 2, func(sim *simulation) {
		var wg sync.WaitGroup
		accepted := 0
		for i, inst := range sim.allInstances() {
			wg.Add(1)
			go func() {
				defer wg.Done()
				if _, err := inst.node.Command(context.Background(), lookupTargetCommand(fmt.Sprintf("%ds", 3+i))); err == nil {
					sim.mu.Lock()
					accepted++
					sim.mu.Unlock()
				}
			}()
		}
		wg.Wait()
		time.Sleep(2 * time.Second)
		first := sim.allInstances()[0].lookupTarget()
		for _, inst := range sim.allInstances() {
			if inst.lookupTarget() != first {
				t.Errorf("%s applies target %s, %s applies %s, want the same target", inst.name, inst.lookupTarget(), sim.allInstances()[0].name, first)
			}
		}
		if accepted == 0 && first != 2*time.Second {
			t.Errorf("no command was accepted, but the target is %s, want 2s", first)
		}
	})
}

// A later publication overrides a command only if it changes the same field.
func TestPublicationAfterCommand(t *testing.T) {
	simulate(t, 17, 3, 2, func(sim *simulation) {
		if _, err := sim.allInstances()[0].node.Command(context.Background(), lookupTargetCommand("1500ms")); err != nil {
			t.Fatal(err)
		}
		sim.publish(declarations + "# two\n")
		time.Sleep(2 * time.Second)
		if got := sim.allInstances()[1].lookupTarget(); got != 1500*time.Millisecond {
			t.Errorf("target is %s after a publication that does not change the field, want 1.5s", got)
		}
		sim.publish(withLongerTarget(declarations))
		time.Sleep(2 * time.Second)
		if got := sim.allInstances()[1].lookupTarget(); got != 4*time.Second {
			t.Errorf("target is %s after a publication that changes the field, want 4s", got)
		}
	})
}

// The simulation must detect a duplicate run, here of a retry without a key.
func TestDuplicateRunIsDetected(t *testing.T) {
	simulate(t, 18, 3, 2, func(sim *simulation) {
		for try, inst := range sim.allInstances()[:2] {
			sim.call(inst, "unkeyed", fmt.Sprintf("unkeyed/%d", try), "lookup")
		}
		if n := sim.runs["unkeyed"]; n != 2 {
			t.Errorf("%d executions recorded of a request without a key that was sent twice, want 2", n)
		}
	})
}

// An instance that starts while the platform is down gets its state from its seeds.
func TestStartWithoutPlatform(t *testing.T) {
	simulate(t, 19, 4, 2, func(sim *simulation) {
		if _, err := sim.allInstances()[0].node.Command(context.Background(), lookupTargetCommand("1500ms")); err != nil {
			t.Fatal(err)
		}
		sim.mu.Lock()
		sim.platformDown = true
		sim.notifyWatchers()
		sim.seeds = []string{"n1", "n2"}
		sim.mu.Unlock()
		sim.crash(sim.allInstances()[3])
		time.Sleep(5 * time.Second)
		inst := sim.start("n4", 1, owner.Retention)
		sim.awaitSettled()
		if inst.lookupTarget() != 1500*time.Millisecond {
			t.Errorf("the new instance applies target %s, want 1.5s", inst.lookupTarget())
		}
		if r := sim.call(inst, "v1", "v1/0", "verdict"); r.err != nil {
			t.Errorf("request to the new instance: got error %v, want none", r.err)
		}
	})
}

// During a partition, a cell may have a home on each side, each of which grants an
// endpoint at most twice its limit. Afterwards, the limit holds.
func TestOverGrantIsBounded(t *testing.T) {
	const limit = 4 // slots of pool work in declarations
	simulate(t, 20, 6, 2, func(sim *simulation) {
		// takeMaxInFlight resets the maximum over all endpoints and returns it.
		takeMaxInFlight := func() int {
			sim.mu.Lock()
			defer sim.mu.Unlock()
			n := 0
			for _, e := range sim.endpoints {
				n = max(n, e.maxInFlight)
				e.maxInFlight = e.inFlight
			}
			return n
		}
		sim.partition(100*time.Millisecond, 4*time.Second)
		sim.callConcurrently(400, 4*time.Second, 2)
		if n := takeMaxInFlight(); n > 2*2*limit || n <= limit/2 {
			t.Errorf("an endpoint had up to %d requests in flight during the partition, want more than half and at most four times its limit of %d", n, limit)
		}
		time.Sleep(8 * time.Second)
		takeMaxInFlight()
		sim.callSequentially("vafter", 40)
		var wg sync.WaitGroup
		for i := range 100 {
			wg.Add(1)
			go func() {
				defer wg.Done()
				sim.callWithRetries(fmt.Sprintf("vlast%d", i), "verdict", 2)
			}()
		}
		wg.Wait()
		if n := takeMaxInFlight(); n > limit {
			t.Errorf("an endpoint had up to %d requests in flight after the partition, want at most its limit of %d", n, limit)
		}
	})
}

// A retry gets may-have-run if the entry crashed after its claim was recorded.
func TestEntryCrashBetweenClaimAndSend(t *testing.T) {
	simulate(t, 21, 4, 2, func(sim *simulation) {
		entry, other := sim.allInstances()[0], sim.allInstances()[1]
		var k owner.Key
		copy(k[:], "v1")
		if c, err := entry.node.Claim(context.Background(), k); err != nil || c.Holder != nil {
			t.Fatalf("claim: got %+v with error %v, want no holder and no error", c, err)
		}
		sim.crash(entry)
		r := sim.call(other, "v1", "v1/1", "verdict")
		if r.err == nil || r.err.Verdict != verdict.MayHaveRun || sim.runs["v1"] != 0 {
			t.Errorf("the retry got %v and the request ran %d times, want may-have-run and no run", r.err, sim.runs["v1"])
		}
	})
}

// Requests are served while the list of instances is wrong.
func TestInaccurateInstanceList(t *testing.T) {
	simulate(t, 22, 5, 3, func(sim *simulation) {
		sim.setInstance("n8", member.Live) // n8 does not exist
		sim.setInstance("n5", "")          // n5 keeps running
		rs := sim.callConcurrently(100, 4*time.Second, 8)
		if n := countAnswered(rs); n < 95 {
			t.Errorf("%d of 100 requests answered with an inaccurate list of instances, want at least 95", n)
		}
	})
}
