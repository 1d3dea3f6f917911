// Package engine simulates an inference engine with continuous batching.
//
// An Engine runs in iterations. Each admits waiting sequences by priority while memory allows,
// prefills a bounded number of prompt tokens, and decodes one token of every sequence whose prompt
// is complete. An iteration takes longer with more decoding sequences and more prompt tokens.
// Prompt prefixes are cached in limited memory. When memory runs out, the most recently admitted
// sequence of the lowest priority is preempted and later recomputes its tokens.
//
// The simulation has no clock: Step runs one iteration and returns how long it took, so it can run
// in real or virtual time. It does not model any particular product.
package engine

import (
	"sort"
	"time"
)

// Params are the parameters of an Engine.
type Params struct {
	Base         time.Duration // duration of an iteration without sequences
	PerSequence  time.Duration // added by each decoding sequence
	PrefillRate  float64       // prompt tokens per second
	PrefillChunk int           // maximum number of prompt tokens per iteration
	MaxRunning   int
	MemoryTokens int // tokens of all running sequences
	CacheTokens  int // tokens of cached prompt prefixes
}

// Default returns the parameters of simulated endpoints: 30 ms between tokens at 25 sequences.
func Default() Params {
	return Params{
		Base:         10 * time.Millisecond,
		PerSequence:  800 * time.Microsecond,
		PrefillRate:  20_000,
		PrefillChunk: 256,
		MaxRunning:   128,
		MemoryTokens: 60_000,
		CacheTokens:  8_000,
	}
}

// A Sequence is one request in an Engine.
type Sequence struct {
	Priority  int // lowest number first
	Prompt    int // length in tokens
	Prefix    uint64
	PrefixLen int // leading tokens of the prompt that Prefix identifies
	Length    int // of the response, in tokens
	Tag       any // for use by the caller

	Produced  int
	prefill   int // prompt tokens left to prefill
	arrival   uint64
	admission uint64
	cancelled bool
}

// An Engine simulates one engine. Use New to create one. It is not safe for concurrent use.
type Engine struct {
	params     Params
	Slowness   float64 // factor of the duration of iterations; one if healthy
	waiting    []*Sequence
	running    []*Sequence
	usedTokens int
	lastID     uint64
	cache      cache
	// Computed is the number of decoded tokens, Prefilled of prefilled prompt tokens, and
	// Preempted of sequences preempted for lack of memory.
	Computed, Prefilled, Preempted int64
}

// New returns an idle Engine.
func New(p Params) *Engine {
	return &Engine{params: p, Slowness: 1, cache: newCache(p.CacheTokens)}
}

// Add queues a sequence. The engine changes it until it has finished or is cancelled.
func (e *Engine) Add(s *Sequence) {
	e.lastID++
	s.arrival = e.lastID
	e.waiting = append(e.waiting, s)
}

// Cancel removes a sequence. It must not be called during Step.
func (e *Engine) Cancel(s *Sequence) {
	s.cancelled = true
	if i := index(e.running, s); i >= 0 {
		e.running = append(e.running[:i], e.running[i+1:]...)
		e.usedTokens -= s.size()
	}
	if i := index(e.waiting, s); i >= 0 {
		e.waiting = append(e.waiting[:i], e.waiting[i+1:]...)
	}
}

func index(list []*Sequence, s *Sequence) int {
	for i, x := range list {
		if x == s {
			return i
		}
	}
	return -1
}

// Running returns the number of running sequences.
func (e *Engine) Running() int { return len(e.running) }

// Waiting returns the number of waiting sequences.
func (e *Engine) Waiting() int { return len(e.waiting) }

// Idle reports whether no sequences are running or waiting.
func (e *Engine) Idle() bool { return len(e.running)+len(e.waiting) == 0 }

// size returns the memory of s, in tokens.
func (s *Sequence) size() int { return s.Prompt + s.Produced }

// Step runs one iteration. It returns its duration and the sequences for which it generated a
// token. Those with Produced equal to Length have finished and been removed.
func (e *Engine) Step() (time.Duration, []*Sequence) {
	e.admit()
	e.preempt()
	prefilled := 0
	var out []*Sequence
	for _, s := range e.running {
		if s.prefill > 0 {
			n := min(s.prefill, e.params.PrefillChunk-prefilled)
			s.prefill -= n
			prefilled += n
			if s.prefill > 0 {
				continue
			}
			e.cache.add(s.Prefix, s.PrefixLen)
		}
		s.Produced++
		e.usedTokens++
		out = append(out, s)
	}
	e.Computed += int64(len(out))
	e.Prefilled += int64(prefilled)
	took := e.params.Base + time.Duration(len(out))*e.params.PerSequence
	took += time.Duration(float64(prefilled) / e.params.PrefillRate * float64(time.Second))
	e.removeFinished()
	return time.Duration(float64(took) * e.Slowness), out
}

// admit starts waiting sequences in the order of priority and arrival.
func (e *Engine) admit() {
	if len(e.waiting) == 0 {
		return
	}
	sort.SliceStable(e.waiting, func(i, j int) bool {
		a, b := e.waiting[i], e.waiting[j]
		if a.Priority != b.Priority {
			return a.Priority < b.Priority
		}
		return a.arrival < b.arrival
	})
	n := 0
	for _, s := range e.waiting {
		if len(e.running) >= e.params.MaxRunning || e.usedTokens+s.size() > e.params.MemoryTokens && len(e.running) > 0 {
			break
		}
		e.lastID++
		s.admission = e.lastID
		s.prefill = max(1, s.size()-e.cache.hit(s.Prefix, s.PrefixLen))
		e.usedTokens += s.size()
		e.running = append(e.running, s)
		n++
	}
	e.waiting = e.waiting[n:]
}

// preempt returns sequences to the queue while memory is exceeded.
func (e *Engine) preempt() {
	for e.usedTokens > e.params.MemoryTokens && len(e.running) > 1 {
		victim := e.running[0]
		for _, s := range e.running {
			if s.Priority > victim.Priority || s.Priority == victim.Priority && s.admission > victim.admission {
				victim = s
			}
		}
		e.Cancel(victim)
		victim.cancelled = false
		e.Preempted++
		e.waiting = append(e.waiting, victim)
	}
}

func (e *Engine) removeFinished() {
	kept := e.running[:0]
	for _, s := range e.running {
		if s.Produced >= s.Length {
			e.usedTokens -= s.size()
			continue
		}
		kept = append(kept, s)
	}
	e.running = kept
}

// A cache is an LRU cache of prompt prefixes, with sizes in tokens.
type cache struct {
	capacity, used int
	sizes          map[uint64]int
	order          []uint64 // least recently used first
}

func newCache(capacity int) cache { return cache{capacity: capacity, sizes: make(map[uint64]int)} }

// hit returns how many of the first n prompt tokens are cached as prefix, and marks it as used.
func (c *cache) hit(prefix uint64, n int) int {
	if prefix == 0 || c.sizes[prefix] == 0 {
		return 0
	}
	c.touch(prefix)
	return min(n, c.sizes[prefix])
}

func (c *cache) touch(prefix uint64) {
	for i, p := range c.order {
		if p == prefix {
			c.order = append(append(c.order[:i:i], c.order[i+1:]...), prefix)
			return
		}
	}
}

func (c *cache) add(prefix uint64, n int) {
	if prefix == 0 || n == 0 || c.sizes[prefix] >= n {
		return
	}
	if c.sizes[prefix] == 0 {
		c.order = append(c.order, prefix)
	}
	c.used += n - c.sizes[prefix]
	c.sizes[prefix] = n
	for c.used > c.capacity && len(c.order) > 0 {
		old := c.order[0]
		c.order = c.order[1:]
		c.used -= c.sizes[old]
		delete(c.sizes, old)
	}
}
