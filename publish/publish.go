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
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"
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

// graceOverWait is how much longer than its wait a watch may take.
const graceOverWait = time.Second

// Watch implements Reader.
func (c *Client) Watch(ctx context.Context, k Kind, after int64, wait time.Duration) (*Published, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+graceOverWait)
	defer cancel()
	url := fmt.Sprintf("%s/v1/%s?after=%d&wait_ms=%d", c.base, k, after, wait.Milliseconds())
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, errors.Wrap(err, "publish")
	}
	res, err := c.http.Do(req)
	if err != nil {
		return nil, errors.Wrap(err, "publish")
	}
	defer res.Body.Close()
	switch res.StatusCode {
	case http.StatusNotModified:
		return nil, nil
	case http.StatusOK:
		return decode(res.Body)
	}
	return nil, errors.Errorf("publish: %s answered %s", k, res.Status)
}

func decode(r io.Reader) (*Published, error) {
	data, err := io.ReadAll(io.LimitReader(r, 2*MaxValue))
	if err != nil {
		return nil, errors.Wrap(err, "publish")
	}
	p := new(Published)
	if err := json.Unmarshal(data, p); err != nil {
		return nil, errors.Wrap(err, "publish")
	}
	return p, nil
}
