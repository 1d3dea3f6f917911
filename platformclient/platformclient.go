// Package platformclient reads the documents that the platform publishes: the configuration, and the
// list of instances and endpoints.
//
// The platform meters every call, so only a few instances watch on behalf of all.
package platformclient

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"ivyridge/internal/fetch"
)

// MaxValue is the maximum size of a published value, in bytes.
const MaxValue = 1 << 20

// A Kind identifies a published document.
type Kind string

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
	// Watch long-polls for a revision newer than after. It returns nil if there is none after
	// wait, or at once if wait is zero.
	Watch(ctx context.Context, k Kind, after int64, wait time.Duration) (*Published, error)
}

// A Client reads from the platform's HTTP service. It is safe for concurrent use.
type Client struct {
	base string
	http *http.Client
}

// NewClient returns a Client of the service at addr, given as IP:port.
func NewClient(addr string) *Client {
	return &Client{base: "http://" + addr, http: fetch.NewClient(maxIdleConns, idleConnTimeout)}
}

// Connections that are kept for later calls.
const (
	maxIdleConns    = 2 // a watch for each kind of document
	idleConnTimeout = 90 * time.Second
)

// responseDelay is how long after its wait a watch must begin its response. The time to transfer the
// body depends on the size of the document and is not limited.
const responseDelay = time.Second

// Watch implements Reader.
func (c *Client) Watch(ctx context.Context, k Kind, after int64, wait time.Duration) (*Published, error) {
	url := fmt.Sprintf("%s/v1/%s?after=%d&wait_ms=%d", c.base, k, after, wait.Milliseconds())
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, errors.Wrap(err, "publish")
	}
	resp, err := fetch.Do(c.http, req, 2*MaxValue, fetch.HeaderOptions{Timeout: wait + responseDelay})
	if err != nil {
		return nil, errors.Wrap(err, "publish")
	}
	switch resp.Status {
	case http.StatusNotModified:
		return nil, nil
	case http.StatusOK:
		p := new(Published)
		if err := json.Unmarshal(resp.Body, p); err != nil {
			return nil, errors.Wrap(err, "publish")
		}
		return p, nil
	}
	return nil, errors.Errorf("publish: request for %s answered with status %d", k, resp.Status)
}
