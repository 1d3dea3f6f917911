package gossip

// This file encodes permit requests, their responses and rate limits.

import (
	"math"
	"time"

	"google.golang.org/protobuf/encoding/protowire"

	"ivyridge/balance"
	"ivyridge/limit"
)

// A PermitRequest requests a permit to send one request to an endpoint.
type PermitRequest struct {
	Number     uint64 // returned in the response
	Endpoint   uint32 // balance.EndpointHash of the endpoint's incarnation
	DataCentre string // of the endpoint
	Urgency    int    // level of urgency, below limit.Levels; 0 is the most urgent
	Limit      balance.ReportedLimit
}

// A PermitResponse grants or denies a permit to send one request to a rate-limited endpoint.
type PermitResponse struct {
	Number    uint64
	Granted   bool
	Wait      time.Duration // if not granted: delay before the next request
	Allocator string        // gossip address of the instance that allocates the limit, if it isn't the sender
	Limit     balance.ReportedLimit
}

const (
	fieldPermitNumber     protowire.Number = 1
	fieldPermitEndpoint   protowire.Number = 2
	fieldPermitDataCentre protowire.Number = 3
	fieldPermitUrgency    protowire.Number = 4
	fieldPermitLimit      protowire.Number = 5
	fieldPermitGranted    protowire.Number = 6
	fieldPermitWait       protowire.Number = 7 // microseconds
	fieldPermitAllocator  protowire.Number = 8

	fieldLimited   protowire.Number = 1
	fieldLimitRate protowire.Number = 2 // as float64 bits
	fieldLimitAge  protowire.Number = 3 // microseconds
)

func (r *PermitRequest) append(b []byte) []byte {
	b = appendUint(b, fieldPermitNumber, r.Number)
	b = appendFixed(b, fieldPermitEndpoint, r.Endpoint)
	b = appendBytes(b, fieldPermitDataCentre, []byte(r.DataCentre))
	b = appendUint(b, fieldPermitUrgency, uint64(max(0, r.Urgency)))
	return appendLimit(b, fieldPermitLimit, &r.Limit)
}

func (r *PermitRequest) decode(b []byte) error {
	return eachField(b, func(f field) (err error) {
		switch f.number {
		case fieldPermitNumber:
			r.Number = f.value
		case fieldPermitEndpoint:
			r.Endpoint = uint32(f.value)
		case fieldPermitDataCentre:
			r.DataCentre = string(f.bytes)
		case fieldPermitUrgency:
			r.Urgency = boundedCount(f.value)
		case fieldPermitLimit:
			r.Limit, err = decodeLimit(f.bytes)
		}
		return err
	})
}

func (r *PermitResponse) append(b []byte) []byte {
	b = appendUint(b, fieldPermitNumber, r.Number)
	b = appendUint(b, fieldPermitGranted, protowire.EncodeBool(r.Granted))
	b = appendUint(b, fieldPermitWait, microseconds(r.Wait))
	if r.Allocator != "" {
		b = appendBytes(b, fieldPermitAllocator, []byte(r.Allocator))
	}
	return appendLimit(b, fieldPermitLimit, &r.Limit)
}

func (r *PermitResponse) decode(b []byte) error {
	return eachField(b, func(f field) (err error) {
		switch f.number {
		case fieldPermitNumber:
			r.Number = f.value
		case fieldPermitGranted:
			r.Granted = f.value != 0
		case fieldPermitWait:
			r.Wait = fromMicroseconds(f.value)
		case fieldPermitAllocator:
			r.Allocator = string(f.bytes)
		case fieldPermitLimit:
			r.Limit, err = decodeLimit(f.bytes)
		}
		return err
	})
}

// appendLimit appends a limit as a field, if it is known.
func appendLimit(b []byte, n protowire.Number, l *balance.ReportedLimit) []byte {
	if !l.Known {
		return b
	}
	limit := appendUint(nil, fieldLimited, protowire.EncodeBool(l.Limited))
	limit = appendUint(limit, fieldLimitRate, math.Float64bits(l.Rate))
	limit = appendUint(limit, fieldLimitAge, microseconds(l.Age))
	return appendBytes(b, n, limit)
}

// decodeLimit decodes a limit. A negative or non-finite rate yields an unknown limit.
func decodeLimit(b []byte) (balance.ReportedLimit, error) {
	l := balance.ReportedLimit{Known: true}
	err := eachField(b, func(f field) error {
		switch f.number {
		case fieldLimited:
			l.Limited = f.value != 0
		case fieldLimitRate:
			l.Rate = math.Float64frombits(f.value)
		case fieldLimitAge:
			l.Age = fromMicroseconds(f.value)
		}
		return nil
	})
	if math.IsNaN(l.Rate) || math.IsInf(l.Rate, 0) || l.Rate < 0 {
		return balance.ReportedLimit{}, err
	}
	return l, err
}

// reportedLimit converts a limit to its wire form, with its age at now.
func reportedLimit(state *limit.State, now time.Time) balance.ReportedLimit {
	if !state.Known() {
		return balance.ReportedLimit{}
	}
	return balance.ReportedLimit{Known: true, Limited: state.Limited, Rate: state.Rate, Age: max(0, now.Sub(state.AsOf))}
}
