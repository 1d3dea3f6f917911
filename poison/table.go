package poison

// This file holds the suspects.

import (
	"encoding/binary"
	"sort"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Bounds of a table.
const (
	// MostSuspects bounds the suspects: 17 endpoints of 120 requests that end at once. A suspect
	// takes about 0.3 KB.
	MostSuspects = 2048
	// MostStrikes bounds those of one suspect: more than it takes to be known.
	MostStrikes = 12
	// sameEnd is how far apart two instances date the same end of an endpoint: an endpoint that
	// has ended is back after some seconds.
	sameEnd = time.Second
	// fadesAfter is how long a suspect is kept of which nothing is heard: longer than callers
	// pause who send the same again by hand, or by a job every five minutes. One that is known
	// stays as long as it still comes.
	fadesAfter = 10 * time.Minute
	// clearedFor is the same for one that is cleared: longer than others may still tell of it.
	clearedFor = time.Minute
	// cameAgain is how much later than told before a known one must have come to be told
	// again; well below fadesAfter.
	cameAgain = time.Minute
)

// A Table holds the suspects of one instance.
type Table struct {
	size atomic.Int64 // suspects; read without the lock by each request

	mu       sync.RWMutex
	suspects map[ID]*Entry
	outlines map[Outline]int      // suspects that have it
	slowed   map[TeamAt]time.Time // until then
	teamsAt  time.Time            // of the last look at teams
	digest   uint64
	digested bool // digest is up to date
}

// NewTable returns an empty Table.
func NewTable() *Table {
	return &Table{suspects: make(map[ID]*Entry), outlines: make(map[Outline]int), slowed: make(map[TeamAt]time.Time)}
}

// Knows reports whether a request of an outline may be a suspect. While there are none it costs
// nothing worth naming.
func (t *Table) Knows(r *Request) bool {
	if t.size.Load() == 0 {
		return false
	}
	o := r.Outline()
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.outlines[o] > 0
}

// Standing returns that of a request.
func (t *Table) Standing(id ID) Standing {
	t.mu.RLock()
	defer t.mu.RUnlock()
	e := t.suspects[id]
	switch {
	case e == nil || e.live() == 0:
		return Unknown
	case e.Known:
		return Known
	}
	return Suspected
}

// Ended takes up that an endpoint ended with requests in hand, and returns what there is to
// tell others. Each entry has one strike, that end. The suspects that are known by it are
// marked.
func (t *Table) Ended(now time.Time, in []Entry) (told []Entry) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for i := range in {
		if t.merge(now, &in[i], true) {
			told = append(told, in[i])
		}
	}
	t.tidy(now)
	return t.current(t.judgeAll(now, told))
}

// Merge takes up what another instance tells, and returns what was new, to be told on.
func (t *Table) Merge(now time.Time, in []Entry) (news []Entry) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for i := range in {
		if t.merge(now, &in[i], false) {
			news = append(news, in[i])
		}
	}
	t.tidy(now)
	return t.current(t.judgeAll(now, news))
}

// Answered takes up that an endpoint answered a request whole, or that operators let it go, and
// returns what there is to tell others.
func (t *Table) Answered(id ID) (told []Entry) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.suspects[id]
	if e == nil || e.live() == 0 {
		return nil
	}
	next := *e
	next.Strikes = append([]Strike(nil), e.Strikes...)
	for i := range next.Strikes {
		next.Strikes[i].Void = true
	}
	next.Known = false
	t.put(&next)
	return []Entry{next}
}

// Came takes up that a known request came again, and returns what there is to tell others.
func (t *Table) Came(now time.Time, id ID) (told []Entry) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.suspects[id]
	if e == nil || !e.Known || now.Sub(e.Came) < cameAgain {
		return nil
	}
	next := *e
	next.Came = now
	t.put(&next)
	return []Entry{next}
}

// Entry returns what is known of a suspect.
func (t *Table) Entry(id ID) (e Entry, ok bool) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	if s := t.suspects[id]; s != nil {
		return *s, true
	}
	return e, false
}

// Entries returns all suspects, the known ones first, then by the strikes that count.
func (t *Table) Entries() []Entry {
	t.mu.RLock()
	defer t.mu.RUnlock()
	out := make([]Entry, 0, len(t.suspects))
	for _, e := range t.suspects {
		out = append(out, *e)
	}
	sort.Slice(out, func(i, j int) bool { return graver(&out[i], &out[j]) })
	return out
}

// graver orders suspects: those first that are kept longest.
func graver(a, b *Entry) bool {
	switch {
	case a.Known != b.Known:
		return a.Known
	case a.live() != b.live():
		return a.live() > b.live()
	}
	return a.Last().After(b.Last())
}

// Tidy drops the suspects that have faded.
func (t *Table) Tidy(now time.Time) {
	if t.size.Load() == 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.tidy(now)
}

func (t *Table) tidy(now time.Time) {
	t.forgetTeams(now)
	for id, e := range t.suspects {
		if e.faded(now) {
			t.drop(id)
		}
	}
	if len(t.suspects) <= MostSuspects {
		return
	}
	all := make([]*Entry, 0, len(t.suspects))
	for _, e := range t.suspects {
		all = append(all, e)
	}
	sort.Slice(all, func(i, j int) bool { return graver(all[i], all[j]) })
	for _, e := range all[MostSuspects-MostSuspects/8:] { // so that not each further one costs this
		t.drop(e.ID)
	}
}

// faded reports whether nothing was heard of a suspect for so long that it is dropped.
func (e *Entry) faded(now time.Time) bool { return now.After(e.Until()) }

// Until returns when the suspect is forgotten if nothing more is heard of it.
func (e *Entry) Until() time.Time {
	if e.live() == 0 {
		return e.Last().Add(clearedFor)
	}
	return e.Last().Add(fadesAfter)
}

// put replaces or adds a suspect. The caller holds t.mu.
func (t *Table) put(e *Entry) {
	if t.suspects[e.ID] == nil {
		t.outlines[e.Outline]++
		t.size.Add(1)
	}
	t.suspects[e.ID] = e
	t.digested = false
}

// drop removes a suspect. The caller holds t.mu.
func (t *Table) drop(id ID) {
	e := t.suspects[id]
	delete(t.suspects, id)
	if t.outlines[e.Outline]--; t.outlines[e.Outline] <= 0 {
		delete(t.outlines, e.Outline)
	}
	t.size.Add(-1)
	t.digested = false
}

// merge takes up an entry, and reports whether it says something new. One that this instance
// saw itself says when its request was sent to the endpoint; what others say of that comes
// with their clocks, and the first word counts. The caller holds t.mu.
func (t *Table) merge(now time.Time, in *Entry, own bool) (news bool) {
	before := t.suspects[in.ID]
	if before == nil && in.faded(now) {
		return false // another instance drops it in a moment
	}
	var next Entry
	if before == nil {
		// Its strikes are taken one by one: they may name one end twice.
		next, news = *in, true
		next.Strikes = nil
	} else {
		next = *before
		next.Strikes = append([]Strike(nil), before.Strikes...)
	}
	for _, s := range in.Strikes {
		i := next.find(s)
		switch {
		case i < 0:
			news = next.add(s) || news
		case s.Void && !next.Strikes[i].Void:
			next.Strikes[i].Void = true
			news = true
		case own && s.Began.After(next.Strikes[i].Began):
			next.Strikes[i].Began = s.Began
		}
	}
	if in.Known && !next.Known && next.live() >= strikesLeast {
		next.Known = true
		news = true
	}
	if in.Came.Sub(next.Came) >= cameAgain {
		next.Came = in.Came
		news = true
	}
	if next.live() < strikesLeast {
		next.Known = false
	}
	t.put(&next)
	return news
}

// add takes up a strike, unless as many are kept already: then it replaces the oldest void one,
// if that is older.
func (e *Entry) add(s Strike) bool {
	if len(e.Strikes) < MostStrikes {
		e.Strikes = append(e.Strikes, s)
		return true
	}
	oldest := -1
	for i := range e.Strikes {
		if e.Strikes[i].Void && (oldest < 0 || e.Strikes[i].At.Before(e.Strikes[oldest].At)) {
			oldest = i
		}
	}
	if oldest < 0 || !s.At.After(e.Strikes[oldest].At) {
		return false
	}
	e.Strikes[oldest] = s
	return true
}

// find returns the strike of e that is of the same end as s; negative: there is none.
func (e *Entry) find(s Strike) int {
	for i := range e.Strikes {
		if e.Strikes[i].sameEnd(s) {
			return i
		}
	}
	return -1
}

// sameEnd reports whether two strikes are of the same end of an endpoint.
func (s Strike) sameEnd(other Strike) bool {
	apart := s.At.Sub(other.At)
	return s.Endpoint == other.Endpoint && -sameEnd < apart && apart < sameEnd
}

// judgeAll judges the suspects of entries and those that share ends with them, and returns
// the IDs of the former and of those that are known by it. The caller holds t.mu.
func (t *Table) judgeAll(now time.Time, entries []Entry) (ids []ID) {
	for i := range entries {
		ids = append(ids, entries[i].ID)
	}
	if len(entries) == 0 {
		return nil
	}
	ids = append(ids, t.judge()...)
	t.judgeTeams(now)
	return ids
}

// current returns the entries of suspects as they are now, each once. The caller holds t.mu.
func (t *Table) current(ids []ID) (out []Entry) {
	seen := make(map[ID]bool, len(ids))
	for _, id := range ids {
		if e := t.suspects[id]; e != nil && !seen[id] {
			out = append(out, *e)
		}
		seen[id] = true
	}
	return out
}

// Digest returns a number that is the same for tables which hold the same; zero for an empty
// one. Instants are not part of it.
func (t *Table) Digest() uint64 {
	if t.size.Load() == 0 {
		return 0
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.digested {
		t.digest = 0
		for _, e := range t.suspects {
			t.digest += e.digest()
		}
		t.digested = true
	}
	return t.digest
}

func (e *Entry) digest() (sum uint64) {
	var b [len(e.ID) + 5]byte
	copy(b[:], e.ID[:])
	for _, s := range e.Strikes {
		binary.LittleEndian.PutUint32(b[len(e.ID):], s.Endpoint)
		b[len(b)-1] = 1
		if s.Void {
			b[len(b)-1] = 2
		}
		sum += xxhash.Sum64(b[:])
	}
	if e.Known {
		b[len(b)-1] = 3
		sum += xxhash.Sum64(b[:len(e.ID)])
	}
	return sum
}
