package gossip

// This file encodes load reports: the requests and outcomes of an instance at an endpoint.

import (
	"math"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/encoding/protowire"

	"ivyridge/balance"
	"ivyridge/speed"
)

// Field numbers of a Report and of the samples in it.
const (
	fieldRequests              protowire.Number = 2
	fieldMemory                protowire.Number = 3
	fieldExposure              protowire.Number = 4 // in units of exposureUnit
	fieldCompleted             protowire.Number = 7 // in units of outcomeUnit
	fieldFailed                protowire.Number = 8 // in units of outcomeUnit
	fieldPrefillSamples        protowire.Number = 9
	fieldStepSamples           protowire.Number = 10
	fieldPendingPrefill        protowire.Number = 11
	fieldRequestsByLevel       protowire.Number = 12 // a byte string of varints
	fieldReplaced              protowire.Number = 13 // milliseconds
	fieldDown                  protowire.Number = 14
	fieldBackoff               protowire.Number = 16 // milliseconds
	fieldDraining              protowire.Number = 17
	fieldLimit                 protowire.Number = 18
	fieldBrittle               protowire.Number = 19 // milliseconds
	fieldFull                  protowire.Number = 20 // milliseconds
	fieldPendingPrefillByLevel protowire.Number = 15 // byte string of varints, without the most urgent level

	fieldWeight  protowire.Number = 1 // of samples, in units of outcomeUnit
	fieldLogMean protowire.Number = 2 // of samples: mean logarithm in units of logUnit, zigzag
)

const exposureUnit = 1e-15

const outcomeUnit = 1.0 / 16

const logUnit = 1.0 / 256

func appendReport(b []byte, r *balance.Report) []byte {
	b = appendFixed(b, fieldEndpoint, r.Endpoint)
	b = appendUint(b, fieldRequests, uint64(max(0, r.Requests)))
	b = appendUint(b, fieldMemory, uint64(max(0, r.Memory)))
	b = appendUint(b, fieldExposure, uint64(max(0, r.Exposure/exposureUnit)))
	b = appendUint(b, fieldCompleted, uint64(max(0, r.Completed/outcomeUnit)))
	b = appendUint(b, fieldFailed, uint64(max(0, r.Failed/outcomeUnit)))
	b = appendUint(b, fieldPendingPrefill, uint64(max(0, r.PendingPrefill)))
	b = appendUint(b, fieldReplaced, uint64(max(0, r.Replaced.Milliseconds())))
	b = appendUint(b, fieldBackoff, uint64(max(0, r.Backoff.Milliseconds())))
	b = appendUint(b, fieldBrittle, uint64(max(0, r.Brittle.Milliseconds())))
	b = appendUint(b, fieldFull, uint64(max(0, r.Full.Milliseconds())))
	b = appendUint(b, fieldDraining, protowire.EncodeBool(r.Draining))
	b = appendLimit(b, fieldLimit, &r.Limit)
	b = appendUint(b, fieldDown, protowire.EncodeBool(r.Down))
	b = appendLevels(b, r)
	b = appendPendingPrefillByLevel(b, r)
	b = appendSamples(b, fieldPrefillSamples, r.Prefill)
	return appendSamples(b, fieldStepSamples, r.Step)
}

// appendLevels appends the request counts by priority level, unless all are zero.
func appendLevels(b []byte, r *balance.Report) []byte {
	var counts []byte
	nonZero := false
	for _, n := range r.ByLevel {
		counts = protowire.AppendVarint(counts, uint64(max(0, n)))
		nonZero = nonZero || n > 0
	}
	if !nonZero {
		return b
	}
	return appendBytes(b, fieldRequestsByLevel, counts)
}

// decodeLevels ignores priority levels that this build doesn't know.
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

// appendPendingPrefillByLevel omits the most urgent level, and the field if all others are zero.
func appendPendingPrefillByLevel(b []byte, r *balance.Report) []byte {
	var tokens []byte
	nonZero := false
	for _, n := range r.PendingPrefillByLevel[1:] {
		tokens = protowire.AppendVarint(tokens, uint64(max(0, n)))
		nonZero = nonZero || n > 0
	}
	if !nonZero {
		return b
	}
	return appendBytes(b, fieldPendingPrefillByLevel, tokens)
}

// decodePendingPrefillByLevel attributes tokens that no level accounts for to the most urgent
// one, so that no request is placed ahead of them.
func decodePendingPrefillByLevel(b []byte, r *balance.Report) error {
	remaining := r.PendingPrefill
	for level := 1; level < len(r.PendingPrefillByLevel) && len(b) > 0; level++ {
		v, n := protowire.ConsumeVarint(b)
		if n < 0 {
			return errors.Wrap(protowire.ParseError(n), "gossip")
		}
		r.PendingPrefillByLevel[level] = min(boundedCount(v), remaining)
		remaining -= r.PendingPrefillByLevel[level]
		b = b[n:]
	}
	r.PendingPrefillByLevel[0] = remaining
	return nil
}

func appendSamples(b []byte, n protowire.Number, s speed.Samples) []byte {
	weight := uint64(max(0, s.Weight/outcomeUnit))
	if weight == 0 {
		return b
	}
	samples := appendUint(nil, fieldWeight, weight)
	samples = appendUint(samples, fieldLogMean, protowire.EncodeZigZag(int64(math.Round(s.Log/s.Weight/logUnit))))
	return appendBytes(b, n, samples)
}

func decodeSamples(b []byte) (speed.Samples, error) {
	var weight, mean float64
	err := eachField(b, func(f field) error {
		switch f.number {
		case fieldWeight:
			weight = float64(boundedCount(f.value)) * outcomeUnit
		case fieldLogMean:
			mean = float64(protowire.DecodeZigZag(f.value)) * logUnit
		}
		return nil
	})
	return speed.Samples{Weight: weight, Log: weight * mean}, err
}

func decodeReport(b []byte, reports *[]balance.Report) error {
	var r balance.Report
	var pendingByLevel []byte
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
		case fieldCompleted:
			r.Completed = float64(boundedCount(f.value)) * outcomeUnit
		case fieldFailed:
			r.Failed = float64(boundedCount(f.value)) * outcomeUnit
		case fieldPendingPrefill:
			r.PendingPrefill = boundedCount(f.value)
		case fieldReplaced:
			r.Replaced = time.Duration(boundedCount(f.value)) * time.Millisecond
		case fieldBackoff:
			r.Backoff = time.Duration(boundedCount(f.value)) * time.Millisecond
		case fieldBrittle:
			r.Brittle = time.Duration(boundedCount(f.value)) * time.Millisecond
		case fieldFull:
			r.Full = time.Duration(boundedCount(f.value)) * time.Millisecond
		case fieldDraining:
			r.Draining = f.value != 0
		case fieldLimit:
			var err error
			r.Limit, err = decodeLimit(f.bytes)
			return err
		case fieldDown:
			r.Down = f.value != 0
		case fieldPendingPrefillByLevel:
			pendingByLevel = f.bytes
		case fieldRequestsByLevel:
			return decodeLevels(f.bytes, &r)
		case fieldPrefillSamples:
			var err error
			r.Prefill, err = decodeSamples(f.bytes)
			return err
		case fieldStepSamples:
			var err error
			r.Step, err = decodeSamples(f.bytes)
			return err
		}
		return nil
	})
	if err == nil {
		err = decodePendingPrefillByLevel(pendingByLevel, &r)
	}
	*reports = append(*reports, r)
	return err
}
