package gossip

// This file passes beliefs on to instances that can't read the store.

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"ivyridge/belief"
	"ivyridge/catalog"
)

// BeliefsPath is where an instance tells its beliefs.
const BeliefsPath = "/v1/beliefs"

// maxBeliefs bounds an answer.
const maxBeliefs = 16 << 20

// beliefs is what an instance tells another that asks for its beliefs.
type beliefs struct {
	Revision int64             `json:"revision"`
	AgeMS    int64             `json:"age_ms"` // of the proof; negative: not proved
	Config   *catalog.Document `json:"config,omitempty"`
	Present  []belief.Record   `json:"present,omitempty"`
}

// BeliefsHandler answers other instances with what t holds.
func BeliefsHandler(t *belief.Table) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		age, proved := t.Age()
		u := t.Snapshot()
		b := beliefs{Revision: u.Revision, AgeMS: -1, Config: u.Config, Present: u.Present}
		if proved {
			b.AgeMS = age.Milliseconds() + 1
		}
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(&b)
	}
}

// A Relay reads the beliefs of another instance. It implements belief.Source.
type Relay struct {
	Address string // IP:port of its peers' listener
	HTTP    *http.Client
	Now     func() time.Time
}

var _ belief.Source = (*Relay)(nil)

// Load implements belief.Source. The proof is dated by the sending of the
// request, less its age at the answer.
func (r *Relay) Load(ctx context.Context) (*belief.Update, error) {
	sent := r.Now()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+r.Address+BeliefsPath, nil)
	if err != nil {
		return nil, errors.Wrap(err, "relay")
	}
	res, err := r.HTTP.Do(req)
	if err != nil {
		return nil, errors.Wrap(err, "relay")
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return nil, errors.Errorf("relay: %s answered %s", r.Address, res.Status)
	}
	var b beliefs
	if err := json.NewDecoder(io.LimitReader(res.Body, maxBeliefs)).Decode(&b); err != nil {
		return nil, errors.Wrap(err, "relay")
	}
	if b.AgeMS < 0 || b.Config == nil {
		return nil, errors.Errorf("relay: %s has no proved beliefs", r.Address)
	}
	return &belief.Update{
		Revision: b.Revision, Whole: true, Config: b.Config, Present: b.Present,
		Proved: sent.Add(-time.Duration(b.AgeMS) * time.Millisecond),
	}, nil
}

// Watch implements belief.Source; a relay tells everything at once.
func (r *Relay) Watch(ctx context.Context, _ int64, _ time.Duration) (*belief.Update, error) {
	return r.Load(ctx)
}
