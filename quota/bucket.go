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

// An Earned bucket is filled by what its holder serves, and is empty at first. What it
// holds at most may change; what is more then is lost.
type Earned struct {
	left float64
}

// Earn adds what one request earns to a bucket that holds most.
func (b *Earned) Earn(n, most float64) { b.left = min(most, b.left+n) }

// Left returns what is left where the bucket holds most.
func (b *Earned) Left(most float64) float64 { return max(0, min(most, b.left)) }

// Has reports whether one may be spent so that the part kept of most is left.
func (b *Earned) Has(most, kept float64) bool { return b.Left(most) >= 1+kept*most }

// Spend takes one out. The caller has asked Has.
func (b *Earned) Spend(most float64) { b.left = b.Left(most) - 1 }

// Empty takes all out.
func (b *Earned) Empty() { b.left = 0 }
