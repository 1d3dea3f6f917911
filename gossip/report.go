package gossip

// This file encodes what an instance runs at an endpoint, and what it saw there.

import (
	"math"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/encoding/protowire"

	"ivyridge/balance"
	"ivyridge/speed"
)

// The fields of a Report, and of the samples in it.
const (
	fieldRequests protowire.Number = 2
	fieldMemory   protowire.Number = 3
	fieldExposure protowire.Number = 4 // in exposureUnit
	fieldEnded    protowire.Number = 7 // in outcomeUnit
	fieldFailed   protowire.Number = 8 // in outcomeUnit
	fieldReading  protowire.Number = 9
	fieldStepping protowire.Number = 10
	fieldUnread   protowire.Number = 11
	fieldLevels   protowire.Number = 12 // a byte string of varints
	fieldGone     protowire.Number = 13 // milliseconds
	fieldDown     protowire.Number = 14
	fieldRest     protowire.Number = 16 // milliseconds
	fieldLeaves   protowire.Number = 17
	fieldLimit    protowire.Number = 18
	fieldUnreadBy protowire.Number = 15 // a byte string of varints, from the second level on

	fieldWeight protowire.Number = 1 // of samples, in outcomeUnit
	fieldMean   protowire.Number = 2 // of samples: their mean logarithm in logUnit, zigzag
)

// exposureUnit is the step in which exposures travel.
const exposureUnit = 1e-15

// outcomeUnit is the step in which counts of outcomes travel.
const outcomeUnit = 1.0 / 16

// logUnit is the step in which logarithms of times travel.
const logUnit = 1.0 / 256

func appendReport(b []byte, r *balance.Report) []byte {
	b = appendFixed(b, fieldEndpoint, r.Endpoint)
	b = appendUint(b, fieldRequests, uint64(max(0, r.Requests)))
	b = appendUint(b, fieldMemory, uint64(max(0, r.Memory)))
	b = appendUint(b, fieldExposure, uint64(max(0, r.Exposure/exposureUnit)))
	b = appendUint(b, fieldEnded, uint64(max(0, r.Ended/outcomeUnit)))
	b = appendUint(b, fieldFailed, uint64(max(0, r.Failed/outcomeUnit)))
	b = appendUint(b, fieldUnread, uint64(max(0, r.Unread)))
	b = appendUint(b, fieldGone, uint64(max(0, r.Gone.Milliseconds())))
	b = appendUint(b, fieldRest, uint64(max(0, r.Rest.Milliseconds())))
	b = appendUint(b, fieldLeaves, protowire.EncodeBool(r.Leaves))
	b = appendLimit(b, fieldLimit, &r.Limit)
	b = appendUint(b, fieldDown, protowire.EncodeBool(r.Down))
	b = appendLevels(b, r)
	b = appendUnreadBy(b, r)
	b = appendSamples(b, fieldReading, r.Reading)
	return appendSamples(b, fieldStepping, r.Stepping)
}

// appendLevels adds counts of requests by urgency, if there are any.
func appendLevels(b []byte, r *balance.Report) []byte {
	var counts []byte
	some := false
	for _, n := range r.ByLevel {
		counts = protowire.AppendVarint(counts, uint64(max(0, n)))
		some = some || n > 0
	}
	if !some {
		return b
	}
	return appendBytes(b, fieldLevels, counts)
}

// decodeLevels reads counts by urgency; those of levels that are not known here
// are passed over.
func decodeLevels(b []byte, r *balance.Report) error {
	for level := range r.ByLevel {
		if len(b) == 0 {
			return nil
		}
		v, n := protowire.ConsumeVarint(b)
		if n < 0 {
			return errors.Wrap(protowire.ParseError(n), "gossip")
		}
		r.ByLevel[level] = boundedCount(v)
		b = b[n:]
	}
	return nil
}

// appendUnreadBy adds what is unread of all levels but the most urgent, if there is any.
func appendUnreadBy(b []byte, r *balance.Report) []byte {
	var tokens []byte
	some := false
	for _, n := range r.UnreadBy[1:] {
		tokens = protowire.AppendVarint(tokens, uint64(max(0, n)))
		some = some || n > 0
	}
	if !some {
		return b
	}
	return appendBytes(b, fieldUnreadBy, tokens)
}

// decodeUnreadBy reads what is unread by urgency. What no level is told of, or which does
// not sum up, is taken for the most urgent: nobody goes ahead of that.
func decodeUnreadBy(b []byte, r *balance.Report) error {
	rest := r.Unread
	for level := 1; level < len(r.UnreadBy) && len(b) > 0; level++ {
		v, n := protowire.ConsumeVarint(b)
		if n < 0 {
			return errors.Wrap(protowire.ParseError(n), "gossip")
		}
		r.UnreadBy[level] = min(boundedCount(v), rest)
		rest -= r.UnreadBy[level]
		b = b[n:]
	}
	r.UnreadBy[0] = rest
	return nil
}

func appendSamples(b []byte, n protowire.Number, s speed.Sum) []byte {
	weight := uint64(max(0, s.Weight/outcomeUnit))
	if weight == 0 {
		return b
	}
	samples := appendUint(nil, fieldWeight, weight)
	samples = appendUint(samples, fieldMean, protowire.EncodeZigZag(int64(math.Round(s.Log/s.Weight/logUnit))))
	return appendBytes(b, n, samples)
}

func decodeSamples(b []byte) (speed.Sum, error) {
	var weight, mean float64
	err := eachField(b, func(f field) error {
		switch f.number {
		case fieldWeight:
			weight = float64(boundedCount(f.value)) * outcomeUnit
		case fieldMean:
			mean = float64(protowire.DecodeZigZag(f.value)) * logUnit
		}
		return nil
	})
	return speed.Sum{Weight: weight, Log: weight * mean}, err
}

func decodeReport(b []byte, reports *[]balance.Report) error {
	var r balance.Report
	var unreadBy []byte
	err := eachField(b, func(f field) error {
		switch f.number {
		case fieldEndpoint:
			r.Endpoint = uint32(f.value)
		case fieldRequests:
			r.Requests = boundedCount(f.value)
		case fieldMemory:
			r.Memory = boundedCount(f.value)
		case fieldExposure:
			r.Exposure = float64(f.value) * exposureUnit
		case fieldEnded:
			r.Ended = float64(boundedCount(f.value)) * outcomeUnit
		case fieldFailed:
			r.Failed = float64(boundedCount(f.value)) * outcomeUnit
		case fieldUnread:
			r.Unread = boundedCount(f.value)
		case fieldGone:
			r.Gone = time.Duration(boundedCount(f.value)) * time.Millisecond
		case fieldRest:
			r.Rest = time.Duration(boundedCount(f.value)) * time.Millisecond
		case fieldLeaves:
			r.Leaves = f.value != 0
		case fieldLimit:
			var err error
			r.Limit, err = decodeLimit(f.bytes)
			return err
		case fieldDown:
			r.Down = f.value != 0
		case fieldUnreadBy:
			unreadBy = f.bytes
		case fieldLevels:
			return decodeLevels(f.bytes, &r)
		case fieldReading:
			var err error
			r.Reading, err = decodeSamples(f.bytes)
			return err
		case fieldStepping:
			var err error
			r.Stepping, err = decodeSamples(f.bytes)
			return err
		}
		return nil
	})
	if err == nil {
		err = decodeUnreadBy(unreadBy, &r)
	}
	*reports = append(*reports, r)
	return err
}
