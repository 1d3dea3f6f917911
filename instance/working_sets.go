package instance

// This file reports the working sets of endpoints that this instance selects from.

import (
	"encoding/json"
	"net/http"

	"github.com/go-chi/chi/v5"

	"ivyridge/inventory"
)

func (i *Instance) workingSets() *inventory.Sets {
	out := &inventory.Sets{Services: []inventory.WorkingSet{}, Slow: []inventory.SlowEndpoint{}}
	for _, s := range i.balancer.WorkingSets() {
		out.Services = append(out.Services, inventory.WorkingSet{
			Service: s.Service, Listed: s.Listed, Open: s.Open, Used: s.Used, Needed: s.Needed, GrownMS: s.Grown.Milliseconds(),
		})
	}
	for _, e := range i.balancer.SlowEndpoints() {
		out.Slow = append(out.Slow, inventory.SlowEndpoint{ID: e.Endpoint, Slowness: e.Slowness, AgeMS: e.Age.Milliseconds()})
	}
	return out
}

func (i *Instance) routeWorkingSets(r chi.Router) {
	r.Get(inventory.SetsPath, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(i.workingSets())
	})
}
