package instance

// This file fetches, lists and unblocks requests that are suspected of crashing endpoints.

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/pkg/errors"

	"ivyridge/balance"
	"ivyridge/discovery"
	"ivyridge/gossip"
	"ivyridge/internal/fetch"
	"ivyridge/inventory"
	"ivyridge/poison"
)

const suspectsTimeout = time.Second

// fetchSuspects returns the encoded suspects of the instance at a gossip address.
func (i *Instance) fetchSuspects(address string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(context.Background(), suspectsTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+i.peerAddress(address)+gossip.SuspectsPath, nil)
	if err != nil {
		return nil, errors.Wrap(err, "suspects")
	}
	a, err := fetch.Do(i.relayClient, req, gossip.MaxSuspectTableBytes, fetch.HeaderOptions{Timeout: suspectsTimeout})
	if err != nil {
		return nil, errors.Wrap(err, "suspects")
	}
	if a.Status != http.StatusOK {
		return nil, errors.Errorf("suspects: %s answered with status %d", address, a.Status)
	}
	return a.Body, nil
}

// blocked lists the requests, teams, endpoints and store entries that i blocks or limits.
func (i *Instance) blocked() *inventory.Blocked {
	now := i.now()
	names := i.endpointNames()
	out := &inventory.Blocked{Requests: []inventory.BlockedRequest{}, Teams: []inventory.BlockedTeam{}, Unavailable: []inventory.UnavailableEndpoint{}, Limited: []inventory.LimitedEndpoint{}, Entries: []inventory.BlockedEntry{}}
	for _, e := range i.suspects.Entries() {
		evidence, _ := i.suspects.Evidence(now, e.ID)
		r := inventory.BlockedRequest{
			ID: e.ID.String(), Team: e.Team, Service: e.Service, Route: e.Route, Confirmed: e.Confirmed, HeldBack: evidence.HeldBack, CountedStrikes: e.CountedStrikes(),
			LastMS: now.Sub(e.Last()).Milliseconds(), ForMS: e.Expires().Sub(now).Milliseconds(),
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
	for key, remaining := range i.suspects.SlowedTeams(now) {
		out.Teams = append(out.Teams, inventory.BlockedTeam{Service: key.Service, Team: key.Team, ForMS: remaining.Milliseconds()})
	}
	for _, a := range i.balancer.UnavailableEndpoints() {
		out.Unavailable = append(out.Unavailable, inventory.UnavailableEndpoint{ID: a.Endpoint, BackoffMS: a.Backoff.Milliseconds(), Draining: a.Draining})
	}
	for _, l := range i.balancer.Limits() {
		share, permits := i.gossip.AllocatedShare(l.Hash, l.DataCentre)
		out.Limited = append(out.Limited, inventory.LimitedEndpoint{
			ID: l.Endpoint, PerSecond: l.Rate, AgeMS: l.Age.Milliseconds(), Allocator: l.Allocator, Share: share, Permits: permits,
			Available: l.Permits, AsksInMS: l.Closed.Milliseconds(),
		})
	}
	for _, e := range i.store.RejectedEntries() {
		out.Entries = append(out.Entries, inventory.BlockedEntry{Key: e.Key, Revision: e.Revision, Error: e.Error})
	}
	return out
}

// endpointNames maps the hashes of listed endpoints to their IDs.
func (i *Instance) endpointNames() map[uint32]string {
	names := make(map[uint32]string)
	i.discovery.View().Services(func(_ string, endpoints []*discovery.Endpoint) {
		for _, e := range endpoints {
			names[balance.EndpointHash(e.ID)] = e.ID
		}
	})
	return names
}

// Unblocking uses DELETE, which browsers do not send cross-site without a preflight.
func (i *Instance) routeBlocked(r chi.Router) {
	r.Get(inventory.BlockedPath, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(i.blocked())
	})
	r.Delete(inventory.BlockedPath+"/{id}", func(w http.ResponseWriter, r *http.Request) {
		id, err := poison.ParseID(chi.URLParam(r, "id"))
		if err != nil || !i.entry.ClearSuspect(id) {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		w.WriteHeader(http.StatusNoContent)
	})
}
