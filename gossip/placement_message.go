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

// A PlacementRequest requests the choice of an endpoint for a request.
type PlacementRequest struct {
	Number      uint64 // returned in the answer
	Service     string
	Priority    int
	Objective   time.Duration
	MaxGap      time.Duration
	Deadline    time.Duration
	Prompt      int
	Output      int
	Parts       []balance.Part
	Avoid       []uint32 // hashes of endpoints that were already tried or are unreachable from the sender
	Sent        bool     // the request was already sent once, so it must not be refused by admission control
	Team        uint32   // balance.TeamHash
	Residency   catalog.Residency
	Bytes       int               // of the request body
	Retry       balance.Retry     // kind of retry to charge to the fleet's budget
	Deposit     quota.DepositKind // what the request adds to the retry budget of the receiver
	Suspect     bool              // an endpoint crashed while it served an identical request
	ChargeRetry bool              // only charge a retry; choose no endpoint
}

// A PlacementResponse is the answer to a placement request.
type PlacementResponse struct {
	Number uint64
	Choice balance.Choice
}

// Field numbers of placement requests and answers. Durations are in microseconds unless noted.
const (
	fieldNumber          protowire.Number = 1
	fieldAskParts        protowire.Number = 6 // as in a notice
	fieldService         protowire.Number = 7
	fieldPriority        protowire.Number = 8
	fieldObjective       protowire.Number = 9
	fieldMaxGap          protowire.Number = 10
	fieldPrompt          protowire.Number = 11
	fieldOutput          protowire.Number = 12
	fieldAvoid           protowire.Number = 13
	fieldDeadline        protowire.Number = 14
	fieldSent            protowire.Number = 15
	fieldTeam            protowire.Number = 16
	fieldResidency       protowire.Number = 17 // byte string of fieldResidencyRegion; absent if all regions are allowed
	fieldBytes           protowire.Number = 18
	fieldRetry           protowire.Number = 19
	fieldDeposit         protowire.Number = 29
	fieldChargeRetry     protowire.Number = 30
	fieldAskSuspect      protowire.Number = 31
	fieldResidencyRegion protowire.Number = 1 // of the allowed regions

	fieldChosen          protowire.Number = 2
	fieldCost            protowire.Number = 3 // float64 bits, like the next two
	fieldFailureRate     protowire.Number = 4
	fieldExcessFailures  protowire.Number = 5
	fieldCached          protowire.Number = 6
	fieldBacklog         protowire.Number = 7
	fieldBacklogTokens   protowire.Number = 8
	fieldPrefillPerToken protowire.Number = 9 // nanoseconds, like the next two
	fieldStepTime        protowire.Number = 10
	fieldPace            protowire.Number = 11

	fieldRefusal        protowire.Number = 12
	fieldWaits          protowire.Number = 13 // nanoseconds
	fieldMoved          protowire.Number = 14 // tokens to transfer from the donor
	fieldDonor          protowire.Number = 15
	fieldRetryAvailable protowire.Number = 29
	fieldRetryCharged   protowire.Number = 30
	fieldWait           protowire.Number = 1 // of a refusal
	fieldPressure       protowire.Number = 2 // of a refusal, float64 bits
	fieldRetryAfter     protowire.Number = 3 // of a refusal
	fieldCause          protowire.Number = 4 // of a refusal
)

func microseconds(d time.Duration) uint64 { return uint64(max(0, d.Microseconds())) }

func fromMicroseconds(v uint64) time.Duration {
	return time.Duration(min(v, math.MaxInt64/uint64(time.Microsecond))) * time.Microsecond
}

// nanosecond is the encoding resolution of times per token, in milliseconds.
const nanosecond = 1e-6

func nanoseconds(ms float64) uint64 { return uint64(max(0, math.Round(ms/nanosecond))) }

func fromNanoseconds(v uint64) float64 { return float64(min(v, math.MaxInt64)) * nanosecond }

func (a *PlacementRequest) append(b []byte) []byte {
	b = appendUint(b, fieldNumber, a.Number)
	b = appendBytes(b, fieldService, []byte(a.Service))
	b = appendUint(b, fieldPriority, uint64(max(0, a.Priority)))
	b = appendUint(b, fieldObjective, microseconds(a.Objective))
	b = appendUint(b, fieldMaxGap, microseconds(a.MaxGap))
	b = appendUint(b, fieldDeadline, microseconds(a.Deadline))
	b = appendUint(b, fieldPrompt, uint64(max(0, a.Prompt)))
	b = appendUint(b, fieldOutput, uint64(max(0, a.Output)))
	b = appendUint(b, fieldSent, protowire.EncodeBool(a.Sent))
	if a.Team != 0 {
		b = appendFixed(b, fieldTeam, a.Team)
	}
	b = appendResidency(b, a.Residency)
	b = appendUint(b, fieldBytes, uint64(max(0, a.Bytes)))
	b = appendUint(b, fieldRetry, uint64(a.Retry))
	b = appendUint(b, fieldDeposit, uint64(a.Deposit))
	b = appendUint(b, fieldChargeRetry, protowire.EncodeBool(a.ChargeRetry))
	b = appendUint(b, fieldAskSuspect, protowire.EncodeBool(a.Suspect))
	for _, hash := range a.Avoid {
		b = appendFixed(b, fieldAvoid, hash)
	}
	return appendParts(b, a.Parts)
}

func appendResidency(b []byte, residency catalog.Residency) []byte {
	if !residency.Restricted() {
		return b
	}
	var regions []byte
	for _, region := range residency.Regions() {
		regions = appendBytes(regions, fieldResidencyRegion, []byte(region))
	}
	return appendBytes(b, fieldResidency, regions)
}

// decodeResidency decodes a restriction to home regions. Undecodable input allows no region.
func decodeResidency(b []byte) (catalog.Residency, error) {
	var regions []string
	err := eachField(b, func(f field) error {
		if f.number == fieldResidencyRegion {
			regions = append(regions, string(f.bytes))
		}
		return nil
	})
	return catalog.NewResidency(regions), err
}

func (a *PlacementRequest) decode(b []byte) error {
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
		case fieldMaxGap:
			a.MaxGap = fromMicroseconds(f.value)
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
		case fieldResidency:
			var err error
			a.Residency, err = decodeResidency(f.bytes)
			return err
		case fieldBytes:
			a.Bytes = boundedCount(f.value)
		case fieldRetry:
			a.Retry = balance.Retry(min(f.value, uint64(balance.RetryInTime)))
		case fieldDeposit:
			a.Deposit = quota.DepositKind(min(f.value, uint64(quota.DepositFull)))
		case fieldChargeRetry:
			a.ChargeRetry = f.value != 0
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

func (g *PlacementResponse) append(b []byte) []byte {
	c := &g.Choice
	b = appendUint(b, fieldNumber, g.Number)
	b = appendFixed(b, fieldChosen, c.Endpoint)
	b = appendUint(b, fieldCost, math.Float64bits(c.Cost))
	b = appendUint(b, fieldFailureRate, math.Float64bits(c.FailureRate))
	b = appendUint(b, fieldExcessFailures, math.Float64bits(c.ExcessFailures))
	b = appendUint(b, fieldCached, uint64(max(0, c.Cached)))
	b = appendUint(b, fieldBacklog, microseconds(c.Backlog))
	b = appendUint(b, fieldBacklogTokens, uint64(max(0, c.BacklogTokens)))
	b = appendUint(b, fieldPrefillPerToken, nanoseconds(c.Pace.PrefillPerToken))
	b = appendUint(b, fieldStepTime, nanoseconds(c.Pace.StepTime))
	b = appendUint(b, fieldPace, nanoseconds(c.Pace.TokenTime))
	b = appendUint(b, fieldWaits, nanoseconds(c.Wait))
	b = appendUint(b, fieldRetryAvailable, protowire.EncodeBool(c.RetryAvailable))
	b = appendUint(b, fieldRetryCharged, protowire.EncodeBool(c.RetryCharged))
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

func (g *PlacementResponse) decode(b []byte) error {
	c := &g.Choice
	return eachField(b, func(f field) error {
		switch f.number {
		case fieldNumber:
			g.Number = f.value
		case fieldChosen:
			c.Endpoint = uint32(f.value)
		case fieldCost:
			c.Cost = math.Float64frombits(f.value)
		case fieldFailureRate:
			c.FailureRate = math.Float64frombits(f.value)
		case fieldExcessFailures:
			c.ExcessFailures = math.Float64frombits(f.value)
		case fieldCached:
			c.Cached = boundedCount(f.value)
		case fieldBacklog:
			c.Backlog = fromMicroseconds(f.value)
		case fieldBacklogTokens:
			c.BacklogTokens = float64(boundedCount(f.value))
		case fieldPrefillPerToken:
			c.Pace.PrefillPerToken = fromNanoseconds(f.value)
		case fieldStepTime:
			c.Pace.StepTime = fromNanoseconds(f.value)
		case fieldPace:
			c.Pace.TokenTime = fromNanoseconds(f.value)
		case fieldWaits:
			c.Wait = fromNanoseconds(f.value)
		case fieldMoved:
			c.Fetched = boundedCount(f.value)
		case fieldDonor:
			c.Donor = uint32(f.value)
		case fieldRetryAvailable:
			c.RetryAvailable = f.value != 0
		case fieldRetryCharged:
			c.RetryCharged = f.value != 0
		case fieldRefusal:
			var err error
			c.Refusal, err = decodeRefusal(f.bytes)
			return err
		}
		return nil
	})
}
