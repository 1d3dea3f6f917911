// Package verdict classifies failed requests by whether they may have run.
//
// Every error response of the router has a Verdict and a Reason. The Verdict tells the caller
// whether a retry is safe: NotRun means that no endpoint has run the request, so that it can be
// sent again even if it is not idempotent. The Reason is a stable code for metrics, operators and
// callers. An error chain without an Error counts as MayHaveRun.
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
	// MayHaveRun is the zero value: an endpoint may have run the request.
	MayHaveRun Verdict = iota
	// NotRun means that no endpoint has run the request.
	NotRun
	// Ran means that an endpoint has run the request, at least in part.
	Ran
)

var verdictNames = [...]string{MayHaveRun: "may-have-run", NotRun: "not-run", Ran: "ran"}

// String returns the name that responses, logs and reports use.
func (v Verdict) String() string { return verdictNames[v] }

// Parse returns the verdict named s. The result is false if there is none.
func Parse(s string) (Verdict, bool) {
	for v, name := range verdictNames {
		if name == s {
			return Verdict(v), true
		}
	}
	return MayHaveRun, false
}

// A Reason is a stable code for why a request was rejected, failed or retried.
type Reason string

// Reasons for rejecting a request that has not run.
const (
	BadRequest         Reason = "bad-request"
	Unauthenticated    Reason = "unauthenticated"
	Forbidden          Reason = "forbidden"
	UnknownModel       Reason = "unknown-model"
	UnknownClass       Reason = "unknown-class"
	TooLarge           Reason = "too-large"
	HeaderTooLarge     Reason = "header-too-large"
	Overloaded         Reason = "overloaded"
	OverCapacity       Reason = "demand-beyond-fleet" // the fleet is over capacity for the request's priority and deadline
	DeadlineMissed     Reason = "deadline-missed"
	TeamLimit          Reason = "team-limit"
	NoEndpoint         Reason = "no-endpoint"
	NotReady           Reason = "not-ready"
	NoConfiguration    Reason = "no-configuration"
	OwnerUnreachable   Reason = "owner-unreachable"
	OwnerUnsettled     Reason = "owner-unsettled"
	GrantExpired       Reason = "grant-expired"
	KeyConflict        Reason = "key-conflict"
	Leaving            Reason = "leaving"
	UnknownRoute       Reason = "unknown-route"
	StaleState         Reason = "stale-belief"
	BodyCut            Reason = "body-cut"
	EndpointRefused    Reason = "endpoint-refused"
	EndpointGone       Reason = "endpoint-gone"     // the endpoint's address now belongs to another endpoint
	BodySlow           Reason = "body-slow"         // the caller stopped sending the body
	MemoryFull         Reason = "memory-full"       // the instance has reached its memory limit
	NoHomeEndpoint     Reason = "no-home-endpoint"  // no endpoint in the regions where the request may be served
	CrashesEndpoints   Reason = "ends-endpoints"    // the request is known to crash endpoints
	HeldBack           Reason = "held-back"         // endpoints crashed under the same request, and it is not known yet whether because of it
	EndpointInBackoff  Reason = "endpoint-rests"    // the chosen endpoint asked for a back-off, or announced its shutdown, before the request was sent
	EndpointsInBackoff Reason = "endpoints-rest"    // all endpoints that may serve the request asked this instance to back off
	EndpointsLimited   Reason = "endpoints-limited" // all endpoints that may serve the request have reached their rate limits

	EndpointsOutOfReach Reason = "endpoints-out-of-reach" // this instance can't connect to any endpoint that may serve the request
	SoftwareUnknown     Reason = "software-unknown"       // no instance knows which software version began the stream to go on
	SoftwareGone        Reason = "software-gone"          // no endpoint runs the software version that began the stream
	WrongInstance       Reason = "wrong-instance"         // forwarded by an instance that meant another one
)

// Reasons for failing a request that may have run.
const (
	EndpointConnect  Reason = "endpoint-connect"
	EndpointError    Reason = "endpoint-error"
	EndpointCut      Reason = "endpoint-cut"
	EndpointBusy     Reason = "endpoint-busy"
	EndpointSilent   Reason = "endpoint-silent"
	ResponseNoMemory Reason = "answer-no-memory" // the instance had no memory for a long head, event or body of the response
	EntryLost        Reason = "entry-lost"
	CallerGone       Reason = "caller-gone"
	CallerSlow       Reason = "caller-slow" // the caller stopped reading the response
	TimeLimit        Reason = "time-limit"
	RetryBudget      Reason = "retry-budget"
	HomeLost         Reason = "home-lost"
	Duplicate        Reason = "duplicate"
	CrashedEndpoints Reason = "ended-endpoints" // as CrashesEndpoints, for a request that has already been sent to an endpoint
	Internal         Reason = "internal"
)

var statusOf = map[Reason]int{
	BadRequest:         http.StatusBadRequest,
	Unauthenticated:    http.StatusUnauthorized,
	Forbidden:          http.StatusForbidden,
	UnknownModel:       http.StatusNotFound,
	UnknownClass:       http.StatusNotFound,
	TooLarge:           http.StatusRequestEntityTooLarge,
	HeaderTooLarge:     http.StatusRequestHeaderFieldsTooLarge,
	Overloaded:         http.StatusTooManyRequests,
	OverCapacity:       http.StatusTooManyRequests,
	DeadlineMissed:     http.StatusTooManyRequests,
	TeamLimit:          http.StatusTooManyRequests,
	NoEndpoint:         http.StatusServiceUnavailable,
	NotReady:           http.StatusServiceUnavailable,
	NoConfiguration:    http.StatusServiceUnavailable,
	OwnerUnreachable:   http.StatusServiceUnavailable,
	OwnerUnsettled:     http.StatusServiceUnavailable,
	GrantExpired:       http.StatusServiceUnavailable,
	KeyConflict:        http.StatusConflict,
	Leaving:            http.StatusServiceUnavailable,
	UnknownRoute:       http.StatusNotFound,
	StaleState:         http.StatusServiceUnavailable,
	BodyCut:            http.StatusBadRequest,
	BodySlow:           http.StatusRequestTimeout,
	MemoryFull:         http.StatusTooManyRequests,
	EndpointRefused:    http.StatusServiceUnavailable,
	EndpointGone:       http.StatusServiceUnavailable,
	NoHomeEndpoint:     http.StatusServiceUnavailable,
	CrashesEndpoints:   http.StatusTooManyRequests,
	HeldBack:           http.StatusServiceUnavailable,
	EndpointInBackoff:  http.StatusServiceUnavailable,
	EndpointsInBackoff: http.StatusServiceUnavailable,
	EndpointsLimited:   http.StatusServiceUnavailable,

	EndpointsOutOfReach: http.StatusServiceUnavailable,
	SoftwareUnknown:     http.StatusServiceUnavailable,
	SoftwareGone:        http.StatusServiceUnavailable,
	WrongInstance:       http.StatusServiceUnavailable,

	CrashedEndpoints: http.StatusBadGateway,
	EndpointConnect:  http.StatusBadGateway,
	EndpointError:    http.StatusBadGateway,
	EndpointCut:      http.StatusBadGateway,
	EndpointBusy:     http.StatusServiceUnavailable,
	EndpointSilent:   http.StatusBadGateway,
	ResponseNoMemory: http.StatusBadGateway,
	EntryLost:        http.StatusBadGateway,
	CallerGone:       499,
	CallerSlow:       499,
	TimeLimit:        http.StatusGatewayTimeout,
	RetryBudget:      http.StatusServiceUnavailable,
	HomeLost:         http.StatusServiceUnavailable,
	Duplicate:        http.StatusConflict,
	Internal:         http.StatusInternalServerError,
}

// Status returns the HTTP status of a response with reason r; 500 if r is unknown.
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

// An Error describes a failed request. It must not be modified once it is returned.
type Error struct {
	Verdict    Verdict
	Reason     Reason
	Detail     string
	RetryAfter time.Duration // when the caller may retry; zero: a retry is pointless
}

// Error returns the reason, the detail and the verdict.
func (e *Error) Error() string {
	if e.Detail == "" {
		return fmt.Sprintf("%s (%s)", e.Reason, e.Verdict)
	}
	return fmt.Sprintf("%s: %s (%s)", e.Reason, e.Detail, e.Verdict)
}

// Refuse returns an Error with verdict NotRun and a detail formatted as by fmt.Sprintf.
func Refuse(r Reason, format string, args ...any) *Error {
	return &Error{Verdict: NotRun, Reason: r, Detail: fmt.Sprintf(format, args...)}
}

// Fail returns an Error with verdict v and a detail formatted as by fmt.Sprintf.
func Fail(v Verdict, r Reason, format string, args ...any) *Error {
	return &Error{Verdict: v, Reason: r, Detail: fmt.Sprintf(format, args...)}
}

// WithRetryAfter returns a copy of e with RetryAfter set to d.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
	c := *e
	c.RetryAfter = d
	return &c
}

// Of returns the first Error in err's chain. If there is none, it returns one with verdict
// MayHaveRun and reason Internal. It returns nil for a nil err.
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
