package inventory

// This file tells operators what an instance keeps from endpoints: requests that end them, teams
// that send such, all requests where an endpoint wants none, and entries of the store that can't
// be used.

import (
	"context"
	"net/http"
	"net/url"

	"github.com/pkg/errors"

	"ivyridge/internal/fetch"
)

// BlockedPath is where an instance tells operators what it keeps from endpoints; a DELETE of a
// request's name below it lets that go.
const BlockedPath = "/blocked.json"

// A Blocked is what an instance keeps from endpoints.
type Blocked struct {
	Requests []BlockedRequest  `json:"requests"`
	Teams    []BlockedTeam     `json:"teams"`
	Absent   []AbsentEndpoint  `json:"absent"`
	Limited  []LimitedEndpoint `json:"limited"`
	Entries  []BlockedEntry    `json:"entries"`
}

// An AbsentEndpoint gets nothing from the instance, by its own word.
type AbsentEndpoint struct {
	ID     string `json:"id"`
	RestMS int64  `json:"rest_ms"` // how much longer it wants nothing from this instance
	Leaves bool   `json:"leaves"`
}

// A LimitedEndpoint names how many requests it takes from all instances together.
type LimitedEndpoint struct {
	ID        string  `json:"id"`
	PerSecond float64 `json:"per_second"`
	AgeMS     int64   `json:"age_ms"`     // since an answer said so
	Divider   string  `json:"divider"`    // the gossip address of the instance that gives out permits, as last asked; empty: none was
	Part      float64 `json:"part"`       // of the limit, that this instance gives out; zero: none
	Permits   uint64  `json:"permits"`    // that this instance has given out
	InHand    int     `json:"in_hand"`    // permits that this instance may use
	AsksInMS  int64   `json:"asks_in_ms"` // until this instance asks for the next one
}

// A BlockedRequest is one that endpoints had in hand when they ended.
type BlockedRequest struct {
	ID        string   `json:"same_as"` // as in log lines
	Team      string   `json:"team"`
	Service   string   `json:"service"`
	Route     string   `json:"route"`
	Known     bool     `json:"known"`     // it is not run any more
	Counted   int      `json:"counted"`   // ends that speak against it
	Endpoints []string `json:"endpoints"` // that ended, by ID or, of those that are not there any more, by hash
	LastMS    int64    `json:"last_ms"`   // since the last end, or since it last came
	ForMS     int64    `json:"for_ms"`    // until it is forgotten if it does not come again
}

// A BlockedTeam is one that is slowed at a service.
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

// AskBlocked returns what the instance at a metrics address keeps from endpoints.
func (c *Client) AskBlocked(ctx context.Context, address string) (*Blocked, error) {
	b := new(Blocked)
	return b, c.get(ctx, address, BlockedPath, nil, b)
}

// Release has the instance at a metrics address let a request go, and tell the others.
func (c *Client) Release(ctx context.Context, address, id string) error {
	target := url.URL{Scheme: "http", Host: address, Path: BlockedPath + "/" + id}
	req, err := http.NewRequestWithContext(ctx, http.MethodDelete, target.String(), nil)
	if err != nil {
		return errors.Wrap(err, "inventory")
	}
	a, err := fetch.Do(c.HTTP, req, answerMost, fetch.Wait{Begin: c.Wait})
	if err != nil {
		return errors.Wrapf(err, "inventory: %s", address)
	}
	switch a.Status {
	case http.StatusNoContent:
		return nil
	case http.StatusNotFound:
		return errors.Errorf("inventory: %s holds nothing against %s", address, id)
	}
	return errors.Errorf("inventory: %s answered %d", address, a.Status)
}
