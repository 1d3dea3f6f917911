package gossip

// This file tells the other instances of requests that end endpoints.
//
// What is new is told at once: an instance tells the schedulers of its data centre, and a
// scheduler to which it is news tells it on, to its data centre, to the other schedulers of its
// region and to the gateways of other regions. What is no news to anybody ends there. A datagram
// may be lost, regions may be apart, and an instance may have started since; so each message
// carries a digest of what its sender holds, and who hears another digest than its own for
// some time asks that instance for all it holds, over TCP. Tables are merged in any order
// (package poison), so that two sides that were apart sum up when they join.
//
// A digest alone, without telling, was weighed: heartbeats between ordinary instances come
// seconds apart, in which the next endpoint is lost.

import (
	"encoding/binary"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"
	"google.golang.org/protobuf/encoding/protowire"

	"ivyridge/poison"
)

// SuspectsPath is where an instance tells all suspects that it holds.
const SuspectsPath = "/v2/suspects"

const (
	// differsFor is how long digests have to differ before all is asked for: what was told
	// a moment ago is on the way to everybody.
	differsFor = 400 * time.Millisecond
	// pullEvery is the least pause between two such questions.
	pullEvery = time.Second
	// MaxSuspects bounds an answer to them, in bytes: 2,048 suspects of 300 bytes.
	MaxSuspects = 1 << 20
	// maxInstant bounds how long ago something may have been, as another instance tells.
	maxInstant = 24 * time.Hour
)

// The fields of a suspect, and of a strike in it.
const (
	fieldSuspects     protowire.Number = 32 // of a Message
	fieldDigest       protowire.Number = 33 // of a Message
	fieldSame         protowire.Number = 1
	fieldOutline      protowire.Number = 2
	fieldSuspectOf    protowire.Number = 3 // the service
	fieldSuspectRoute protowire.Number = 4
	fieldSuspectTeam  protowire.Number = 5
	fieldStrikes      protowire.Number = 6
	fieldKnown        protowire.Number = 7
	fieldCame         protowire.Number = 8 // milliseconds ago, plus one; left out: it has not come
	fieldStruck       protowire.Number = 2 // milliseconds ago
	fieldThere        protowire.Number = 3 // milliseconds before the strike that the request was sent
	fieldVoid         protowire.Number = 4
	fieldOf           protowire.Number = 5
	fieldAmong        protowire.Number = 6
	fieldSpread       protowire.Number = 7 // in partUnit
)

// ago returns how many milliseconds before now an instant was.
func ago(now, at time.Time) uint64 { return uint64(max(0, now.Sub(at).Milliseconds())) }

// AppendSuspect appends the encoding of a suspect, whose instants are told by their age.
func AppendSuspect(b []byte, now time.Time, e *poison.Entry) []byte {
	b = appendBytes(b, fieldSame, e.ID[:])
	b = protowire.AppendTag(b, fieldOutline, protowire.Fixed64Type)
	b = protowire.AppendFixed64(b, uint64(e.Outline))
	b = appendBytes(b, fieldSuspectOf, []byte(e.Service))
	b = appendBytes(b, fieldSuspectRoute, []byte(e.Route))
	b = appendBytes(b, fieldSuspectTeam, []byte(e.Team))
	b = appendUint(b, fieldKnown, protowire.EncodeBool(e.Known))
	if !e.Came.IsZero() {
		b = appendUint(b, fieldCame, ago(now, e.Came)+1)
	}
	for _, s := range e.Strikes {
		strike := appendFixed(nil, fieldEndpoint, s.Endpoint)
		strike = appendUint(strike, fieldStruck, ago(now, s.At))
		strike = appendUint(strike, fieldThere, ago(s.At, s.Began))
		strike = appendUint(strike, fieldVoid, protowire.EncodeBool(s.Void))
		strike = appendUint(strike, fieldOf, uint64(max(0, s.Of)))
		strike = appendUint(strike, fieldAmong, uint64(max(0, s.Among)))
		strike = appendUint(strike, fieldSpread, uint64(max(0, s.Spread/partUnit+0.5)))
		b = appendBytes(b, fieldStrikes, strike)
	}
	return b
}

// instant returns the instant that was so many milliseconds before another.
func instant(at time.Time, ms uint64) time.Time {
	return at.Add(-time.Duration(min(ms, uint64(maxInstant.Milliseconds()))) * time.Millisecond)
}

// DecodeSuspect reads a suspect, as of now.
func DecodeSuspect(now time.Time, b []byte) (e poison.Entry, err error) {
	named := false
	err = eachField(b, func(f field) error {
		switch f.number {
		case fieldSame:
			named = len(f.bytes) == len(e.ID)
			copy(e.ID[:], f.bytes)
		case fieldOutline:
			e.Outline = poison.Outline(f.value)
		case fieldSuspectOf:
			e.Service = string(f.bytes)
		case fieldSuspectRoute:
			e.Route = string(f.bytes)
		case fieldSuspectTeam:
			e.Team = string(f.bytes)
		case fieldKnown:
			e.Known = f.value != 0
		case fieldCame:
			if f.value > 0 {
				e.Came = instant(now, f.value-1)
			}
		case fieldStrikes:
			s, err := decodeStrike(now, f.bytes)
			if len(e.Strikes) < poison.MostStrikes {
				e.Strikes = append(e.Strikes, s)
			}
			return err
		}
		return nil
	})
	if err == nil && !named {
		err = errors.New("gossip: a suspect without a name")
	}
	return e, err
}

func decodeStrike(now time.Time, b []byte) (s poison.Strike, err error) {
	var there uint64
	s.At = now
	err = eachField(b, func(f field) error {
		switch f.number {
		case fieldEndpoint:
			s.Endpoint = uint32(f.value)
		case fieldStruck:
			s.At = instant(now, f.value)
		case fieldThere:
			there = f.value
		case fieldVoid:
			s.Void = f.value != 0
		case fieldOf:
			s.Of = boundedCount(f.value)
		case fieldSpread:
			s.Spread = float64(boundedCount(f.value)) * partUnit
		case fieldAmong:
			s.Among = boundedCount(f.value)
		}
		return nil
	})
	s.Began = instant(s.At, there)
	return s, err
}

// TellSuspects tells the others what is new of suspects.
func (g *Gossip) TellSuspects(entries []poison.Entry) {
	if len(entries) == 0 {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.spreadSuspects(g.Now(), entries, "")
}

// spreadSuspects sends suspects to all that are to hear them, in as many datagrams as that
// needs, but not to the instance at an address. The caller holds g.mu.
func (g *Gossip) spreadSuspects(now time.Time, entries []poison.Entry, but string) {
	r := g.members.current(now)
	to := r.nearby
	if r.schedules {
		to = append(r.known[:len(r.known):len(r.known)], r.others...)
	}
	var receivers []string
	for _, m := range to {
		if m.Address != but {
			receivers = append(receivers, m.Address)
		}
	}
	if len(receivers) == 0 {
		return
	}
	var packed [][]byte
	room := maxDatagram - headBytes
	send := func() {
		m := g.message(now)
		m.Next = quietFor
		m.Suspects = packed
		g.send(m, receivers)
		packed, room = nil, maxDatagram-headBytes
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

// takeSuspects takes up what a message tells of suspects. The caller holds g.mu.
func (g *Gossip) takeSuspects(now time.Time, from string, m *Message) {
	if g.Suspects == nil {
		return
	}
	var told []poison.Entry
	for _, data := range m.Suspects {
		e, err := DecodeSuspect(now, data)
		if err != nil {
			g.Count("unreadable-suspect")
			continue
		}
		told = append(told, e)
	}
	if len(told) > 0 {
		g.mergeSuspects(now, from, told)
	}
	g.compareSuspects(now, from, m.Digest)
}

// mergeSuspects takes up suspects that another instance told, and tells on what is new. The
// caller holds g.mu.
func (g *Gossip) mergeSuspects(now time.Time, from string, told []poison.Entry) {
	news := g.Suspects.Merge(now, told)
	if len(news) == 0 {
		return
	}
	if g.SuspectNews != nil {
		g.SuspectNews(news)
	}
	if g.members.current(now).schedules {
		g.spreadSuspects(now, news, from)
	}
}

// A suspectsPull is what is known of digests that differ from the own one.
type suspectsPull struct {
	own   uint64               // since which digest the rest holds
	since map[uint64]time.Time // when others were heard first
	last  time.Time            // all suspects were asked for
	busy  bool
	vain  map[uint64]bool // digests of instances that were asked, and told nothing new
}

// mostDigests bounds the digests that are told apart; beyond it, all are looked at anew.
const mostDigests = 256

// heard returns for how long a digest has been heard, while the own one was the same.
func (p *suspectsPull) heard(now time.Time, own, digest uint64) time.Duration {
	if own != p.own || p.since == nil || len(p.since) >= mostDigests {
		p.own, p.since, p.vain = own, make(map[uint64]time.Time), make(map[uint64]bool)
	}
	if _, ok := p.since[digest]; !ok {
		p.since[digest] = now
	}
	return now.Sub(p.since[digest])
}

// compareSuspects asks an instance whose digest differs for what it holds, if that has been so
// for some time. One that has just started, and holds nothing, asks at once. The caller holds g.mu.
func (g *Gossip) compareSuspects(now time.Time, from string, digest uint64) {
	p, own := &g.pull, g.Suspects.Digest()
	if digest == own || digest == 0 || g.PullSuspects == nil {
		return
	}
	differs := p.heard(now, own, digest)
	started := own == 0 && now.Sub(g.began) < earlyFor
	if p.busy || p.vain[digest] || !started && (differs < differsFor || now.Sub(p.last) < pullEvery) {
		return
	}
	p.busy, p.last = true, now
	g.background(func() { g.pullSuspects(from, digest) })
}

// pullSuspects asks an instance for all suspects that it holds.
func (g *Gossip) pullSuspects(from string, digest uint64) {
	asked := g.Now()
	data, err := g.PullSuspects(from)
	var told []poison.Entry
	if err == nil {
		told, err = DecodeSuspects(asked, data)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.pull.busy = false
	if err != nil {
		g.Count("suspects-not-told")
		g.Log.Info("suspects not told", zap.String("by", from), zap.String("error", err.Error()))
		return
	}
	g.Count("suspects-asked")
	before := g.Suspects.Digest()
	g.mergeSuspects(g.Now(), from, told)
	if own := g.Suspects.Digest(); own == before && own == g.pull.own {
		g.pull.vain[digest] = true
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

// DecodeSuspects reads what EncodeSuspects returned.
func DecodeSuspects(now time.Time, data []byte) (out []poison.Entry, err error) {
	err = eachField(data, func(f field) error {
		if f.number != fieldSuspects || len(out) >= poison.MostSuspects {
			return nil
		}
		e, err := DecodeSuspect(now, f.bytes)
		out = append(out, e)
		return err
	})
	return out, err
}

// SuspectsHandler tells another instance all suspects of a table.
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
