package quota

// This file holds what is left of a part.

import "time"

// A Timed bucket is filled by time. It is full at first: within any span d its holder
// spends at most most + rate x d.
type Timed struct {
	left float64
	at   time.Time
}

// Available returns what may be spent at now, where the bucket gains rate a second and
// holds most.
func (b *Timed) Available(rate, most float64, now time.Time) float64 {
	if b.at.IsZero() {
		return most
	}
	return min(most, b.left+rate*now.Sub(b.at).Seconds())
}

// Spend takes one out.
func (b *Timed) Spend(rate, most float64, now time.Time) {
	b.left = b.Available(rate, most, now) - 1
	b.at = now
}

const (
	// savedFor is how long what was earned raises what a bucket may hold: half of the
	// windows, of 10 s, in which retries are counted.
	savedFor = 5 * time.Second
	// savedPart is the part of what a request earns that is kept for that.
	savedPart = 0.3

	slots = 5
	slot  = savedFor / slots
)

// An Earned bucket is filled by what its holder serves, and is empty at first. It holds its
// part of the number beyond the share, most, which may change, and as much again as requests
// have earned it of late: on a busy service that is more, and an endpoint that fails takes
// down as many more requests. What is more than it may hold is lost.
type Earned struct {
	left   float64
	began  time.Time      // the first use; slots of time are counted from then
	recent [slots]float64 // earned by slot
	last   int64          // the newest
}

// Earn adds what one request earns at now to a bucket with so much beyond the share.
func (b *Earned) Earn(n, most float64, now time.Time) {
	if most <= 0 || n <= 0 {
		return
	}
	b.pass(now)
	b.recent[b.last%slots] += n
	b.left = min(b.full(most, now), b.left+(1-savedPart)*n)
}

// pass forgets what was earned too long ago.
func (b *Earned) pass(now time.Time) {
	if b.began.IsZero() {
		b.began = now
	}
	at := int64(now.Sub(b.began) / slot) // by the monotonic clock
	for i := max(b.last+1, at-slots+1); i <= at; i++ {
		b.recent[i%slots] = 0
	}
	b.last = max(b.last, at)
}

// full returns what the bucket holds at most.
func (b *Earned) full(most float64, now time.Time) float64 {
	if most <= 0 {
		return 0
	}
	b.pass(now)
	saved := 0.0
	for _, n := range b.recent {
		saved += n
	}
	return most + savedPart*saved
}

// Left returns what is left at now of a bucket with so much beyond the share.
func (b *Earned) Left(most float64, now time.Time) float64 {
	return max(0, min(b.full(most, now), b.left))
}

// Has reports whether one may be spent so that the part kept of a full bucket is left.
func (b *Earned) Has(most, kept float64, now time.Time) bool {
	return b.Left(most, now) >= 1+kept*b.full(most, now)
}

// Spend takes one out. The caller has asked Has.
func (b *Earned) Spend(most float64, now time.Time) { b.left = b.Left(most, now) - 1 }
