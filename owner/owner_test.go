package owner_test

import (
	"fmt"
	"sort"
	"testing"
	"time"

	"ivyridge/owner"
)

// A cluster is a set of owners connected by direct calls.
type cluster struct {
	t        *testing.T
	now      time.Duration
	owners   map[string]*owner.Owners
	revision int64
}

func newCluster(t *testing.T, names ...string) *cluster {
	c := &cluster{t: t, owners: make(map[string]*owner.Owners)}
	for _, n := range names {
		c.owners[n] = owner.New(n, owner.Retention, true)
	}
	c.setList(names...)
	c.settle()
	return c
}

func (c *cluster) setList(names ...string) {
	c.revision++
	var live []owner.LiveInstance
	for _, n := range names {
		live = append(live, owner.LiveInstance{Name: n, DataCentre: dataCentreOf(n)})
	}
	for _, o := range c.owners {
		o.SetList(c.now, c.revision, live)
	}
}

// dataCentreOf places a and d, b and e, c and f in one data centre each.
func dataCentreOf(name string) string { return string("xyz"[(name[0]-'a')%3]) }

// settle runs all pulls except those to or from the instances in cut.
func (c *cluster) settle(cut ...string) {
	for range 4 {
		for name, o := range c.owners {
			for from, parts := range o.ToPull() {
				peer := c.owners[from]
				if peer == nil || contains(cut, from) || contains(cut, name) {
					continue
				}
				if a, ok := peer.Pull(c.now, o.Revision(), o.MissedAfter(), parts); ok {
					o.ApplyPull(c.now, from, o.Revision(), a)
				}
			}
		}
	}
}

func contains(list []string, name string) bool {
	for _, n := range list {
		if n == name {
			return true
		}
	}
	return false
}

// begin claims k for entry at its owners in reachable and reports whether a quorum recorded it.
func (c *cluster) begin(k owner.Key, entry string, reachable ...string) bool {
	live := c.owners[reachable[0]].Live()
	names := owner.Of(owner.PartitionOf(k), live)
	n := 0
	for _, name := range names {
		if o := c.owners[name]; o != nil && contains(reachable, name) {
			if out, _ := o.Begin(c.now, owner.Record{Key: k, Entry: entry, Attempt: 1}, c.revision); out == owner.Recorded {
				n++
			}
		}
	}
	return n >= owner.Quorum(len(names))
}

func key(i int) owner.Key {
	var k owner.Key
	copy(k[:], fmt.Sprintf("key%d", i))
	return k
}

const keys = 300

func (c *cluster) beginAll(entry string, reachable ...string) int {
	n := 0
	for i := range keys {
		if c.begin(key(i), entry, reachable...) {
			n++
		}
	}
	return n
}

var instances = []string{"a", "b", "c", "d", "e", "f"}

func TestAtMostOnce(t *testing.T) {
	c := newCluster(t, instances...)
	if n := c.beginAll("first", instances...); n != keys {
		t.Errorf("%d of %d keys were recorded; want all", n, keys)
	}
	if n := c.beginAll("second", instances...); n != 0 {
		t.Errorf("%d keys were recorded twice; want 0", n)
	}
}

// Under any network partition, no key is recorded on both sides.
func TestNetworkPartition(t *testing.T) {
	for mask := 1; mask < 1<<len(instances)-1; mask++ {
		c := newCluster(t, instances...)
		var left, right []string
		for i, n := range instances {
			if mask&(1<<i) != 0 {
				left = append(left, n)
			} else {
				right = append(right, n)
			}
		}
		a, b := 0, 0
		for i := range keys {
			x, y := c.begin(key(i), "left", left...), c.begin(key(i), "right", right...)
			if x && y {
				t.Fatalf("mask %b: key %v was recorded on both sides; want one at most", mask, key(i))
			}
			if x {
				a++
			}
			if y {
				b++
			}
		}
		if a+b != keys {
			t.Errorf("mask %b: %d of %d keys were recorded on one side; want all", mask, a+b, keys)
		}
	}
}

func TestRollingReplacement(t *testing.T) {
	c := newCluster(t, instances...)
	c.beginAll("first", instances...)
	names := append([]string(nil), instances...)
	for i := range names {
		delete(c.owners, names[i])
		names[i] += "'"
		c.owners[names[i]] = owner.New(names[i], owner.Retention, false)
		c.setList(names...)
		c.settle()
		if n := c.beginAll("second", names...); n != 0 {
			t.Fatalf("after %d replacements %d keys were recorded twice; want 0", i+1, n)
		}
	}
	if n := c.beginAll("second", names...); n != 0 {
		t.Errorf("%d keys were recorded twice; want 0", n)
	}
	for name, o := range c.owners {
		if !o.Settled() {
			t.Errorf("%s is not settled, and has still to pull %v; want it settled", name, o.ToPull())
		}
	}
	if !c.begin(key(keys+1), "third", names...) {
		t.Error("new key was not recorded; want it recorded, since all partitions are settled")
	}
}

// Two owners that restart without records are not authoritative until the quarantine has passed.
func TestTwoOwnersRestart(t *testing.T) {
	c := newCluster(t, instances...)
	c.beginAll("first", instances...)
	for _, n := range []string{"a", "b"} {
		c.owners[n] = owner.New(n, owner.Retention, true) // the cold start setting may still be on
		c.owners[n].SetList(c.now, c.revision, c.owners["c"].Live())
	}
	c.now += time.Minute
	c.settle()
	if n := c.beginAll("second", instances...); n != 0 {
		t.Errorf("%d keys were recorded twice; want 0", n)
	}
	c.now += owner.Retention + time.Second
	for _, o := range c.owners {
		o.Tick(c.now)
	}
	if n := c.beginAll("third", instances...); n != keys {
		t.Errorf("%d of %d keys were recorded after the quarantine; want all", n, keys)
	}
}

func TestRevisionMismatch(t *testing.T) {
	c := newCluster(t, "a", "b", "c")
	o := c.owners["a"]
	if out, _ := o.Begin(c.now, owner.Record{Key: key(1), Entry: "x", Attempt: 1}, c.revision+1); out != owner.OwnerBehind {
		t.Errorf("Begin with a newer revision = %v; want OwnerBehind", out)
	}
	if out, _ := o.Begin(c.now, owner.Record{Key: key(1), Entry: "x", Attempt: 1}, c.revision-1); out != owner.EntryBehind {
		t.Errorf("Begin with an older revision = %v; want EntryBehind", out)
	}
}

func TestWithdraw(t *testing.T) {
	c := newCluster(t, "a", "b", "c")
	c.begin(key(1), "first", "a", "b", "c")
	for _, o := range c.owners {
		o.Withdraw(key(1), "first", 1)
	}
	if !c.begin(key(1), "second", "a", "b", "c") {
		t.Error("key was not recorded after its attempt was withdrawn; want it recorded")
	}
}

func TestRetention(t *testing.T) {
	c := newCluster(t, "a", "b", "c")
	c.begin(key(1), "first", "a", "b", "c")
	c.now += owner.Retention + time.Second
	for _, o := range c.owners {
		o.Tick(c.now)
		if o.Len() != 0 {
			t.Error("records are left after their retention; want none")
		}
	}
}

// The loss of a data centre removes only one of three owners.
func TestDataCentreLost(t *testing.T) {
	c := newCluster(t, instances...)
	live := c.owners["a"].Live()
	for p := range owner.Partition(owner.Partitions) {
		names := owner.Of(p, live)
		if len(names) != 3 || dataCentreOf(names[0]) == dataCentreOf(names[1]) || dataCentreOf(names[1]) == dataCentreOf(names[2]) || dataCentreOf(names[0]) == dataCentreOf(names[2]) {
			t.Fatalf("partition %d: owners = %v; want three in three data centres", p, names)
		}
	}
	c.beginAll("first", instances...)
	delete(c.owners, "a")
	delete(c.owners, "d")
	left := []string{"b", "c", "e", "f"}
	c.setList(left...)
	c.settle()
	if n := c.beginAll("second", left...); n != 0 {
		t.Errorf("%d keys were recorded twice; want 0", n)
	}
	n := 0
	for i := range keys {
		if c.begin(key(keys+i), "third", left...) {
			n++
		}
	}
	if n != keys {
		t.Errorf("%d of %d new keys were recorded after the loss of a data centre; want all", n, keys)
	}
}

// The loss of one instance replaces at most one owner.
func TestOwnersMoveMinimally(t *testing.T) {
	var live []owner.LiveInstance
	for i := range 30 {
		live = append(live, owner.LiveInstance{Name: fmt.Sprintf("n%d", i), DataCentre: fmt.Sprint(i % 5)})
	}
	for p := range owner.Partition(owner.Partitions) {
		was := owner.Of(p, live)
		for i := range live {
			rest := append(append([]owner.LiveInstance(nil), live[:i]...), live[i+1:]...)
			kept := 0
			for _, name := range owner.Of(p, rest) {
				if contains(was, name) {
					kept++
				}
			}
			if kept < 2 {
				t.Fatalf("partition %d: %d of %v remain owners without %s; want at least 2", p, kept, was, live[i].Name)
			}
		}
	}
}

// A record about to be withdrawn must not replace the one that a quorum recorded.
func TestPullKeepsAllAttempts(t *testing.T) {
	c := newCluster(t, "a", "b", "c", "d")
	k := key(1)
	p := owner.PartitionOf(k)
	names := owner.Of(p, c.owners["a"].Live())
	first, second, third := names[0], names[1], names[2]
	if !c.begin(k, "first", first, second) {
		t.Fatal("key was not recorded by the first and second owner; want it recorded")
	}
	// The third owner holds only an attempt without a quorum.
	if out, _ := c.owners[third].Begin(c.now, owner.Record{Key: k, Entry: "second", Attempt: 1}, c.revision); out != owner.Recorded {
		t.Fatalf("Begin at the third owner = %v; want Recorded", out)
	}
	delete(c.owners, first)
	var left []string
	for n := range c.owners {
		left = append(left, n)
	}
	sort.Strings(left)
	c.setList(left...)
	var newOwner *owner.Owners
	for _, n := range left {
		if o := c.owners[n]; n != second && n != third {
			newOwner = o
		}
	}
	for _, from := range []string{third, second} { // the failing attempt arrives first
		if a, ok := c.owners[from].Pull(c.now, c.revision, 0, []owner.Partition{p}); ok {
			newOwner.ApplyPull(c.now, from, c.revision, a)
		}
	}
	for _, o := range c.owners {
		o.Withdraw(k, "second", 1)
	}
	if out, _ := newOwner.Begin(c.now, owner.Record{Key: k, Entry: "third", Attempt: 1}, c.revision); out == owner.Recorded {
		t.Error("Begin by another attempt = Recorded; want another outcome, since a quorum recorded the first")
	}
}

// A revision that was in force on no instance must not prevent settling.
func TestRevisionsSkipped(t *testing.T) {
	c := newCluster(t, instances...)
	c.beginAll("first", instances...)
	delete(c.owners, "f")
	c.revision++ // in force nowhere
	left := []string{"a", "b", "c", "d", "e"}
	c.setList(left...)
	c.settle()
	if n := c.beginAll("second", left...); n != 0 {
		t.Errorf("%d keys were recorded twice; want 0", n)
	}
	for i := range keys {
		if !c.begin(key(keys+i), "third", left...) {
			t.Fatalf("new key %d was not recorded after a skipped revision; want it recorded", i)
		}
	}
}

// An owner that misses a revision under which others record keys learns its owners from them.
func TestMissedRevisionLearnedFromPeers(t *testing.T) {
	c := newCluster(t, instances...)
	late := c.owners["a"]
	delete(c.owners, "a")
	c.owners["g"] = owner.New("g", owner.Retention, false)
	c.setList("a", "b", "c", "d", "e", "f", "g")
	c.settle()
	c.beginAll("first", "b", "c", "d", "e", "f", "g")
	delete(c.owners, "g")
	c.owners["a"] = late
	c.setList(instances...)
	c.settle()
	if n := c.beginAll("second", instances...); n != 0 {
		t.Errorf("%d keys were recorded twice; want 0", n)
	}
}
