package gossip

// This file serves state over HTTP to instances that don't read the store, and fetches it.

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"reflect"
	"strconv"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"ivyridge/discovery"
	"ivyridge/internal/fetch"
)

// StatePath is the HTTP path at which an instance serves its state.
const StatePath = "/v2/beliefs"

// maxResponse bounds the size of a response, in bytes.
const maxResponse = 16 << 20

// Query parameters of a request for state.
const (
	queryAfter   = "after"   // revision that the caller has
	queryVersion = "version" // version of the configuration that the caller has
	queryWait    = "wait_ms" // how long to wait for a later revision
	queryPartial = "partial" // "1": the caller accepts changes since its revision instead of everything
)

const (
	maxWait       = 30 * time.Second       // longest wait for a change
	headerTimeout = 400 * time.Millisecond // for a response without a wait to begin
)

type stateResponse struct {
	Revision  int64  `json:"revision"`
	AgeMS     int64  `json:"age_ms"` // since the state was confirmed; negative: never confirmed
	Unchanged bool   `json:"unchanged,omitempty"`
	Config    []byte `json:"config,omitempty"`  // compressed catalog.Document, if it is newer than the caller's
	Endpoints []byte `json:"present,omitempty"` // compressed []discovery.Record

	// Partial is set if the endpoints are only those that changed since the caller's revision:
	// added and updated ones in Changed, a JSON []discovery.Record, and removed ones in Removed.
	Partial bool                 `json:"partial,omitempty"`
	Changed json.RawMessage      `json:"changed,omitempty"`
	Removed []discovery.Deletion `json:"gone,omitempty"`
	Digest  uint64               `json:"digest,omitempty"` // discovery.Update.Digest

	Evacuations []discovery.Evacuation `json:"evacuations,omitempty"`

	Schema uint64 `json:"schema,omitempty"` // hash of the sender's field names; zero: an old build that doesn't send it
}

// StateHandler serves the state in t to other instances. It responds at once, or waits for as
// long as the caller asks, up to maxWait, until t has a later revision than the caller.
func StateHandler(t *discovery.Table, log *zap.Logger) http.HandlerFunc {
	p := &packer{table: t}
	return func(w http.ResponseWriter, r *http.Request) {
		query := r.URL.Query()
		after := queryInt(query, queryAfter)
		waitForRevision(r.Context(), t, after, min(time.Duration(queryInt(query, queryWait))*time.Millisecond, maxWait))
		w.Header().Set("Content-Type", "application/json")
		if after == 0 {
			// Encoding the full state may take longer than callers wait for a header.
			_ = http.NewResponseController(w).Flush()
		}
		response, err := p.respond(after, queryInt(query, queryVersion), query.Get(queryPartial) == "1")
		if err != nil {
			log.Error("encoding state for another instance failed", zap.String("error", err.Error()))
			panic(http.ErrAbortHandler) // the header may have been sent
		}
		_ = json.NewEncoder(w).Encode(response)
	}
}

// queryInt parses a non-negative integer parameter. Invalid and negative values yield zero.
func queryInt(query url.Values, name string) int64 {
	n, err := strconv.ParseInt(query.Get(name), 10, 64)
	if err != nil {
		return 0
	}
	return max(0, n)
}

// waitForRevision returns when t has a later revision than after, or when wait has passed.
func waitForRevision(ctx context.Context, t *discovery.Table, after int64, wait time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	for {
		changed := t.Changed()
		if t.View().Revision > after {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

// respond returns the response to a caller that has the given revision and configuration version.
// The age is read before the state, so that it never understates the age of what is sent.
func (p *packer) respond(after, version int64, partial bool) (*stateResponse, error) {
	age, confirmed := p.table.Age()
	response := &stateResponse{AgeMS: -1}
	if confirmed {
		response.AgeMS = age.Milliseconds() + 1
	}
	if v := p.table.View(); after > 0 && v.Revision <= after {
		response.Revision, response.Unchanged = v.Revision, true
		return response, nil
	}
	state, err := p.pack(after, partial)
	if err != nil {
		return nil, err
	}
	response.Revision, response.Digest = state.revision, state.digest
	response.Schema = schema()
	response.Endpoints, response.Partial, response.Changed, response.Removed = state.endpoints, state.partial, state.changed, state.removed
	response.Evacuations = state.evacuations
	if state.document != nil && state.document.Version > version {
		response.Config, err = p.packConfig(state.document)
	}
	return response, err
}

// A Relay fetches the state of another instance. It implements discovery.Source.
type Relay struct {
	Address string // IP:port of the HTTP listener for other instances
	HTTP    *http.Client
	Now     func() time.Time
	Version func() int64 // of the configuration that the caller has
	OnError func(error)  // called if a response can't be used; may be nil
}

var _ discovery.Source = (*Relay)(nil)

// Load implements discovery.Source. Before a configuration is published, the update has none;
// failing instead would make all instances of a new fleet read the store at once.
func (r *Relay) Load(ctx context.Context) (*discovery.Update, error) {
	u, err := r.read(ctx, url.Values{}, fetch.HeaderOptions{Timeout: headerTimeout})
	if err == nil && u.Revision == 0 {
		return nil, errors.Errorf("relay: %s has no state yet", r.Address)
	}
	return u, err
}

// Watch implements discovery.Source. It returns everything, rather than the changes, if the other
// instance doesn't know the changes or runs a build that only sends everything.
func (r *Relay) Watch(ctx context.Context, q discovery.Query) (*discovery.Update, error) {
	return r.read(ctx, url.Values{
		queryAfter:   {strconv.FormatInt(q.After, 10)},
		queryVersion: {strconv.FormatInt(r.Version(), 10)},
		queryWait:    {strconv.FormatInt(q.Wait.Milliseconds(), 10)},
		queryPartial: {"1"},
	}, fetch.HeaderOptions{Timeout: q.Wait + headerTimeout, Cancel: q.Superseded})
}

// read fetches state. Its ValidatedAt is when the request was sent, minus the age in the response.
func (r *Relay) read(ctx context.Context, query url.Values, wait fetch.HeaderOptions) (*discovery.Update, error) {
	sent := r.Now()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+r.Address+StatePath+"?"+query.Encode(), nil)
	if err != nil {
		return nil, errors.Wrap(err, "relay")
	}
	result, err := fetch.Do(r.HTTP, req, maxResponse, wait)
	if err != nil {
		return nil, errors.Wrap(err, "relay")
	}
	if result.Status != http.StatusOK {
		return nil, errors.Errorf("relay: %s responded with status %d", r.Address, result.Status)
	}
	var response stateResponse
	if err := json.Unmarshal(result.Body, &response); err != nil {
		return nil, errors.Wrap(err, "relay")
	}
	if response.AgeMS < 0 {
		return nil, errors.Errorf("relay: %s has no confirmed state", r.Address)
	}
	u := &discovery.Update{
		Revision: response.Revision, Full: !response.Unchanged && !response.Partial, Digest: response.Digest,
		ValidatedAt: sent.Add(-time.Duration(response.AgeMS) * time.Millisecond),
		Bytes:       len(result.Body), TransferTime: result.TotalTime - result.HeaderTime,
	}
	if err := response.unpack(u); err != nil {
		if r.OnError != nil {
			r.OnError(err)
		}
		return nil, errors.Wrap(err, "relay")
	}
	return u, nil
}

func (r *stateResponse) unpack(u *discovery.Update) error {
	u.Evacuations, u.Deleted = r.Evacuations, r.Removed
	if r.Config != nil {
		if err := r.unpackPart(r.Config, &u.Config); err != nil {
			return err
		}
	}
	if r.Changed != nil {
		return r.decodePart(r.Changed, &u.Endpoints)
	}
	if r.Endpoints == nil {
		return nil
	}
	return r.unpackPart(r.Endpoints, &u.Endpoints)
}

func (r *stateResponse) unpackPart(part []byte, v any) error {
	data, err := decompress(part)
	if err != nil {
		return err
	}
	return r.decodePart(data, v)
}

// decodePart decodes a JSON part into v. It returns an error if the sender doesn't know all
// fields of v.
func (r *stateResponse) decodePart(data []byte, v any) error {
	if r.Schema != schema() {
		if err := checkComplete(data, reflect.TypeOf(v)); err != nil {
			return err
		}
	}
	return errors.Wrap(json.Unmarshal(data, v), "unpack")
}
