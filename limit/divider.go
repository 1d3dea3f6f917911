package limit

// This file has one instance divide the rates of endpoints among all that send to them.

import (
	"math"
	"time"
)

const (
	// leastRate is the rate in requests a second that an endpoint gets however little it takes: only an
	// answer says that its limit is over, and callers want it back within 3 s.
	leastRate = 0.5
	// burstLeast and burstFor are what a bucket holds at most: one request, and what the rate
	// gives within a time. Askers return some milliseconds after there is a permit for them, and
	// what a full bucket would have gained meanwhile is lost.
	burstLeast = 1.0
	burstFor   = 250 * time.Millisecond

	// asksLeast and asksEach are how many asks a second, and for each permit, spread those who are
	// denied over a second: askers come often enough that no permit lies idle, and
	// 390 of them don't ask at once.
	asksLeast = 100.0
	asksEach  = 8.0
	// spreadMost and waitMost bound how late an asker is told to come again: it may be the
	// only one that still wants the endpoint.
	spreadMost = 2 * time.Second
	waitMost   = 2 * time.Second
	// asksOver is the time over which asks are counted.
	asksOver = time.Second
	// urgentMore is how long beyond the time that it was told a more urgent request is expected to
	// come again; less urgent ones get no permit until then.
	urgentMore = 200 * time.Millisecond
	// NoPart is how long an asker waits that has found no instance which divides the rate: a
	// new one holds its part after some seconds, and another may have been asked before it knew.
	NoPart = 200 * time.Millisecond
	// dividedFor is how long a bucket is kept that nobody asks.
	dividedFor = time.Minute
)

// Levels is how many levels of urgency are told apart; 0 is the most urgent. Each priority has two:
// the second is that of teams that use more than their share.
const Levels = 6

// A bucket holds the permits of one endpoint. It is empty at first: an instance that takes over
// from another one doesn't know what that has given out.
type bucket struct {
	left   float64
	at     time.Time         // left is as of then; zero: never asked
	urgent [Levels]time.Time // a request of that level was denied, and is expected until then
	asks   float64           // within asksOver, fading, as of at
}

// fill brings the bucket up to now, where it gains rate a second.
func (b *bucket) fill(rate float64, now time.Time) {
	if b.at.IsZero() {
		b.at = now
	}
	passed := max(0, now.Sub(b.at))
	b.left = min(burstLeast+rate*burstFor.Seconds(), b.left+rate*passed.Seconds())
	b.asks *= math.Exp(-passed.Seconds() / asksOver.Seconds())
	b.at = now
}

// take returns zero if a request may be sent, and otherwise when to ask again. Chance is
// from 0 to 1.
func (b *bucket) take(rate float64, level int, now time.Time, chance float64) (wait time.Duration) {
	b.fill(rate, now)
	b.asks++
	if b.left >= 1 && !b.expects(level, now) {
		b.left--
		b.urgent[level] = time.Time{}
		return 0
	}
	short := max(0, 1-b.left)
	if short == 0 {
		short = 1 // the next permit is for a more urgent request
	}
	wait = seconds(short / rate)
	spread := min(seconds(b.asks/max(asksLeast, asksEach*rate)), spreadMost)
	wait = min(wait, waitMost) + time.Duration(chance*float64(spread))
	b.urgent[level] = now.Add(wait + urgentMore)
	return max(wait, time.Millisecond)
}

// expects reports whether a more urgent request was denied and should soon come again.
func (b *bucket) expects(level int, now time.Time) bool {
	for urgent := range level {
		if now.Before(b.urgent[urgent]) {
			return true
		}
	}
	return false
}

// seconds returns a time of so many, bounded.
func seconds(s float64) time.Duration {
	return time.Duration(min(s, time.Hour.Seconds()) * float64(time.Second))
}

// divided is what a Divider holds of one endpoint.
type divided struct {
	bucket
	word  Word
	asked time.Time
	used  uint64 // permits given out
}

// A Divider gives out permits for the endpoints whose rates this instance divides.
type Divider struct {
	endpoints map[uint32]*divided
	swept     time.Time
}

// An Answer is what an asker is told.
type Answer struct {
	Granted bool          // one request may be sent
	Wait    time.Duration // otherwise: to ask again after that
	Word    Word          // what the divider knows of the limit; one that names none permits all
}

// Ask answers an instance that wants to send one request of a level to an endpoint, of whose limit
// word is known. Share is this instance's part of the rate; there is no permit where it is zero.
func (d *Divider) Ask(endpoint uint32, word Word, share float64, level int, now time.Time, chance float64) Answer {
	d.sweep(now)
	if d.endpoints == nil {
		d.endpoints = make(map[uint32]*divided)
	}
	e := d.endpoints[endpoint]
	if e == nil {
		e = new(divided)
		d.endpoints[endpoint] = e
	}
	e.word.Merge(word)
	e.asked = now
	if e.word.Known() && !e.word.Named {
		return Answer{Granted: true, Word: e.word}
	}
	if share <= 0 {
		return Answer{Wait: NoPart, Word: e.word}
	}
	rate := share * max(leastRate, e.word.Rate)
	wait := e.take(rate, min(max(level, 0), Levels-1), now, chance)
	if wait == 0 {
		e.used++
	}
	return Answer{Granted: wait == 0, Wait: wait, Word: e.word}
}

// Permits returns how many permits were given out for an endpoint since it is asked for.
func (d *Divider) Permits(endpoint uint32) uint64 {
	if e := d.endpoints[endpoint]; e != nil {
		return e.used
	}
	return 0
}

// sweep forgets the endpoints that nobody asks for any more.
func (d *Divider) sweep(now time.Time) {
	if now.Sub(d.swept) < dividedFor {
		return
	}
	d.swept = now
	for endpoint, e := range d.endpoints {
		if now.Sub(e.asked) > dividedFor {
			delete(d.endpoints, endpoint)
		}
	}
}
