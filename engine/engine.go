// Package engine models a model engine that batches continuously.
//
// An Engine runs in iterations. In each, it admits waiting sequences by
// priority while memory allows, prefills a bounded number of prompt tokens,
// and decodes one token of every sequence that is past its prompt. An
// iteration takes longer the more sequences decode and the more prompt is
// prefilled, which is what makes a full engine slow. Prompt prefixes are
// cached in limited memory. When memory runs out, the sequence of the lowest
// priority that was admitted last is sent back and computes its tokens anew.
//
// The model is pure: Step runs one iteration and says how long it took. The
// stand-in engines drive it in real time, the policy experiments in virtual
// time. It is not a model of any one product.
package engine

import (
	"sort"
	"time"
)

// Params shape an Engine.
type Params struct {
	Base        time.Duration // of an iteration
	PerSequence time.Duration // added by each decoding sequence
	PrefillRate float64       // prompt tokens a second
	Chunk       int           // prompt tokens in one iteration
	MaxRunning  int
	Memory      int // tokens that fit
	CacheTokens int // of prompt prefixes
}

// Default returns the parameters of the stand-in engines: 30 ms between
// tokens at 25 sequences, and about 880 tokens a second at 36 ms.
func Default() Params {
	return Params{
		Base:        10 * time.Millisecond,
		PerSequence: 800 * time.Microsecond,
		PrefillRate: 20_000,
		Chunk:       256,
		MaxRunning:  128,
		Memory:      60_000,
		CacheTokens: 8_000,
	}
}

// A Sequence is one request in an Engine.
type Sequence struct {
	Priority  int // lower first
	Prompt    int // tokens
	Prefix    uint64
	PrefixLen int // tokens of the prompt that the prefix covers
	Length    int // tokens of the answer
	Tag       any // the owner's

	Produced  int
	prefill   int // prompt tokens still to be computed
	arrival   uint64
	admission uint64
	gone      bool
}

// An Engine is not safe for concurrent use.
type Engine struct {
	par      Params
	Slowness float64 // factor on the time of an iteration, one if healthy
	waiting  []*Sequence
	running  []*Sequence
	used     int
	clock    uint64
	cache    cache
	// Computed counts decoded tokens, Prefilled prompt tokens; Preempted
	// counts sequences sent back for want of memory.
	Computed, Prefilled, Preempted int64
}

// New returns an idle Engine.
func New(p Params) *Engine {
	return &Engine{par: p, Slowness: 1, cache: newCache(p.CacheTokens)}
}

// Add gives the engine a sequence.
func (e *Engine) Add(s *Sequence) {
	e.clock++
	s.arrival = e.clock
	e.waiting = append(e.waiting, s)
}

// Cancel takes a sequence out. It may be called between iterations only.
func (e *Engine) Cancel(s *Sequence) {
	s.gone = true
	if i := index(e.running, s); i >= 0 {
		e.running = append(e.running[:i], e.running[i+1:]...)
		e.used -= s.size()
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

// Running and Waiting return how many sequences run and wait.
func (e *Engine) Running() int { return len(e.running) }

// Waiting returns how many sequences wait.
func (e *Engine) Waiting() int { return len(e.waiting) }

// Idle reports whether there is nothing to do.
func (e *Engine) Idle() bool { return len(e.running)+len(e.waiting) == 0 }

// size is the memory that s takes.
func (s *Sequence) size() int { return s.Prompt + s.Produced }

// Step runs one iteration. It returns how long the iteration takes and the
// sequences that have a new token at its end; those with Produced equal to
// Length are finished and have left the engine.
func (e *Engine) Step() (time.Duration, []*Sequence) {
	e.admit()
	e.makeRoom()
	prefilled := 0
	var out []*Sequence
	for _, s := range e.running {
		if s.prefill > 0 {
			n := min(s.prefill, e.par.Chunk-prefilled)
			s.prefill -= n
			prefilled += n
			if s.prefill > 0 {
				continue
			}
			e.cache.add(s.Prefix, s.PrefixLen)
		}
		s.Produced++
		e.used++
		out = append(out, s)
	}
	e.Computed += int64(len(out))
	e.Prefilled += int64(prefilled)
	took := e.par.Base + time.Duration(len(out))*e.par.PerSequence
	took += time.Duration(float64(prefilled) / e.par.PrefillRate * float64(time.Second))
	e.retire()
	return time.Duration(float64(took) * e.Slowness), out
}

// admit moves waiting sequences in, by priority and arrival.
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
		if len(e.running) >= e.par.MaxRunning || e.used+s.size() > e.par.Memory && len(e.running) > 0 {
			break
		}
		e.clock++
		s.admission = e.clock
		s.prefill = max(1, s.size()-e.cache.hit(s.Prefix, s.PrefixLen))
		e.used += s.size()
		e.running = append(e.running, s)
		n++
	}
	e.waiting = e.waiting[n:]
}

// makeRoom sends sequences back while memory is over-full.
func (e *Engine) makeRoom() {
	for e.used > e.par.Memory && len(e.running) > 1 {
		worst := e.running[0]
		for _, s := range e.running {
			if s.Priority > worst.Priority || s.Priority == worst.Priority && s.admission > worst.admission {
				worst = s
			}
		}
		e.Cancel(worst)
		worst.gone = false
		e.Preempted++
		e.waiting = append(e.waiting, worst)
	}
}

// retire takes finished sequences out.
func (e *Engine) retire() {
	kept := e.running[:0]
	for _, s := range e.running {
		if s.Produced >= s.Length {
			e.used -= s.size()
			continue
		}
		kept = append(kept, s)
	}
	e.running = kept
}

// A cache holds prompt prefixes, least recently used out first.
type cache struct {
	most, used int
	sizes      map[uint64]int
	order      []uint64 // oldest first
}

func newCache(most int) cache { return cache{most: most, sizes: make(map[uint64]int)} }

// hit returns how many prompt tokens the cache saves.
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
	for c.used > c.most && len(c.order) > 0 {
		old := c.order[0]
		c.order = c.order[1:]
		c.used -= c.sizes[old]
		delete(c.sizes, old)
	}
}
