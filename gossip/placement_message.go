package gossip

// This file encodes placement requests, which instances send to schedulers, and the responses.

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
	Number      uint64 // returned in the response
	Service     string
	Priority    int
	Objective   time.Duration
	MaxGap      time.Duration
	Deadline    time.Duration
	Prompt      int
	Output      int
	Parts       []balance.PromptPart
	Avoid       []uint32 // hashes of endpoints that were already tried, or that the sender can't use
	AlreadySent bool     // the request was already sent once, so it must not be refused by admission control
	Team        uint32   // balance.TeamHash
	Residency   catalog.Residency
	Bytes       int                // of the request body
	Retry       balance.Retry      // kind of retry to charge to the fleet's budget
	Deposit     quota.DepositKind  // what the request adds to the retry budget of the receiver
	Suspect     bool               // an endpoint crashed while it served an identical request
	ChargeRetry bool               // charge a retry without choosing an endpoint
	Software    catalog.SoftwareID // version that the endpoint must run; zero: any
}

// A PlacementResponse is the response to a placement request.
type PlacementResponse struct {
	Number uint64
	Grant  balance.Grant
}

// Field numbers of placement requests and responses. Durations are in microseconds unless noted.
const (
	fieldNumber          protowire.Number = 1
	fieldRequestParts    protowire.Number = 6 // as in a notice
	fieldService         protowire.Number = 7
	fieldPriority        protowire.Number = 8
	fieldObjective       protowire.Number = 9
	fieldMaxGap          protowire.Number = 10
	fieldPrompt          protowire.Number = 11
	fieldOutput          protowire.Number = 12
	fieldAvoid           protowire.Number = 13
	fieldDeadline        protowire.Number = 14
	fieldAlreadySent     protowire.Number = 15
	fieldTeam            protowire.Number = 16
	fieldResidency       protowire.Number = 17 // byte string of fieldResidencyRegion; absent if all regions are allowed
	fieldBytes           protowire.Number = 18
	fieldRetry           protowire.Number = 19
	fieldDeposit         protowire.Number = 29
	fieldChargeRetry     protowire.Number = 30
	fieldRequestSuspect  protowire.Number = 31
	fieldRequestSoftware protowire.Number = 32
	fieldResidencyRegion protowire.Number = 1 // of the allowed regions

	fieldChosenEndpoint  protowire.Number = 2
	fieldCost            protowire.Number = 3 // float64 bits, like the next two
	fieldFailureRate     protowire.Number = 4
	fieldExcessFailures  protowire.Number = 5
	fieldCached          protowire.Number = 6
	fieldBacklog         protowire.Number = 7
	fieldBacklogTokens   protowire.Number = 8
	fieldPrefillPerToken protowire.Number = 9 // nanoseconds, like the next two
	fieldStepTime        protowire.Number = 10
	fieldTokenTime       protowire.Number = 11

	fieldRefusal        protowire.Number = 12
	fieldGrantWait      protowire.Number = 13 // nanoseconds
	fieldFetchTokens    protowire.Number = 14 // tokens to transfer from the donor
	fieldDonor          protowire.Number = 15
	fieldRetryAvailable protowire.Number = 29
	fieldRetryCharged   protowire.Number = 30
	fieldRefusalWait    protowire.Number = 1
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

func (r *PlacementRequest) append(b []byte) []byte {
	b = appendUint(b, fieldNumber, r.Number)
	b = appendBytes(b, fieldService, []byte(r.Service))
	b = appendUint(b, fieldPriority, uint64(max(0, r.Priority)))
	b = appendUint(b, fieldObjective, microseconds(r.Objective))
	b = appendUint(b, fieldMaxGap, microseconds(r.MaxGap))
	b = appendUint(b, fieldDeadline, microseconds(r.Deadline))
	b = appendUint(b, fieldPrompt, uint64(max(0, r.Prompt)))
	b = appendUint(b, fieldOutput, uint64(max(0, r.Output)))
	b = appendUint(b, fieldAlreadySent, protowire.EncodeBool(r.AlreadySent))
	if r.Team != 0 {
		b = appendFixed(b, fieldTeam, r.Team)
	}
	b = appendResidency(b, r.Residency)
	b = appendUint(b, fieldBytes, uint64(max(0, r.Bytes)))
	b = appendUint(b, fieldRetry, uint64(r.Retry))
	b = appendUint(b, fieldDeposit, uint64(r.Deposit))
	b = appendUint(b, fieldChargeRetry, protowire.EncodeBool(r.ChargeRetry))
	b = appendUint(b, fieldRequestSuspect, protowire.EncodeBool(r.Suspect))
	b = appendUint(b, fieldRequestSoftware, uint64(r.Software))
	for _, hash := range r.Avoid {
		b = appendFixed(b, fieldAvoid, hash)
	}
	return appendParts(b, r.Parts)
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

func (r *PlacementRequest) decode(b []byte) error {
	return eachField(b, func(f field) error {
		switch f.number {
		case fieldNumber:
			r.Number = f.value
		case fieldService:
			r.Service = string(f.bytes)
		case fieldPriority:
			r.Priority = boundedCount(f.value)
		case fieldObjective:
			r.Objective = fromMicroseconds(f.value)
		case fieldMaxGap:
			r.MaxGap = fromMicroseconds(f.value)
		case fieldDeadline:
			r.Deadline = fromMicroseconds(f.value)
		case fieldPrompt:
			r.Prompt = boundedCount(f.value)
		case fieldOutput:
			r.Output = boundedCount(f.value)
		case fieldAvoid:
			r.Avoid = append(r.Avoid, uint32(f.value))
		case fieldAlreadySent:
			r.AlreadySent = f.value != 0
		case fieldTeam:
			r.Team = uint32(f.value)
		case fieldResidency:
			var err error
			r.Residency, err = decodeResidency(f.bytes)
			return err
		case fieldBytes:
			r.Bytes = boundedCount(f.value)
		case fieldRetry:
			r.Retry = balance.Retry(min(f.value, uint64(balance.RetryInTime)))
		case fieldDeposit:
			r.Deposit = quota.DepositKind(min(f.value, uint64(quota.DepositFull)))
		case fieldChargeRetry:
			r.ChargeRetry = f.value != 0
		case fieldRequestSoftware:
			r.Software = catalog.SoftwareID(f.value)
		case fieldRequestSuspect:
			r.Suspect = f.value != 0
		case fieldRequestParts:
			p, err := decodePart(f.bytes)
			r.Parts = append(r.Parts, p)
			return err
		}
		return nil
	})
}

func (p *PlacementResponse) append(b []byte) []byte {
	c := &p.Grant
	b = appendUint(b, fieldNumber, p.Number)
	b = appendFixed(b, fieldChosenEndpoint, c.Endpoint)
	b = appendUint(b, fieldCost, math.Float64bits(c.Cost))
	b = appendUint(b, fieldFailureRate, math.Float64bits(c.FailureRate))
	b = appendUint(b, fieldExcessFailures, math.Float64bits(c.ExcessFailures))
	b = appendUint(b, fieldCached, uint64(max(0, c.Cached)))
	b = appendUint(b, fieldBacklog, microseconds(c.Backlog))
	b = appendUint(b, fieldBacklogTokens, uint64(max(0, c.BacklogTokens)))
	b = appendUint(b, fieldPrefillPerToken, nanoseconds(c.Pace.PrefillPerToken))
	b = appendUint(b, fieldStepTime, nanoseconds(c.Pace.StepTime))
	b = appendUint(b, fieldTokenTime, nanoseconds(c.Pace.TokenTime))
	b = appendUint(b, fieldGrantWait, nanoseconds(c.Wait))
	b = appendUint(b, fieldRetryAvailable, protowire.EncodeBool(c.RetryAvailable))
	b = appendUint(b, fieldRetryCharged, protowire.EncodeBool(c.RetryCharged))
	if c.Donor != 0 {
		b = appendUint(b, fieldFetchTokens, uint64(max(0, c.Fetched)))
		b = appendFixed(b, fieldDonor, c.Donor)
	}
	if r := c.Refusal; r != nil {
		refusal := appendUint(nil, fieldRefusalWait, microseconds(r.Wait))
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
		case fieldRefusalWait:
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

func (p *PlacementResponse) decode(b []byte) error {
	c := &p.Grant
	return eachField(b, func(f field) error {
		switch f.number {
		case fieldNumber:
			p.Number = f.value
		case fieldChosenEndpoint:
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
		case fieldTokenTime:
			c.Pace.TokenTime = fromNanoseconds(f.value)
		case fieldGrantWait:
			c.Wait = fromNanoseconds(f.value)
		case fieldFetchTokens:
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
