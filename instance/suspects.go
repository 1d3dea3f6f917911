package instance

// This file asks other instances for the requests that end endpoints, and lets operators see
// them and let one go.

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/pkg/errors"

	"ivyridge/balance"
	"ivyridge/belief"
	"ivyridge/gossip"
	"ivyridge/internal/fetch"
	"ivyridge/inventory"
	"ivyridge/poison"
)

// suspectsWithin is how long another instance is waited for that is asked for its suspects.
const suspectsWithin = time.Second

// askSuspects returns what the instance with a gossip address holds of suspects.
func (i *Instance) askSuspects(address string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(context.Background(), suspectsWithin)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+i.peersAddress(address)+gossip.SuspectsPath, nil)
	if err != nil {
		return nil, errors.Wrap(err, "suspects")
	}
	a, err := fetch.Do(i.relayClient, req, gossip.MaxSuspects, fetch.Wait{Begin: suspectsWithin})
	if err != nil {
		return nil, errors.Wrap(err, "suspects")
	}
	if a.Status != http.StatusOK {
		return nil, errors.Errorf("suspects: %s answered %d", address, a.Status)
	}
	return a.Body, nil
}

// blocked returns what this instance keeps from endpoints.
func (i *Instance) blocked() *inventory.Blocked {
	now := i.now()
	names := i.endpointNames()
	out := &inventory.Blocked{Requests: []inventory.BlockedRequest{}, Teams: []inventory.BlockedTeam{}, Absent: []inventory.AbsentEndpoint{}, Limited: []inventory.LimitedEndpoint{}, Entries: []inventory.BlockedEntry{}}
	for _, e := range i.suspects.Entries() {
		r := inventory.BlockedRequest{
			ID: e.ID.String(), Team: e.Team, Service: e.Service, Route: e.Route, Known: e.Known, Counted: e.Counted(),
			LastMS: now.Sub(e.Last()).Milliseconds(), ForMS: e.Until().Sub(now).Milliseconds(),
		}
		for _, hash := range e.Endpoints() {
			name, ok := names[hash]
			if !ok {
				name = fmt.Sprintf("%08x", hash)
			}
			r.Endpoints = append(r.Endpoints, name)
		}
		out.Requests = append(out.Requests, r)
	}
	for at, left := range i.suspects.SlowedTeams(now) {
		out.Teams = append(out.Teams, inventory.BlockedTeam{Service: at.Service, Team: at.Team, ForMS: left.Milliseconds()})
	}
	for _, a := range i.balancer.Absences() {
		out.Absent = append(out.Absent, inventory.AbsentEndpoint{ID: a.Endpoint, RestMS: a.Rest.Milliseconds(), Leaves: a.Leaves})
	}
	for _, l := range i.balancer.Limits() {
		part, permits := i.gossip.Divided(l.Hash, l.DataCentre)
		out.Limited = append(out.Limited, inventory.LimitedEndpoint{
			ID: l.Endpoint, PerSecond: l.Rate, AgeMS: l.Age.Milliseconds(), Divider: l.Divider, Part: part, Permits: permits,
			InHand: l.Permits, AsksInMS: l.Closed.Milliseconds(),
		})
	}
	for _, e := range i.store.KeptOut() {
		out.Entries = append(out.Entries, inventory.BlockedEntry{Key: e.Key, Revision: e.Revision, Error: e.Error})
	}
	return out
}

// endpointNames returns the IDs of the endpoints that are there, by their hashes.
func (i *Instance) endpointNames() map[uint32]string {
	names := make(map[uint32]string)
	i.beliefs.View().Services(func(_ string, endpoints []*belief.Endpoint) {
		for _, e := range endpoints {
			names[balance.EndpointHash(e.ID)] = e.ID
		}
	})
	return names
}

// routeBlocked adds what operators see of that, and how they let a request go. That is a DELETE,
// which a page of another site can't have a browser send.
func (i *Instance) routeBlocked(r chi.Router) {
	r.Get(inventory.BlockedPath, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(i.blocked())
	})
	r.Delete(inventory.BlockedPath+"/{id}", func(w http.ResponseWriter, r *http.Request) {
		id, err := poison.ParseID(chi.URLParam(r, "id"))
		if err != nil || !i.entry.Release(id) {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		w.WriteHeader(http.StatusNoContent)
	})
}
