package gossip

// This file encodes asks for permits, their answers, and what is told of limits.

import (
	"math"
	"time"

	"google.golang.org/protobuf/encoding/protowire"

	"ivyridge/balance"
	"ivyridge/limit"
)

// A PermitAsk asks for a permit to send one request to an endpoint.
type PermitAsk struct {
	Number     uint64 // comes back in the Permit
	Endpoint   uint32 // balance.EndpointHash of its incarnation
	DataCentre string // the endpoint's
	Urgency    int    // of the request, below limit.Levels
	Limit      balance.ToldLimit
}

// A Permit is the answer to a PermitAsk.
type Permit struct {
	Number  uint64
	Granted bool
	Wait    time.Duration // otherwise: to ask again after that
	Divider string        // the gossip address of who divides the limit, if that is another instance
	Limit   balance.ToldLimit
}

// The fields of a PermitAsk and a Permit, and of a limit that is told.
const (
	fieldPermitNumber     protowire.Number = 1
	fieldPermitEndpoint   protowire.Number = 2
	fieldPermitDataCentre protowire.Number = 3
	fieldPermitUrgency    protowire.Number = 4
	fieldPermitLimit      protowire.Number = 5
	fieldPermitGranted    protowire.Number = 6
	fieldPermitWait       protowire.Number = 7 // microseconds
	fieldPermitDivider    protowire.Number = 8

	fieldLimitNamed protowire.Number = 1
	fieldLimitRate  protowire.Number = 2 // bits of a float64
	fieldLimitAge   protowire.Number = 3 // microseconds
)

func (a *PermitAsk) append(b []byte) []byte {
	b = appendUint(b, fieldPermitNumber, a.Number)
	b = appendFixed(b, fieldPermitEndpoint, a.Endpoint)
	b = appendBytes(b, fieldPermitDataCentre, []byte(a.DataCentre))
	b = appendUint(b, fieldPermitUrgency, uint64(max(0, a.Urgency)))
	return appendLimit(b, fieldPermitLimit, &a.Limit)
}

func (a *PermitAsk) decode(b []byte) error {
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

func (p *Permit) append(b []byte) []byte {
	b = appendUint(b, fieldPermitNumber, p.Number)
	b = appendUint(b, fieldPermitGranted, protowire.EncodeBool(p.Granted))
	b = appendUint(b, fieldPermitWait, microseconds(p.Wait))
	if p.Divider != "" {
		b = appendBytes(b, fieldPermitDivider, []byte(p.Divider))
	}
	return appendLimit(b, fieldPermitLimit, &p.Limit)
}

func (p *Permit) decode(b []byte) error {
	return eachField(b, func(f field) (err error) {
		switch f.number {
		case fieldPermitNumber:
			p.Number = f.value
		case fieldPermitGranted:
			p.Granted = f.value != 0
		case fieldPermitWait:
			p.Wait = fromMicroseconds(f.value)
		case fieldPermitDivider:
			p.Divider = string(f.bytes)
		case fieldPermitLimit:
			p.Limit, err = decodeLimit(f.bytes)
		}
		return err
	})
}

// appendLimit adds a limit as a field, if there is something to tell.
func appendLimit(b []byte, n protowire.Number, t *balance.ToldLimit) []byte {
	if !t.Known {
		return b
	}
	limit := appendUint(nil, fieldLimitNamed, protowire.EncodeBool(t.Named))
	limit = appendUint(limit, fieldLimitRate, math.Float64bits(t.Rate))
	limit = appendUint(limit, fieldLimitAge, microseconds(t.Age))
	return appendBytes(b, n, limit)
}

// decodeLimit reads a limit. A rate that is no finite number of zero or more is none.
func decodeLimit(b []byte) (balance.ToldLimit, error) {
	t := balance.ToldLimit{Known: true}
	err := eachField(b, func(f field) error {
		switch f.number {
		case fieldLimitNamed:
			t.Named = f.value != 0
		case fieldLimitRate:
			t.Rate = math.Float64frombits(f.value)
		case fieldLimitAge:
			t.Age = fromMicroseconds(f.value)
		}
		return nil
	})
	if math.IsNaN(t.Rate) || math.IsInf(t.Rate, 0) || t.Rate < 0 {
		return balance.ToldLimit{}, err
	}
	return t, err
}

// toldLimit returns what is told of a limit at now.
func toldLimit(w *limit.Word, now time.Time) balance.ToldLimit {
	if !w.Known() {
		return balance.ToldLimit{}
	}
	return balance.ToldLimit{Known: true, Named: w.Named, Rate: w.Rate, Age: max(0, now.Sub(w.At))}
}
