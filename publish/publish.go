// Package publish reads what the platform publishes: the declarations and
// the list of instances and endpoints.
//
// The platform's service can only be read and watched. A watch is one call:
// it waits until there is a revision newer than the one held, or until the
// wait ends. Every call is counted by the platform, so only a few instances
// watch for all.
package publish

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"ivyridge/internal/fetch"
)

// MaxValue is the largest value that the platform holds.
const MaxValue = 1 << 20

// A Kind names a published document.
type Kind string

// The documents.
const (
	Config Kind = "config"
	List   Kind = "list"
)

// A Published is one revision of a document.
type Published struct {
	Revision int64  `json:"revision"`
	Value    string `json:"value"`
}

// A Reader reads published documents. It is safe for concurrent use.
type Reader interface {
	// Watch returns a revision newer than after, or nil if there is none
	// when wait ends. With wait zero it returns the present one at once.
	Watch(ctx context.Context, k Kind, after int64, wait time.Duration) (*Published, error)
}

// A Client reads from the platform's HTTP service.
type Client struct {
	base string
	http *http.Client
}

// NewClient returns a Client of the service at addr, IP:port.
func NewClient(addr string) *Client {
	return &Client{base: "http://" + addr, http: &http.Client{}}
}

// graceOverWait is how much longer than its wait a watch may take to begin its
// answer; how long that takes to arrive depends on the document.
const graceOverWait = time.Second

// Watch implements Reader.
func (c *Client) Watch(ctx context.Context, k Kind, after int64, wait time.Duration) (*Published, error) {
	url := fmt.Sprintf("%s/v1/%s?after=%d&wait_ms=%d", c.base, k, after, wait.Milliseconds())
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, errors.Wrap(err, "publish")
	}
	a, err := fetch.Do(c.http, req, 2*MaxValue, fetch.Wait{Begin: wait + graceOverWait})
	if err != nil {
		return nil, errors.Wrap(err, "publish")
	}
	switch a.Status {
	case http.StatusNotModified:
		return nil, nil
	case http.StatusOK:
		p := new(Published)
		if err := json.Unmarshal(a.Body, p); err != nil {
			return nil, errors.Wrap(err, "publish")
		}
		return p, nil
	}
	return nil, errors.Errorf("publish: %s answered %d", k, a.Status)
}
