package poison

// This file finds prompt parts that crash the endpoints which begin to answer a request with them,
// whatever else the request holds. Such requests differ from each other, so that each is in flight
// at one crash only.
//
// A part is a suspect of its own, with a strike for each crash at which a request with it was in
// flight. Most parts are shared by sound requests, whose answers clear them soon. A part is
// confirmed when so many strikes without an answer in between are unlikely for a sound
// one, given how many of the service's other requests were cut off and answered meanwhile. Parts that
// always come together can't be told apart; then only requests with all of them are blocked, so that
// those with some are answered and clear these.

import (
	"encoding/binary"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// minPartStrikes is the least number of strikes at different moments to confirm a part.
	minPartStrikes = 4
	// minPartInterval is the least time between crashes that are not one event.
	minPartInterval = 150 * time.Millisecond
	// maxPartChance is the probability below which a part has its strikes by chance.
	maxPartChance = 1e-4
	// sufficientPartStrikes confirm a part in any case if this instance relayed minOtherAnswers of
	// the service meanwhile: endpoints may crash so often that chance can't be ruled out.
	sufficientPartStrikes = 8
	minOtherAnswers       = 10
	// suspectPartStrikes is the number of strikes from which requests with a part are sent with
	// precautions.
	suspectPartStrikes = 2
)

// PartID returns the ID of a prompt part as a suspect. Its second half is the part's ID, so that
// builds that know no parts relay it.
func PartID(service string, part uint64) (id ID) {
	binary.BigEndian.PutUint64(id[:8], partTag(service))
	binary.BigEndian.PutUint64(id[8:], part)
	return id
}

func partTag(service string) uint64 { return xxhash.Sum64String("prompt part of " + service) }

// Part returns the ID of the prompt part that e is about, or false if it is about a request.
func (e *Entry) Part() (part uint64, ok bool) {
	if binary.BigEndian.Uint64(e.ID[:8]) != partTag(e.Service) {
		return 0, false
	}
	return binary.BigEndian.Uint64(e.ID[8:]), true
}

func (e *Entry) isPart() bool {
	_, ok := e.Part()
	return ok
}

// minLiveStrikes is the least number of strikes that are not cleared of a confirmed suspect.
func (e *Entry) minLiveStrikes() int {
	if e.isPart() {
		return minPartStrikes
	}
	return minStrikes
}

// BlockedPart returns the confirmed suspect because of which requests with the given parts are
// blocked, if any.
func (t *Table) BlockedPart(service string, parts []uint64) (e Entry, blocked bool) {
	if t.size.Load() == 0 {
		return e, false
	}
	t.mu.RLock()
	defer t.mu.RUnlock()
	for _, part := range parts {
		suspect := t.suspects[PartID(service, part)]
		if suspect != nil && suspect.Confirmed && t.hasCompanions(suspect, parts) {
			return *suspect, true
		}
	}
	return e, false
}

// hasCompanions reports whether parts include all those that were present at each crash of a suspect
// too. The caller holds t.mu.
func (t *Table) hasCompanions(suspect *Entry, parts []uint64) bool {
	for _, other := range t.suspects {
		part, ok := other.Part()
		if ok && other.Service == suspect.Service && other.covers(suspect) && !slices.Contains(parts, part) {
			return false
		}
	}
	return true
}

// covers reports whether e has a strike, not cleared, at each crash of other's strikes.
func (e *Entry) covers(other *Entry) bool {
	for _, s := range other.Strikes {
		if s.Cleared {
			continue
		}
		if i := e.find(s); i < 0 || e.Strikes[i].Cleared {
			return false
		}
	}
	return true
}

// SuspectedPart reports whether requests with the given parts should be sent with precautions.
func (t *Table) SuspectedPart(service string, parts []uint64) bool {
	if t.size.Load() == 0 {
		return false
	}
	t.mu.RLock()
	defer t.mu.RUnlock()
	for _, part := range parts {
		if e := t.suspects[PartID(service, part)]; e != nil && e.liveStrikes() >= suspectPartStrikes {
			return true
		}
	}
	return false
}

// AnswerSettleTime is how long an endpoint must go on after the first event of a stream for the
// stream's prompt parts to count as answered. A poison part crashes the endpoint sooner.
const AnswerSettleTime = 250 * time.Millisecond

// PartsAnswered records that an endpoint answered a request with the given parts, in full or for
// AnswerSettleTime, which clears them. It returns the updates for other instances. Strikes of
// requests that were answered so must not be passed to EndpointCrashed.
func (t *Table) PartsAnswered(service string, parts []uint64) (updates []Entry) {
	if t.size.Load() == 0 {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.requestCounts(service).answered++
	for _, part := range parts {
		updates = append(updates, t.clear(PartID(service, part))...)
	}
	return updates
}

// RecordCut records how many requests with prompt parts a crash cut off before they were answered as
// defined by PartsAnswered. It must be called before EndpointCrashed with their parts.
func (t *Table) RecordCut(service string, requests int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.requestCounts(service).cut += requests
}

// requestCounts counts the requests with prompt parts of a service that this instance had cut off by
// crashes and answered, while the table was not empty.
type requestCounts struct{ cut, answered int }

// requestCounts returns the counts of a service. The caller holds t.mu.
func (t *Table) requestCounts(service string) *requestCounts {
	c := t.counts[service]
	if c == nil {
		c = new(requestCounts)
		t.counts[service] = c
	}
	return c
}

// partCounts are the counts of a part's service at the part's first strike, and how many of the
// requests cut off since had the part.
type partCounts struct {
	before requestCounts
	cut    int
}

// noteCounts keeps the counts at the first strike of a part. The caller holds t.mu.
func (t *Table) noteCounts(e *Entry) {
	if !e.isPart() || e.liveStrikes() == 0 {
		delete(t.partCounts, e.ID)
		return
	}
	if t.partCounts[e.ID] == nil {
		t.partCounts[e.ID] = &partCounts{before: *t.requestCounts(e.Service)}
	}
}

// countCut counts the requests of this instance that a crash cut off, by part. The caller holds t.mu.
func (t *Table) countCut(in []Entry) {
	for i := range in {
		if c := t.partCounts[in[i].ID]; c != nil {
			c.cut++
		}
	}
}

// isPoisonPart reports whether a part is poison. The caller holds t.mu.
func (t *Table) isPoisonPart(e *Entry, accept func(Strike) bool) bool {
	strikes, c := len(e.distinct(accept)), t.partCounts[e.ID]
	if strikes < minPartStrikes || c == nil {
		return false
	}
	if strikes >= sufficientPartStrikes && t.requestCounts(e.Service).answered-c.before.answered >= minOtherAnswers {
		return true
	}
	return t.partChance(e, strikes) < maxPartChance
}

// partChance returns the probability that a part has so many strikes by chance, given how many of the
// service's requests without it were cut off and answered since its first strike. The caller holds t.mu.
func (t *Table) partChance(e *Entry, strikes int) float64 {
	c := t.partCounts[e.ID]
	if c == nil {
		return 1
	}
	now := t.requestCounts(e.Service)
	cut, answered := max(0, now.cut-c.before.cut-c.cut), now.answered-c.before.answered
	// One more of each, so that a few requests don't pass for certainty.
	cutShare := float64(cut+1) / float64(cut+answered+2)
	return math.Pow(cutShare, float64(strikes))
}

// distinct returns a strike for each different moment of the strikes that accept allows and that are not
// cleared, by time. Endpoints that crash at once, as in a rack, cut off many sound requests.
func (e *Entry) distinct(accept func(Strike) bool) (out []Strike) {
	sorted := slices.Clone(e.Strikes)
	slices.SortFunc(sorted, func(a, b Strike) int { return a.CrashedAt.Compare(b.CrashedAt) })
	var last time.Time
	for _, s := range sorted {
		if s.Cleared || s.CrashedAt.Sub(last) < minPartInterval || !accept(s) {
			continue
		}
		out = append(out, s)
		last = s.CrashedAt
	}
	return out
}

// endSlowing ends the slowing of a service's teams, which a confirmed part explains. The caller holds
// t.mu.
func (t *Table) endSlowing(service string, now time.Time) {
	for key := range t.slowed {
		if key.Service == service {
			t.slowed[key] = now
		}
	}
}
