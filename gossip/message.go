package gossip

// This file encodes what instances tell each other. A Message is a protobuf
// message, written field by field, so that no registry is linked in.

import (
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/encoding/protowire"

	"ivyridge/balance"
	"ivyridge/inventory"
)

// A Message is what one instance tells others in a datagram.
type Message struct {
	Sender     uint64        // new at every start of a process
	DataCentre string        // the sender's data centre
	Leaving    bool          // it stops
	Token      uint32        // comes back as Echo
	Echo       uint32        // the last Token that the sender had from the receiver; zero: none
	Revision   int64         // of the sender's beliefs
	Age        time.Duration // of their proof, at sending; negative: not proved
	Peers      []string      // some gossip addresses that the sender hears
	Whole      bool          // Reports are all that the sender runs
	Reports    []balance.Report
	Notices    []balance.Notice

	// Sums say what the instances of a data centre that schedule nothing run
	// together; they cross to another data centre once, and are passed on there.
	Sums      []balance.Report
	SumsOf    string // the data centre; empty: the sender's
	SumsWhole bool   // Sums are all that these instances run

	Cores float64         // of the sender's machine
	Warm  bool            // the sender has been a scheduler for some time
	Next  time.Duration   // within which the receiver hears from the sender again
	Hears int             // instances that the sender hears, itself among them
	Level int             // what the sender understands; see levelNow
	Mark  *inventory.Mark // what the sender runs; nil: not said here
	Part  float64         // of the retries, that the sender holds

	Teams []balance.TeamUse // what teams use, by the requests that the sender chose for

	Suspects [][]byte // encoded, one a suspect; see suspects.go
	Digest   uint64   // of all suspects that the sender holds; zero: none

	RegionMessage

	Ask   *Ask   // the receiver is to choose an endpoint; nothing else is said
	Grant *Grant // the answer to an Ask; nothing else is said

	Divides   bool       // the sender may divide limits
	PermitAsk *PermitAsk // for a permit; nothing else is said
	Permit    *Permit    // the answer to a PermitAsk; nothing else is said
}

// The fields of a Message and of the messages in it.
const (
	fieldSender     protowire.Number = 1
	fieldDataCentre protowire.Number = 2
	fieldLeaving    protowire.Number = 3
	fieldToken      protowire.Number = 4
	fieldEcho       protowire.Number = 5
	fieldRevision   protowire.Number = 6
	fieldAge        protowire.Number = 7 // milliseconds, zigzag
	fieldPeers      protowire.Number = 8
	fieldWhole      protowire.Number = 9
	fieldReports    protowire.Number = 10
	fieldNotices    protowire.Number = 11
	fieldCores      protowire.Number = 12 // in coresUnit
	fieldWarm       protowire.Number = 13
	fieldNext       protowire.Number = 14 // milliseconds
	fieldHears      protowire.Number = 15
	fieldAsk        protowire.Number = 16
	fieldGrant      protowire.Number = 17
	fieldSums       protowire.Number = 18
	fieldSumsOf     protowire.Number = 19
	fieldSumsWhole  protowire.Number = 20
	fieldLevel      protowire.Number = 21
	fieldMark       protowire.Number = 31 // inventory.Mark
	fieldTeams      protowire.Number = 22
	fieldHeldPart   protowire.Number = 29 // in partUnit
	fieldDivides    protowire.Number = 34
	fieldPermitAsk  protowire.Number = 35
	fieldPermit     protowire.Number = 36

	fieldEndpoint protowire.Number = 1
	fieldUncached protowire.Number = 5 // of a notice
	fieldParts    protowire.Number = 6 // of a notice
	fieldFetched  protowire.Number = 7 // of a notice
	fieldUrgency  protowire.Number = 8 // of a notice: the priority
	fieldSuspect  protowire.Number = 9 // of a notice
	fieldPart     protowire.Number = 1
	fieldTokens   protowire.Number = 2
)

// Levels of what an instance understands. Fields that it does not know are passed over; what
// must not be misunderstood is told only to those that know it.
const (
	levelHomes   = 1 // homes bind its choices
	levelRetries = 2 // it charges the retries that it is asked for
	levelRegions = 3 // it passes on what another region tells
	levelLimits  = 4 // it divides limits, and answers asks for permits
	levelNow     = levelLimits
)

// partUnit is the step in which a part travels.
const partUnit = 1e-4

// coresUnit is the step in which the size of a machine travels.
const coresUnit = 1e-3

func appendUint(b []byte, n protowire.Number, v uint64) []byte {
	if v == 0 {
		return b
	}
	b = protowire.AppendTag(b, n, protowire.VarintType)
	return protowire.AppendVarint(b, v)
}

func appendFixed(b []byte, n protowire.Number, v uint32) []byte {
	b = protowire.AppendTag(b, n, protowire.Fixed32Type)
	return protowire.AppendFixed32(b, v)
}

func appendBytes(b []byte, n protowire.Number, v []byte) []byte {
	b = protowire.AppendTag(b, n, protowire.BytesType)
	return protowire.AppendBytes(b, v)
}

// appendEcho adds the one field that differs from receiver to receiver.
func appendEcho(b []byte, echo uint32) []byte { return appendUint(b, fieldEcho, uint64(echo)) }

// Append appends the encoding of m to b.
func (m *Message) Append(b []byte) []byte {
	b = appendUint(b, fieldSender, m.Sender)
	b = appendBytes(b, fieldDataCentre, []byte(m.DataCentre))
	b = appendUint(b, fieldLeaving, protowire.EncodeBool(m.Leaving))
	b = appendUint(b, fieldToken, uint64(m.Token))
	b = appendEcho(b, m.Echo)
	b = appendUint(b, fieldRevision, uint64(m.Revision))
	b = appendUint(b, fieldAge, protowire.EncodeZigZag(m.Age.Milliseconds()))
	b = appendUint(b, fieldWhole, protowire.EncodeBool(m.Whole))
	b = appendUint(b, fieldCores, uint64(max(0, m.Cores/coresUnit+0.5)))
	b = appendUint(b, fieldWarm, protowire.EncodeBool(m.Warm))
	b = appendUint(b, fieldNext, uint64(max(0, m.Next.Milliseconds())))
	b = appendUint(b, fieldHears, uint64(max(0, m.Hears)))
	b = appendUint(b, fieldLevel, uint64(max(0, m.Level)))
	if m.Mark != nil {
		b = appendBytes(b, fieldMark, m.Mark.Append(nil))
	}
	b = appendUint(b, fieldHeldPart, uint64(max(0, m.Part/partUnit+0.5)))
	b = appendUint(b, fieldDivides, protowire.EncodeBool(m.Divides))
	if m.PermitAsk != nil {
		b = appendBytes(b, fieldPermitAsk, m.PermitAsk.append(nil))
	}
	if m.Permit != nil {
		b = appendBytes(b, fieldPermit, m.Permit.append(nil))
	}
	b = m.RegionMessage.append(b)
	b = appendDigest(b, m.Digest)
	for _, s := range m.Suspects {
		b = appendBytes(b, fieldSuspects, s)
	}
	for _, p := range m.Peers {
		b = appendBytes(b, fieldPeers, []byte(p))
	}
	if m.Ask != nil {
		b = appendBytes(b, fieldAsk, m.Ask.append(nil))
	}
	if m.Grant != nil {
		b = appendBytes(b, fieldGrant, m.Grant.append(nil))
	}
	for i := range m.Reports {
		b = appendBytes(b, fieldReports, appendReport(nil, &m.Reports[i]))
	}
	for i := range m.Sums {
		b = appendBytes(b, fieldSums, appendReport(nil, &m.Sums[i]))
	}
	if m.SumsOf != "" {
		b = appendBytes(b, fieldSumsOf, []byte(m.SumsOf))
	}
	b = appendUint(b, fieldSumsWhole, protowire.EncodeBool(m.SumsWhole))
	b = appendTeams(b, m.Teams)
	for i := range m.Notices {
		b = appendBytes(b, fieldNotices, appendNotice(nil, &m.Notices[i]))
	}
	return b
}

func appendNotice(b []byte, n *balance.Notice) []byte {
	b = appendFixed(b, fieldEndpoint, n.Endpoint)
	b = appendUint(b, fieldUncached, uint64(max(0, n.Uncached)))
	b = appendUint(b, fieldFetched, uint64(max(0, n.Fetched)))
	b = appendUint(b, fieldUrgency, uint64(max(0, n.Priority)))
	b = appendUint(b, fieldSuspect, protowire.EncodeBool(n.Suspect))
	return appendParts(b, n.Parts)
}

func appendParts(b []byte, parts []balance.Part) []byte {
	for _, p := range parts {
		part := appendUint(nil, fieldPart, p.ID)
		part = appendUint(part, fieldTokens, uint64(max(0, p.Tokens)))
		b = appendBytes(b, fieldParts, part)
	}
	return b
}

// A field is one decoded field.
type field struct {
	number protowire.Number
	value  uint64
	bytes  []byte
}

// eachField calls visit for the fields of b; unknown ones are visited too.
func eachField(b []byte, visit func(f field) error) error {
	for len(b) > 0 {
		number, kind, n := protowire.ConsumeTag(b)
		if n < 0 {
			return errors.Wrap(protowire.ParseError(n), "gossip")
		}
		b = b[n:]
		f := field{number: number}
		switch kind {
		case protowire.VarintType:
			f.value, n = protowire.ConsumeVarint(b)
		case protowire.Fixed32Type:
			var v uint32
			v, n = protowire.ConsumeFixed32(b)
			f.value = uint64(v)
		case protowire.Fixed64Type:
			f.value, n = protowire.ConsumeFixed64(b)
		case protowire.BytesType:
			f.bytes, n = protowire.ConsumeBytes(b)
		default:
			n = protowire.ConsumeFieldValue(number, kind, b)
		}
		if n < 0 {
			return errors.Wrap(protowire.ParseError(n), "gossip")
		}
		b = b[n:]
		if err := visit(f); err != nil {
			return err
		}
	}
	return nil
}

// most bounds the numbers that are taken from a datagram.
const most = 1 << 30

func boundedCount(v uint64) int { return int(min(v, most)) }

// Decode reads a Message.
func Decode(b []byte) (*Message, error) {
	m := new(Message)
	err := eachField(b, func(f field) error {
		switch f.number {
		case fieldSender:
			m.Sender = f.value
		case fieldDataCentre:
			m.DataCentre = string(f.bytes)
		case fieldLeaving:
			m.Leaving = f.value != 0
		case fieldToken:
			m.Token = uint32(f.value)
		case fieldEcho:
			m.Echo = uint32(f.value)
		case fieldRevision:
			m.Revision = int64(f.value)
		case fieldAge:
			m.Age = time.Duration(protowire.DecodeZigZag(f.value)) * time.Millisecond
		case fieldWhole:
			m.Whole = f.value != 0
		case fieldPeers:
			m.Peers = append(m.Peers, string(f.bytes))
		case fieldCores:
			m.Cores = float64(boundedCount(f.value)) * coresUnit
		case fieldWarm:
			m.Warm = f.value != 0
		case fieldNext:
			m.Next = time.Duration(boundedCount(f.value)) * time.Millisecond
		case fieldHears:
			m.Hears = boundedCount(f.value)
		case fieldLevel:
			m.Level = boundedCount(f.value)
		case fieldMark:
			if mark, ok := inventory.DecodeMark(f.bytes); ok {
				m.Mark = &mark
			}
		case fieldHeldPart:
			m.Part = float64(boundedCount(f.value)) * partUnit
		case fieldDivides:
			m.Divides = f.value != 0
		case fieldPermitAsk:
			m.PermitAsk = new(PermitAsk)
			return m.PermitAsk.decode(f.bytes)
		case fieldPermit:
			m.Permit = new(Permit)
			return m.Permit.decode(f.bytes)
		case fieldAsk:
			m.Ask = new(Ask)
			return m.Ask.decode(f.bytes)
		case fieldGrant:
			m.Grant = new(Grant)
			return m.Grant.decode(f.bytes)
		case fieldReports:
			return decodeReport(f.bytes, &m.Reports)
		case fieldSums:
			return decodeReport(f.bytes, &m.Sums)
		case fieldSumsOf:
			m.SumsOf = string(f.bytes)
		case fieldSumsWhole:
			m.SumsWhole = f.value != 0
		case fieldTeams:
			return decodeTeams(f.bytes, &m.Teams)
		case fieldNotices:
			return m.decodeNotice(f.bytes)
		case fieldSuspects:
			m.Suspects = append(m.Suspects, append([]byte(nil), f.bytes...))
		case fieldDigest:
			m.Digest = decodeDigest(f.bytes)
		default:
			m.RegionMessage.decode(f)
		}
		return nil
	})
	if err == nil && m.Sender == 0 {
		err = errors.New("gossip: a message without sender")
	}
	return m, err
}

func (m *Message) decodeNotice(b []byte) error {
	var n balance.Notice
	err := eachField(b, func(f field) error {
		switch f.number {
		case fieldEndpoint:
			n.Endpoint = uint32(f.value)
		case fieldUncached:
			n.Uncached = boundedCount(f.value)
		case fieldFetched:
			n.Fetched = boundedCount(f.value)
		case fieldUrgency:
			n.Priority = boundedCount(f.value)
		case fieldSuspect:
			n.Suspect = f.value != 0
		case fieldParts:
			p, err := decodePart(f.bytes)
			n.Parts = append(n.Parts, p)
			return err
		}
		return nil
	})
	m.Notices = append(m.Notices, n)
	return err
}

func decodePart(b []byte) (balance.Part, error) {
	var p balance.Part
	err := eachField(b, func(f field) error {
		switch f.number {
		case fieldPart:
			p.ID = f.value
		case fieldTokens:
			p.Tokens = boundedCount(f.value)
		}
		return nil
	})
	return p, err
}
