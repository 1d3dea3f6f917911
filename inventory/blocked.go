package inventory

// This file reports the requests, teams, endpoints and store entries that an instance withholds.

import (
	"context"
	"net/http"
	"net/url"

	"github.com/pkg/errors"

	"ivyridge/internal/fetch"
)

// BlockedPath serves a Blocked report. DELETE BlockedPath/ID unblocks the request with that ID.
const BlockedPath = "/blocked.json"

// A Blocked lists what an instance withholds from endpoints, and store entries that it can't use.
type Blocked struct {
	Requests    []BlockedRequest      `json:"requests"`
	Teams       []BlockedTeam         `json:"teams"`
	Unavailable []UnavailableEndpoint `json:"absent"`
	Limited     []LimitedEndpoint     `json:"limited"`
	Entries     []BlockedEntry        `json:"entries"`
}

// An UnavailableEndpoint asked the instance to send it no requests.
type UnavailableEndpoint struct {
	ID        string `json:"id"`
	BackoffMS int64  `json:"rest_ms"` // remaining time without requests from this instance
	Draining  bool   `json:"leaves"`
}

// A LimitedEndpoint limits the rate of requests from all instances together.
type LimitedEndpoint struct {
	ID        string  `json:"id"`
	PerSecond float64 `json:"per_second"`
	AgeMS     int64   `json:"age_ms"`     // since a response reported the limit
	Allocator string  `json:"divider"`    // gossip address of the instance last asked for permits; empty: none
	Share     float64 `json:"part"`       // share of the limit that this instance grants permits for; zero: none
	Permits   uint64  `json:"permits"`    // number of permits granted by this instance
	Available int     `json:"in_hand"`    // number of unused permits that this instance holds
	AsksInMS  int64   `json:"asks_in_ms"` // until this instance requests its next permit
}

// A BlockedRequest was in flight at endpoints when they crashed.
type BlockedRequest struct {
	ID             string   `json:"same_as"` // as logged under this key
	Team           string   `json:"team"`
	Service        string   `json:"service"`
	Route          string   `json:"route"`
	Confirmed      bool     `json:"known"`     // it is blocked
	HeldBack       bool     `json:"held_back"` // it is refused for now
	CountedStrikes int      `json:"counted"`   // number of crashes counted against it
	Endpoints      []string `json:"endpoints"` // that crashed, by ID, or by hash if no longer listed
	LastMS         int64    `json:"last_ms"`   // since the last crash, or since it was last received
	ForMS          int64    `json:"for_ms"`    // until it is forgotten unless it is received again
}

// A BlockedTeam is a team whose requests to a service are throttled.
type BlockedTeam struct {
	Service string `json:"service"`
	Team    string `json:"team"`
	ForMS   int64  `json:"for_ms"`
}

// A BlockedEntry is an entry of the store that can't be used.
type BlockedEntry struct {
	Key      string `json:"key"`
	Revision int64  `json:"revision"`
	Error    string `json:"error"`
}

// GetBlocked returns the Blocked report of the instance with the given metrics address.
func (c *Client) GetBlocked(ctx context.Context, address string) (*Blocked, error) {
	b := new(Blocked)
	return b, c.get(ctx, address, BlockedPath, nil, b)
}

// Unblock has the instance with the given metrics address unblock request id and notify the others.
func (c *Client) Unblock(ctx context.Context, address, id string) error {
	target := url.URL{Scheme: "http", Host: address, Path: BlockedPath + "/" + id}
	req, err := http.NewRequestWithContext(ctx, http.MethodDelete, target.String(), nil)
	if err != nil {
		return errors.Wrap(err, "inventory")
	}
	resp, err := fetch.Do(c.HTTP, req, maxResponseSize, fetch.HeaderOptions{Timeout: c.Wait})
	if err != nil {
		return errors.Wrapf(err, "inventory: %s", address)
	}
	switch resp.Status {
	case http.StatusNoContent:
		return nil
	case http.StatusNotFound:
		return errors.Errorf("inventory: %s does not block request %s", address, id)
	}
	return errors.Errorf("inventory: %s answered with status %d", address, resp.Status)
}
