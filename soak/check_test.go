package soak

import (
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/pkg/errors"

	"ivyridge/platform/standin"
)

var start = time.Unix(1000, 0)

func at(seconds float64) time.Time {
	return start.Add(time.Duration(seconds * float64(time.Second)))
}

var bounds = Bounds{
	Contact: 3 * time.Second, Propagation: 2 * time.Second, Revoke: 5 * time.Second, Drain: 2 * time.Second,
	Recover: 10 * time.Second, RetryWindow: 10 * time.Second, RetryRatio: 0.2, RetryExtra: 5,
	Evacuate: 3 * time.Second, ColdOver: 1.5, ColdSlack: 5,
}

// faultlessRecord returns observations without violations: a request per second, a version that
// moves the route and revokes key-2 at 20 s, an endpoint that leaves at 30 s, and a loss of all
// instances from 40 to 41 s.
func faultlessRecord() *Record {
	b := &Record{
		Bounds:   bounds,
		Requests: make(map[string]*Request), Deliveries: make(map[string][]Delivery),
		Versions: []Version{
			{Number: 1, Sent: at(0), Acked: at(0), Routes: map[string]Route{"a": {"app", time.Second}}, Keys: map[string]string{"key-1": "one", "key-2": "two"}},
			{Number: 2, Sent: at(20), Acked: at(20), Routes: map[string]Route{"a": {"other", time.Second}}, Keys: map[string]string{"key-1": "one"}},
		},
		Departures:  []Departure{{"o-1", at(30)}},
		Faults:      []Fault{{Kind: "all killed", From: at(40), To: at(41), AllInstances: true}},
		Footprints:  []Footprint{{Instance: "router-1", Ready: true, Descriptors: 50, Goroutines: 60, MemoryMB: 30}},
		RecoveredAt: at(70),
	}
	for n := range 80 {
		endpoint, service := "e-1", "app"
		if n >= 20 {
			endpoint, service = "o-1", "other"
		}
		if n >= 30 {
			endpoint = "o-2"
		}
		addRequest(b, requestID(n), float64(n)+0.5, endpoint, service)
	}
	return b
}

// regionPartition excuses no rule: each region keeps the store and its own endpoints.
var regionPartition = Fault{Kind: "regions cut off each other", KeepsContact: true, From: at(4), To: at(24)}

func requestID(n int) string { return "q-" + string(rune('a'+n/26)) + string(rune('a'+n%26)) }

func addRequest(b *Record, id string, sent float64, endpoint, service string) *Request {
	q := &Request{
		Request:  standin.Request{ID: id, Key: "key-1", Path: "/a/x", Body: "question", Deadline: 3 * time.Second},
		Response: standin.Response{Status: http.StatusOK, Sealed: true, Complete: true, Text: standin.Answer(endpoint, id)},
		Team:     "one", Route: "a", Instance: "router-1", Attempts: 2,
		Sent: at(sent), Done: at(sent + 0.1),
	}
	b.Requests[id] = q
	b.Deliveries[id] = []Delivery{newDelivery(endpoint, service, sent+0.01)}
	return q
}

func newDelivery(endpoint, service string, arrived float64) Delivery {
	return Delivery{Endpoint: endpoint, Service: service, ReceivedRequest: standin.ReceivedRequest{
		Method: http.MethodPost, Target: "/a/x", Body: "question", Ran: true, At: at(arrived), Ended: at(arrived + 0.05),
		Team: "one",
	}}
}

func TestFaultlessRecordHasNoViolations(t *testing.T) {
	if got := Check(faultlessRecord()); len(got) != 0 {
		t.Fatalf("got %v for a record without violations, want none", got)
	}
}

// Each violation is reported under its rule and the other rules that it breaks, and no more.
func TestEachRuleDetectsItsViolation(t *testing.T) {
	for _, c := range []struct {
		name    string
		want    []string
		violate func(*Record)
	}{
		{"status 200 without a seal", []string{"MIXED"}, func(b *Record) { b.Requests[requestID(5)].Sealed = false }},
		{"the response to another request", []string{"MIXED"}, func(b *Record) { b.Requests[requestID(5)].Text = standin.Answer("e-1", requestID(6)) }},
		{"a seal on an error of the router", []string{"MIXED"}, func(b *Record) { b.Requests[requestID(5)].Status = http.StatusBadGateway }},
		{"a request that no caller sent", []string{"UNASKED"}, func(b *Record) { b.Deliveries["q-none"] = []Delivery{newDelivery("e-1", "app", 5)} }},
		{"a changed body", []string{"UNASKED"}, func(b *Record) { b.Deliveries[requestID(5)][0].Body = "other" }},
		{"another team's name", []string{"UNASKED"}, func(b *Record) { b.Deliveries[requestID(5)][0].Team = "two" }},
		{"the key reaches an endpoint", []string{"UNASKED"}, func(b *Record) { b.Deliveries[requestID(5)][0].KeyForwarded = true }},
		{"two executions", []string{"TWICE"}, func(b *Record) {
			b.Deliveries[requestID(5)] = append(b.Deliveries[requestID(5)], newDelivery("e-2", "app", 5.6))
		}},
		{"rejected as not executed after an execution", []string{"REFUSED"}, func(b *Record) {
			q := b.Requests[requestID(5)]
			q.Status, q.Sealed = http.StatusServiceUnavailable, false
		}},
		{"valid requests rejected with a final status", []string{"DENIED"}, func(b *Record) {
			for n := range 10 {
				q := b.Requests[requestID(n)]
				q.Status, q.Sealed = http.StatusNotFound, false
			}
		}},
		{"too many endpoints per request", []string{"BUDGET"}, func(b *Record) {
			for n := range 5 {
				q := b.Requests[requestID(n)]
				q.Repeatable = true
				for _, e := range []string{"e-2", "e-3"} {
					b.Deliveries[q.ID] = append(b.Deliveries[q.ID], newDelivery(e, "app", float64(n)+0.6))
				}
			}
		}},
		{"too many repeats", []string{"BUDGET"}, func(b *Record) {
			for n := range 10 {
				q := b.Requests[requestID(n)]
				q.Repeatable = true
				b.Deliveries[q.ID] = append(b.Deliveries[q.ID], newDelivery("e-1", "app", float64(n)+0.6))
			}
		}},
		{"too many repeats by all instances together", []string{"BUDGET"}, func(b *Record) {
			for n := range 10 {
				q := b.Requests[requestID(n)]
				q.Repeatable, q.Instance = true, []string{"router-1", "router-2", "router-3", "router-4", "router-5"}[n%5]
				b.Deliveries[q.ID] = append(b.Deliveries[q.ID], newDelivery("e-2", "app", float64(n)+0.6))
			}
		}},
		{"execution continues after callers cancelled", []string{"GONE"}, func(b *Record) {
			for n := range 25 {
				q := addRequest(b, "left-"+requestID(n), 60+float64(n)/10, "o-2", "other")
				q.Cancelled, q.Repeatable, q.Response = true, true, standin.Response{}
				b.Deliveries[q.ID][0].Ended = q.Done.Add(time.Second)
			}
		}},
		{"a response lost during a planned stop", []string{"LOST"}, func(b *Record) {
			b.Faults = append(b.Faults, Fault{Kind: "stopped", Instance: "router-1", From: at(5), To: at(7), Planned: true})
			b.Requests[requestID(5)].Response = standin.Response{Err: errors.New("closed")}
		}},
		{"a service that no version names", []string{"ROUTE", "CONFIG"}, func(b *Record) { b.Deliveries[requestID(5)][0].Service = "third" }},
		{"a key that was never issued", []string{"ROUTE"}, func(b *Record) { b.Requests[requestID(5)].Key = "key-9" }},
		{"a request to an endpoint after its leaving notice", []string{"DRAIN"}, func(b *Record) { addRequest(b, "q-late", 33, "o-1", "other") }},
		{"requests during a rest", []string{"REST"}, func(b *Record) {
			b.Deliveries[requestID(5)][0].RetryAfter = 5 * time.Second
			b.Deliveries[requestID(50)][0].RetryAfter = 2900 * time.Millisecond // two requests fall within it
		}},
		{"above an endpoint's limit, from two instances together", []string{"LIMIT"}, func(b *Record) { addLimitedRequests(b, 14, "1.2") }},
		{"above an endpoint's limit, while the store is down", []string{"LIMIT"}, func(b *Record) {
			addLimitedRequests(b, 14, "1.2")
			b.Faults = append(b.Faults, Fault{Kind: "store silent", From: at(59), To: at(70)})
		}},
		{"requests after a response that announces leaving", []string{"LEAVING"}, func(b *Record) {
			b.Deliveries[requestID(50)][0].Draining = true
			b.Faults = append(b.Faults, Fault{Kind: "paused", Instance: "router-2", From: at(51), To: at(52)})
		}},
		{"a request to an evacuated data centre", []string{"EVAC"}, func(b *Record) {
			b.Evacuations = []Evacuation{{DataCentre: "hall-a", Acked: at(5), Over: at(9)}}
			b.Deliveries[requestID(8)][0].DataCentre = "hall-a"
			b.Deliveries[requestID(6)][0].DataCentre = "hall-a" // within Bounds.Evacuate
			b.Deliveries[requestID(9)][0].DataCentre = "hall-a" // after the evacuation
		}},
		{"a request outside its home regions", []string{"HOME"}, func(b *Record) {
			b.Versions[0].RouteHomes = map[string][]string{"a": {north}}
			b.Versions[1].RouteHomes = map[string][]string{"a": {south}}
			b.Deliveries[requestID(5)][0].DataCentre = "hall-c"
			b.Deliveries[requestID(21)][0].DataCentre = "hall-a" // within Bounds.Propagation
			b.Deliveries[requestID(25)][0].DataCentre = "hall-c"
		}},
		{"a rejected request outside its team's home regions", []string{"HOME"}, func(b *Record) {
			b.Versions[0].TeamHomes = map[string][]string{"one": {south}}
			b.Deliveries[requestID(5)] = append([]Delivery{newDelivery("e-0", "app", 5.5)}, b.Deliveries[requestID(5)]...)
			b.Deliveries[requestID(5)][0].Ran, b.Deliveries[requestID(5)][0].DataCentre = false, "hall-b"
			b.Deliveries[requestID(5)][1].DataCentre = "hall-c"
		}},
		{"above a cold endpoint's rate", []string{"FAILBACK"}, func(b *Record) {
			b.ColdPeriods = []ColdPeriod{{Endpoint: "e-1", From: at(5), To: at(8)}, {Endpoint: "e-9", From: at(5), To: at(8)}}
			for n := range 12 {
				addRequest(b, "cold-"+requestID(n), 5.6+float64(n)/20, "e-1", "app")
			}
		}},
		{"above a cold endpoint's rate, from two partitioned regions", []string{"FAILBACK"}, func(b *Record) {
			b.Faults = append(b.Faults, regionPartition)
			b.ColdPeriods = []ColdPeriod{{Endpoint: "e-1", From: at(5), To: at(8)}}
			for n := range 12 {
				q := addRequest(b, "cold-"+requestID(n), 5.6+float64(n)/20, "e-1", "app")
				q.Instance = []string{"router-1", "router-3"}[n%2]
			}
		}},
		{"an outdated version in a partitioned region", []string{"CONFIG"}, func(b *Record) {
			b.Faults = append(b.Faults, regionPartition)
			addRequest(b, "q-old", 23, "e-1", "app")
		}},
		{"an outdated version", []string{"CONFIG"}, func(b *Record) { addRequest(b, "q-old", 23, "e-1", "app") }},
		{"a revoked key", []string{"REVOKED"}, func(b *Record) {
			q := addRequest(b, "q-revoked", 42, "o-2", "other") // within Bounds.Contact of a fault, which does not excuse this rule
			q.Key, q.Team = "key-2", "two"
			b.Deliveries[q.ID][0].Team = "two"
		}},
		{"requests held beyond their timeout", []string{"HELD"}, func(b *Record) {
			for n := range 10 {
				b.Requests[requestID(n)].Done = at(float64(n) + 2.2)
			}
		}},
		{"events out of order", []string{"ORDER"}, func(b *Record) { b.Requests[requestID(5)].OutOfOrder = true }},
		{"a truncated stream that looks complete", []string{"ORDER"}, func(b *Record) { b.Requests[requestID(5)].Truncated = true }},
		{"a steady reader's response is truncated", []string{"STEADY"}, func(b *Record) {
			q := b.Requests[requestID(5)]
			q.Steady, q.Complete, q.Err = true, false, errors.New("reset")
			unsteady := b.Requests[requestID(6)] // not steady, so not checked
			unsteady.Complete, unsteady.Err = false, errors.New("reset")
		}},
		{"a stalled reader's truncated response looks complete", []string{"ORDER"}, func(b *Record) {
			q := b.Requests[requestID(5)]
			q.Stream, q.Complete, q.Truncated, q.Events = true, false, true, 3
		}},
		{"other teams starved by one team's rush", []string{"SHARE"}, func(b *Record) {
			for i := range b.Versions {
				b.Versions[i].Routes["chat"] = Route{"llm", time.Second}
			}
			b.Rushes = []Rush{{Team: "two", Route: "chat", From: at(10), To: at(15)}}
			for n := range 100 {
				sent := 5 + float64(n)/10
				q := addRequest(b, "other-"+requestID(n), sent, "l-1", "llm")
				q.Route, q.Service = "chat", "llm"
				if sent > 11.5 && n%4 == 0 {
					q.Status, q.Sealed = http.StatusTooManyRequests, false
					delete(b.Deliveries, q.ID)
				}
			}
		}},
		{"a crashing request is not blocked", []string{"BLAMED"}, func(b *Record) {
			b.CrashRequests = []CrashRequest{{Body: "deadly"}}
			for n := range 12 {
				q := addRequest(b, "deadly-"+requestID(n), 5+float64(n), "e-1", "app")
				q.Body = "deadly"
				b.Deliveries[q.ID][0].Body = "deadly"
			}
		}},
		{"a harmless request is blocked", []string{"BLAMED"}, func(b *Record) {
			q := b.Requests[requestID(5)]
			q.Status, q.Sealed, q.Text = http.StatusTooManyRequests, false, "ends-endpoints: 3 endpoints ended"
			delete(b.Deliveries, q.ID)
		}},
		{"urgent requests rejected while less urgent ones are executed", []string{"TIER"}, func(b *Record) {
			for n := range 20 {
				urgent := addRequest(b, "urgent-"+requestID(n), 5+float64(n)/10, "o-2", "other")
				urgent.Route, urgent.Service, urgent.Tokens = "chat", "llm", 100
				urgent.Status, urgent.Sealed = http.StatusTooManyRequests, false
				delete(b.Deliveries, urgent.ID)
				other := addRequest(b, "other-"+requestID(n), 5+float64(n)/10, "l-1", "llm")
				other.Route, other.Service, other.Tokens, other.Priority = "letter", "llm", 300, 2
			}
			for i := range b.Versions {
				b.Versions[i].Routes["chat"] = Route{"llm", time.Second}
				b.Versions[i].Routes["letter"] = Route{"llm", time.Second}
			}
		}},
		{"no recovery after a loss of all instances", []string{"RECOVER"}, func(b *Record) {
			for n := range 30 {
				q := addRequest(b, "lost-"+requestID(n), 51.5+float64(n)/20, "o-2", "other")
				q.Status, q.Sealed = http.StatusServiceUnavailable, false
				delete(b.Deliveries, q.ID)
			}
		}},
		{"rejections after recovery", []string{"CALM"}, func(b *Record) {
			q := b.Requests[requestID(75)]
			q.Status, q.Sealed = http.StatusServiceUnavailable, false
			delete(b.Deliveries, q.ID)
		}},
		{"an unexpected process exit", []string{"EXIT"}, func(b *Record) { b.Exits = []Exit{{"router-1", at(5), "exit status 2"}} }},
		{"leaked descriptors", []string{"FOOTPRINT"}, func(b *Record) { b.Footprints[0].Descriptors = maxDescriptors + 1 }},
		{"an instance that stays unready", []string{"FOOTPRINT"}, func(b *Record) { b.Footprints[0].Ready = false }},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := faultlessRecord()
			c.violate(b)
			var violated []string
			for _, violation := range Check(b) {
				if !slices.Contains(violated, violation.Rule) {
					violated = append(violated, violation.Rule)
				}
			}
			if !slices.Equal(violated, c.want) {
				t.Errorf("got violations %v, want violations of the rules %v", Check(b), c.want)
			}
		})
	}
}

// A fault of an instance excuses the rules that apply only to instances in contact.
func TestInstanceFaultExcusesContactRules(t *testing.T) {
	b := faultlessRecord()
	addRequest(b, "q-old", 23, "e-1", "app")
	b.Faults = append(b.Faults, Fault{Kind: "cut", Instance: "router-1", From: at(21), To: at(22)})
	if got := Check(b); len(got) != 0 {
		t.Errorf("got %v for an instance that was cut off, want none", got)
	}
	b.Faults[1].Instance = "router-2"
	if got := Check(b); len(got) != 1 || got[0].Rule != "CONFIG" {
		t.Errorf("got %v, want CONFIG: the fault affected another instance", got)
	}
}

// Rules that an older build does not know are checked for newer instances only.
func TestOlderBuildIsExemptFromUnknownRules(t *testing.T) {
	b := faultlessRecord()
	b.ColdPeriods = []ColdPeriod{{Endpoint: "e-1", From: at(5), To: at(8)}}
	for n := range 12 {
		addRequest(b, "cold-"+requestID(n), 5.6+float64(n)/20, "e-1", "app").Instance = "router-2"
	}
	b.OlderBuildPeriods = []OlderBuildPeriod{{Instance: "router-2", From: at(0), To: at(30)}}
	if got := Check(b); len(got) != 1 || got[0].Rule != "FAILBACK" {
		t.Errorf("got %v for a build that knows all rules, want FAILBACK", got)
	}
	b.OlderRules = []string{"FAILBACK"}
	if got := Check(b); len(got) != 0 {
		t.Errorf("got %v for an older build, want none", got)
	}
	b.OlderBuildPeriods[0].To = at(5)
	if got := Check(b); len(got) != 1 {
		t.Errorf("got %v for an instance that had been upgraded, want FAILBACK", got)
	}
}

// addLimitedRequests adds requests to an endpoint that announces a limit: one from each of two
// instances and, over a second later, `requests` more within three seconds.
func addLimitedRequests(b *Record, requests int, limit string) {
	add := func(id string, second float64, instance string) {
		q := addRequest(b, id, second, "o-9", "other")
		q.Instance = instance
		b.Deliveries[id][0].Limit = limit
	}
	instances := []string{"router-1", "router-2"}
	for n, instance := range instances {
		add("told-"+instance, 61+float64(n)/10, instance)
	}
	for n := range requests {
		add("limited-"+requestID(n), 62.5+3*float64(n)/float64(requests), instances[n%2])
	}
}

// Requests up to the limit are allowed, and any number from an instance that was paused since it
// learned the limit, or after an invalid limit.
func TestLimitWithinBoundsIsNoViolation(t *testing.T) {
	for name, change := range map[string]func(*Record){
		"up to the limit": func(b *Record) { addLimitedRequests(b, 12, "1.2") },
		"an instance was paused": func(b *Record) {
			addLimitedRequests(b, 13, "1.2")
			b.Faults = append(b.Faults, Fault{Kind: "paused", Instance: "router-2", From: at(61.8), To: at(62)})
		},
		"invalid limit":       func(b *Record) { addLimitedRequests(b, 40, "-3") },
		"far below the limit": func(b *Record) { addLimitedRequests(b, 40, "50") },
	} {
		b := faultlessRecord()
		change(b)
		if got := b.checkLimit(); len(got) > 0 {
			t.Errorf("%s: got violations %v, want none", name, got)
		}
	}
}
