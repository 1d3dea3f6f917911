package gossip

// This file exchanges records of the software versions that began streams.
//
// An instance that begins to relay a stream sends a record to a few others, chosen by a hash of the
// stream and of their addresses, so that instances that know the same members choose the same ones
// without coordination. Ordinary instances know the members of their data centre and the schedulers of
// the others, so one copy goes to a scheduler elsewhere. An instance at which a caller takes up a stream
// asks those that may have a copy.

import (
	"cmp"
	"context"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/encoding/protowire"

	"ivyridge/catalog"
	"ivyridge/resume"
)

const (
	// streamCopies is the number of other instances that get a record, and localStreamCopies how many of
	// them are in the same data centre if it has as many.
	streamCopies      = 4
	localStreamCopies = 3
	// askAllInstances is the number of other instances up to which all are asked for a record.
	askAllInstances = 8
	// streamLookupTimeouts is how long a lookup lasts, in timeouts of one request.
	streamLookupTimeouts = 2
)

// A StreamRecord says which software version began a stream.
type StreamRecord struct {
	Stream   resume.StreamID
	Software catalog.SoftwareID // zero: not known for sure
	TTL      time.Duration
}

// A StreamQuery asks which software version began a stream.
type StreamQuery struct {
	Number  uint64 // returned in the answer
	Stream  resume.StreamID
	Service string
	TTL     time.Duration // how long ago the stream may have begun, if Stream is that of a request's content; else zero
}

// A StreamAnswer is the response to a StreamQuery.
type StreamAnswer struct {
	Number   uint64
	Held     bool               // from a record; otherwise the service has had one version only
	Software catalog.SoftwareID // zero: not known
	Complete bool               // no equal stream that began within the query's TTL is missing; older builds leave it out
}

const (
	fieldStreamNumber   protowire.Number = 1
	fieldStreamID       protowire.Number = 2
	fieldStreamSoftware protowire.Number = 3
	fieldStreamTTL      protowire.Number = 4 // milliseconds
	fieldStreamService  protowire.Number = 5
	fieldStreamHeld     protowire.Number = 6
	fieldStreamComplete protowire.Number = 7
)

func (m *Message) appendStreams(b []byte) []byte {
	if r := m.StreamRecord; r != nil {
		body := appendUint(nil, fieldStreamID, uint64(r.Stream))
		body = appendUint(body, fieldStreamSoftware, uint64(r.Software))
		body = appendUint(body, fieldStreamTTL, uint64(max(0, r.TTL.Milliseconds())))
		b = appendBytes(b, fieldStreamRecord, body)
	}
	if q := m.StreamQuery; q != nil {
		body := appendUint(nil, fieldStreamNumber, q.Number)
		body = appendUint(body, fieldStreamID, uint64(q.Stream))
		body = appendBytes(body, fieldStreamService, []byte(q.Service))
		body = appendUint(body, fieldStreamTTL, uint64(max(0, q.TTL.Milliseconds())))
		b = appendBytes(b, fieldStreamQuery, body)
	}
	if a := m.StreamAnswer; a != nil {
		body := appendUint(nil, fieldStreamNumber, a.Number)
		body = appendUint(body, fieldStreamHeld, protowire.EncodeBool(a.Held))
		body = appendUint(body, fieldStreamSoftware, uint64(a.Software))
		body = appendUint(body, fieldStreamComplete, protowire.EncodeBool(a.Complete))
		b = appendBytes(b, fieldStreamAnswer, body)
	}
	return b
}

func (r *StreamRecord) decode(b []byte) error {
	return eachField(b, func(f field) error {
		switch f.number {
		case fieldStreamID:
			r.Stream = resume.StreamID(f.value)
		case fieldStreamSoftware:
			r.Software = catalog.SoftwareID(f.value)
		case fieldStreamTTL:
			r.TTL = time.Duration(boundedCount(f.value)) * time.Millisecond
		}
		return nil
	})
}

func (q *StreamQuery) decode(b []byte) error {
	return eachField(b, func(f field) error {
		switch f.number {
		case fieldStreamNumber:
			q.Number = f.value
		case fieldStreamID:
			q.Stream = resume.StreamID(f.value)
		case fieldStreamService:
			q.Service = string(f.bytes)
		case fieldStreamTTL:
			q.TTL = time.Duration(boundedCount(f.value)) * time.Millisecond
		}
		return nil
	})
}

func (a *StreamAnswer) decode(b []byte) error {
	return eachField(b, func(f field) error {
		switch f.number {
		case fieldStreamNumber:
			a.Number = f.value
		case fieldStreamHeld:
			a.Held = f.value != 0
		case fieldStreamSoftware:
			a.Software = catalog.SoftwareID(f.value)
		case fieldStreamComplete:
			a.Complete = f.value != 0
		}
		return nil
	})
}

// RecordStream records that software began a stream, here and at some other instances, for ttl. Zero
// means that the version is not known for sure.
func (g *Gossip) RecordStream(stream resume.StreamID, software catalog.SoftwareID, ttl time.Duration) {
	now := g.Now()
	g.Streams.Record(now, stream, software, ttl)
	g.mu.Lock()
	to := g.addressesOf(g.members.currentRoles(now).streamHolders(stream))
	g.mu.Unlock()
	m := &Message{Sender: g.id, DataCentre: g.DataCentre, StreamRecord: &StreamRecord{Stream: stream, Software: software, TTL: ttl}}
	for _, address := range to {
		g.sendDirect(m, address)
	}
	g.Count("stream-records-sent")
}

func (g *Gossip) handleStreamRecord(r *StreamRecord) {
	g.Streams.Receive(g.Now(), r.Stream, r.Software, r.TTL)
	g.Count("stream-records-received")
}

// addressesOf returns the addresses of members. The caller holds g.mu.
func (g *Gossip) addressesOf(members []*Member) (out []netip.AddrPort) {
	for _, m := range members {
		if to, ok := g.resolve(m.Address); ok {
			out = append(out, to)
		}
	}
	return out
}

// rankForStream sorts the members that hold records by a hash of the stream and their addresses.
func rankForStream(stream resume.StreamID, members []*Member) []*Member {
	type ranked struct {
		m    *Member
		rank uint64
	}
	var all []ranked
	for _, m := range members {
		if m.KnowsSoftware() {
			all = append(all, ranked{m, mixRank(uint64(stream), xxhash.Sum64String(m.Address))})
		}
	}
	slices.SortFunc(all, func(a, b ranked) int { return cmp.Compare(a.rank, b.rank) })
	out := make([]*Member, len(all))
	for i := range all {
		out[i] = all[i].m
	}
	return out
}

// mixRank returns a hash of two hashes.
func mixRank(a, b uint64) uint64 {
	const odd = 0x9e3779b97f4a7c15 // 2^64 divided by the golden ratio
	x := (a ^ b*odd) * odd
	return x ^ x>>29
}

// localMembers returns the other members of this data centre.
func (r *roles) localMembers() []*Member {
	return append(r.localSchedulers[:len(r.localSchedulers):len(r.localSchedulers)], r.localPeers...)
}

// streamHolders returns the members that get a record of a stream.
func (r *roles) streamHolders(stream resume.StreamID) []*Member {
	local := rankForStream(stream, r.localMembers())
	local = local[:min(len(local), localStreamCopies)]
	remote := rankForStream(stream, r.remoteSchedulers)
	return append(local, remote[:min(len(remote), streamCopies-len(local))]...)
}

// streamSources returns the members that may hold a record of a stream, which an instance of any data
// centre has begun. One more than streamCopies allows for members that have joined or left since.
func (r *roles) streamSources(stream resume.StreamID) []*Member {
	local, remote := rankForStream(stream, r.localMembers()), rankForStream(stream, r.remoteSchedulers)
	if len(local)+len(remote) <= askAllInstances {
		return append(local, remote...)
	}
	out := append(local[:min(len(local), streamCopies):min(len(local), streamCopies)], remote[:min(len(remote), streamCopies)]...)
	for _, m := range rankForStream(stream, r.localSchedulers) {
		if !slices.Contains(out, m) {
			out = append(out, m)
		}
	}
	return out
}

// StreamSoftware returns the software version that began a stream of a service, asking other instances
// if this one has no record of it. Zero: it is not known.
func (g *Gossip) StreamSoftware(ctx context.Context, stream resume.StreamID, service string) catalog.SoftwareID {
	if software, held := g.Streams.Software(g.Now(), stream); held {
		g.Count("stream-lookups-own")
		return software
	}
	var found StreamAnswer
	g.queryStream(ctx, &StreamQuery{Stream: stream, Service: service}, func(a StreamAnswer) bool {
		found = a
		return !a.Held && a.Software == 0
	})
	if found.Held || found.Software != 0 {
		g.Count("stream-lookups-found")
		return found.Software
	}
	return g.onlySoftware(service)
}

// ContentSoftware returns the software version that began the streams of all requests with a content, which
// began up to ttl ago. Zero: there may have been several versions, or none is known.
func (g *Gossip) ContentSoftware(ctx context.Context, content resume.StreamID, service string, ttl time.Duration) catalog.SoftwareID {
	query := &StreamQuery{Stream: content, Service: service, TTL: ttl}
	answers := []StreamAnswer{*g.answerStream(query)}
	asked := g.queryStream(ctx, query, func(a StreamAnswer) bool {
		answers = append(answers, a)
		return true
	})
	if asked == 0 {
		answers[0].Complete = g.Streams.ReachesBack(g.Now(), ttl)
	}
	software, conclusive := combineContent(answers)
	if conclusive {
		g.Count("stream-lookups-found")
		return software
	}
	if only := g.onlySoftware(service); software == 0 || software == only {
		return only
	}
	return 0
}

// combineContent returns the version that all answers agree on. It is conclusive if they contradict each
// other, or if none of the streams can be missing.
func combineContent(answers []StreamAnswer) (software catalog.SoftwareID, conclusive bool) {
	for _, a := range answers {
		if !a.Held {
			continue
		}
		if a.Software == 0 || software != 0 && a.Software != software {
			return 0, true
		}
		software = a.Software
		conclusive = conclusive || a.Complete
	}
	return software, conclusive
}

// onlySoftware returns the version of a service that has had one version only, else zero.
func (g *Gossip) onlySoftware(service string) catalog.SoftwareID {
	software, ok := g.State.OnlySoftware(service)
	if !ok {
		g.Count("stream-lookups-unknown")
		return 0
	}
	g.Count("stream-lookups-only-version")
	return software
}

// queryStream sends q, whose number it sets, to the instances that may hold records, and calls handle with
// each answer until that returns false or the timeout ends. It returns the number of instances asked.
func (g *Gossip) queryStream(ctx context.Context, q *StreamQuery, handle func(StreamAnswer) bool) (asked int) {
	g.mu.Lock()
	began := g.Now()
	to := g.addressesOf(g.members.currentRoles(began).streamSources(q.Stream))
	g.requestNumber++
	q.Number = g.requestNumber
	answers := make(chan StreamAnswer, len(to))
	g.streamLookups[q.Number] = answers
	timeout := streamLookupTimeouts * g.responseTimeout.timeout(0)
	g.mu.Unlock()
	defer func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		delete(g.streamLookups, q.Number)
	}()
	m := &Message{Sender: g.id, DataCentre: g.DataCentre, StreamQuery: q}
	for _, address := range to {
		g.sendDirect(m, address)
	}
	for range to {
		answer, ok := awaitResponse(ctx, answers, timeout-g.Now().Sub(began))
		if !ok || !handle(answer) {
			break
		}
	}
	return len(to)
}

// answerStream answers q from what this instance knows.
func (g *Gossip) answerStream(q *StreamQuery) *StreamAnswer {
	now := g.Now()
	answer := &StreamAnswer{Number: q.Number}
	if answer.Software, answer.Held = g.Streams.Software(now, q.Stream); answer.Held {
		answer.Complete = q.TTL > 0 && g.Streams.Covers(now, q.Stream, q.TTL)
		return answer
	}
	answer.Software, _ = g.State.OnlySoftware(q.Service)
	return answer
}

func (g *Gossip) handleStreamQuery(to netip.AddrPort, q *StreamQuery) {
	g.sendDirect(&Message{Sender: g.id, DataCentre: g.DataCentre, StreamAnswer: g.answerStream(q)}, to)
	g.Count("stream-queries-received")
}

// handleStreamAnswer passes an answer to the lookup that waits for it.
func (g *Gossip) handleStreamAnswer(a *StreamAnswer) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if answers := g.streamLookups[a.Number]; answers != nil {
		select {
		case answers <- *a:
		default: // duplicate answer
		}
	}
}
