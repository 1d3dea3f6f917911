package soak

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"ivyridge/internal/link"
	"ivyridge/platform/standin"
)

// An endpoint is a server stand-in behind its own link.
type endpoint struct {
	server    *standin.Server
	link      *link.TCP
	withdrawn bool // removed from the store, or reserved: other faults must not pick it
}

// registryEntry returns the registry entry of e, with the address of its link.
func (e *endpoint) registryEntry(leaving bool) standin.Entry {
	out := e.server.Entry()
	out.Address, out.Draining = e.link.Address, leaving
	return out
}

// objective is the objective of all routes for the latency and for the time between stream events.
const objective = 500 * time.Millisecond

// normalBehaviour is the behaviour of healthy endpoints, by service.
var normalBehaviour = map[string]standin.Behaviour{
	"app":   {Echo: true, Delay: 15 * time.Millisecond, MaxInFlight: 40},
	"other": {Echo: true, Delay: 15 * time.Millisecond, MaxInFlight: 40},
	"llm":   {Echo: true, Delay: 40 * time.Millisecond, Events: 12, Pause: 25 * time.Millisecond, Slots: 6, MaxInFlight: 30},
}

var services = []struct {
	service string
	count   int // of endpoints at the start
	slots   int // of each engine
	memory  int // of each engine, in tokens
}{{"app", 4, 0, 0}, {"other", 3, 0, 0}, {"llm", 6, 6, 60_000}}

type callKind struct {
	route      string
	service    string
	kind       standin.Kind
	share      int // percent of the traffic
	attempts   int
	timeout    time.Duration
	repeatable bool
	stream     bool
	resumable  bool
	tokens     int // of the prompt
	priority   int // 0 is the most urgent
}

// callKinds has one kind per route. Faults change the service of route "moved".
var callKinds = []callKind{
	{route: "safe", service: "app", kind: standin.Safe, share: 25, attempts: 2, timeout: 8 * time.Second, repeatable: true},
	{route: "once", service: "app", kind: standin.Unsafe, share: 25, attempts: 2, timeout: 8 * time.Second},
	{route: "moved", service: "app", kind: standin.Safe, share: 15, attempts: 2, timeout: 8 * time.Second, repeatable: true},
	{route: "brief", service: "other", kind: standin.Safe, share: 10, attempts: 2, timeout: 600 * time.Millisecond, repeatable: true},
	{route: "chat", service: "llm", kind: standin.Stream, share: 15, attempts: 2, timeout: 12 * time.Second, stream: true, tokens: 600},
	{route: "letter", service: "llm", kind: standin.Stream, share: 10, attempts: 2, timeout: 12 * time.Second, stream: true, resumable: true, repeatable: true, tokens: 2000, priority: 2},
}

// teams maps each team to its keys. Faults may revoke the second one.
var teams = map[string][]string{"noord": {"key-n1", "key-n2"}, "zuid": {"key-z1", "key-z2"}, "west": {"key-w1", "key-w2"}, "oost": {"key-o1", "key-o2"}}

const host = "site.example"

// A site is the instances' environment: the store with the published configuration, the endpoints,
// and the record of what they observe.
type site struct {
	store *standin.Store

	mu           sync.Mutex
	record       *Record
	endpoints    []*endpoint
	created      int
	routes       map[string]string   // service by route
	keys         map[string][]string // valid keys, by team
	routeRegions map[string][]string // allowed regions, by route
	teamRegions  map[string][]string // allowed regions, by team
	extraRoutes  int                 // unused routes that enlarge the configuration
	version      int
}

func newSite(r *Record) *site {
	s := &site{store: standin.NewStore(), record: r, routes: make(map[string]string), keys: make(map[string][]string), routeRegions: initialRouteRegions, teamRegions: initialTeamRegions}
	for _, k := range callKinds {
		s.routes[k.route] = k.service
	}
	for team, keys := range teams {
		s.keys[team] = append([]string(nil), keys...)
	}
	return s
}

// open publishes the configuration and starts the endpoints.
func (s *site) open() error {
	s.publish(func() {})
	for _, group := range services {
		for range group.count {
			if _, err := s.addEndpoint(group.service, dataCentres[s.created%len(dataCentres)]); err != nil {
				return err
			}
		}
	}
	return nil
}

func (s *site) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range s.endpoints {
		e.link.Close()
		e.server.Close()
	}
	s.store.Close()
}

// publish applies change and publishes the configuration under a new version.
func (s *site) publish(change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change()
	s.version += 2
	c := &standin.Config{Version: s.version, Teams: s.keys, HomeRegions: s.teamRegions}
	v := Version{Number: s.version, Routes: make(map[string]Route), Keys: make(map[string]string), RouteHomes: s.routeRegions, TeamHomes: s.teamRegions, Sent: time.Now()}
	for _, k := range callKinds {
		route := k.declaration(k.route, s.routes[k.route])
		route.HomeRegions = s.routeRegions[k.route]
		c.Routes = append(c.Routes, route)
		v.Routes[k.route] = Route{Service: s.routes[k.route], Timeout: k.timeout}
	}
	for n := range s.extraRoutes {
		c.Routes = append(c.Routes, callKinds[0].declaration(fmt.Sprintf("extra-%d", n), callKinds[0].service))
	}
	for team, keys := range s.keys {
		for _, key := range keys {
			v.Keys[key] = team
		}
	}
	for _, group := range services {
		c.Services = append(c.Services, standin.Service{Name: group.service, MaxConns: 400, Slots: group.slots, Memory: group.memory, ColdFor: coldPeriod, ColdRate: coldRate})
	}
	s.store.Publish(c)
	v.Acked = time.Now()
	s.record.Versions = append(s.record.Versions, v)
}

func (k *callKind) declaration(name, service string) standin.Route {
	return standin.Route{
		Name: name, Host: host, Kind: k.kind, Service: service, Timeout: k.timeout,
		Objective: objective, Pause: objective, Attempts: k.attempts, Resumable: k.resumable,
		Priority: k.priority,
	}
}

// addEndpoint starts an endpoint of service in dataCentre and publishes it.
func (s *site) addEndpoint(service, dataCentre string) (*endpoint, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e, err := s.startEndpoint(service, dataCentre)
	if err != nil {
		return nil, err
	}
	s.store.List(e.registryEntry(false))
	return e, nil
}

func (s *site) addColdEndpoint(service, dataCentre string) (*endpoint, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e, err := s.startEndpoint(service, dataCentre)
	if err != nil {
		return nil, err
	}
	s.markCold(e, time.Now())
	return e, nil
}

// startEndpoint is like addEndpoint, but does not publish the endpoint. The caller holds s.mu.
func (s *site) startEndpoint(service, dataCentre string) (*endpoint, error) {
	s.created++
	server := standin.NewServer(fmt.Sprintf("e-%d", s.created), service, dataCentre)
	server.SetBehaviour(normalBehaviour[service])
	l, err := link.ListenTCP("127.0.0.1:0", server.Address)
	if err != nil {
		return nil, err
	}
	e := &endpoint{server: server, link: l}
	s.configureRestart(e)
	s.endpoints = append(s.endpoints, e)
	return e, nil
}

func (s *site) announceLeaving(e *endpoint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.store.List(e.registryEntry(true))
	s.record.Departures = append(s.record.Departures, Departure{Endpoint: e.server.ID, Acked: time.Now()})
}

func (s *site) withdraw(e *endpoint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e.withdrawn = true
	s.store.Unlist(e.server.ID)
}

// randomEndpoint returns a published endpoint of a service with more than minRemaining, or nil.
func (s *site) randomEndpoint(rng *rand.Rand, minRemaining int) *endpoint {
	s.mu.Lock()
	defer s.mu.Unlock()
	remaining := make(map[string]int)
	var all []*endpoint
	for _, e := range s.endpoints {
		if !e.withdrawn {
			remaining[e.server.Service]++
			all = append(all, e)
		}
	}
	rng.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	for _, e := range all {
		if remaining[e.server.Service] > minRemaining {
			return e
		}
	}
	return nil
}

func (s *site) collectDeliveries() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range s.endpoints {
		for _, got := range e.server.Received() {
			s.record.Deliveries[got.ID] = append(s.record.Deliveries[got.ID], Delivery{ReceivedRequest: got, Endpoint: e.server.ID, Service: e.server.Service, DataCentre: e.server.DataCentre})
		}
	}
	for _, deliveries := range s.record.Deliveries {
		sortByArrival(deliveries)
	}
}

// randomKey returns a valid key and its team.
func (s *site) randomKey(rng *rand.Rand) (key, team string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	names := sortedKeys(s.keys)
	team = names[rng.IntN(len(names))]
	keys := s.keys[team]
	return keys[rng.IntN(len(keys))], team
}

func (s *site) randomKeyEverIssued(rng *rand.Rand) (key, team string) {
	names := sortedKeys(teams)
	team = names[rng.IntN(len(names))]
	keys := teams[team]
	return keys[rng.IntN(len(keys))], team
}

func (s *site) recordRequest(q *Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.record.Requests[q.ID] = q
}

func (s *site) recordFault(f Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.record.Faults = append(s.record.Faults, f)
}

func sortByArrival(deliveries []Delivery) {
	slices.SortFunc(deliveries, func(a, b Delivery) int { return a.At.Compare(b.At) })
}

func sortedKeys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }
