package gossip

// This file exchanges the requests suspected of crashing endpoints.
//
// An instance sends new entries at once to the schedulers of its data centre. A scheduler forwards
// entries that are new to it to its data centre, the other schedulers of its region and the
// gateways of other regions. Since datagrams get lost and instances restart, each message also
// carries a digest of the sender's suspect table. An instance that sees a different digest for
// some time fetches that table over TCP. Tables can be merged in any order (package poison).
// Digests alone would be too slow: heartbeats between ordinary instances are seconds apart.

import (
	"encoding/binary"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"
	"google.golang.org/protobuf/encoding/protowire"

	"ivyridge/poison"
)

// SuspectsPath is the HTTP path at which an instance serves its suspect table.
const SuspectsPath = "/v2/suspects"

const (
	// digestGracePeriod leaves entries in flight time to arrive before a table is fetched.
	digestGracePeriod = 400 * time.Millisecond
	// pullInterval is the minimum pause between fetches.
	pullInterval = time.Second
	// pullBytesPerSecond bounds the traffic of fetches: after a large table the pause is longer.
	pullBytesPerSecond = 8 << 10
	// MaxSuspectTableBytes bounds the size of an encoded table, in bytes.
	MaxSuspectTableBytes = 1 << 20
	// maxAge bounds the ages accepted from other instances.
	maxAge = 24 * time.Hour
)

// Field numbers of a suspect, and of a strike in it.
const (
	fieldSuspects        protowire.Number = 32 // of a Message
	fieldDigest          protowire.Number = 33 // of a Message
	fieldSuspectID       protowire.Number = 1
	fieldOutline         protowire.Number = 2
	fieldSuspectService  protowire.Number = 3
	fieldSuspectRoute    protowire.Number = 4
	fieldSuspectTeam     protowire.Number = 5
	fieldStrikes         protowire.Number = 6
	fieldConfirmed       protowire.Number = 7
	fieldLastSeen        protowire.Number = 8 // age in milliseconds plus one; absent: not seen
	fieldTrials          protowire.Number = 9
	fieldTrialInstance   protowire.Number = 1
	fieldTrialVersion    protowire.Number = 2
	fieldTrialRunning    protowire.Number = 3
	fieldStrikeAge       protowire.Number = 2 // age in milliseconds
	fieldStrikeDelay     protowire.Number = 3 // milliseconds between sending the request and the strike
	fieldCleared         protowire.Number = 4
	fieldListedEndpoints protowire.Number = 5
	fieldInFlight        protowire.Number = 6
	fieldTeamSpread      protowire.Number = 7 // in units of shareUnit
	fieldSenders         protowire.Number = 8
	fieldSenderInstance  protowire.Number = 1
	fieldSenderCopies    protowire.Number = 2
)

// msBefore returns how many milliseconds at was before now.
func msBefore(now, at time.Time) uint64 { return uint64(max(0, now.Sub(at).Milliseconds())) }

// AppendSuspect appends the encoding of a suspect to b. Times are encoded as ages at now.
func AppendSuspect(b []byte, now time.Time, e *poison.Entry) []byte {
	b = appendBytes(b, fieldSuspectID, e.ID[:])
	b = protowire.AppendTag(b, fieldOutline, protowire.Fixed64Type)
	b = protowire.AppendFixed64(b, uint64(e.Outline))
	b = appendBytes(b, fieldSuspectService, []byte(e.Service))
	b = appendBytes(b, fieldSuspectRoute, []byte(e.Route))
	b = appendBytes(b, fieldSuspectTeam, []byte(e.Team))
	b = appendUint(b, fieldConfirmed, protowire.EncodeBool(e.Confirmed))
	if !e.LastSeen.IsZero() {
		b = appendUint(b, fieldLastSeen, msBefore(now, e.LastSeen)+1)
	}
	for _, s := range e.Strikes {
		strike := appendFixed(nil, fieldEndpoint, s.Endpoint)
		strike = appendUint(strike, fieldStrikeAge, msBefore(now, s.CrashedAt))
		strike = appendUint(strike, fieldStrikeDelay, msBefore(s.CrashedAt, s.SentAt))
		strike = appendUint(strike, fieldCleared, protowire.EncodeBool(s.Cleared))
		strike = appendUint(strike, fieldListedEndpoints, uint64(max(0, s.ListedEndpoints)))
		strike = appendUint(strike, fieldInFlight, uint64(max(0, s.InFlight)))
		strike = appendUint(strike, fieldTeamSpread, uint64(max(0, s.TeamSpread/shareUnit+0.5)))
		for _, sender := range s.Senders {
			data := appendUint(appendFixed(nil, fieldSenderInstance, sender.Instance), fieldSenderCopies, uint64(max(0, sender.Copies)))
			strike = appendBytes(strike, fieldSenders, data)
		}
		b = appendBytes(b, fieldStrikes, strike)
	}
	for _, r := range e.Trials {
		trial := appendFixed(nil, fieldTrialInstance, r.Instance)
		trial = appendUint(trial, fieldTrialVersion, r.Version)
		trial = appendUint(trial, fieldTrialRunning, protowire.EncodeBool(r.Running))
		b = appendBytes(b, fieldTrials, trial)
	}
	return b
}

// maxTrials bounds the trials accepted of a suspect.
const maxTrials = 64

func decodeTrial(b []byte) (r poison.Trial, err error) {
	err = eachField(b, func(f field) error {
		switch f.number {
		case fieldTrialInstance:
			r.Instance = uint32(f.value)
		case fieldTrialVersion:
			r.Version = f.value
		case fieldTrialRunning:
			r.Running = f.value != 0
		}
		return nil
	})
	return r, err
}

// timeBefore returns the time ms milliseconds before at, limited to maxAge.
func timeBefore(at time.Time, ms uint64) time.Time {
	return at.Add(-time.Duration(min(ms, uint64(maxAge.Milliseconds()))) * time.Millisecond)
}

// DecodeSuspect decodes a suspect. Ages are taken relative to now. It returns an error if b is
// malformed or has no valid ID.
func DecodeSuspect(now time.Time, b []byte) (e poison.Entry, err error) {
	hasID := false
	err = eachField(b, func(f field) error {
		switch f.number {
		case fieldSuspectID:
			hasID = len(f.bytes) == len(e.ID)
			copy(e.ID[:], f.bytes)
		case fieldOutline:
			e.Outline = poison.Outline(f.value)
		case fieldSuspectService:
			e.Service = string(f.bytes)
		case fieldSuspectRoute:
			e.Route = string(f.bytes)
		case fieldSuspectTeam:
			e.Team = string(f.bytes)
		case fieldConfirmed:
			e.Confirmed = f.value != 0
		case fieldLastSeen:
			if f.value > 0 {
				e.LastSeen = timeBefore(now, f.value-1)
			}
		case fieldStrikes:
			s, err := decodeStrike(now, f.bytes)
			if len(e.Strikes) < poison.MaxStrikes {
				e.Strikes = append(e.Strikes, s)
			}
			return err
		case fieldTrials:
			r, err := decodeTrial(f.bytes)
			if len(e.Trials) < maxTrials {
				e.Trials = append(e.Trials, r)
			}
			return err
		}
		return nil
	})
	if err == nil && !hasID {
		err = errors.New("gossip: suspect has no valid ID")
	}
	return e, err
}

func decodeStrike(now time.Time, b []byte) (s poison.Strike, err error) {
	var delay uint64
	s.CrashedAt = now
	err = eachField(b, func(f field) error {
		switch f.number {
		case fieldEndpoint:
			s.Endpoint = uint32(f.value)
		case fieldStrikeAge:
			s.CrashedAt = timeBefore(now, f.value)
		case fieldStrikeDelay:
			delay = f.value
		case fieldCleared:
			s.Cleared = f.value != 0
		case fieldListedEndpoints:
			s.ListedEndpoints = boundedCount(f.value)
		case fieldTeamSpread:
			s.TeamSpread = float64(boundedCount(f.value)) * shareUnit
		case fieldInFlight:
			s.InFlight = boundedCount(f.value)
		case fieldSenders:
			sender, err := decodeSender(f.bytes)
			if len(s.Senders) < poison.MaxSenders {
				s.Senders = append(s.Senders, sender)
			}
			return err
		}
		return nil
	})
	s.SentAt = timeBefore(s.CrashedAt, delay)
	return s, err
}

func decodeSender(b []byte) (s poison.Sender, err error) {
	err = eachField(b, func(f field) error {
		switch f.number {
		case fieldSenderInstance:
			s.Instance = uint32(f.value)
		case fieldSenderCopies:
			s.Copies = boundedCount(f.value)
		}
		return nil
	})
	return s, err
}

// SendSuspects sends suspects that are new at this instance to the others.
func (g *Gossip) SendSuspects(entries []poison.Entry) {
	if len(entries) == 0 {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.forwardSuspects(g.Now(), entries, "")
}

// forwardSuspects sends suspects to the instances that this one forwards to, other than the one at
// the address except. The caller holds g.mu.
func (g *Gossip) forwardSuspects(now time.Time, entries []poison.Entry, except string) {
	r := g.members.currentRoles(now)
	to := r.localSchedulers
	if r.isScheduler {
		to = append(r.localContacts[:len(r.localContacts):len(r.localContacts)], r.otherGateways...)
	}
	var receivers []string
	for _, m := range to {
		if m.Address != except {
			receivers = append(receivers, m.Address)
		}
	}
	if len(receivers) == 0 {
		return
	}
	var packed [][]byte
	room := maxDatagram - headerBytes
	send := func() {
		m := g.newMessage(now)
		m.NextWithin = maxUpdateInterval
		m.Suspects = packed
		g.send(m, receivers)
		packed, room = nil, maxDatagram-headerBytes
	}
	for i := range entries {
		data := AppendSuspect(nil, now, &entries[i])
		if len(data) > room && len(packed) > 0 {
			send()
		}
		packed, room = append(packed, data), room-len(data)
	}
	send()
}

// handleSuspects processes the suspects and the digest of a message. The caller holds g.mu.
func (g *Gossip) handleSuspects(now time.Time, from string, m *Message) {
	if g.Suspects == nil {
		return
	}
	var received []poison.Entry
	for _, data := range m.Suspects {
		e, err := DecodeSuspect(now, data)
		if err != nil {
			g.Count("unreadable-suspect")
			continue
		}
		received = append(received, e)
	}
	if len(received) > 0 {
		g.mergeSuspects(now, from, received)
	}
	g.compareSuspects(now, from, m.Digest)
}

// mergeSuspects merges received suspects and forwards the new ones. The caller holds g.mu.
func (g *Gossip) mergeSuspects(now time.Time, from string, received []poison.Entry) {
	changed := g.Suspects.Merge(now, received)
	if len(changed) == 0 {
		return
	}
	if g.OnSuspects != nil {
		g.OnSuspects(changed)
	}
	if g.members.currentRoles(now).isScheduler {
		g.forwardSuspects(now, changed, from)
	}
}

// A suspectSync tracks digests that differ from the local one.
type suspectSync struct {
	localDigest uint64 // local digest for which firstSeen and redundant are valid
	firstSeen   map[uint64]time.Time
	nextPull    time.Time // earliest time of the next fetch
	fetching    bool
	redundant   map[uint64]bool // digests whose table had nothing new
}

// maxDigests bounds the digests tracked; when it is reached, tracking restarts.
const maxDigests = 256

// seenFor returns for how long digest has been seen while localDigest was unchanged.
func (s *suspectSync) seenFor(now time.Time, localDigest, digest uint64) time.Duration {
	if localDigest != s.localDigest || s.firstSeen == nil || len(s.firstSeen) >= maxDigests {
		s.localDigest, s.firstSeen, s.redundant = localDigest, make(map[uint64]time.Time), make(map[uint64]bool)
	}
	if _, ok := s.firstSeen[digest]; !ok {
		s.firstSeen[digest] = now
	}
	return now.Sub(s.firstSeen[digest])
}

// compareSuspects fetches the table of an instance whose digest has differed for some time. An
// instance that has just started, with an empty table, fetches at once. The caller holds g.mu.
func (g *Gossip) compareSuspects(now time.Time, from string, digest uint64) {
	s, localDigest := &g.suspectSync, g.Suspects.Digest()
	if digest == localDigest || digest == 0 || g.FetchSuspects == nil {
		return
	}
	differsFor := s.seenFor(now, localDigest, digest)
	justStarted := localDigest == 0 && now.Sub(g.startedAt) < startupPeriod
	if s.fetching || s.redundant[digest] || !justStarted && (differsFor < digestGracePeriod || now.Before(s.nextPull)) {
		return
	}
	s.fetching, s.nextPull = true, now.Add(pullInterval)
	g.background(func() { g.pullSuspects(from, digest) })
}

func (g *Gossip) pullSuspects(from string, digest uint64) {
	requestedAt := g.Now()
	data, err := g.FetchSuspects(from)
	var received []poison.Entry
	if err == nil {
		received, err = DecodeSuspects(requestedAt, data)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.suspectSync.fetching = false
	if err != nil {
		g.Count("suspects-not-told")
		g.Log.Info("fetching the suspect table failed", zap.String("by", from), zap.String("error", err.Error()))
		return
	}
	g.Count("suspects-asked")
	if pause := time.Duration(len(data)) * time.Second / pullBytesPerSecond; pause > pullInterval {
		g.suspectSync.nextPull = requestedAt.Add(pause)
	}
	before := g.Suspects.Digest()
	g.mergeSuspects(g.Now(), from, received)
	if localDigest := g.Suspects.Digest(); localDigest == before && localDigest == g.suspectSync.localDigest {
		g.suspectSync.redundant[digest] = true
	}
}

// EncodeSuspects encodes all suspects of a table.
func EncodeSuspects(now time.Time, t *poison.Table) []byte {
	var out []byte
	for _, e := range t.Entries() {
		out = appendBytes(out, fieldSuspects, AppendSuspect(nil, now, &e))
	}
	return out
}

// DecodeSuspects decodes at most poison.MaxSuspects entries from the output of EncodeSuspects.
func DecodeSuspects(now time.Time, data []byte) (out []poison.Entry, err error) {
	err = eachField(data, func(f field) error {
		if f.number != fieldSuspects || len(out) >= poison.MaxSuspects {
			return nil
		}
		e, err := DecodeSuspect(now, f.bytes)
		out = append(out, e)
		return err
	})
	return out, err
}

// SuspectsHandler serves the suspect table t to other instances.
func SuspectsHandler(t *poison.Table, now func() time.Time) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/octet-stream")
		_, _ = w.Write(EncodeSuspects(now(), t))
	}
}

func appendDigest(b []byte, digest uint64) []byte {
	if digest == 0 {
		return b
	}
	return appendBytes(b, fieldDigest, binary.LittleEndian.AppendUint64(nil, digest))
}

func decodeDigest(b []byte) uint64 {
	if len(b) != 8 {
		return 0
	}
	return binary.LittleEndian.Uint64(b)
}
