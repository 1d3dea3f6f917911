package gossip

// This file encodes gossip messages as protobuf by hand, which avoids linking a type registry.

import (
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/encoding/protowire"

	"ivyridge/balance"
	"ivyridge/inventory"
)

// A Message is the content of one datagram.
type Message struct {
	Sender     uint64        // random ID of the sending process; changes with each start
	DataCentre string        // of the sender
	Leaving    bool          // the sender is shutting down
	Token      uint32        // returned as Echo
	Echo       uint32        // last Token that the sender received from the receiver; zero: none
	Revision   int64         // of the sender's state
	Age        time.Duration // time since the sender's state was confirmed, at sending; negative: never confirmed
	Peers      []string      // gossip addresses of some live members
	Complete   bool          // Reports are complete and replace earlier ones
	Reports    []balance.Report
	Notices    []balance.Notice

	// Aggregates are the load of the ordinary instances of AggregatesOf, or of all of Region.
	Aggregates         []balance.Report
	AggregatesOf       string // data centre that Aggregates cover; empty: they cover Region, or there are none
	AggregatesComplete bool   // Aggregates are complete and replace earlier ones

	Cores      float64            // of the sender's machine
	WarmedUp   bool               // the sender has been a scheduler for at least the warm-up period
	NextWithin time.Duration      // the receiver gets another message from the sender within this time
	FleetSize  int                // live instances that the sender receives from, itself included
	Protocol   int                // protocol version of the sender
	Summary    *inventory.Summary // build and settings of the sender; nil: not sent in this message
	RetryShare float64            // share of the retry budget that the sender holds

	Teams []balance.TeamUse // use by team, from requests that the sender placed

	Suspects [][]byte // one encoded suspect each; see suspects.go
	Digest   uint64   // of the sender's suspect table; zero: empty

	RegionMessage

	PlacementRequest  *PlacementRequest  // if set, other content is ignored
	PlacementResponse *PlacementResponse // if set, other content is ignored

	AllocatesLimits bool            // the sender may allocate endpoint rate limits
	PermitRequest   *PermitRequest  // if set, other content is ignored
	PermitResponse  *PermitResponse // if set, other content is ignored

	StreamRecord *StreamRecord // if set, other content is ignored
	StreamQuery  *StreamQuery  // if set, other content is ignored
	StreamAnswer *StreamAnswer // if set, other content is ignored
}

// Field numbers of a Message and the messages in it.
const (
	fieldSender             protowire.Number = 1
	fieldDataCentre         protowire.Number = 2
	fieldLeaving            protowire.Number = 3
	fieldToken              protowire.Number = 4
	fieldEcho               protowire.Number = 5
	fieldRevision           protowire.Number = 6
	fieldAge                protowire.Number = 7 // milliseconds, zigzag
	fieldPeers              protowire.Number = 8
	fieldComplete           protowire.Number = 9
	fieldReports            protowire.Number = 10
	fieldNotices            protowire.Number = 11
	fieldCores              protowire.Number = 12 // in units of coresUnit
	fieldWarmedUp           protowire.Number = 13
	fieldNextWithin         protowire.Number = 14 // milliseconds
	fieldFleetSize          protowire.Number = 15
	fieldPlacementRequest   protowire.Number = 16
	fieldPlacementResponse  protowire.Number = 17
	fieldAggregates         protowire.Number = 18
	fieldAggregatesOf       protowire.Number = 19
	fieldAggregatesComplete protowire.Number = 20
	fieldProtocol           protowire.Number = 21
	fieldSummary            protowire.Number = 31 // inventory.Summary
	fieldTeams              protowire.Number = 22
	fieldRetryShare         protowire.Number = 29 // in units of shareUnit
	fieldAllocatesLimits    protowire.Number = 34
	fieldPermitRequest      protowire.Number = 35
	fieldPermitResponse     protowire.Number = 36
	fieldStreamRecord       protowire.Number = 37
	fieldStreamQuery        protowire.Number = 38
	fieldStreamAnswer       protowire.Number = 39

	fieldEndpoint       protowire.Number = 1
	fieldUncached       protowire.Number = 5 // of a notice
	fieldParts          protowire.Number = 6 // of a notice
	fieldFetched        protowire.Number = 7 // of a notice
	fieldNoticePriority protowire.Number = 8
	fieldNoticeSuspect  protowire.Number = 9
	fieldPartID         protowire.Number = 1
	fieldPartTokens     protowire.Number = 2
)

// Protocol versions. Receivers skip unknown fields; content that an older version would
// misinterpret is only sent to instances of a sufficient version.
const (
	protocolResidency = 1 // placements respect home regions
	protocolRetries   = 2 // schedulers charge retries
	protocolRegions   = 3 // messages from other regions are forwarded
	protocolLimits    = 4 // instances allocate limits and answer permit requests
	protocolForward   = 5 // instances handle forwarded requests
	protocolSoftware  = 6 // placements respect software versions, and instances hold records of streams
	protocolCurrent   = protocolSoftware
)

const shareUnit = 1e-4

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

// appendEcho is separate from Append because the echo differs between receivers.
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
	b = appendUint(b, fieldComplete, protowire.EncodeBool(m.Complete))
	b = appendUint(b, fieldCores, uint64(max(0, m.Cores/coresUnit+0.5)))
	b = appendUint(b, fieldWarmedUp, protowire.EncodeBool(m.WarmedUp))
	b = appendUint(b, fieldNextWithin, uint64(max(0, m.NextWithin.Milliseconds())))
	b = appendUint(b, fieldFleetSize, uint64(max(0, m.FleetSize)))
	b = appendUint(b, fieldProtocol, uint64(max(0, m.Protocol)))
	if m.Summary != nil {
		b = appendBytes(b, fieldSummary, m.Summary.Append(nil))
	}
	b = appendUint(b, fieldRetryShare, uint64(max(0, m.RetryShare/shareUnit+0.5)))
	b = appendUint(b, fieldAllocatesLimits, protowire.EncodeBool(m.AllocatesLimits))
	if m.PermitRequest != nil {
		b = appendBytes(b, fieldPermitRequest, m.PermitRequest.append(nil))
	}
	if m.PermitResponse != nil {
		b = appendBytes(b, fieldPermitResponse, m.PermitResponse.append(nil))
	}
	b = m.appendStreams(b)
	b = m.RegionMessage.append(b)
	b = appendDigest(b, m.Digest)
	for _, s := range m.Suspects {
		b = appendBytes(b, fieldSuspects, s)
	}
	for _, p := range m.Peers {
		b = appendBytes(b, fieldPeers, []byte(p))
	}
	if m.PlacementRequest != nil {
		b = appendBytes(b, fieldPlacementRequest, m.PlacementRequest.append(nil))
	}
	if m.PlacementResponse != nil {
		b = appendBytes(b, fieldPlacementResponse, m.PlacementResponse.append(nil))
	}
	for i := range m.Reports {
		b = appendBytes(b, fieldReports, appendReport(nil, &m.Reports[i]))
	}
	for i := range m.Aggregates {
		b = appendBytes(b, fieldAggregates, appendReport(nil, &m.Aggregates[i]))
	}
	if m.AggregatesOf != "" {
		b = appendBytes(b, fieldAggregatesOf, []byte(m.AggregatesOf))
	}
	b = appendUint(b, fieldAggregatesComplete, protowire.EncodeBool(m.AggregatesComplete))
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
	b = appendUint(b, fieldNoticePriority, uint64(max(0, n.Priority)))
	b = appendUint(b, fieldNoticeSuspect, protowire.EncodeBool(n.Suspect))
	return appendParts(b, n.Parts)
}

func appendParts(b []byte, parts []balance.PromptPart) []byte {
	for _, p := range parts {
		part := appendUint(nil, fieldPartID, p.ID)
		part = appendUint(part, fieldPartTokens, uint64(max(0, p.Tokens)))
		b = appendBytes(b, fieldParts, part)
	}
	return b
}

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
		case fieldComplete:
			m.Complete = f.value != 0
		case fieldPeers:
			m.Peers = append(m.Peers, string(f.bytes))
		case fieldCores:
			m.Cores = float64(boundedCount(f.value)) * coresUnit
		case fieldWarmedUp:
			m.WarmedUp = f.value != 0
		case fieldNextWithin:
			m.NextWithin = time.Duration(boundedCount(f.value)) * time.Millisecond
		case fieldFleetSize:
			m.FleetSize = boundedCount(f.value)
		case fieldProtocol:
			m.Protocol = boundedCount(f.value)
		case fieldSummary:
			if summary, ok := inventory.DecodeSummary(f.bytes); ok {
				m.Summary = &summary
			}
		case fieldRetryShare:
			m.RetryShare = float64(boundedCount(f.value)) * shareUnit
		case fieldAllocatesLimits:
			m.AllocatesLimits = f.value != 0
		case fieldPermitRequest:
			m.PermitRequest = new(PermitRequest)
			return m.PermitRequest.decode(f.bytes)
		case fieldPermitResponse:
			m.PermitResponse = new(PermitResponse)
			return m.PermitResponse.decode(f.bytes)
		case fieldStreamRecord:
			m.StreamRecord = new(StreamRecord)
			return m.StreamRecord.decode(f.bytes)
		case fieldStreamQuery:
			m.StreamQuery = new(StreamQuery)
			return m.StreamQuery.decode(f.bytes)
		case fieldStreamAnswer:
			m.StreamAnswer = new(StreamAnswer)
			return m.StreamAnswer.decode(f.bytes)
		case fieldPlacementRequest:
			m.PlacementRequest = new(PlacementRequest)
			return m.PlacementRequest.decode(f.bytes)
		case fieldPlacementResponse:
			m.PlacementResponse = new(PlacementResponse)
			return m.PlacementResponse.decode(f.bytes)
		case fieldReports:
			return decodeReport(f.bytes, &m.Reports)
		case fieldAggregates:
			return decodeReport(f.bytes, &m.Aggregates)
		case fieldAggregatesOf:
			m.AggregatesOf = string(f.bytes)
		case fieldAggregatesComplete:
			m.AggregatesComplete = f.value != 0
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
		case fieldNoticePriority:
			n.Priority = boundedCount(f.value)
		case fieldNoticeSuspect:
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

func decodePart(b []byte) (balance.PromptPart, error) {
	var p balance.PromptPart
	err := eachField(b, func(f field) error {
		switch f.number {
		case fieldPartID:
			p.ID = f.value
		case fieldPartTokens:
			p.Tokens = boundedCount(f.value)
		}
		return nil
	})
	return p, err
}
