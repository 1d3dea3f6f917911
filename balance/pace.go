package balance

// This file learns how fast the engines of a service are, from the requests
// that all instances had served there.

import (
	"time"

	"ivyridge/speed"
)

// What is taken of an engine until its service has served some requests, and
// what is not learnt.
const (
	// readGuess is the time to read a token of a prompt, in ms: between the
	// engines that the project has met, which read 34 to 57 in a ms.
	readGuess = 1 / 50.0
	// stepGuess is the time from token to token of one request alone, in ms: that
	// of engines whose model takes one accelerator.
	stepGuess = 3.5
	// stepEach is the part of a step that each further request adds: measured
	// at the engines met, 0.005 to 0.03.
	stepEach = 0.02
	// chunkTokens are read of a prompt in one step, by the usual setting of
	// engines that read prompts in pieces.
	chunkTokens = 2048
)

// Which samples tell something.
const (
	// fixedTime is the part of the time to the first token that is not
	// reading, in ms: the way there and back, a new connection, the first step.
	fixedTime = 8.0
	// clearFrom is the number of tokens read from which a sample counts more
	// than half: a step that is under way when a prompt arrives takes as long as
	// some hundred tokens.
	clearFrom = 800.0
	// leastRead is the number of tokens below which a sample tells nothing.
	leastRead = 200.0
	// aheadWeight is how much less a sample counts for what was to be read
	// before it, of which little is certain.
	aheadWeight = 2.0
	// leastEvents is how many events of a stream tell its pace.
	leastEvents = 4
	// figuresHold is how long the figures of a service are used before they are
	// worked out anew: samples come from other instances that often.
	figuresHold = 100 * time.Millisecond
)

// A Pace is how fast an engine was thought to be when it was chosen.
type Pace struct {
	ReadTime  float64 // ms to read a token of a prompt
	StepTime  float64 // ms from token to token of one request alone
	TokenTime float64 // ms from token to token beside what ran there
}

// figures are what is known of the engines of one service.
type figures struct {
	read speed.Figure
	step speed.Figure
	at   time.Time // worked out

	hold      float64 // mean time that a request holds a slot, in ms; zero: not known
	pressures [levels]rungs
	refused   [levels]rungs // the part of requests that were refused
	tallies   [levels]tally // of requests and refusals over a longer time

	occupied    pressure // requests at a plain service, as a part of its slots
	turnedAway  pressure // the part of own requests that plain endpoints refused
	unpermitted fading   // own requests that were refused for want of a permit
	permits     permitCount

	reads, steps []speed.Sum // reused by refresh
}

func newFigures() *figures {
	return &figures{read: speed.NewFigure(readGuess), step: speed.NewFigure(stepGuess)}
}

// figures returns those of a service. The caller holds b.mu.
func (b *Balancer) figures(service string) *figures {
	f := b.services[service]
	if f == nil {
		f = newFigures()
		b.services[service] = f
	}
	return f
}

// refresh works the figures of a service out from what is known of its
// endpoints now.
func (f *figures) refresh(loads []*load, now time.Time) {
	if now.Sub(f.at) < figuresHold {
		return
	}
	passed := now.Sub(f.at)
	if f.at.IsZero() {
		passed = 0
	}
	f.at = now
	reads, steps := f.reads[:0], f.steps[:0]
	for _, l := range loads {
		reads = append(reads, l.lately.Reading)
		steps = append(steps, l.lately.Stepping)
	}
	f.read.Update(reads, passed)
	f.step.Update(steps, passed)
	f.reads, f.steps = reads, steps
}

// measure takes up what is known of the endpoint's speed now.
func (l *load) measure(f *figures) {
	l.figures = f
	l.readTime = f.read.Of(l.lately.Reading)
	l.stepTime = f.step.Of(l.lately.Stepping)
}

// tokenTime returns how long, in ms, a token takes beside so many requests, as
// prompts were read of late.
func (l *load) tokenTime(requests int) float64 {
	alone := l.stepTime * (1 + stepEach*float64(requests))
	chunk := chunkTokens * l.readTime
	return 1 / ((1-l.reading)/alone + l.reading/(alone+chunk))
}

// Expected returns how long the first event was thought to take at the choice.
// It is zero for a plain endpoint.
func (p *Placement) Expected() time.Duration {
	if p.Pace == (Pace{}) {
		return 0
	}
	reading := float64(p.charge.uncached) * p.Pace.ReadTime
	return time.Duration((p.Wait + reading + fixedTime) * float64(time.Millisecond))
}

// begun notes that the endpoint has read the request's prompt. The caller holds
// the balancer's lock.
func (p *Placement) begun() {
	if p.done || p.read {
		return
	}
	p.read = true
	p.load.own.Unread -= p.charge.uncached
	p.load.own.UnreadBy[p.charge.level] -= p.charge.uncached
	p.balancer.change(p.load)
}

// First says that the first event of the request's stream has come, so long
// after the request was sent to its endpoint.
func (p *Placement) First(after time.Duration) {
	b := p.balancer
	b.mu.Lock()
	defer b.mu.Unlock()
	p.begun()
	tokens := p.Ahead + float64(p.charge.uncached)
	if tokens < leastRead || p.load.figures == nil {
		return
	}
	took := max(milliseconds(after)-fixedTime, 1) / tokens
	weight := tokens / (tokens + clearFrom) * tokens / (tokens + aheadWeight*p.Ahead)
	p.load.fade(b.now())
	p.load.seen.Reading.Add(p.load.figures.read.Bounded(took), weight)
	b.change(p.load)
}

// Streamed says that the request's stream went on to its end for so long after
// its first event.
func (p *Placement) Streamed(events int, lasted time.Duration) {
	b := p.balancer
	b.mu.Lock()
	defer b.mu.Unlock()
	if events < leastEvents || p.output <= 0 || p.Pace.TokenTime <= 0 || p.load.figures == nil {
		return
	}
	took := milliseconds(lasted) / float64(p.output)
	p.load.fade(b.now())
	p.load.seen.Stepping.Add(p.load.figures.step.Bounded(p.Pace.StepTime*took/p.Pace.TokenTime), 1)
	b.change(p.load)
}
