package owner_test

import (
	"fmt"
	"sort"
	"testing"
	"time"

	"ivyridge/owner"
)

// A ring is a set of owners that speak without a network.
type ring struct {
	t        *testing.T
	now      time.Duration
	owners   map[string]*owner.Owners
	revision int64
}

func newRing(t *testing.T, names ...string) *ring {
	r := &ring{t: t, owners: make(map[string]*owner.Owners)}
	for _, n := range names {
		r.owners[n] = owner.New(n, owner.Retention, true)
	}
	r.list(names...)
	r.settle()
	return r
}

func (r *ring) list(names ...string) {
	r.revision++
	var live []owner.Live
	for _, n := range names {
		live = append(live, owner.Live{Name: n, DataCentre: centreOf(n)})
	}
	for _, o := range r.owners {
		o.SetList(r.now, r.revision, live)
	}
}

// centreOf puts a and d, b and e, c and f into one data centre each.
func centreOf(name string) string { return string("xyz"[(name[0]-'a')%3]) }

// settle lets all pull from all but those that are cut off.
func (r *ring) settle(cut ...string) {
	for range 4 {
		for name, o := range r.owners {
			for from, parts := range o.ToPull() {
				peer := r.owners[from]
				if peer == nil || has(cut, from) || has(cut, name) {
					continue
				}
				if a, ok := peer.Pull(r.now, o.Revision(), o.Gap(), parts); ok {
					o.Pulled(r.now, from, o.Revision(), a)
				}
			}
		}
	}
}

func has(list []string, name string) bool {
	for _, n := range list {
		if n == name {
			return true
		}
	}
	return false
}

// begin tries a key through the owners that are reachable, and reports
// whether a quorum recorded it.
func (r *ring) begin(k owner.Key, entry string, reachable ...string) bool {
	live := r.owners[reachable[0]].Live()
	names := owner.Of(owner.PartitionOf(k), live)
	n := 0
	for _, name := range names {
		if o := r.owners[name]; o != nil && has(reachable, name) {
			if out, _ := o.Begin(r.now, owner.Record{Key: k, Entry: entry, Attempt: 1}, r.revision); out == owner.Recorded {
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

// beginAll begins all keys, and returns how many a quorum recorded.
func (r *ring) beginAll(entry string, reachable ...string) int {
	n := 0
	for i := range keys {
		if r.begin(key(i), entry, reachable...) {
			n++
		}
	}
	return n
}

var six = []string{"a", "b", "c", "d", "e", "f"}

func TestOnceOnly(t *testing.T) {
	r := newRing(t, six...)
	if n := r.beginAll("first", six...); n != keys {
		t.Errorf("%d of %d keys were recorded", n, keys)
	}
	if n := r.beginAll("second", six...); n != 0 {
		t.Errorf("%d keys were recorded a second time", n)
	}
}

// Whichever way the instances are parted, no key is recorded on both sides.
func TestPartedSides(t *testing.T) {
	for mask := 1; mask < 1<<len(six)-1; mask++ {
		r := newRing(t, six...)
		var left, right []string
		for i, n := range six {
			if mask&(1<<i) != 0 {
				left = append(left, n)
			} else {
				right = append(right, n)
			}
		}
		a, b := 0, 0
		for i := range keys {
			x, y := r.begin(key(i), "left", left...), r.begin(key(i), "right", right...)
			if x && y {
				t.Fatalf("mask %b: %v was recorded on both sides", mask, key(i))
			}
			if x {
				a++
			}
			if y {
				b++
			}
		}
		if a+b != keys {
			t.Errorf("mask %b: %d of %d keys were recorded on some side", mask, a+b, keys)
		}
	}
}

func TestReplacedOneByOne(t *testing.T) {
	r := newRing(t, six...)
	r.beginAll("first", six...)
	names := append([]string(nil), six...)
	for i := range names {
		delete(r.owners, names[i])
		names[i] += "'"
		r.owners[names[i]] = owner.New(names[i], owner.Retention, false)
		r.list(names...)
		r.settle()
		if n := r.beginAll("second", names...); n != 0 {
			t.Fatalf("after %d replacements %d keys were recorded a second time", i+1, n)
		}
	}
	if n := r.beginAll("second", names...); n != 0 {
		t.Errorf("%d keys were recorded a second time", n)
	}
	for name, o := range r.owners {
		if !o.Settled() {
			t.Errorf("%s is not settled: it still wants %v", name, o.ToPull())
		}
	}
	if !r.begin(key(keys+1), "third", names...) {
		t.Error("a new key is refused though all is settled")
	}
}

// Two owners that lose their memory at once cannot vouch, until a
// quarantine has passed.
func TestTwoForgetAtOnce(t *testing.T) {
	r := newRing(t, six...)
	r.beginAll("first", six...)
	for _, n := range []string{"a", "b"} {
		r.owners[n] = owner.New(n, owner.Retention, true) // the setting may have stayed
		r.owners[n].SetList(r.now, r.revision, r.owners["c"].Live())
	}
	r.now += time.Minute
	r.settle()
	if n := r.beginAll("second", six...); n != 0 {
		t.Errorf("%d keys were recorded a second time", n)
	}
	r.now += owner.Retention + time.Second
	for _, o := range r.owners {
		o.Tick(r.now)
	}
	if n := r.beginAll("third", six...); n != keys {
		t.Errorf("%d of %d keys were recorded after the quarantine", n, keys)
	}
}

// An owner with another list does not answer.
func TestOtherRevision(t *testing.T) {
	r := newRing(t, "a", "b", "c")
	o := r.owners["a"]
	if out, _ := o.Begin(r.now, owner.Record{Key: key(1), Entry: "x", Attempt: 1}, r.revision+1); out != owner.OwnerBehind {
		t.Errorf("a newer asker got %v", out)
	}
	if out, _ := o.Begin(r.now, owner.Record{Key: key(1), Entry: "x", Attempt: 1}, r.revision-1); out != owner.EntryBehind {
		t.Errorf("an older asker got %v", out)
	}
}

func TestWithdrawn(t *testing.T) {
	r := newRing(t, "a", "b", "c")
	r.begin(key(1), "first", "a", "b", "c")
	for _, o := range r.owners {
		o.Withdraw(key(1), "first", 1)
	}
	if !r.begin(key(1), "second", "a", "b", "c") {
		t.Error("a key whose attempt was not run stays taken")
	}
}

func TestForgetsInTime(t *testing.T) {
	r := newRing(t, "a", "b", "c")
	r.begin(key(1), "first", "a", "b", "c")
	r.now += owner.Retention + time.Second
	for _, o := range r.owners {
		o.Tick(r.now)
		if o.Len() != 0 {
			t.Error("a record outlived its retention")
		}
	}
}

// Owners stand in different data centres, so that the loss of one takes one
// of three.
func TestDataCentreLost(t *testing.T) {
	r := newRing(t, six...)
	live := r.owners["a"].Live()
	for p := range owner.Partition(owner.Partitions) {
		names := owner.Of(p, live)
		if len(names) != 3 || centreOf(names[0]) == centreOf(names[1]) || centreOf(names[1]) == centreOf(names[2]) || centreOf(names[0]) == centreOf(names[2]) {
			t.Fatalf("partition %d is owned by %v", p, names)
		}
	}
	r.beginAll("first", six...)
	delete(r.owners, "a")
	delete(r.owners, "d")
	left := []string{"b", "c", "e", "f"}
	r.list(left...)
	r.settle()
	if n := r.beginAll("second", left...); n != 0 {
		t.Errorf("%d keys were recorded a second time", n)
	}
	n := 0
	for i := range keys {
		if r.begin(key(keys+i), "third", left...) {
			n++
		}
	}
	if n != keys {
		t.Errorf("%d of %d new keys are taken after a data centre was lost", n, keys)
	}
}

// The loss of one instance moves no more than one owner.
func TestOneMovesOne(t *testing.T) {
	var live []owner.Live
	for i := range 30 {
		live = append(live, owner.Live{Name: fmt.Sprintf("n%d", i), DataCentre: fmt.Sprint(i % 5)})
	}
	for p := range owner.Partition(owner.Partitions) {
		was := owner.Of(p, live)
		for i := range live {
			rest := append(append([]owner.Live(nil), live[:i]...), live[i+1:]...)
			kept := 0
			for _, name := range owner.Of(p, rest) {
				if has(was, name) {
					kept++
				}
			}
			if kept < 2 {
				t.Fatalf("partition %d: %d of %v remain without %s", p, kept, was, live[i].Name)
			}
		}
	}
}

// A record that is about to be withdrawn must not hide, from an owner that
// settles, the one that a quorum has recorded.
func TestWithdrawnDoesNotHide(t *testing.T) {
	r := newRing(t, "a", "b", "c", "d")
	k := key(1)
	p := owner.PartitionOf(k)
	names := owner.Of(p, r.owners["a"].Live())
	first, second, third := names[0], names[1], names[2]
	if !r.begin(k, "first", first, second) {
		t.Fatal("a quorum did not record the key")
	}
	// The third owner has only an attempt that will fail.
	if out, _ := r.owners[third].Begin(r.now, owner.Record{Key: k, Entry: "second", Attempt: 1}, r.revision); out != owner.Recorded {
		t.Fatalf("the third owner answered %v", out)
	}
	delete(r.owners, first)
	var left []string
	for n := range r.owners {
		left = append(left, n)
	}
	sort.Strings(left)
	r.list(left...)
	var gaining *owner.Owners
	for _, n := range left {
		if o := r.owners[n]; n != second && n != third {
			gaining = o
		}
	}
	for _, from := range []string{third, second} { // the failing attempt is heard first
		if a, ok := r.owners[from].Pull(r.now, r.revision, 0, []owner.Partition{p}); ok {
			gaining.Pulled(r.now, from, r.revision, a)
		}
	}
	for _, o := range r.owners {
		o.Withdraw(k, "second", 1)
	}
	if out, _ := gaining.Begin(r.now, owner.Record{Key: k, Entry: "third", Attempt: 1}, r.revision); out == owner.Recorded {
		t.Error("an owner that settled has forgotten the key that a quorum recorded")
	}
}

// Two revisions come so fast that nobody holds the first: keys are still
// taken, and none twice.
func TestRevisionsSkipped(t *testing.T) {
	r := newRing(t, six...)
	r.beginAll("first", six...)
	delete(r.owners, "f")
	r.revision++ // held by nobody
	left := []string{"a", "b", "c", "d", "e"}
	r.list(left...)
	r.settle()
	if n := r.beginAll("second", left...); n != 0 {
		t.Errorf("%d keys were recorded a second time", n)
	}
	for i := range keys {
		if !r.begin(key(keys+i), "third", left...) {
			t.Fatalf("new key %d is refused", i)
		}
	}
}

// One owner misses a revision that others hold and record under: it learns
// from them who owned what meanwhile.
func TestMissedWhatOthersHeld(t *testing.T) {
	r := newRing(t, six...)
	late := r.owners["a"]
	delete(r.owners, "a")
	r.owners["g"] = owner.New("g", owner.Retention, false)
	r.list("a", "b", "c", "d", "e", "f", "g")
	r.settle()
	r.beginAll("first", "b", "c", "d", "e", "f", "g")
	delete(r.owners, "g")
	r.owners["a"] = late
	r.list(six...)
	r.settle()
	if n := r.beginAll("second", six...); n != 0 {
		t.Errorf("%d keys were recorded a second time", n)
	}
}
