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

// sound returns books of a run in which nothing is wrong: a request a second,
// a version that moves the route at 20 s and takes key-2 away, an endpoint that
// leaves at 30 s, and a loss of all instances from 40 to 41 s.
func sound() *Books {
	b := &Books{
		Bounds:   bounds,
		Requests: make(map[string]*Request), Runs: make(map[string][]Run),
		Versions: []Version{
			{Number: 1, Sent: at(0), Acked: at(0), Routes: map[string]Route{"a": {"app", time.Second}}, Keys: map[string]string{"key-1": "one", "key-2": "two"}},
			{Number: 2, Sent: at(20), Acked: at(20), Routes: map[string]Route{"a": {"other", time.Second}}, Keys: map[string]string{"key-1": "one"}},
		},
		Departures: []Departure{{"o-1", at(30)}},
		Troubles:   []Trouble{{Kind: "all killed", From: at(40), To: at(41), All: true}},
		Footprints: []Footprint{{Instance: "router-1", Ready: true, Descriptors: 50, Goroutines: 60, MemoryMB: 30}},
		Calm:       at(70),
	}
	for n := range 80 {
		endpoint, service := "e-1", "app"
		if n >= 20 {
			endpoint, service = "o-1", "other"
		}
		if n >= 30 {
			endpoint = "o-2"
		}
		add(b, ask(n), float64(n)+0.5, endpoint, service)
	}
	return b
}

// regionsCut excuses nothing: each region keeps the store and its own endpoints.
var regionsCut = Trouble{Kind: "regions cut off each other", Spares: true, From: at(4), To: at(24)}

func ask(n int) string { return "q-" + string(rune('a'+n/26)) + string(rune('a'+n%26)) }

// add books a request that is served by an endpoint.
func add(b *Books, id string, sent float64, endpoint, service string) *Request {
	q := &Request{
		Ask:   standin.Ask{ID: id, Key: "key-1", Path: "/a/x", Body: "question", Deadline: 3 * time.Second},
		Reply: standin.Reply{Status: http.StatusOK, Sealed: true, Whole: true, Text: standin.Answer(endpoint, id)},
		Team:  "one", Route: "a", Instance: "router-1", Attempts: 2,
		Sent: at(sent), Done: at(sent + 0.1),
	}
	b.Requests[id] = q
	b.Runs[id] = []Run{got(endpoint, service, sent+0.01)}
	return q
}

func got(endpoint, service string, arrived float64) Run {
	return Run{Endpoint: endpoint, Service: service, Received: standin.Received{
		Method: http.MethodPost, Target: "/a/x", Body: "question", Ran: true, At: at(arrived), Ended: at(arrived + 0.05),
		Team: "one",
	}}
}

func TestSoundBooksBreakNothing(t *testing.T) {
	if got := Check(sound()); len(got) != 0 {
		t.Fatalf("got %v", got)
	}
}

// Each promise is found broken by its check, and by no other one but those
// that follow from it.
func TestPlantedFaultsAreFound(t *testing.T) {
	for _, c := range []struct {
		name  string
		want  []string
		plant func(*Books)
	}{
		{"a success without a seal", []string{"MIXED"}, func(b *Books) { b.Requests[ask(5)].Sealed = false }},
		{"another request's answer", []string{"MIXED"}, func(b *Books) { b.Requests[ask(5)].Text = standin.Answer("e-1", ask(6)) }},
		{"a seal on a failure of the system's own", []string{"MIXED"}, func(b *Books) { b.Requests[ask(5)].Status = http.StatusBadGateway }},
		{"a request that nobody sent", []string{"UNASKED"}, func(b *Books) { b.Runs["q-none"] = []Run{got("e-1", "app", 5)} }},
		{"a body that was changed", []string{"UNASKED"}, func(b *Books) { b.Runs[ask(5)][0].Body = "other" }},
		{"another team", []string{"UNASKED"}, func(b *Books) { b.Runs[ask(5)][0].Team = "two" }},
		{"the key is shown", []string{"UNASKED"}, func(b *Books) { b.Runs[ask(5)][0].ShowsKey = true }},
		{"two runs", []string{"TWICE"}, func(b *Books) { b.Runs[ask(5)] = append(b.Runs[ask(5)], got("e-2", "app", 5.6)) }},
		{"a refusal after a run", []string{"REFUSED"}, func(b *Books) {
			q := b.Requests[ask(5)]
			q.Status, q.Sealed = http.StatusServiceUnavailable, false
		}},
		{"proper requests refused for good", []string{"DENIED"}, func(b *Books) {
			for n := range 10 {
				q := b.Requests[ask(n)]
				q.Status, q.Sealed = http.StatusNotFound, false
			}
		}},
		{"too many endpoints", []string{"BUDGET"}, func(b *Books) {
			for n := range 5 {
				q := b.Requests[ask(n)]
				q.Repeatable = true
				for _, e := range []string{"e-2", "e-3"} {
					b.Runs[q.ID] = append(b.Runs[q.ID], got(e, "app", float64(n)+0.6))
				}
			}
		}},
		{"too many repeats", []string{"BUDGET"}, func(b *Books) {
			for n := range 10 {
				q := b.Requests[ask(n)]
				q.Repeatable = true
				b.Runs[q.ID] = append(b.Runs[q.ID], got("e-1", "app", float64(n)+0.6))
			}
		}},
		{"too many repeats of all instances together", []string{"BUDGET"}, func(b *Books) {
			for n := range 10 {
				q := b.Requests[ask(n)]
				q.Repeatable, q.Instance = true, []string{"router-1", "router-2", "router-3", "router-4", "router-5"}[n%5]
				b.Runs[q.ID] = append(b.Runs[q.ID], got("e-2", "app", float64(n)+0.6))
			}
		}},
		{"work for callers who left", []string{"GONE"}, func(b *Books) {
			for n := range 25 {
				q := add(b, "left-"+ask(n), 60+float64(n)/10, "o-2", "other")
				q.Left, q.Repeatable, q.Reply = true, true, standin.Reply{}
				b.Runs[q.ID][0].Ended = q.Done.Add(time.Second)
			}
		}},
		{"an answer lost beside a planned stop", []string{"LOST"}, func(b *Books) {
			b.Troubles = append(b.Troubles, Trouble{Kind: "stopped", Instance: "router-1", From: at(5), To: at(7), Planned: true})
			b.Requests[ask(5)].Reply = standin.Reply{Err: errors.New("closed")}
		}},
		{"a service that no version names", []string{"ROUTE", "CONFIG"}, func(b *Books) { b.Runs[ask(5)][0].Service = "third" }},
		{"a key that was never held", []string{"ROUTE"}, func(b *Books) { b.Requests[ask(5)].Key = "key-9" }},
		{"an endpoint that left", []string{"DRAIN"}, func(b *Books) { add(b, "q-late", 33, "o-1", "other") }},
		{"requests in a rest", []string{"REST"}, func(b *Books) {
			b.Runs[ask(5)][0].Rest = 5 * time.Second
			b.Runs[ask(50)][0].Rest = 2900 * time.Millisecond // two
		}},
		{"more than an endpoint's limit, of two instances together", []string{"LIMIT"}, func(b *Books) { nameLimits(b, 14, "1.2") }},
		{"more than an endpoint's limit, while the store is away", []string{"LIMIT"}, func(b *Books) {
			nameLimits(b, 14, "1.2")
			b.Troubles = append(b.Troubles, Trouble{Kind: "store silent", From: at(59), To: at(70)})
		}},
		{"requests after an answer that says its endpoint leaves", []string{"LEAVING"}, func(b *Books) {
			b.Runs[ask(50)][0].Leaves = true
			b.Troubles = append(b.Troubles, Trouble{Kind: "paused", Instance: "router-2", From: at(51), To: at(52)})
		}},
		{"a data centre that was emptied", []string{"EVAC"}, func(b *Books) {
			b.Evacuations = []Evacuation{{DataCentre: "hall-a", Acked: at(5), Over: at(9)}}
			b.Runs[ask(8)][0].DataCentre = "hall-a"
			b.Runs[ask(6)][0].DataCentre = "hall-a" // within the time
			b.Runs[ask(9)][0].DataCentre = "hall-a" // after its end
		}},
		{"a request outside its homes", []string{"HOME"}, func(b *Books) {
			b.Versions[0].RouteHomes = map[string][]string{"a": {north}}
			b.Versions[1].RouteHomes = map[string][]string{"a": {south}}
			b.Runs[ask(5)][0].DataCentre = "hall-c"
			b.Runs[ask(21)][0].DataCentre = "hall-a" // within the time of propagation
			b.Runs[ask(25)][0].DataCentre = "hall-c"
		}},
		{"a refused request outside its team's homes", []string{"HOME"}, func(b *Books) {
			b.Versions[0].TeamHomes = map[string][]string{"one": {south}}
			b.Runs[ask(5)] = append([]Run{got("e-0", "app", 5.5)}, b.Runs[ask(5)]...)
			b.Runs[ask(5)][0].Ran, b.Runs[ask(5)][0].DataCentre = false, "hall-b"
			b.Runs[ask(5)][1].DataCentre = "hall-c"
		}},
		{"more than a cold endpoint bears", []string{"FAILBACK"}, func(b *Books) {
			b.Colds = []Cold{{Endpoint: "e-1", From: at(5), To: at(8)}, {Endpoint: "e-9", From: at(5), To: at(8)}}
			for n := range 12 {
				add(b, "cold-"+ask(n), 5.6+float64(n)/20, "e-1", "app")
			}
		}},
		{"two regions that each spend a cold endpoint's rate, while cut off", []string{"FAILBACK"}, func(b *Books) {
			b.Troubles = append(b.Troubles, regionsCut)
			b.Colds = []Cold{{Endpoint: "e-1", From: at(5), To: at(8)}}
			for n := range 12 {
				q := add(b, "cold-"+ask(n), 5.6+float64(n)/20, "e-1", "app")
				q.Instance = []string{"router-1", "router-3"}[n%2]
			}
		}},
		{"an older version in a region that is cut off", []string{"CONFIG"}, func(b *Books) {
			b.Troubles = append(b.Troubles, regionsCut)
			add(b, "q-old", 23, "e-1", "app")
		}},
		{"an older version", []string{"CONFIG"}, func(b *Books) { add(b, "q-old", 23, "e-1", "app") }},
		{"a key that was taken away", []string{"REVOKED"}, func(b *Books) {
			q := add(b, "q-revoked", 42, "o-2", "other") // out of touch
			q.Key, q.Team = "key-2", "two"
			b.Runs[q.ID][0].Team = "two"
		}},
		{"requests held beyond their time-out", []string{"HELD"}, func(b *Books) {
			for n := range 10 {
				b.Requests[ask(n)].Done = at(float64(n) + 2.2)
			}
		}},
		{"events out of order", []string{"ORDER"}, func(b *Books) { b.Requests[ask(5)].Disorder = true }},
		{"a stream that ends early", []string{"ORDER"}, func(b *Books) { b.Requests[ask(5)].Short = true }},
		{"a steady reader's answer is cut", []string{"STEADY"}, func(b *Books) {
			q := b.Requests[ask(5)]
			q.Steady, q.Whole, q.Err = true, false, errors.New("reset")
			left := b.Requests[ask(6)] // who stopped reading is owed nothing
			left.Whole, left.Err = false, errors.New("reset")
		}},
		{"a stopped reader's cut answer appears complete", []string{"ORDER"}, func(b *Books) {
			q := b.Requests[ask(5)]
			q.Stream, q.Whole, q.Short, q.Events = true, false, true, 3
		}},
		{"other teams starved by one team's rush", []string{"SHARE"}, func(b *Books) {
			for i := range b.Versions {
				b.Versions[i].Routes["chat"] = Route{"llm", time.Second}
			}
			b.Rushes = []Rush{{Team: "two", Route: "chat", From: at(10), To: at(15)}}
			for n := range 100 {
				sent := 5 + float64(n)/10
				q := add(b, "other-"+ask(n), sent, "l-1", "llm")
				q.Route, q.Service = "chat", "llm"
				if sent > 11.5 && n%4 == 0 {
					q.Status, q.Sealed = http.StatusTooManyRequests, false
					delete(b.Runs, q.ID)
				}
			}
		}},
		{"a request that ends endpoints is sent on and on", []string{"BLAMED"}, func(b *Books) {
			b.Deadlies = []Deadly{{Body: "deadly"}}
			for n := range 12 {
				q := add(b, "deadly-"+ask(n), 5+float64(n), "e-1", "app")
				q.Body = "deadly"
				b.Runs[q.ID][0].Body = "deadly"
			}
		}},
		{"a request that ends none is refused for good", []string{"BLAMED"}, func(b *Books) {
			q := b.Requests[ask(5)]
			q.Status, q.Sealed, q.Text = http.StatusTooManyRequests, false, "ends-endpoints: 3 endpoints ended"
			delete(b.Runs, q.ID)
		}},
		{"urgent requests get nothing beside less urgent ones", []string{"TIER"}, func(b *Books) {
			for n := range 20 {
				urgent := add(b, "urgent-"+ask(n), 5+float64(n)/10, "o-2", "other")
				urgent.Route, urgent.Service, urgent.Tokens = "chat", "llm", 100
				urgent.Status, urgent.Sealed = http.StatusTooManyRequests, false
				delete(b.Runs, urgent.ID)
				other := add(b, "other-"+ask(n), 5+float64(n)/10, "l-1", "llm")
				other.Route, other.Service, other.Tokens, other.Priority = "letter", "llm", 300, 2
			}
			for i := range b.Versions {
				b.Versions[i].Routes["chat"] = Route{"llm", time.Second}
				b.Versions[i].Routes["letter"] = Route{"llm", time.Second}
			}
		}},
		{"nothing is served after a loss", []string{"RECOVER"}, func(b *Books) {
			for n := range 30 {
				q := add(b, "lost-"+ask(n), 51.5+float64(n)/20, "o-2", "other")
				q.Status, q.Sealed = http.StatusServiceUnavailable, false
				delete(b.Runs, q.ID)
			}
		}},
		{"refusals though all is calm", []string{"CALM"}, func(b *Books) {
			q := b.Requests[ask(75)]
			q.Status, q.Sealed = http.StatusServiceUnavailable, false
			delete(b.Runs, q.ID)
		}},
		{"a process that ended", []string{"EXIT"}, func(b *Books) { b.Exits = []Exit{{"router-1", at(5), "exit status 2"}} }},
		{"descriptors that do not come back", []string{"FOOTPRINT"}, func(b *Books) { b.Footprints[0].Descriptors = mostDescriptors + 1 }},
		{"an instance that stays unready", []string{"FOOTPRINT"}, func(b *Books) { b.Footprints[0].Ready = false }},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := sound()
			c.plant(b)
			var broken []string
			for _, breach := range Check(b) {
				if !slices.Contains(broken, breach.Rule) {
					broken = append(broken, breach.Rule)
				}
			}
			if !slices.Equal(broken, c.want) {
				t.Errorf("got %v, want %v", Check(b), c.want)
			}
		})
	}
}

// What befell an instance excuses what is promised only of instances in touch.
func TestTroubleExcuses(t *testing.T) {
	b := sound()
	add(b, "q-old", 23, "e-1", "app")
	b.Troubles = append(b.Troubles, Trouble{Kind: "cut", Instance: "router-1", From: at(21), To: at(22)})
	if got := Check(b); len(got) != 0 {
		t.Errorf("got %v of an instance that was cut off", got)
	}
	b.Troubles[1].Instance = "router-2"
	if got := Check(b); len(got) != 1 || got[0].Rule != "CONFIG" {
		t.Errorf("got %v, want CONFIG: the trouble was another instance's", got)
	}
}

// What an older build doesn't know is not held against its instances, and against the newer ones
// all the same.
func TestOlderBuildIsHeldToWhatItKnows(t *testing.T) {
	b := sound()
	b.Colds = []Cold{{Endpoint: "e-1", From: at(5), To: at(8)}}
	for n := range 12 {
		add(b, "cold-"+ask(n), 5.6+float64(n)/20, "e-1", "app").Instance = "router-2"
	}
	b.OlderSpans = []OlderSpan{{Instance: "router-2", From: at(0), To: at(30)}}
	if got := Check(b); len(got) != 1 || got[0].Rule != "FAILBACK" {
		t.Errorf("got %v of a build that knows all, want FAILBACK", got)
	}
	b.OlderRules = []string{"FAILBACK"}
	if got := Check(b); len(got) != 0 {
		t.Errorf("got %v of an older build", got)
	}
	b.OlderSpans[0].To = at(5)
	if got := Check(b); len(got) != 1 {
		t.Errorf("got %v of an instance that had been replaced, want FAILBACK", got)
	}
}

// nameLimits has an endpoint name a limit, and so many requests reach it within three seconds of two
// instances, a second after each had passed on an answer that names it.
func nameLimits(b *Books, requests int, limit string) {
	name := func(id string, second float64, instance string) {
		q := add(b, id, second, "o-9", "other")
		q.Instance = instance
		b.Runs[id][0].Limit = limit
	}
	instances := []string{"router-1", "router-2"}
	for n, instance := range instances {
		name("told-"+instance, 61+float64(n)/10, instance)
	}
	for n := range requests {
		name("limited-"+ask(n), 62.5+3*float64(n)/float64(requests), instances[n%2])
	}
}

// What endpoints may get is no breach: up to their limit, or what an instance sends that was paused
// since it was told, or to one that names no limit.
func TestLimitsThatAreKept(t *testing.T) {
	for name, change := range map[string]func(*Books){
		"up to the limit": func(b *Books) { nameLimits(b, 12, "1.2") },
		"one was paused": func(b *Books) {
			nameLimits(b, 13, "1.2")
			b.Troubles = append(b.Troubles, Trouble{Kind: "paused", Instance: "router-2", From: at(61.8), To: at(62)})
		},
		"what is no limit":  func(b *Books) { nameLimits(b, 40, "-3") },
		"a limit far above": func(b *Books) { nameLimits(b, 40, "50") },
	} {
		b := sound()
		change(b)
		if got := b.limited(); len(got) > 0 {
			t.Errorf("%s: %v", name, got)
		}
	}
}
