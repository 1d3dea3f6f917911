package gossip

// This file encodes gossip messages. A Message is a protobuf message that is encoded by hand,
// field by field, so that no type registry is linked in.

import (
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/encoding/protowire"

	"ivyridge/balance"
	"ivyridge/inventory"
)

// A Message is the content of one datagram.
type Message struct {
	Sender     uint64        // changes with each start of a process
	DataCentre string        // of the sender
	Leaving    bool          // the sender is shutting down
	Token      uint32        // returned as Echo
	Echo       uint32        // last Token that the sender received from the receiver; zero: none
	Revision   int64         // of the sender's state
	Age        time.Duration // time since the sender's state was confirmed, at sending; negative: never confirmed
	Peers      []string      // gossip addresses of some live members
	Whole      bool          // Reports are complete and replace earlier ones
	Reports    []balance.Report
	Notices    []balance.Notice

	// Sums aggregate the load of all ordinary instances of a data centre. They are sent once to
	// each other data centre, and are forwarded within it.
	Sums      []balance.Report
	SumsOf    string // the data centre; empty: no sums
	SumsWhole bool   // Sums are complete and replace earlier ones

	Cores float64         // of the sender's machine
	Warm  bool            // the sender has been a scheduler for at least the warm-up period
	Next  time.Duration   // the receiver gets another message from the sender within this time
	Hears int             // live instances that the sender receives from, itself included
	Level int             // protocol version of the sender
	Mark  *inventory.Mark // build and settings of the sender; nil: not sent in this message
	Part  float64         // share of the retry budget that the sender holds

	Teams []balance.TeamUse // use by team, from requests that the sender placed

	Suspects [][]byte // one encoded suspect each; see suspects.go
	Digest   uint64   // of the sender's suspect table; zero: empty

	RegionMessage

	Ask   *Ask   // a placement request; other content is ignored
	Grant *Grant // the answer to a placement request; other content is ignored

	Divides   bool       // the sender may allocate endpoint rate limits
	PermitAsk *PermitAsk // a permit request; other content is ignored
	Permit    *Permit    // the answer to a permit request; other content is ignored
}

// Field numbers of a Message and the messages in it.
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
	fieldCores      protowire.Number = 12 // in units of coresUnit
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
	fieldHeldPart   protowire.Number = 29 // in units of shareUnit
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

// Protocol versions. Receivers skip unknown fields; content that an older version would
// misinterpret is only sent to instances of a sufficient version.
const (
	protocolHomes   = 1 // placements respect home regions
	protocolRetries = 2 // schedulers charge retries
	protocolRegions = 3 // messages from other regions are forwarded
	protocolLimits  = 4 // instances allocate limits and answer permit requests
	protocolCurrent = protocolLimits
)

// shareUnit is the encoding resolution of a share.
const shareUnit = 1e-4

// coresUnit is the encoding resolution of a machine's cores.
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

// appendEcho appends the echo, which differs between receivers.
func appendEcho(b []byte, echo uint32) []byte { return appendUint(b, fieldEcho, uint64(echo)) }

// Append appends the encoding of m to b and returns the result.
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
	b = appendUint(b, fieldHeldPart, uint64(max(0, m.Part/shareUnit+0.5)))
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

// A field is one decoded protobuf field.
type field struct {
	number protowire.Number
	value  uint64
	bytes  []byte
}

// eachField calls visit for each field of b, known or not.
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

// maxCount bounds the integers accepted from a datagram.
const maxCount = 1 << 30

func boundedCount(v uint64) int { return int(min(v, maxCount)) }

// Decode decodes a Message. It returns an error if b is malformed or has no sender.
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
			m.Part = float64(boundedCount(f.value)) * shareUnit
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
		err = errors.New("gossip: message has no sender ID")
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
