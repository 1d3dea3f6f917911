package operator

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/pkg/errors"
)

const clientTimeout = 15 * time.Second

// A Client sends statements to an instance.
type Client struct {
	url, token string
	http       *http.Client
}

// NewClient returns a Client for the instance whose operator listener is at addr.
func NewClient(addr, token string) *Client {
	return &Client{"http://" + addr + "/v1/statement", token, &http.Client{Timeout: clientTimeout}}
}

// Send runs a statement and returns the result, decoded and as raw JSON. The raw
// response is also returned with the error if the instance rejects the statement.
func (c *Client) Send(text string) (*Table, []byte, error) {
	req, err := http.NewRequest(http.MethodPost, c.url, strings.NewReader(text))
	if err != nil {
		return nil, nil, errors.Wrap(err, "send")
	}
	req.Header.Set("Authorization", "Bearer "+c.token)
	res, err := c.http.Do(req)
	if err != nil {
		return nil, nil, errors.Wrap(err, "send")
	}
	defer res.Body.Close()
	raw, err := io.ReadAll(res.Body)
	if err != nil {
		return nil, nil, errors.Wrap(err, "send")
	}
	raw = bytes.TrimSpace(raw)
	if res.StatusCode != http.StatusOK {
		var body ErrorResponse
		if json.Unmarshal(raw, &body) != nil {
			return nil, raw, errors.Errorf("%s: %s", res.Status, raw)
		}
		return nil, raw, errors.New(body.Error)
	}
	t := new(Table)
	return t, raw, errors.Wrap(json.Unmarshal(raw, t), "answer")
}
