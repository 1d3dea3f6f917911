package gossip

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"go.uber.org/zap"

	"ivyridge/belief"
	"ivyridge/catalog"
)

// A chain is a data centre of tables: a reader of the store, and followers.
type chain struct {
	now       time.Time
	reader    *belief.Table
	followers []*belief.Table
	relays    []*Relay
	bytes     []int // that each follower was sent
}

func newChain(followers int) *chain {
	c := &chain{now: time.Unix(1000, 0), bytes: make([]int, followers)}
	clock := func() time.Time { return c.now }
	c.reader = belief.NewTable(clock)
	handler := BeliefsHandler(c.reader, zap.NewNop())
	for range followers {
		table := belief.NewTable(clock)
		c.followers = append(c.followers, table)
		c.relays = append(c.relays, &Relay{
			Address: "peer", Now: clock, HTTP: &http.Client{Transport: inMemory{handler}},
			Version: func() int64 {
				if config := table.View().Catalog; config != nil {
					return config.Version()
				}
				return 0
			},
		})
	}
	return c
}

// follow has followers ask for changes, as far as they know something, or for everything.
func (c *chain) follow(t *testing.T, which func(i int) bool) {
	for i, table := range c.followers {
		if !which(i) {
			continue
		}
		var u *belief.Update
		var err error
		if revision := table.View().Revision; revision == 0 {
			u, err = c.relays[i].Load(context.Background())
		} else {
			u, err = c.relays[i].Watch(context.Background(), belief.Query{After: revision})
		}
		if err != nil {
			t.Fatal(err)
		}
		c.bytes[i] += u.Bytes
		_ = table.Apply(u)
	}
}

// In a release of 53 endpoints a second among 6,000, each instance is sent no more than it may be for
// control, as much however many are listed; told the whole list each time, it was 134 KB a change. One
// that was away for longer than changes are remembered is told everything, once.
func TestReleaseInALargeFleet(t *testing.T) {
	const (
		aSecond  = 53
		gathered = 200 * time.Millisecond
		lasts    = 10 * time.Second
		allowed  = 23_000 // bytes a second
	)
	for _, n := range []int{1500, 6000} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			c := newChain(4)
			u := &belief.Update{Revision: 1, Whole: true, Proved: c.now, Config: &catalog.Document{Version: 1}}
			for i := range n {
				u.Present = append(u.Present, listedRecord(i, 1))
			}
			_ = c.reader.Apply(u)
			c.follow(t, func(int) bool { return true })
			start := c.bytes[0]
			clear(c.bytes)
			revision, next := int64(1), 0
			for end := c.now.Add(lasts); c.now.Before(end); {
				c.now = c.now.Add(gathered)
				change := &belief.Update{Proved: c.now}
				for range aSecond * int(gathered) / int(time.Second) {
					leaves, comes := listedRecord(next, revision+1), listedRecord(n+next, revision+2)
					leaves.Draining = true
					change.Present = append(change.Present, leaves, comes)
					if next >= aSecond {
						change.Gone = append(change.Gone, belief.Departure{ID: listedRecord(next-aSecond, 0).ID, Revision: revision + 3})
					}
					revision += 3
					next++
				}
				change.Revision = revision
				_ = c.reader.Apply(change)
				c.follow(t, func(i int) bool { return i > 0 }) // the first is away
			}
			rate := float64(c.bytes[1]) / lasts.Seconds()
			t.Logf("%d endpoints: %d bytes at the start, %.0f B/s in the release", n, start, rate)
			if rate > allowed {
				t.Errorf("an instance is sent %.0f B/s", rate)
			}
			c.now = c.now.Add(time.Minute)
			_ = c.reader.Apply(&belief.Update{Revision: revision + 1, Proved: c.now})
			c.follow(t, func(int) bool { return true })
			_, want := c.reader.Digest()
			for i, table := range c.followers {
				if _, got := table.Digest(); got != want {
					t.Errorf("instance %d lists other endpoints than the reader", i)
				}
			}
		})
	}
}
