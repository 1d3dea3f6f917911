package quota_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"ivyridge/quota"
)

// settle has a claim see the same for long enough to hold its part.
func settle(c *quota.SideClaim, s quota.Side, now time.Time) float64 {
	c.Part(s, now)
	return c.Part(s, now.Add(2*time.Second))
}

// Whole while all are heard, nothing at the start, and at once less behind a cut.
func TestPartOfASide(t *testing.T) {
	var c quota.SideClaim
	whole := quota.Side{Heard: 6, Told: 6, DataCentres: 3, Named: 3}
	if part := c.Part(whole, start); part != 0 {
		t.Errorf("%.2f are held at the start", part)
	}
	if part := c.Part(whole, start.Add(2*time.Second)); part != 1 {
		t.Errorf("%.2f are held by one that hears all", part)
	}
	at := start.Add(3 * time.Second)
	if part := c.Part(quota.Side{Heard: 2, Told: 2, DataCentres: 1, Named: 3}, at); part < 0.4 || part > 0.5 {
		t.Errorf("%.2f are held by one data centre of three", part)
	}
	if part := c.Part(whole, at.Add(time.Second)); part > 0.5 {
		t.Errorf("%.2f are held right after a cut", part)
	}
	if part := settle(&c, whole, at.Add(time.Second)); part != 1 {
		t.Errorf("%.2f are held after a cut", part)
	}
}

// One of six data centres of a hundred is lost, and one of three: nothing of the bound is. The
// last instance of a fleet has something at once, and, where no other data centre is named, all after a while.
func TestLostInstancesLeaveTheBound(t *testing.T) {
	for _, s := range []quota.Side{
		{Heard: 83, Told: 83, DataCentres: 5, Named: 6},
		{Heard: 5, Told: 5, DataCentres: 3, Named: 3},
	} {
		var c quota.SideClaim
		settle(&c, quota.Side{Heard: 6 * s.Heard / 5, Told: 6 * s.Heard / 5, DataCentres: s.Named, Named: s.Named}, start)
		if part := c.Part(s, start.Add(3*time.Second)); part != 1 {
			t.Errorf("%+v holds %.2f", s, part)
		}
	}
	var c quota.SideClaim
	settle(&c, quota.Side{Heard: 6, Told: 6}, start)
	last := quota.Side{Heard: 1, Told: 1}
	if part := c.Part(last, start.Add(3*time.Second)); part < 0.2 {
		t.Errorf("the last instance holds %.2f", part)
	}
	if part := settle(&c, last, start.Add(40*time.Second)); part != 1 {
		t.Errorf("after a while the last instance holds %.2f", part)
	}
}

// However a fleet falls apart, the parts of all sides are below one and a half, at once and later,
// also where nobody remembers how many there were; and where two sides hear the same instances.
func TestPartsOfAllSides(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		named := rapid.IntRange(2, 6).Draw(t, "data centres")
		each := rapid.IntRange(1, 60).Draw(t, "instances of each")
		side := make([]int, named) // of each data centre
		for i := range side {
			side[i] = rapid.IntRange(0, named-1).Draw(t, "side")
		}
		later := rapid.Bool().Draw(t, "forgotten")
		sum := 0.0
		for s := range named {
			heard := 0
			for _, of := range side {
				if of == s {
					heard++
				}
			}
			if heard == 0 {
				continue
			}
			var c quota.SideClaim
			settle(&c, quota.Side{Heard: named * each, Told: named * each, DataCentres: named, Named: named}, start)
			sight := quota.Side{Heard: heard * each, Told: heard * each, DataCentres: heard, Named: named}
			if later {
				c = quota.SideClaim{}
				sum += settle(&c, sight, start.Add(time.Hour))
			} else {
				sum += c.Part(sight, start.Add(4*time.Second))
			}
		}
		if sum > 1.4+1e-9 {
			t.Fatalf("sides of %v data centres hold %.2f", side, sum)
		}
	})
	// Two hear a third, and not each other.
	sum := 0.0
	for range 2 {
		var c quota.SideClaim
		sum += settle(&c, quota.Side{Heard: 40, Told: 60, DataCentres: 2, Named: 3}, start)
	}
	if sum > 1.4+1e-9 {
		t.Errorf("two that hear the same others hold %.2f", sum)
	}
}
