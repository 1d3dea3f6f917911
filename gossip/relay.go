package gossip

// This file passes beliefs on to instances that can't read the store.

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"ivyridge/belief"
	"ivyridge/catalog"
	"ivyridge/internal/fetch"
)

// BeliefsPath is where an instance tells its beliefs.
const BeliefsPath = "/v1/beliefs"

// maxBeliefs bounds an answer.
const maxBeliefs = 16 << 20

// What an instance that asks for beliefs says of its own.
const (
	queryAfter   = "after"   // revision
	queryVersion = "version" // of the configuration
	queryWait    = "wait_ms" // for a revision after that one
)

// Times of a call.
const (
	mostWait     = 30 * time.Second       // for a change
	answerWithin = 400 * time.Millisecond // an answer that need not wait begins
)

// beliefs is what an instance tells another that asks for its beliefs.
type beliefs struct {
	Revision  int64             `json:"revision"`
	AgeMS     int64             `json:"age_ms"` // of the proof; negative: not proved
	Unchanged bool              `json:"unchanged,omitempty"`
	Config    *catalog.Document `json:"config,omitempty"` // if it is newer than the asker's
	Present   []belief.Record   `json:"present,omitempty"`
}

// BeliefsHandler answers other instances with what t holds, at once or when
// it holds more than they do.
func BeliefsHandler(t *belief.Table) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		query := r.URL.Query()
		after := number(query, queryAfter)
		await(r.Context(), t, after, min(time.Duration(number(query, queryWait))*time.Millisecond, mostWait))
		b := told(t, after, number(query, queryVersion))
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(b)
	}
}

// number reads a whole number of a query; what is none is zero.
func number(query url.Values, name string) int64 {
	n, err := strconv.ParseInt(query.Get(name), 10, 64)
	if err != nil {
		return 0
	}
	return max(0, n)
}

// await returns when t holds more than the revision after, or wait has passed.
func await(ctx context.Context, t *belief.Table, after int64, wait time.Duration) {
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

// told returns what t holds for an instance that has beliefs of a revision and
// a configuration of a version.
func told(t *belief.Table, after, version int64) *beliefs {
	age, proved := t.Age()
	u := t.Snapshot()
	b := &beliefs{Revision: u.Revision, AgeMS: -1}
	if proved {
		b.AgeMS = age.Milliseconds() + 1
	}
	if after > 0 && u.Revision <= after {
		b.Unchanged = true
		return b
	}
	b.Present = u.Present
	if u.Config != nil && u.Config.Version > version {
		b.Config = u.Config
	}
	return b
}

// A Relay reads the beliefs of another instance. It implements belief.Source.
type Relay struct {
	Address string // IP:port of its peers' listener
	HTTP    *http.Client
	Now     func() time.Time
	Version func() int64 // of the configuration that the reader has
}

var _ belief.Source = (*Relay)(nil)

// Load implements belief.Source.
func (r *Relay) Load(ctx context.Context) (*belief.Update, error) {
	u, err := r.read(ctx, url.Values{}, fetch.Wait{Begin: answerWithin})
	if err == nil && u.Config == nil {
		return nil, errors.Errorf("relay: %s has no configuration", r.Address)
	}
	return u, err
}

// Watch implements belief.Source. What it returns is whole, if anything has
// changed.
func (r *Relay) Watch(ctx context.Context, q belief.Query) (*belief.Update, error) {
	return r.read(ctx, url.Values{
		queryAfter:   {strconv.FormatInt(q.After, 10)},
		queryVersion: {strconv.FormatInt(r.Version(), 10)},
		queryWait:    {strconv.FormatInt(q.Wait.Milliseconds(), 10)},
	}, fetch.Wait{Begin: q.Wait + answerWithin, Abandon: q.Overtaken})
}

// read asks for beliefs. The proof is dated by the sending of the request,
// less its age at the answer.
func (r *Relay) read(ctx context.Context, query url.Values, wait fetch.Wait) (*belief.Update, error) {
	sent := r.Now()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+r.Address+BeliefsPath+"?"+query.Encode(), nil)
	if err != nil {
		return nil, errors.Wrap(err, "relay")
	}
	a, err := fetch.Do(r.HTTP, req, maxBeliefs, wait)
	if err != nil {
		return nil, errors.Wrap(err, "relay")
	}
	if a.Status != http.StatusOK {
		return nil, errors.Errorf("relay: %s answered %d", r.Address, a.Status)
	}
	var b beliefs
	if err := json.Unmarshal(a.Body, &b); err != nil {
		return nil, errors.Wrap(err, "relay")
	}
	if b.AgeMS < 0 {
		return nil, errors.Errorf("relay: %s has no proved beliefs", r.Address)
	}
	return &belief.Update{
		Revision: b.Revision, Whole: !b.Unchanged, Config: b.Config, Present: b.Present,
		Proved: sent.Add(-time.Duration(b.AgeMS) * time.Millisecond),
		Bytes:  len(a.Body), Arrival: a.Took - a.First,
	}, nil
}
