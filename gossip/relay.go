package gossip

// This file passes beliefs on to instances that can't read the store.

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

	"ivyridge/belief"
	"ivyridge/internal/fetch"
)

// BeliefsPath is where an instance tells its beliefs.
const BeliefsPath = "/v2/beliefs"

// maxBeliefs bounds an answer, in bytes.
const maxBeliefs = 16 << 20

// What an instance that asks for beliefs says of its own.
const (
	queryAfter   = "after"   // revision
	queryVersion = "version" // of the configuration
	queryWait    = "wait_ms" // for a revision after that one
	queryPartial = "partial" // "1": it takes what changed after its revision in place of everything
)

// Times of a call.
const (
	mostWait     = 30 * time.Second       // for a change
	answerWithin = 400 * time.Millisecond // an answer that need not wait begins
)

// beliefs is what an instance tells another that asks for its beliefs.
type beliefs struct {
	Revision  int64  `json:"revision"`
	AgeMS     int64  `json:"age_ms"` // of the proof; negative: not proved
	Unchanged bool   `json:"unchanged,omitempty"`
	Config    []byte `json:"config,omitempty"`  // a packed catalog.Document, if it is newer than the asker's
	Present   []byte `json:"present,omitempty"` // packed []belief.Record

	// Partial is set if the endpoints told are those that changed after the asker's revision: the
	// ones that are there in Changed, a JSON []belief.Record, the others in Gone.
	Partial bool               `json:"partial,omitempty"`
	Changed json.RawMessage    `json:"changed,omitempty"`
	Gone    []belief.Departure `json:"gone,omitempty"`
	Digest  uint64             `json:"digest,omitempty"` // belief.Update.Digest

	Evacuations []belief.Evacuation `json:"evacuations,omitempty"`

	Schema uint64 `json:"schema,omitempty"` // of the sender; zero: a former build's, which tells none
}

// BeliefsHandler answers other instances with what t holds, at once or when
// it holds more than they do.
func BeliefsHandler(t *belief.Table, log *zap.Logger) http.HandlerFunc {
	p := &packer{table: t}
	return func(w http.ResponseWriter, r *http.Request) {
		query := r.URL.Query()
		after := number(query, queryAfter)
		await(r.Context(), t, after, min(time.Duration(number(query, queryWait))*time.Millisecond, mostWait))
		b, err := p.told(after, number(query, queryVersion), query.Get(queryPartial) == "1")
		if err != nil {
			log.Error("beliefs not told", zap.String("error", err.Error()))
			w.WriteHeader(http.StatusInternalServerError)
			return
		}
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

// told returns what is told to an instance that has beliefs of a revision and a
// configuration of a version, and may take what changed only. Its age is taken first: the proof
// is one of what is told, or of less.
func (p *packer) told(after, version int64, partial bool) (*beliefs, error) {
	age, proved := p.table.Age()
	b := &beliefs{AgeMS: -1}
	if proved {
		b.AgeMS = age.Milliseconds() + 1
	}
	if v := p.table.View(); after > 0 && v.Revision <= after {
		b.Revision, b.Unchanged = v.Revision, true
		return b, nil
	}
	now, err := p.pack(after, partial)
	if err != nil {
		return nil, err
	}
	b.Revision, b.Digest = now.revision, now.digest
	b.Schema = schema()
	b.Present, b.Partial, b.Changed, b.Gone = now.present, now.partial, now.changed, now.gone
	b.Evacuations = now.evacuations
	if now.document != nil && now.document.Version > version {
		b.Config, err = p.packConfig(now.document)
	}
	return b, err
}

// A Relay reads the beliefs of another instance. It implements belief.Source.
type Relay struct {
	Address string // IP:port of its peers' listener
	HTTP    *http.Client
	Now     func() time.Time
	Version func() int64 // of the configuration that the reader has
	Failed  func(error)  // is told why beliefs could not be used; nil: nobody is
}

var _ belief.Source = (*Relay)(nil)

// Load implements belief.Source. Where nothing is published yet, the update has
// no configuration: a fleet that starts before its operator has published one would
// ask the store all at once otherwise.
func (r *Relay) Load(ctx context.Context) (*belief.Update, error) {
	u, err := r.read(ctx, url.Values{}, fetch.Wait{Begin: answerWithin})
	if err == nil && u.Revision == 0 {
		return nil, errors.Errorf("relay: %s has no beliefs", r.Address)
	}
	return u, err
}

// Watch implements belief.Source. What it returns is whole if anything has changed and the
// other instance doesn't know what, or is of a build that tells everything.
func (r *Relay) Watch(ctx context.Context, q belief.Query) (*belief.Update, error) {
	return r.read(ctx, url.Values{
		queryAfter:   {strconv.FormatInt(q.After, 10)},
		queryVersion: {strconv.FormatInt(r.Version(), 10)},
		queryWait:    {strconv.FormatInt(q.Wait.Milliseconds(), 10)},
		queryPartial: {"1"},
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
	u := &belief.Update{
		Revision: b.Revision, Whole: !b.Unchanged && !b.Partial, Digest: b.Digest,
		Proved: sent.Add(-time.Duration(b.AgeMS) * time.Millisecond),
		Bytes:  len(a.Body), Arrival: a.Took - a.First,
	}
	if err := b.unpack(u); err != nil {
		if r.Failed != nil {
			r.Failed(err)
		}
		return nil, errors.Wrap(err, "relay")
	}
	return u, nil
}

// unpack decodes the packed parts of b into u.
func (b *beliefs) unpack(u *belief.Update) error {
	u.Evacuations, u.Gone = b.Evacuations, b.Gone
	if b.Config != nil {
		if err := b.unpackPart(b.Config, &u.Config); err != nil {
			return err
		}
	}
	if b.Changed != nil {
		return b.decodePart(b.Changed, &u.Present)
	}
	if b.Present == nil {
		return nil
	}
	return b.unpackPart(b.Present, &u.Present)
}

// unpackPart decodes a packed part into v.
func (b *beliefs) unpackPart(part []byte, v any) error {
	data, err := decompress(part)
	if err != nil {
		return err
	}
	return b.decodePart(data, v)
}

// decodePart decodes the JSON of a part into v, if its sender knows all fields of that.
func (b *beliefs) decodePart(data []byte, v any) error {
	if b.Schema != schema() {
		if err := complete(data, reflect.TypeOf(v)); err != nil {
			return err
		}
	}
	return errors.Wrap(json.Unmarshal(data, v), "unpack")
}
