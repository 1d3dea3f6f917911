package gossip

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"go.uber.org/zap"

	"ivyridge/catalog"
	"ivyridge/discovery"
)

// A followerChain is a table that reads the store, and tables that follow it.
type followerChain struct {
	now       time.Time
	reader    *discovery.Table
	followers []*discovery.Table
	relays    []*Relay
	bytes     []int // received by each follower
}

func newFollowerChain(followers int) *followerChain {
	c := &followerChain{now: time.Unix(1000, 0), bytes: make([]int, followers)}
	clock := func() time.Time { return c.now }
	c.reader = discovery.NewTable(clock)
	handler := StateHandler(c.reader, zap.NewNop())
	for range followers {
		table := discovery.NewTable(clock)
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

// update has the selected followers fetch changes, or everything if they have nothing yet.
func (c *followerChain) update(t *testing.T, selected func(i int) bool) {
	for i, table := range c.followers {
		if !selected(i) {
			continue
		}
		var u *discovery.Update
		var err error
		if revision := table.View().Revision; revision == 0 {
			u, err = c.relays[i].Load(context.Background())
		} else {
			u, err = c.relays[i].Watch(context.Background(), discovery.Query{After: revision})
		}
		if err != nil {
			t.Fatal(err)
		}
		c.bytes[i] += u.Bytes
		_ = table.Apply(u)
	}
}

// A rolling release takes bounded bandwidth per follower, whatever the number of endpoints. A
// follower that misses more changes than are remembered gets everything once.
func TestRollingReleaseTraffic(t *testing.T) {
	const (
		perSecond      = 53
		changeInterval = 200 * time.Millisecond
		duration       = 10 * time.Second
		maxRate        = 23_000 // bytes per second
	)
	for _, n := range []int{1500, 6000} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			c := newFollowerChain(4)
			u := &discovery.Update{Revision: 1, Full: true, ValidatedAt: c.now, Config: &catalog.Document{Version: 1}}
			for i := range n {
				u.Endpoints = append(u.Endpoints, listedRecord(i, 1))
			}
			_ = c.reader.Apply(u)
			c.update(t, func(int) bool { return true })
			start := c.bytes[0]
			clear(c.bytes)
			revision, next := int64(1), 0
			for end := c.now.Add(duration); c.now.Before(end); {
				c.now = c.now.Add(changeInterval)
				change := &discovery.Update{ValidatedAt: c.now}
				for range perSecond * int(changeInterval) / int(time.Second) {
					draining, added := listedRecord(next, revision+1), listedRecord(n+next, revision+2)
					draining.Draining = true
					change.Endpoints = append(change.Endpoints, draining, added)
					if next >= perSecond {
						change.Deleted = append(change.Deleted, discovery.Deletion{ID: listedRecord(next-perSecond, 0).ID, Revision: revision + 3})
					}
					revision += 3
					next++
				}
				change.Revision = revision
				_ = c.reader.Apply(change)
				c.update(t, func(i int) bool { return i > 0 }) // the first follower is offline
			}
			rate := float64(c.bytes[1]) / duration.Seconds()
			t.Logf("%d endpoints: %d bytes at the start, %.0f B/s during the release", n, start, rate)
			if rate > maxRate {
				t.Errorf("%.0f B/s sent per follower, want at most maxRate", rate)
			}
			c.now = c.now.Add(time.Minute)
			_ = c.reader.Apply(&discovery.Update{Revision: revision + 1, ValidatedAt: c.now})
			c.update(t, func(int) bool { return true })
			_, want := c.reader.Digest()
			for i, table := range c.followers {
				if _, got := table.Digest(); got != want {
					t.Errorf("follower %d lists other endpoints than the reader", i)
				}
			}
		})
	}
}
