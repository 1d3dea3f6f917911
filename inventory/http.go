package inventory

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

// Paths on the peer listener.
const (
	DetailPath = "/v2/inventory/detail" // the instance's Detail
	FleetPath  = "/v2/inventory/fleet"  // the instances that it receives heartbeats from
)

// Paths on the metrics listener, for operators.
const (
	PagePath        = "/fleet"        // the Fleet as an HTML page
	FleetJSONPath   = "/fleet.json"   // the whole Fleet, as known to the schedulers
	DetailsJSONPath = "/details.json" // the Details of the instances given by ?address=
	addressQuery    = "address"
	allRegionsQuery = "whole" // if set, FleetPath includes other regions
)

const (
	// maxResponseSize is in bytes; 4,000 instances take about 200 each.
	maxResponseSize = 1 << 20
	// maxDetails is the maximum number of instances in one request for details.
	maxDetails = 32
	// QueryTimeout is the timeout for a request to another instance.
	QueryTimeout = 400 * time.Millisecond
)

// A Client queries instances. It is safe for concurrent use.
type Client struct {
	HTTP *http.Client
	Wait time.Duration // maximum time until a response begins
}

func (c *Client) get(ctx context.Context, address, path string, query url.Values, out any) error {
	target := url.URL{Scheme: "http", Host: address, Path: path, RawQuery: query.Encode()}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, target.String(), nil)
	if err != nil {
		return errors.Wrap(err, "inventory")
	}
	resp, err := fetch.Do(c.HTTP, req, maxResponseSize, fetch.HeaderOptions{Timeout: c.Wait})
	if err != nil {
		return errors.Wrapf(err, "inventory: %s", address)
	}
	if resp.Status != http.StatusOK {
		return errors.Errorf("inventory: %s answered with status %d", address, resp.Status)
	}
	return errors.Wrapf(json.Unmarshal(resp.Body, out), "inventory: %s", address)
}

// Fleet returns the instances that the one with the given peer address receives heartbeats from.
func (c *Client) Fleet(ctx context.Context, address string) (*Fleet, error) {
	f := new(Fleet)
	return f, c.get(ctx, address, FleetPath, nil, f)
}

// FullFleet returns the instances of all regions from the one with the given peer address.
func (c *Client) FullFleet(ctx context.Context, address string) (*Fleet, error) {
	f := new(Fleet)
	return f, c.get(ctx, address, FleetPath, url.Values{allRegionsQuery: {"1"}}, f)
}

// Detail returns the Detail of the instance with the given peer address.
func (c *Client) Detail(ctx context.Context, address string) (*Detail, error) {
	d := new(Detail)
	return d, c.get(ctx, address, DetailPath, nil, d)
}

// GetFleet returns the instances of all regions from the one with the given metrics address.
func (c *Client) GetFleet(ctx context.Context, address string) (*Fleet, error) {
	f := new(Fleet)
	return f, c.get(ctx, address, FleetJSONPath, nil, f)
}

// GetDetails returns the Details of the instances with the given peer addresses, from the one with
// the given metrics address. An instance that could not be queried has its Error set.
func (c *Client) GetDetails(ctx context.Context, address string, instances ...string) ([]Detail, error) {
	var out []Detail
	return out, c.get(ctx, address, DetailsJSONPath, url.Values{addressQuery: instances}, &out)
}

// A Source provides the data that the handlers serve.
type Source struct {
	Detail       func() *Detail                                             // of this instance
	LocalFleet   func() *Fleet                                              // instances that this one receives heartbeats from
	FullFleet    func(ctx context.Context) *Fleet                           // the whole fleet
	RemoteDetail func(ctx context.Context, address string) (*Detail, error) // of another instance, which must be in the fleet
	Log          *zap.Logger
}

func (s *Source) writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(v); err != nil {
		s.Log.Info("writing inventory response failed", zap.String("error", err.Error()))
	}
}

// ServeDetail serves DetailPath.
func (s *Source) ServeDetail(w http.ResponseWriter, _ *http.Request) { s.writeJSON(w, s.Detail()) }

// ServeLocalFleet serves FleetPath.
func (s *Source) ServeLocalFleet(w http.ResponseWriter, r *http.Request) {
	if r.URL.Query().Has(allRegionsQuery) {
		s.writeJSON(w, s.FullFleet(r.Context()))
		return
	}
	s.writeJSON(w, s.LocalFleet())
}

// ServeFleet serves FleetJSONPath.
func (s *Source) ServeFleet(w http.ResponseWriter, r *http.Request) {
	s.writeJSON(w, s.FullFleet(r.Context()))
}

// ServeDetails serves DetailsJSONPath.
func (s *Source) ServeDetails(w http.ResponseWriter, r *http.Request) {
	addresses := r.URL.Query()[addressQuery]
	if len(addresses) > maxDetails {
		addresses = addresses[:maxDetails]
	}
	out := make([]Detail, len(addresses))
	for i, address := range addresses {
		d, err := s.RemoteDetail(r.Context(), address)
		if err != nil {
			d = &Detail{Address: address, Error: err.Error()}
		}
		out[i] = *d
	}
	s.writeJSON(w, out)
}
