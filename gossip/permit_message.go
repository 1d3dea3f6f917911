package gossip

// This file encodes permit requests, their answers and rate limits.

import (
	"math"
	"time"

	"google.golang.org/protobuf/encoding/protowire"

	"ivyridge/balance"
	"ivyridge/limit"
)

// A PermitRequest requests a permit to send one request to an endpoint.
type PermitRequest struct {
	Number     uint64 // returned in the answer
	Endpoint   uint32 // balance.EndpointHash of the endpoint's incarnation
	DataCentre string // of the endpoint
	Urgency    int    // priority level of the request, below limit.Levels
	Limit      balance.ReportedLimit
}

// A PermitResponse is the answer to a permit request.
type PermitResponse struct {
	Number    uint64
	Granted   bool
	Wait      time.Duration // if not granted: delay before the next request
	Allocator string        // gossip address of the instance that allocates the limit, if it isn't the sender
	Limit     balance.ReportedLimit
}

// Field numbers of permit requests, their answers and limits.
const (
	fieldPermitNumber     protowire.Number = 1
	fieldPermitEndpoint   protowire.Number = 2
	fieldPermitDataCentre protowire.Number = 3
	fieldPermitUrgency    protowire.Number = 4
	fieldPermitLimit      protowire.Number = 5
	fieldPermitGranted    protowire.Number = 6
	fieldPermitWait       protowire.Number = 7 // microseconds
	fieldPermitAllocator  protowire.Number = 8

	fieldLimitNamed protowire.Number = 1
	fieldLimitRate  protowire.Number = 2 // as float64 bits
	fieldLimitAge   protowire.Number = 3 // microseconds
)

func (a *PermitRequest) append(b []byte) []byte {
	b = appendUint(b, fieldPermitNumber, a.Number)
	b = appendFixed(b, fieldPermitEndpoint, a.Endpoint)
	b = appendBytes(b, fieldPermitDataCentre, []byte(a.DataCentre))
	b = appendUint(b, fieldPermitUrgency, uint64(max(0, a.Urgency)))
	return appendLimit(b, fieldPermitLimit, &a.Limit)
}

func (a *PermitRequest) decode(b []byte) error {
	return eachField(b, func(f field) (err error) {
		switch f.number {
		case fieldPermitNumber:
			a.Number = f.value
		case fieldPermitEndpoint:
			a.Endpoint = uint32(f.value)
		case fieldPermitDataCentre:
			a.DataCentre = string(f.bytes)
		case fieldPermitUrgency:
			a.Urgency = boundedCount(f.value)
		case fieldPermitLimit:
			a.Limit, err = decodeLimit(f.bytes)
		}
		return err
	})
}

func (p *PermitResponse) append(b []byte) []byte {
	b = appendUint(b, fieldPermitNumber, p.Number)
	b = appendUint(b, fieldPermitGranted, protowire.EncodeBool(p.Granted))
	b = appendUint(b, fieldPermitWait, microseconds(p.Wait))
	if p.Allocator != "" {
		b = appendBytes(b, fieldPermitAllocator, []byte(p.Allocator))
	}
	return appendLimit(b, fieldPermitLimit, &p.Limit)
}

func (p *PermitResponse) decode(b []byte) error {
	return eachField(b, func(f field) (err error) {
		switch f.number {
		case fieldPermitNumber:
			p.Number = f.value
		case fieldPermitGranted:
			p.Granted = f.value != 0
		case fieldPermitWait:
			p.Wait = fromMicroseconds(f.value)
		case fieldPermitAllocator:
			p.Allocator = string(f.bytes)
		case fieldPermitLimit:
			p.Limit, err = decodeLimit(f.bytes)
		}
		return err
	})
}

// appendLimit appends a limit as a field, if it is known.
func appendLimit(b []byte, n protowire.Number, t *balance.ReportedLimit) []byte {
	if !t.Known {
		return b
	}
	limit := appendUint(nil, fieldLimitNamed, protowire.EncodeBool(t.Limited))
	limit = appendUint(limit, fieldLimitRate, math.Float64bits(t.Rate))
	limit = appendUint(limit, fieldLimitAge, microseconds(t.Age))
	return appendBytes(b, n, limit)
}

// decodeLimit decodes a limit. A negative or non-finite rate yields an unknown limit.
func decodeLimit(b []byte) (balance.ReportedLimit, error) {
	t := balance.ReportedLimit{Known: true}
	err := eachField(b, func(f field) error {
		switch f.number {
		case fieldLimitNamed:
			t.Limited = f.value != 0
		case fieldLimitRate:
			t.Rate = math.Float64frombits(f.value)
		case fieldLimitAge:
			t.Age = fromMicroseconds(f.value)
		}
		return nil
	})
	if math.IsNaN(t.Rate) || math.IsInf(t.Rate, 0) || t.Rate < 0 {
		return balance.ReportedLimit{}, err
	}
	return t, err
}

// limitAt converts a limit to its wire form, with its age at now.
func limitAt(w *limit.State, now time.Time) balance.ReportedLimit {
	if !w.Known() {
		return balance.ReportedLimit{}
	}
	return balance.ReportedLimit{Known: true, Limited: w.Limited, Rate: w.Rate, Age: max(0, now.Sub(w.AsOf))}
}
