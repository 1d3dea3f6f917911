package soak

import (
	"fmt"
	"net/http"
	"slices"
	"sort"
	"time"

	"ivyridge/platform/standin"
)

// A Violation describes how a rule was violated.
type Violation struct {
	Rule string
	What string
}

type rule struct {
	name  string
	check func(*Record) []string
}

// rules are all rules, named as in docs/promises.md.
var rules = []rule{
	{"MIXED", (*Record).checkMixed},
	{"UNASKED", (*Record).checkUnasked},
	{"TWICE", (*Record).checkTwice},
	{"REFUSED", (*Record).checkRefused},
	{"DENIED", (*Record).checkDenied},
	{"BUDGET", (*Record).checkBudget},
	{"GONE", (*Record).checkGone},
	{"LOST", (*Record).checkLost},
	{"ROUTE", (*Record).checkRoute},
	{"DRAIN", (*Record).checkDrain},
	{"LEAVING", (*Record).checkLeaving},
	{"REST", (*Record).checkRest},
	{"LIMIT", (*Record).checkLimit},
	{"EVAC", (*Record).checkEvac},
	{"HOME", (*Record).checkHomeRegions},
	{"FAILBACK", (*Record).checkFailback},
	{"CONFIG", (*Record).checkConfig},
	{"REVOKED", (*Record).checkRevoked},
	{"HELD", (*Record).checkHeld},
	{"ORDER", (*Record).checkOrder},
	{"STEADY", (*Record).checkSteady},
	{"SHARE", (*Record).checkShare},
	{"BLAMED", (*Record).checkBlamed},
	{"TIER", (*Record).checkTier},
	{"RECOVER", (*Record).checkRecover},
	{"CALM", (*Record).checkCalm},
	{"EXIT", (*Record).checkExit},
	{"FOOTPRINT", (*Record).checkFootprint},
}

// Rules returns the names of all rules.
func Rules() []string {
	var out []string
	for _, r := range rules {
		out = append(out, r.name)
	}
	return out
}

// Check returns the violations of all rules.
func Check(b *Record) []Violation {
	var out []Violation
	newer := b.withoutOlder()
	for _, r := range rules {
		record := b
		if slices.Contains(b.OlderRules, r.name) {
			record = newer
		}
		for _, what := range r.check(record) {
			out = append(out, Violation{r.name, what})
		}
	}
	return out
}

// Tolerances of the rules.
const (
	deniedTolerance   = 5 // final rejections of valid requests; plus one per deniedEach requests
	deniedEach        = 500
	attemptsTolerance = 3 // requests that may reach more endpoints than their route allows
	goneGrace         = 500 * time.Millisecond
	goneShare         = 4 // at most one in goneShare executions may outlast its caller by goneGrace
	goneMinExecutions = 20
	heldGrace         = 500 * time.Millisecond // after the route's timeout
	heldMinLate       = 8
	heldShare         = 4
	servedShare       = 4 // after a loss of all instances, at least one in servedShare requests must be served
	servedMinRequests = 20
	recoverWindow     = 4 * time.Second
	calmMinRatio      = 0.95
	tierWindow        = 5 * time.Second
	tierStep          = time.Second // between the starts of successive windows
	tierMinFailed     = 10          // failed requests of a route, which must also be more than one in tierShare
	tierShare         = 12
	tierTokenFactor   = 2 // a less urgent route counts only if its prompts are larger by this factor
)

// Maximum resource use of an instance after recovery.
const (
	maxDescriptors = 600
	maxGoroutines  = 1200
	maxMemoryMB    = 256
)

// each calls f for all requests, in order of their IDs.
func (b *Record) each(f func(*Request)) {
	ids := make([]string, 0, len(b.Requests))
	for id := range b.Requests {
		ids = append(ids, id)
	}
	sort.Strings(ids)
	for _, id := range ids {
		f(b.Requests[id])
	}
}

func (b *Record) executions(id string) (n int) {
	for _, r := range b.Deliveries[id] {
		if r.Ran {
			n++
		}
	}
	return n
}

// checkMixed: a successful response is the complete one of an endpoint that executed the request;
// an error response carries an endpoint's seal only with a status that endpoints send.
func (b *Record) checkMixed() (out []string) {
	b.each(func(q *Request) {
		switch {
		case q.Status == http.StatusOK && !q.Sealed:
			out = append(out, fmt.Sprintf("%s: status 200 without an endpoint's seal", q.ID))
		case q.Status == http.StatusOK && !q.Stream && q.Complete && !b.hasEndpointAnswer(q):
			out = append(out, fmt.Sprintf("%s: status 200 with body %q, which no endpoint sent for it", q.ID, q.Text))
		case q.Sealed && q.Status != http.StatusOK && q.Status != http.StatusInternalServerError:
			out = append(out, fmt.Sprintf("%s: sealed response with status %d, which no endpoint sent", q.ID, q.Status))
		}
	})
	return out
}

func (b *Record) hasEndpointAnswer(q *Request) bool {
	for _, r := range b.Deliveries[q.ID] {
		if r.Ran && q.Text == standin.Answer(r.Endpoint, q.ID) {
			return true
		}
	}
	return false
}

// checkUnasked: endpoints receive only what callers sent, for the owner of the key, and never a key.
func (b *Record) checkUnasked() (out []string) {
	for id, deliveries := range b.Deliveries {
		q := b.Requests[id]
		for _, r := range deliveries {
			switch {
			case q == nil:
				out = append(out, fmt.Sprintf("%s: received by an endpoint but sent by no caller", id))
			case r.Method != http.MethodPost || r.Target != q.Path || r.Body != q.Body:
				out = append(out, fmt.Sprintf("%s: changed on the way: received as %s %s %q", id, r.Method, r.Target, r.Body))
			case r.Team != q.Team:
				out = append(out, fmt.Sprintf("%s: received for team %q, sent by team %q", id, r.Team, q.Team))
			case r.KeyForwarded:
				out = append(out, fmt.Sprintf("%s: the caller's key was sent to the endpoint", id))
			}
		}
	}
	return out
}

// checkTwice: a request that is not repeatable is executed at most once.
func (b *Record) checkTwice() (out []string) {
	b.each(func(q *Request) {
		if n := b.executions(q.ID); n > 1 && !q.Repeatable {
			out = append(out, fmt.Sprintf("%s: not repeatable, but executed %d times", q.ID, n))
		}
	})
	return out
}

// checkRefused: a request whose status means "not executed" was not executed.
func (b *Record) checkRefused() (out []string) {
	b.each(func(q *Request) {
		if meansNotExecuted(q.Status) && !q.Repeatable && b.executions(q.ID) > 0 {
			out = append(out, fmt.Sprintf("%s: executed, but answered with status %d", q.ID, q.Status))
		}
	})
	return out
}

// meansNotExecuted reports whether a status says that the request was not executed.
func meansNotExecuted(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// checkDenied: at most a few valid requests are rejected with a final status.
func (b *Record) checkDenied() []string {
	var ids []string
	b.each(func(q *Request) {
		final := q.Status >= 300 && q.Status < 500 && !meansNotExecuted(q.Status) && !q.Sealed
		if final && b.allowed(q) && b.inContact(q.Instance, q.Sent, q.Done) {
			ids = append(ids, fmt.Sprintf("%s (%d)", q.ID, q.Status))
		}
	})
	if limit := deniedTolerance + len(b.Requests)/deniedEach; len(ids) > limit {
		return []string{fmt.Sprintf("%d valid requests were rejected with a final status, at most %d allowed: %v", len(ids), limit, ids[:min(5, len(ids))])}
	}
	return nil
}

// allowed reports whether all versions that may apply to q allow it.
func (b *Record) allowed(q *Request) bool {
	possible := b.possibleVersions(q.Sent, q.Done)
	for _, v := range possible {
		_, routed := v.Routes[q.Route]
		if _, issued := v.Keys[q.Key]; !routed || !issued || v.servedNowhere(q) {
			return false
		}
	}
	return len(possible) > 0
}

// checkBudget: requests reach no more endpoints than their routes allow, and repeats are bounded.
func (b *Record) checkBudget() (out []string) {
	overLimit := 0
	b.each(func(q *Request) {
		seen := make(map[string]bool)
		for _, r := range b.Deliveries[q.ID] {
			seen[r.Endpoint] = true
		}
		if len(seen) > q.Attempts {
			overLimit++
		}
	})
	if overLimit > attemptsTolerance {
		out = append(out, fmt.Sprintf("%d requests were sent to more endpoints than their routes allow", overLimit))
	}
	return append(out, b.checkRepeats()...)
}

// checkRepeats bounds the repeats of each service by its first attempts, in every RetryWindow.
func (b *Record) checkRepeats() (out []string) {
	firsts, repeats := make(map[string][]time.Time), make(map[string][]time.Time)
	for _, deliveries := range b.Deliveries {
		for i, r := range deliveries {
			if i == 0 {
				firsts[r.Service] = append(firsts[r.Service], r.At)
			} else {
				repeats[r.Service] = append(repeats[r.Service], r.At)
			}
		}
	}
	for service, times := range repeats {
		for _, end := range times {
			from := end.Add(-b.Bounds.RetryWindow)
			count, firstCount := countWithin(times, from, end), countWithin(firsts[service], from, end)
			if limit := int(b.Bounds.RetryRatio*float64(firstCount)) + b.Bounds.RetryExtra; count > limit {
				out = append(out, fmt.Sprintf("service %s: %d repeats and %d first attempts within %v, at most %d repeats allowed", service, count, firstCount, b.Bounds.RetryWindow, limit))
				break
			}
		}
	}
	return out
}

func countWithin(times []time.Time, from, to time.Time) (n int) {
	for _, t := range times {
		if t.After(from) && !t.After(to) {
			n++
		}
	}
	return n
}

// checkGone: endpoints soon stop work whose callers have cancelled.
func (b *Record) checkGone() []string {
	late, all := 0, 0
	b.each(func(q *Request) {
		if !q.Cancelled || !q.Repeatable || !b.inContact(q.Instance, q.Sent, q.Done.Add(goneGrace)) {
			return
		}
		for _, r := range b.Deliveries[q.ID] {
			if !r.Ran || r.At.After(q.Done) {
				continue
			}
			all++
			if r.Ended.IsZero() || r.Ended.After(q.Done.Add(goneGrace)) {
				late++
			}
		}
	})
	if all >= goneMinExecutions && late*goneShare > all {
		return []string{fmt.Sprintf("%d of %d requests were still being executed %v after their callers had cancelled", late, all, goneGrace)}
	}
	return nil
}

// checkLost: planned operations lose no request that an endpoint received.
func (b *Record) checkLost() (out []string) {
	b.each(func(q *Request) {
		closed := q.Status == 0 && q.Err != nil && !q.Cancelled
		if !closed || len(b.Deliveries[q.ID]) == 0 {
			return
		}
		if b.onlyPlannedFaults(q) && q.Done.Sub(q.Sent) < q.Deadline {
			out = append(out, fmt.Sprintf("%s: connection closed without a response during a planned operation at %s: %v", q.ID, q.Instance, q.Err))
		}
	})
	return out
}

// checkRoute: a request is executed only at a service and with a key that some version allowed.
func (b *Record) checkRoute() (out []string) {
	b.each(func(q *Request) {
		for _, r := range b.Deliveries[q.ID] {
			if r.Ran && !b.everAllowed(q, r.Service) {
				out = append(out, fmt.Sprintf("%s: route %s was executed by service %s with key %q, which no version allowed", q.ID, q.Route, r.Service, q.Key))
			}
		}
	})
	return out
}

// everAllowed reports whether some version mapped q's route to service, and some version, not
// necessarily the same, had its key.
func (b *Record) everAllowed(q *Request, service string) bool {
	route, key := false, false
	for i := range b.Versions {
		v := &b.Versions[i]
		route = route || v.Routes[q.Route].Service == service
		_, issued := v.Keys[q.Key]
		key = key || issued
	}
	return route && key
}

// checkDrain: no new request reaches an endpoint later than Bounds.Drain after its leaving notice.
func (b *Record) checkDrain() (out []string) {
	leftAt := make(map[string]time.Time)
	for _, d := range b.Departures {
		leftAt[d.Endpoint] = d.Acked
	}
	b.each(func(q *Request) {
		for _, r := range b.Deliveries[q.ID] {
			at, leaves := leftAt[r.Endpoint]
			if leaves && r.Ran && r.At.After(at.Add(b.Bounds.Drain)) && b.inContact(q.Instance, q.Sent, r.At) {
				out = append(out, fmt.Sprintf("%s: reached endpoint %s %v after its leaving notice", q.ID, r.Endpoint, r.At.Sub(at).Round(time.Millisecond)))
			}
		}
	})
	return out
}

// checkConfig: instances in contact apply a version within Bounds.Propagation after its publication
// was acknowledged (Version.Acked).
func (b *Record) checkConfig() (out []string) {
	b.each(func(q *Request) {
		for _, r := range b.Deliveries[q.ID] {
			if !r.Ran || !b.inContact(q.Instance, q.Sent, r.At) {
				continue
			}
			ok := false
			for _, v := range b.possibleVersions(q.Sent, r.At) {
				ok = ok || v.Routes[q.Route].Service == r.Service
			}
			if !ok {
				out = append(out, fmt.Sprintf("%s: route %s was executed by service %s, as only older versions say, at %s", q.ID, q.Route, r.Service, q.Instance))
			}
		}
	})
	return out
}

// checkRevoked: a removed key is rejected after Bounds.Revoke, by instances in contact or not.
func (b *Record) checkRevoked() (out []string) {
	b.each(func(q *Request) {
		if b.executions(q.ID) == 0 {
			return
		}
		if at, ok := b.keyRemoved(q.Key); ok && q.Sent.After(at.Add(b.Bounds.Revoke)) {
			out = append(out, fmt.Sprintf("%s: executed with a key that was removed %v before it was sent, at %s", q.ID, q.Sent.Sub(at).Round(time.Millisecond), q.Instance))
		}
	})
	return out
}

// keyRemoved returns when the version that removed a key for good was acknowledged.
func (b *Record) keyRemoved(key string) (at time.Time, ok bool) {
	issued := false
	for i := range b.Versions {
		v := &b.Versions[i]
		switch _, has := v.Keys[key]; {
		case has:
			issued, ok = true, false
		case issued && !ok && !v.Acked.IsZero():
			at, ok = v.Acked, true
		}
	}
	return at, ok
}

// checkHeld: a route's timeout ends its requests.
func (b *Record) checkHeld() []string {
	late, all := 0, 0
	b.each(func(q *Request) {
		timeout := b.maxTimeout(q)
		elapsed := q.Done.Sub(q.Sent)
		if timeout == 0 || elapsed < timeout || q.Cancelled || !b.inContact(q.Instance, q.Sent, q.Done) {
			return
		}
		all++
		if elapsed > timeout+heldGrace {
			late++
		}
	})
	if late >= heldMinLate && late*heldShare > all {
		return []string{fmt.Sprintf("%d of %d requests that reached their route's timeout had no response %v later", late, all, heldGrace)}
	}
	return nil
}

func (b *Record) maxTimeout(q *Request) (longest time.Duration) {
	for _, v := range b.possibleVersions(q.Sent, q.Done) {
		longest = max(longest, v.Routes[q.Route].Timeout)
	}
	return longest
}

// checkOrder: events arrive once and in order, and no truncated stream looks complete.
func (b *Record) checkOrder() (out []string) {
	b.each(func(q *Request) {
		if q.OutOfOrder || q.Truncated {
			out = append(out, fmt.Sprintf("%s: %d events, out of order: %v, truncated but apparently complete: %v", q.ID, q.Events, q.OutOfOrder, q.Truncated))
		}
	})
	return out
}

// checkTier: while no endpoint is faulty, urgent requests are not rejected while larger, less urgent
// ones are executed at the same service.
func (b *Record) checkTier() (out []string) {
	from, to := b.sendSpan()
	for at := from; at.Before(to); at = at.Add(tierStep) {
		if b.anyEndpointFaulted(at, at.Add(tierWindow)) {
			continue
		}
		if what := b.checkTierAt(at); what != "" {
			return []string{what}
		}
	}
	return nil
}

// A tier counts the outcomes of a route's requests in a window.
type tier struct {
	service          string
	priority         int
	tokens           int
	requests, failed int
	executed         bool // at least one request was executed
}

func (b *Record) checkTierAt(at time.Time) string {
	tiers := make(map[string]*tier)
	b.each(func(q *Request) {
		if q.Sent.Before(at) || !q.Sent.Before(at.Add(tierWindow)) || q.Cancelled || !b.inContact(q.Instance, q.Sent, q.Done) || !b.allowed(q) {
			return
		}
		executed := b.executions(q.ID) > 0
		if b.regionBound(q) && !executed {
			return // its regions may be full while others are not
		}
		t := tiers[q.Route]
		if t == nil {
			t = &tier{service: q.Service, priority: q.Priority, tokens: q.Tokens}
			tiers[q.Route] = t
		}
		t.requests++
		if q.Status != http.StatusOK {
			t.failed++
		}
		t.executed = t.executed || executed
	})
	for route, urgent := range tiers {
		if urgent.failed < tierMinFailed || urgent.failed*tierShare <= urgent.requests {
			continue
		}
		for other, t := range tiers {
			if t.executed && t.service == urgent.service && t.priority > urgent.priority && t.tokens > tierTokenFactor*urgent.tokens {
				return fmt.Sprintf("%d of %d requests of route %s failed within %v while route %s was executed", urgent.failed, urgent.requests, route, tierWindow, other)
			}
		}
	}
	return ""
}

func (b *Record) sendSpan() (from, to time.Time) {
	for _, q := range b.Requests {
		if from.IsZero() || q.Sent.Before(from) {
			from = q.Sent
		}
		if q.Sent.After(to) {
			to = q.Sent
		}
	}
	return from, to
}

func (b *Record) anyEndpointFaulted(from, to time.Time) bool {
	return slices.ContainsFunc(b.Faults, func(f Fault) bool { return f.Endpoint != "" && f.during(from, to) })
}

// checkRecover: requests are served again within Bounds.Recover of a loss of all instances.
func (b *Record) checkRecover() (out []string) {
	for _, f := range b.Faults {
		if !f.AllInstances {
			continue
		}
		from := f.To.Add(b.Bounds.Recover)
		served, all := b.served(from, from.Add(recoverWindow))
		if all >= servedMinRequests && served*servedShare < all {
			out = append(out, fmt.Sprintf("%s: only %d of %d requests were served from %v after its end", f.Kind, served, all, b.Bounds.Recover))
		}
	}
	return out
}

// served counts the valid requests sent between from and to, and how many of them got status 200.
func (b *Record) served(from, to time.Time) (served, all int) {
	b.each(func(q *Request) {
		if q.Sent.Before(from) || q.Sent.After(to) || q.Cancelled || !b.allowed(q) {
			return
		}
		all++
		if q.Status == http.StatusOK {
			served++
		}
	})
	return served, all
}

// checkCalm: nearly all requests are served after all faults are over.
func (b *Record) checkCalm() []string {
	if b.RecoveredAt.IsZero() {
		return nil
	}
	served, all := b.served(b.RecoveredAt, b.RecoveredAt.Add(time.Hour))
	if all > 0 && float64(served) < calmMinRatio*float64(all) {
		return []string{fmt.Sprintf("only %d of %d requests were served after recovery", served, all)}
	}
	return nil
}

// checkExit: no process ends unexpectedly.
func (b *Record) checkExit() (out []string) {
	for _, e := range b.Exits {
		out = append(out, fmt.Sprintf("%s: process ended unexpectedly: %s", e.Instance, e.Error))
	}
	return out
}

// checkFootprint: at the end of a run every instance is ready and its resource use is bounded.
func (b *Record) checkFootprint() (out []string) {
	for _, f := range b.Footprints {
		if !f.Ready || f.Descriptors > maxDescriptors || f.Goroutines > maxGoroutines || f.MemoryMB > maxMemoryMB {
			out = append(out, fmt.Sprintf("%s: ready %v, %d descriptors, %d goroutines, %d MB", f.Instance, f.Ready, f.Descriptors, f.Goroutines, f.MemoryMB))
		}
	}
	return out
}
