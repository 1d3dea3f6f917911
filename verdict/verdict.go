// Package verdict says whether a request may have run.
//
// Every answer of the router that is not a plain success carries a Verdict
// and a Reason. The Verdict is the part a caller may act on: NotRun means
// that no endpoint was given the request, so it may be sent again whatever
// the request does. The Reason is a stable code, counted one by one, that
// tells operators and callers why.
//
// An Error moves both through the code. Wrapping with pkg/errors keeps them:
// Of finds the Error anywhere in a chain, and a chain without one is
// MayHaveRun, the verdict that claims least.
package verdict

import (
	"fmt"
	"net/http"
	"time"

	"github.com/pkg/errors"
)

// A Verdict says whether a request may have run on an endpoint.
type Verdict uint8

const (
	// MayHaveRun is the zero value: nothing is known, so nothing is claimed.
	MayHaveRun Verdict = iota
	// NotRun means that no endpoint was given the request.
	NotRun
	// Ran means that an endpoint ran the request, at least in part.
	Ran
)

var verdictNames = [...]string{MayHaveRun: "may-have-run", NotRun: "not-run", Ran: "ran"}

// String returns the name used in answers and reports.
func (v Verdict) String() string { return verdictNames[v] }

// Parse returns the verdict named s.
func Parse(s string) (Verdict, bool) {
	for v, name := range verdictNames {
		if name == s {
			return Verdict(v), true
		}
	}
	return MayHaveRun, false
}

// A Reason is a stable code for a refusal, a failure or a retry.
type Reason string

// Reasons for refusing before anything ran.
const (
	BadRequest       Reason = "bad-request"
	Unauthenticated  Reason = "unauthenticated"
	Forbidden        Reason = "forbidden"
	UnknownModel     Reason = "unknown-model"
	UnknownClass     Reason = "unknown-class"
	TooLarge         Reason = "too-large"
	Overloaded       Reason = "overloaded"
	DemandBeyond     Reason = "demand-beyond-fleet" // it could not begin in time, or gives way to more urgent requests
	DeadlineMissed   Reason = "deadline-missed"
	TeamLimit        Reason = "team-limit"
	NoEndpoint       Reason = "no-endpoint"
	NotReady         Reason = "not-ready"
	NoConfiguration  Reason = "no-configuration"
	OwnerUnreachable Reason = "owner-unreachable"
	OwnerUnsettled   Reason = "owner-unsettled"
	GrantExpired     Reason = "grant-expired"
	KeyConflict      Reason = "key-conflict"
	Leaving          Reason = "leaving"
	UnknownRoute     Reason = "unknown-route"
	StaleBelief      Reason = "stale-belief"
	BodyCut          Reason = "body-cut"
	EndpointRefused  Reason = "endpoint-refused"
	EndpointGone     Reason = "endpoint-gone"     // another endpoint has its address
	BodySlow         Reason = "body-slow"         // the caller stopped sending it
	MemoryFull       Reason = "memory-full"       // what is held for callers fills the instance's memory
	NoHomeEndpoint   Reason = "no-home-endpoint"  // none in the regions where the request may be served
	EndsEndpoints    Reason = "ends-endpoints"    // endpoints ended that ran the same request before
	EndpointRests    Reason = "endpoint-rests"    // the chosen endpoint has asked for rest, or said that it leaves, since it was chosen
	EndpointsRest    Reason = "endpoints-rest"    // all endpoints that may serve it have asked the instance for rest
	EndpointsLimited Reason = "endpoints-limited" // none that may serve it takes more within the limit that it names
)

// Reasons met when a request may have run.
const (
	EndpointConnect Reason = "endpoint-connect"
	EndpointError   Reason = "endpoint-error"
	EndpointCut     Reason = "endpoint-cut"
	EndpointBusy    Reason = "endpoint-busy"
	EndpointSilent  Reason = "endpoint-silent"
	AnswerNoMemory  Reason = "answer-no-memory" // the instance had no memory for an event of the answer
	EntryLost       Reason = "entry-lost"
	CallerGone      Reason = "caller-gone"
	CallerSlow      Reason = "caller-slow" // it took nothing of its answer for too long
	TimeLimit       Reason = "time-limit"
	RetryBudget     Reason = "retry-budget"
	HomeLost        Reason = "home-lost"
	Duplicate       Reason = "duplicate"
	EndedEndpoints  Reason = "ended-endpoints" // as ends-endpoints, where this one has been sent to an endpoint
	Internal        Reason = "internal"
)

// statusOf gives the HTTP status that each reason is answered with.
var statusOf = map[Reason]int{
	BadRequest:       http.StatusBadRequest,
	Unauthenticated:  http.StatusUnauthorized,
	Forbidden:        http.StatusForbidden,
	UnknownModel:     http.StatusNotFound,
	UnknownClass:     http.StatusNotFound,
	TooLarge:         http.StatusRequestEntityTooLarge,
	Overloaded:       http.StatusTooManyRequests,
	DemandBeyond:     http.StatusTooManyRequests,
	DeadlineMissed:   http.StatusTooManyRequests,
	TeamLimit:        http.StatusTooManyRequests,
	NoEndpoint:       http.StatusServiceUnavailable,
	NotReady:         http.StatusServiceUnavailable,
	NoConfiguration:  http.StatusServiceUnavailable,
	OwnerUnreachable: http.StatusServiceUnavailable,
	OwnerUnsettled:   http.StatusServiceUnavailable,
	GrantExpired:     http.StatusServiceUnavailable,
	KeyConflict:      http.StatusConflict,
	Leaving:          http.StatusServiceUnavailable,
	UnknownRoute:     http.StatusNotFound,
	StaleBelief:      http.StatusServiceUnavailable,
	BodyCut:          http.StatusBadRequest,
	BodySlow:         http.StatusRequestTimeout,
	MemoryFull:       http.StatusTooManyRequests,
	EndpointRefused:  http.StatusServiceUnavailable,
	EndpointGone:     http.StatusServiceUnavailable,
	NoHomeEndpoint:   http.StatusServiceUnavailable,
	EndsEndpoints:    http.StatusTooManyRequests,
	EndpointRests:    http.StatusServiceUnavailable,
	EndpointsRest:    http.StatusServiceUnavailable,
	EndpointsLimited: http.StatusServiceUnavailable,
	EndedEndpoints:   http.StatusBadGateway,
	EndpointConnect:  http.StatusBadGateway,
	EndpointError:    http.StatusBadGateway,
	EndpointCut:      http.StatusBadGateway,
	EndpointBusy:     http.StatusServiceUnavailable,
	EndpointSilent:   http.StatusBadGateway,
	AnswerNoMemory:   http.StatusBadGateway,
	EntryLost:        http.StatusBadGateway,
	CallerGone:       499,
	CallerSlow:       499,
	TimeLimit:        http.StatusGatewayTimeout,
	RetryBudget:      http.StatusServiceUnavailable,
	HomeLost:         http.StatusServiceUnavailable,
	Duplicate:        http.StatusConflict,
	Internal:         http.StatusInternalServerError,
}

// Status returns the HTTP status that r is answered with.
func (r Reason) Status() int {
	if status, ok := statusOf[r]; ok {
		return status
	}
	return http.StatusInternalServerError
}

// Known reports whether r is one of the reasons of this package.
func (r Reason) Known() bool {
	_, ok := statusOf[r]
	return ok
}

// An Error is a failed request: what may have happened, why, and when to
// come back. RetryAfter is zero where a repeat makes no sense.
type Error struct {
	Verdict    Verdict
	Reason     Reason
	Detail     string
	RetryAfter time.Duration
}

// Error returns the reason, the detail and the verdict.
func (e *Error) Error() string {
	if e.Detail == "" {
		return fmt.Sprintf("%s (%s)", e.Reason, e.Verdict)
	}
	return fmt.Sprintf("%s: %s (%s)", e.Reason, e.Detail, e.Verdict)
}

// Refuse returns the Error of a request that was not run.
func Refuse(r Reason, format string, args ...any) *Error {
	return &Error{Verdict: NotRun, Reason: r, Detail: fmt.Sprintf(format, args...)}
}

// Fail returns the Error of a request for which v is known.
func Fail(v Verdict, r Reason, format string, args ...any) *Error {
	return &Error{Verdict: v, Reason: r, Detail: fmt.Sprintf(format, args...)}
}

// After returns a copy of e that tells the caller to come back after d.
func (e *Error) After(d time.Duration) *Error {
	c := *e
	c.RetryAfter = d
	return &c
}

// Of returns the Error in err's chain. An err without one becomes
// MayHaveRun with reason Internal; a nil err gives nil.
func Of(err error) *Error {
	if err == nil {
		return nil
	}
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return &Error{Verdict: MayHaveRun, Reason: Internal, Detail: err.Error()}
}
