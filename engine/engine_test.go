package engine_test

import (
	"testing"
	"time"

	"ivyridge/engine"
)

// run steps the engine until it is idle. It returns the elapsed time and the sequences as finished.
func run(e *engine.Engine) (time.Duration, []*engine.Sequence) {
	var elapsed time.Duration
	var finished []*engine.Sequence
	for !e.Idle() {
		took, out := e.Step()
		elapsed += took
		for _, s := range out {
			if s.Produced == s.Length {
				finished = append(finished, s)
			}
		}
	}
	return elapsed, finished
}

func TestLargerBatchTradesLatencyForThroughput(t *testing.T) {
	one, many := engine.New(engine.Default()), engine.New(engine.Default())
	one.Add(&engine.Sequence{Prompt: 10, Length: 100})
	for range 20 {
		many.Add(&engine.Sequence{Prompt: 10, Length: 100})
	}
	alone, _ := run(one)
	together, _ := run(many)
	if together <= alone || together >= 20*alone/2 {
		t.Errorf("one sequence takes %s, twenty take %s; want more, but less than half of twenty times as much", alone, together)
	}
}

func TestPriorityIsAdmittedFirst(t *testing.T) {
	p := engine.Default()
	p.MaxRunning = 1
	e := engine.New(p)
	low, high := &engine.Sequence{Priority: 2, Prompt: 1, Length: 5}, &engine.Sequence{Priority: 0, Prompt: 1, Length: 5}
	e.Add(low)
	e.Add(high)
	if _, finished := run(e); finished[0] != high {
		t.Error("the sequence of priority 2 finished first, want that of priority 0")
	}
}

func TestPreemptionWhenMemoryIsFull(t *testing.T) {
	p := engine.Default()
	p.MemoryTokens = 300
	e := engine.New(p)
	for i := range 4 {
		e.Add(&engine.Sequence{Priority: i, Prompt: 50, Length: 100})
	}
	_, finished := run(e)
	if len(finished) != 4 || e.Preempted == 0 {
		t.Errorf("%d of 4 sequences finished with %d preemptions, want 4 and at least 1", len(finished), e.Preempted)
	}
}

func TestPrefixIsCached(t *testing.T) {
	e := engine.New(engine.Default())
	for range 2 {
		e.Add(&engine.Sequence{Prompt: 1000, Prefix: 7, PrefixLen: 900, Length: 1})
		run(e)
	}
	if e.Prefilled >= 2000 || e.Prefilled < 1000 {
		t.Errorf("%d tokens prefilled for two prompts of 1000 that share 900, want 1000 to 1999", e.Prefilled)
	}
}
