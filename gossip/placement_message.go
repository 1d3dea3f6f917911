package gossip

// This file encodes placement requests, which instances send to schedulers, and their answers.

import (
	"math"
	"time"

	"google.golang.org/protobuf/encoding/protowire"

	"ivyridge/balance"
	"ivyridge/catalog"
	"ivyridge/quota"
)

// An Ask requests the choice of an endpoint for a request.
type Ask struct {
	Number    uint64 // returned in the answer
	Service   string
	Priority  int
	Objective time.Duration
	Pause     time.Duration
	Deadline  time.Duration
	Prompt    int
	Output    int
	Parts     []balance.Part
	Avoid     []uint32 // hashes of endpoints that were already tried or are unreachable from the sender
	Sent      bool     // the request was already sent once, so it must not be refused by admission control
	Team      uint32   // balance.TeamHash
	Homes     catalog.Homes
	Bytes     int           // of the request body
	Retry     balance.Retry // kind of retry to charge to the fleet's budget
	Earns     quota.Earning // what the request adds to the retry budget of the receiver
	Suspect   bool          // an endpoint crashed while it served an identical request
	Lend      bool          // only charge a retry; choose no endpoint
}

// A Grant is the answer to a placement request.
type Grant struct {
	Number uint64
	Choice balance.Choice
}

// Field numbers of placement requests and answers. Durations are in microseconds unless noted.
const (
	fieldNumber     protowire.Number = 1
	fieldAskParts   protowire.Number = 6 // as in a notice
	fieldService    protowire.Number = 7
	fieldPriority   protowire.Number = 8
	fieldObjective  protowire.Number = 9
	fieldPause      protowire.Number = 10
	fieldPrompt     protowire.Number = 11
	fieldOutput     protowire.Number = 12
	fieldAvoid      protowire.Number = 13
	fieldDeadline   protowire.Number = 14
	fieldSent       protowire.Number = 15
	fieldTeam       protowire.Number = 16
	fieldHomes      protowire.Number = 17 // byte string of fieldHome; absent if all regions are allowed
	fieldBytes      protowire.Number = 18
	fieldRetry      protowire.Number = 19
	fieldEarns      protowire.Number = 29
	fieldLend       protowire.Number = 30
	fieldAskSuspect protowire.Number = 31
	fieldHome       protowire.Number = 1 // of homes

	fieldChosen  protowire.Number = 2
	fieldCost    protowire.Number = 3 // float64 bits, like the next two
	fieldFailing protowire.Number = 4
	fieldExcess  protowire.Number = 5
	fieldCached  protowire.Number = 6
	fieldBacklog protowire.Number = 7
	fieldAhead   protowire.Number = 8
	fieldRead    protowire.Number = 9 // nanoseconds, like the next two
	fieldStep    protowire.Number = 10
	fieldPace    protowire.Number = 11

	fieldRefusal    protowire.Number = 12
	fieldWaits      protowire.Number = 13 // nanoseconds
	fieldMoved      protowire.Number = 14 // tokens to transfer from the donor
	fieldDonor      protowire.Number = 15
	fieldSpare      protowire.Number = 29
	fieldLent       protowire.Number = 30
	fieldWait       protowire.Number = 1 // of a refusal
	fieldPressure   protowire.Number = 2 // of a refusal, float64 bits
	fieldRetryAfter protowire.Number = 3 // of a refusal
	fieldCause      protowire.Number = 4 // of a refusal
)

func microseconds(d time.Duration) uint64 { return uint64(max(0, d.Microseconds())) }

func fromMicroseconds(v uint64) time.Duration {
	return time.Duration(min(v, math.MaxInt64/uint64(time.Microsecond))) * time.Microsecond
}

// nanosecond is the encoding resolution of times per token, in milliseconds.
const nanosecond = 1e-6

func nanoseconds(ms float64) uint64 { return uint64(max(0, math.Round(ms/nanosecond))) }

func fromNanoseconds(v uint64) float64 { return float64(min(v, math.MaxInt64)) * nanosecond }

func (a *Ask) append(b []byte) []byte {
	b = appendUint(b, fieldNumber, a.Number)
	b = appendBytes(b, fieldService, []byte(a.Service))
	b = appendUint(b, fieldPriority, uint64(max(0, a.Priority)))
	b = appendUint(b, fieldObjective, microseconds(a.Objective))
	b = appendUint(b, fieldPause, microseconds(a.Pause))
	b = appendUint(b, fieldDeadline, microseconds(a.Deadline))
	b = appendUint(b, fieldPrompt, uint64(max(0, a.Prompt)))
	b = appendUint(b, fieldOutput, uint64(max(0, a.Output)))
	b = appendUint(b, fieldSent, protowire.EncodeBool(a.Sent))
	if a.Team != 0 {
		b = appendFixed(b, fieldTeam, a.Team)
	}
	b = appendHomes(b, a.Homes)
	b = appendUint(b, fieldBytes, uint64(max(0, a.Bytes)))
	b = appendUint(b, fieldRetry, uint64(a.Retry))
	b = appendUint(b, fieldEarns, uint64(a.Earns))
	b = appendUint(b, fieldLend, protowire.EncodeBool(a.Lend))
	b = appendUint(b, fieldAskSuspect, protowire.EncodeBool(a.Suspect))
	for _, hash := range a.Avoid {
		b = appendFixed(b, fieldAvoid, hash)
	}
	return appendParts(b, a.Parts)
}

func appendHomes(b []byte, homes catalog.Homes) []byte {
	if !homes.Bound() {
		return b
	}
	var regions []byte
	for _, region := range homes.Regions() {
		regions = appendBytes(regions, fieldHome, []byte(region))
	}
	return appendBytes(b, fieldHomes, regions)
}

// decodeHomes decodes a restriction to home regions. Undecodable input allows no region.
func decodeHomes(b []byte) (catalog.Homes, error) {
	var regions []string
	err := eachField(b, func(f field) error {
		if f.number == fieldHome {
			regions = append(regions, string(f.bytes))
		}
		return nil
	})
	return catalog.NewHomes(regions), err
}

func (a *Ask) decode(b []byte) error {
	return eachField(b, func(f field) error {
		switch f.number {
		case fieldNumber:
			a.Number = f.value
		case fieldService:
			a.Service = string(f.bytes)
		case fieldPriority:
			a.Priority = boundedCount(f.value)
		case fieldObjective:
			a.Objective = fromMicroseconds(f.value)
		case fieldPause:
			a.Pause = fromMicroseconds(f.value)
		case fieldDeadline:
			a.Deadline = fromMicroseconds(f.value)
		case fieldPrompt:
			a.Prompt = boundedCount(f.value)
		case fieldOutput:
			a.Output = boundedCount(f.value)
		case fieldAvoid:
			a.Avoid = append(a.Avoid, uint32(f.value))
		case fieldSent:
			a.Sent = f.value != 0
		case fieldTeam:
			a.Team = uint32(f.value)
		case fieldHomes:
			var err error
			a.Homes, err = decodeHomes(f.bytes)
			return err
		case fieldBytes:
			a.Bytes = boundedCount(f.value)
		case fieldRetry:
			a.Retry = balance.Retry(min(f.value, uint64(balance.RetryInTime)))
		case fieldEarns:
			a.Earns = quota.Earning(min(f.value, uint64(quota.EarnsWhole)))
		case fieldLend:
			a.Lend = f.value != 0
		case fieldAskSuspect:
			a.Suspect = f.value != 0
		case fieldAskParts:
			p, err := decodePart(f.bytes)
			a.Parts = append(a.Parts, p)
			return err
		}
		return nil
	})
}

func (g *Grant) append(b []byte) []byte {
	c := &g.Choice
	b = appendUint(b, fieldNumber, g.Number)
	b = appendFixed(b, fieldChosen, c.Endpoint)
	b = appendUint(b, fieldCost, math.Float64bits(c.Cost))
	b = appendUint(b, fieldFailing, math.Float64bits(c.Failing))
	b = appendUint(b, fieldExcess, math.Float64bits(c.Excess))
	b = appendUint(b, fieldCached, uint64(max(0, c.Cached)))
	b = appendUint(b, fieldBacklog, microseconds(c.Backlog))
	b = appendUint(b, fieldAhead, uint64(max(0, c.Ahead)))
	b = appendUint(b, fieldRead, nanoseconds(c.Pace.ReadTime))
	b = appendUint(b, fieldStep, nanoseconds(c.Pace.StepTime))
	b = appendUint(b, fieldPace, nanoseconds(c.Pace.TokenTime))
	b = appendUint(b, fieldWaits, nanoseconds(c.Wait))
	b = appendUint(b, fieldSpare, protowire.EncodeBool(c.Spare))
	b = appendUint(b, fieldLent, protowire.EncodeBool(c.Lent))
	if c.Donor != 0 {
		b = appendUint(b, fieldMoved, uint64(max(0, c.Fetched)))
		b = appendFixed(b, fieldDonor, c.Donor)
	}
	if r := c.Refusal; r != nil {
		refusal := appendUint(nil, fieldWait, microseconds(r.Wait))
		refusal = appendUint(refusal, fieldCause, uint64(r.Cause))
		refusal = appendUint(refusal, fieldPressure, math.Float64bits(r.Pressure))
		refusal = appendUint(refusal, fieldRetryAfter, microseconds(r.RetryAfter))
		b = appendBytes(b, fieldRefusal, refusal)
	}
	return b
}

func decodeRefusal(b []byte) (*balance.Refusal, error) {
	r := new(balance.Refusal)
	err := eachField(b, func(f field) error {
		switch f.number {
		case fieldWait:
			r.Wait = fromMicroseconds(f.value)
		case fieldCause:
			r.Cause = balance.Cause(min(f.value, math.MaxUint8))
		case fieldPressure:
			r.Pressure = math.Float64frombits(f.value)
		case fieldRetryAfter:
			r.RetryAfter = fromMicroseconds(f.value)
		}
		return nil
	})
	return r, err
}

func (g *Grant) decode(b []byte) error {
	c := &g.Choice
	return eachField(b, func(f field) error {
		switch f.number {
		case fieldNumber:
			g.Number = f.value
		case fieldChosen:
			c.Endpoint = uint32(f.value)
		case fieldCost:
			c.Cost = math.Float64frombits(f.value)
		case fieldFailing:
			c.Failing = math.Float64frombits(f.value)
		case fieldExcess:
			c.Excess = math.Float64frombits(f.value)
		case fieldCached:
			c.Cached = boundedCount(f.value)
		case fieldBacklog:
			c.Backlog = fromMicroseconds(f.value)
		case fieldAhead:
			c.Ahead = float64(boundedCount(f.value))
		case fieldRead:
			c.Pace.ReadTime = fromNanoseconds(f.value)
		case fieldStep:
			c.Pace.StepTime = fromNanoseconds(f.value)
		case fieldPace:
			c.Pace.TokenTime = fromNanoseconds(f.value)
		case fieldWaits:
			c.Wait = fromNanoseconds(f.value)
		case fieldMoved:
			c.Fetched = boundedCount(f.value)
		case fieldDonor:
			c.Donor = uint32(f.value)
		case fieldSpare:
			c.Spare = f.value != 0
		case fieldLent:
			c.Lent = f.value != 0
		case fieldRefusal:
			var err error
			c.Refusal, err = decodeRefusal(f.bytes)
			return err
		}
		return nil
	})
}
