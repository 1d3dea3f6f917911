package inventory

// This file asks instances over HTTP, and answers such calls.

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"ivyridge/internal/fetch"
)

// Where an instance answers. Between instances, on its peers' listener:
const (
	DetailPath = "/v2/inventory/detail" // its Detail
	FleetPath  = "/v2/inventory/fleet"  // the Fleet, as it hears it itself
)

// For operators, on its metrics address:
const (
	PagePath        = "/fleet"        // a page
	FleetJSONPath   = "/fleet.json"   // the Fleet, from whoever hears all of it
	DetailsJSONPath = "/details.json" // the Detail of the instances that ?address= names
	addressQuery    = "address"
	wholeQuery      = "whole" // set: the fleet with other regions, not as the instance hears it
)

const (
	// answerMost bounds an answer: some 200 bytes an instance, for 4,000 of them.
	answerMost = 1 << 20
	// detailsMost bounds the instances whose details are asked in one call.
	detailsMost = 32
	// AskWithin is how long another instance is waited for.
	AskWithin = 400 * time.Millisecond
)

// A Client asks instances.
type Client struct {
	HTTP *http.Client
	Wait time.Duration // for an answer to begin
}

// get decodes the answer of address to a call.
func (c *Client) get(ctx context.Context, address, path string, query url.Values, out any) error {
	target := url.URL{Scheme: "http", Host: address, Path: path, RawQuery: query.Encode()}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, target.String(), nil)
	if err != nil {
		return errors.Wrap(err, "inventory")
	}
	a, err := fetch.Do(c.HTTP, req, answerMost, fetch.Wait{Begin: c.Wait})
	if err != nil {
		return errors.Wrapf(err, "inventory: %s", address)
	}
	if a.Status != http.StatusOK {
		return errors.Errorf("inventory: %s answered %d", address, a.Status)
	}
	return errors.Wrapf(json.Unmarshal(a.Body, out), "inventory: %s", address)
}

// Fleet returns the fleet as the instance at a peers' address hears it.
func (c *Client) Fleet(ctx context.Context, address string) (*Fleet, error) {
	f := new(Fleet)
	return f, c.get(ctx, address, FleetPath, nil, f)
}

// Whole returns the fleet with its other regions from the instance at a peers' address.
func (c *Client) Whole(ctx context.Context, address string) (*Fleet, error) {
	f := new(Fleet)
	return f, c.get(ctx, address, FleetPath, url.Values{wholeQuery: {"1"}}, f)
}

// Detail returns what the instance at a peers' address runs.
func (c *Client) Detail(ctx context.Context, address string) (*Detail, error) {
	d := new(Detail)
	return d, c.get(ctx, address, DetailPath, nil, d)
}

// AskFleet returns the fleet as operators see it at an instance's metrics address.
func (c *Client) AskFleet(ctx context.Context, address string) (*Fleet, error) {
	f := new(Fleet)
	return f, c.get(ctx, address, FleetJSONPath, nil, f)
}

// AskDetails returns the details of instances, named by their peers' addresses, by way of the
// one at a metrics address. One that could not be asked has its Error set.
func (c *Client) AskDetails(ctx context.Context, address string, of ...string) ([]Detail, error) {
	var out []Detail
	return out, c.get(ctx, address, DetailsJSONPath, url.Values{addressQuery: of}, &out)
}

// A Source is what handlers tell.
type Source struct {
	Detail func() *Detail                                             // of this instance
	Heard  func() *Fleet                                              // as this instance hears it
	Whole  func(ctx context.Context) *Fleet                           // from whoever hears all of it
	Ask    func(ctx context.Context, address string) (*Detail, error) // of another instance, if it is in the fleet
	Log    *zap.Logger
}

// tell answers with v.
func (s *Source) tell(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(v); err != nil {
		s.Log.Info("inventory not told", zap.String("error", err.Error()))
	}
}

// ServeDetail answers DetailPath.
func (s *Source) ServeDetail(w http.ResponseWriter, _ *http.Request) { s.tell(w, s.Detail()) }

// ServeHeard answers FleetPath.
func (s *Source) ServeHeard(w http.ResponseWriter, r *http.Request) {
	if r.URL.Query().Has(wholeQuery) {
		s.tell(w, s.Whole(r.Context()))
		return
	}
	s.tell(w, s.Heard())
}

// ServeFleet answers FleetJSONPath.
func (s *Source) ServeFleet(w http.ResponseWriter, r *http.Request) { s.tell(w, s.Whole(r.Context())) }

// ServeDetails answers DetailsJSONPath.
func (s *Source) ServeDetails(w http.ResponseWriter, r *http.Request) {
	addresses := r.URL.Query()[addressQuery]
	if len(addresses) > detailsMost {
		addresses = addresses[:detailsMost]
	}
	out := make([]Detail, len(addresses))
	for i, address := range addresses {
		d, err := s.Ask(r.Context(), address)
		if err != nil {
			d = &Detail{Address: address, Error: err.Error()}
		}
		out[i] = *d
	}
	s.tell(w, out)
}
