package poison

import (
	"encoding/binary"
	"slices"
	"sort"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// MaxSuspects is the maximum number of suspects, each of about 0.3 KB. They suffice for
	// 17 endpoints with 120 requests each that crash at once.
	MaxSuspects = 2048
	// MaxStrikes is the maximum number of strikes kept of a suspect, more than sufficientStrikes.
	MaxStrikes = 12
	// MaxSenders is the maximum number of senders kept of a strike. More copies than that of one request
	// at one endpoint need not be told apart.
	MaxSenders = 4
	// sameCrashWindow is the time within which two reports of a crash of an endpoint mean the same
	// one. An endpoint takes some seconds to restart.
	sameCrashWindow = time.Second
	// suspectTTL is how long a suspect is kept after its latest event. It exceeds the pause of
	// callers that retry by hand or in a periodic job.
	suspectTTL = 10 * time.Minute
	// clearedTTL is how long a cleared suspect is kept. Other instances report it for less time.
	clearedTTL = time.Minute
	// seenInterval is the least time between reports that a confirmed request was received again.
	seenInterval = time.Minute
)

// A Table holds the suspects of one instance. Use NewTable to create one.
type Table struct {
	size atomic.Int64 // number of suspects; read by each request without the lock

	mu             sync.RWMutex
	suspects       map[ID]*Entry
	outlines       map[Outline]int           // number of suspects by outline
	slowed         map[ServiceTeam]time.Time // end of slowing, by team
	teamsCheckedAt time.Time                 // when checkTeams last ran
	digest         uint64
	digestValid    bool      // digest is up to date
	crashList      []crash   // see crashes; nil: not up to date
	droppedUntil   time.Time // latest event of the suspects dropped for want of room

	strikesChanged bool          // since suspects were last checked for poison
	changed        chan struct{} // closed when the table changes; nil: nobody waits

	counts     map[string]*requestCounts // by service
	partCounts map[ID]*partCounts
}

// NewTable returns an empty Table.
func NewTable() *Table {
	return &Table{suspects: make(map[ID]*Entry), outlines: make(map[Outline]int), slowed: make(map[ServiceTeam]time.Time), counts: make(map[string]*requestCounts), partCounts: make(map[ID]*partCounts)}
}

// MayContain reports, by its outline, whether a request may be a suspect. It is cheap while there
// are no suspects.
func (t *Table) MayContain(r *Request) bool {
	if t.size.Load() == 0 {
		return false
	}
	o := r.Outline()
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.outlines[o] > 0
}

// State returns the state of a request.
func (t *Table) State(id ID) State {
	t.mu.RLock()
	defer t.mu.RUnlock()
	e := t.suspects[id]
	switch {
	case e == nil || e.liveStrikes() == 0:
		return Unknown
	case e.Confirmed:
		return Confirmed
	}
	return Suspected
}

// EndpointCrashed records the crash of an endpoint, with one entry of one strike for each request in
// flight. It confirms suspects that are now poison and returns the updates for other instances.
func (t *Table) EndpointCrashed(now time.Time, in []Entry) (updates []Entry) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for i := range in {
		if t.merge(now, &in[i], true) {
			updates = append(updates, in[i])
		}
	}
	t.countCut(in)
	t.prune(now)
	return t.current(t.evaluate(now, updates))
}

// Merge records updates of another instance and returns those to be forwarded, which changed the
// table.
func (t *Table) Merge(now time.Time, in []Entry) (updates []Entry) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var trials []Entry
	for i := range in {
		switch {
		case !t.merge(now, &in[i], false):
		case in[i].isTrialReport():
			trials = append(trials, in[i])
		default:
			updates = append(updates, in[i])
		}
	}
	t.prune(now)
	return append(t.current(t.evaluate(now, updates)), trials...)
}

// Clear clears a suspect, after an endpoint answered it in full or at an operator's request, and
// returns the updates for other instances.
func (t *Table) Clear(id ID) (updates []Entry) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.clear(id)
}

// clear implements Clear. The caller holds t.mu.
func (t *Table) clear(id ID) (updates []Entry) {
	e := t.suspects[id]
	if e == nil || e.liveStrikes() == 0 {
		return nil
	}
	next := *e
	next.Strikes = append([]Strike(nil), e.Strikes...)
	for i := range next.Strikes {
		next.Strikes[i].Cleared = true
	}
	next.Confirmed = false
	next.Trials = nil
	t.put(&next)
	return []Entry{next}
}

// Seen records that a confirmed request was received again and returns the updates for other
// instances.
func (t *Table) Seen(now time.Time, id ID) (updates []Entry) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.suspects[id]
	if e == nil || !e.Confirmed || now.Sub(e.LastSeen) < seenInterval {
		return nil
	}
	next := *e
	next.LastSeen = now
	t.put(&next)
	return []Entry{next}
}

// Entry returns the state of a suspect.
func (t *Table) Entry(id ID) (e Entry, ok bool) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	if s := t.suspects[id]; s != nil {
		return *s, true
	}
	return e, false
}

// Entries returns all suspects: confirmed ones first, then by number of strikes that are not
// cleared, then the latest first.
func (t *Table) Entries() []Entry {
	t.mu.RLock()
	defer t.mu.RUnlock()
	out := make([]Entry, 0, len(t.suspects))
	for _, e := range t.suspects {
		out = append(out, *e)
	}
	sort.Slice(out, func(i, j int) bool { return ranksBefore(&out[i], &out[j]) })
	return out
}

// ranksBefore is the order of Entries. Suspects that rank last are dropped first.
func ranksBefore(a, b *Entry) bool {
	switch {
	case a.Confirmed != b.Confirmed:
		return a.Confirmed
	case a.liveStrikes() != b.liveStrikes():
		return a.liveStrikes() > b.liveStrikes()
	}
	return a.Last().After(b.Last())
}

// Maintain removes expired suspects and confirms those that the time passed without crashes proves to
// be poison. It returns the updates for other instances.
func (t *Table) Maintain(now time.Time) (updates []Entry) {
	if t.size.Load() == 0 {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.prune(now)
	return t.current(t.confirm(func(e *Entry, crashes []crash) bool { return t.isPoisonByQuiet(now, e, crashes) }))
}

// prune removes expired suspects and, above MaxSuspects, those that rank last. The caller holds
// t.mu.
func (t *Table) prune(now time.Time) {
	t.pruneTeams(now)
	for id, e := range t.suspects {
		if e.expired(now) {
			t.drop(id)
		}
	}
	if len(t.suspects) <= MaxSuspects {
		return
	}
	all := make([]*Entry, 0, len(t.suspects))
	for _, e := range t.suspects {
		all = append(all, e)
	}
	sort.Slice(all, func(i, j int) bool { return ranksBefore(all[i], all[j]) })
	for _, e := range all[MaxSuspects-MaxSuspects/8:] { // drop more than needed, to amortize sorting
		t.droppedUntil = later(t.droppedUntil, e.Last())
		t.drop(e.ID)
	}
}

// hasDropped reports whether an unknown suspect of another instance ranks with those that were dropped
// for want of room. Tables that added them again would pass them on for ever. The caller holds t.mu.
func (t *Table) hasDropped(in *Entry) bool {
	return !in.Confirmed && in.liveStrikes() < 2 && !in.Last().After(t.droppedUntil.Add(sameCrashWindow))
}

func (e *Entry) expired(now time.Time) bool { return now.After(e.Expires()) }

// Expires returns when the suspect expires unless there are further events.
func (e *Entry) Expires() time.Time {
	if e.liveStrikes() == 0 {
		return e.Last().Add(clearedTTL)
	}
	return e.Last().Add(suspectTTL)
}

// put adds or replaces a suspect. The caller holds t.mu.
func (t *Table) put(e *Entry) {
	if t.suspects[e.ID] == nil {
		t.outlines[e.Outline]++
		t.size.Add(1)
	}
	t.noteCounts(e)
	t.digestValid, t.crashList = false, nil
	t.putTrials(e)
}

// putTrials replaces a suspect of which only the trials differ. The caller holds t.mu.
func (t *Table) putTrials(e *Entry) {
	t.suspects[e.ID] = e
	if t.changed != nil {
		close(t.changed)
		t.changed = nil
	}
}

// drop removes a suspect. The caller holds t.mu.
func (t *Table) drop(id ID) {
	e := t.suspects[id]
	delete(t.suspects, id)
	delete(t.partCounts, id)
	if t.outlines[e.Outline]--; t.outlines[e.Outline] <= 0 {
		delete(t.outlines, e.Outline)
	}
	t.size.Add(-1)
	t.digestValid, t.crashList = false, nil
}

// merge records an entry and reports whether it changed the table. A later send time in a strike of
// this instance (own) replaces a reported one, which depends on another instance's clock. The caller
// holds t.mu.
func (t *Table) merge(now time.Time, in *Entry, own bool) (changed bool) {
	before := t.suspects[in.ID]
	switch {
	case before != nil:
	case in.expired(now):
		return false // the sender will remove it too
	case !own && t.hasDropped(in):
		return false
	}
	var next Entry
	if before == nil {
		// Add the strikes one by one, as several may be of one crash.
		next, changed = *in, true
		next.Strikes, next.Trials = nil, nil
	} else {
		next = *before
		next.Strikes = append([]Strike(nil), before.Strikes...)
	}
	clearedUntil := later(next.clearedUntil(), in.clearedUntil())
	changed = next.clearUntil(clearedUntil) || changed
	for _, s := range in.Strikes {
		s.Cleared = s.Cleared || !s.CrashedAt.After(clearedUntil)
		i := next.find(s)
		switch {
		case i < 0:
			changed = next.add(s) || changed
		case s.Cleared && !next.Strikes[i].Cleared:
			next.Strikes[i].Cleared = true
			changed = true
		default:
			if own && s.SentAt.After(next.Strikes[i].SentAt) {
				next.Strikes[i].SentAt = s.SentAt
			}
			changed = next.Strikes[i].mergeSenders(s.Senders) || changed
		}
	}
	if in.Confirmed && !next.Confirmed && next.liveStrikes() >= next.minLiveStrikes() {
		next.Confirmed = true
		changed = true
	}
	t.strikesChanged = t.strikesChanged || changed
	if in.LastSeen.Sub(next.LastSeen) >= seenInterval {
		next.LastSeen = in.LastSeen
		changed = true
	}
	changed = next.mergeTrials(now, in.Trials) || changed
	if next.liveStrikes() < next.minLiveStrikes() {
		next.Confirmed = false
	}
	t.put(&next)
	return changed
}

// clearedUntil returns the time of the latest crash that is cleared; zero: none. An answer after it
// clears earlier crashes too.
func (e *Entry) clearedUntil() (at time.Time) {
	for i := range e.Strikes {
		if e.Strikes[i].Cleared {
			at = later(at, e.Strikes[i].CrashedAt)
		}
	}
	return at
}

// clearUntil clears the strikes up to at, and reports whether there were any.
func (e *Entry) clearUntil(at time.Time) (changed bool) {
	for i := range e.Strikes {
		if s := &e.Strikes[i]; !s.Cleared && !s.CrashedAt.After(at) {
			s.Cleared, changed = true, true
		}
	}
	return changed
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// add adds a strike, and reports whether that matters to other instances. At MaxStrikes the strike
// must be one more that counts, and replaces the oldest cleared one or else the oldest that does not
// count. Times depend on the clock that dated them last, so tables that kept the latest of more strikes
// would replace each other's for ever.
func (e *Entry) add(s Strike) bool {
	if len(e.Strikes) < MaxStrikes {
		e.Strikes = append(e.Strikes, s)
		return !s.Cleared
	}
	counted := e.counted()
	i := e.replaceable(counted)
	if s.Cleared || i < 0 {
		return false
	}
	replaced := e.Strikes[i]
	e.Strikes[i] = s
	if len(e.counted()) > len(counted) {
		return true
	}
	e.Strikes[i] = replaced
	return false
}

// counted returns the strikes that count towards a confirmation, if no crash is explained otherwise.
func (e *Entry) counted() []Strike {
	accept := func(Strike) bool { return true }
	if e.isPart() {
		return e.distinct(accept)
	}
	return e.consecutive(accept)
}

// replaceable returns the index of the oldest cleared strike, or else of the oldest one that is not in
// counted, or -1.
func (e *Entry) replaceable(counted []Strike) int {
	cleared, uncounted := -1, -1
	for i, s := range e.Strikes {
		switch {
		case s.Cleared:
			cleared = e.older(cleared, i)
		case !slices.ContainsFunc(counted, s.sameCrash):
			uncounted = e.older(uncounted, i)
		}
	}
	if cleared >= 0 {
		return cleared
	}
	return uncounted
}

// older returns the index of the earlier of two strikes; i may be -1 for none.
func (e *Entry) older(i, j int) int {
	if i < 0 || e.Strikes[j].CrashedAt.Before(e.Strikes[i].CrashedAt) {
		return j
	}
	return i
}

// find returns the index of the strike of e for the same crash as s, or -1.
func (e *Entry) find(s Strike) int {
	for i := range e.Strikes {
		if e.Strikes[i].sameCrash(s) {
			return i
		}
	}
	return -1
}

func (s Strike) sameCrash(other Strike) bool {
	diff := s.CrashedAt.Sub(other.CrashedAt)
	return s.Endpoint == other.Endpoint && -sameCrashWindow < diff && diff < sameCrashWindow
}

// evaluate confirms suspects and checks teams if there are new entries. It returns the IDs of these
// and of the suspects confirmed. The caller holds t.mu.
func (t *Table) evaluate(now time.Time, entries []Entry) (ids []ID) {
	for i := range entries {
		ids = append(ids, entries[i].ID)
	}
	if !t.strikesChanged {
		return ids
	}
	t.strikesChanged = false
	confirmed := t.confirm(t.isPoison)
	for _, id := range confirmed {
		if e := t.suspects[id]; e.isPart() {
			t.endSlowing(e.Service, now)
		}
	}
	t.checkTeams(now)
	return append(ids, confirmed...)
}

// current returns the entries of the distinct suspects in ids. The caller holds t.mu.
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

// Digest returns a hash of the suspects, of their strikes that are not cleared, and of confirmations,
// without times. It is zero for an empty table.
func (t *Table) Digest() uint64 {
	if t.size.Load() == 0 {
		return 0
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.digestValid {
		t.digest = 0
		for _, e := range t.suspects {
			t.digest += e.digest()
		}
		t.digestValid = true
	}
	return t.digest
}

// Kinds of facts in a digest.
const (
	digestLive = 1 + iota
	digestCleared
	digestConfirmed
	digestFull
)

// digest returns the entry's part of the table's digest. Of more strikes than there is room for, tables
// keep different ones.
func (e *Entry) digest() (sum uint64) {
	switch live := e.liveStrikes(); {
	case live == 0:
		return e.digestOf(0, digestCleared)
	case len(e.Strikes) == MaxStrikes:
		sum = e.digestOf(0, digestFull)
	default:
		for _, s := range e.Strikes {
			if !s.Cleared {
				sum += e.digestOf(s.Endpoint, digestLive)
			}
		}
	}
	if e.Confirmed {
		sum += e.digestOf(0, digestConfirmed)
	}
	return sum
}

func (e *Entry) digestOf(endpoint uint32, fact byte) uint64 {
	var b [len(e.ID) + 5]byte
	copy(b[:], e.ID[:])
	binary.LittleEndian.PutUint32(b[len(e.ID):], endpoint)
	b[len(b)-1] = fact
	return xxhash.Sum64(b[:])
}
