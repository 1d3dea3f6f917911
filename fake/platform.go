package fake

// This file is the stand-in for the platform: a service that can only be
// read and watched, with a lagging list of instances and endpoints.

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-chi/chi/v5"

	"ivyridge/member"
	"ivyridge/publish"
)

// A Platform publishes a configuration and a list. It counts calls.
type Platform struct {
	Calls  atomic.Int64
	lag    time.Duration // from a change of the list until it is published
	server *http.Server
	conns  connections

	mu      sync.Mutex
	docs    map[publish.Kind]*published
	list    member.List
	down    bool
	stale   map[publish.Kind]*publish.Published // served instead, if set
	changed chan struct{}
}

type published struct{ doc publish.Published }

// NewPlatform returns a platform whose list lags.
func NewPlatform(lag time.Duration) *Platform {
	p := &Platform{
		lag:     lag,
		docs:    make(map[publish.Kind]*published),
		stale:   make(map[publish.Kind]*publish.Published),
		changed: make(chan struct{}),
	}
	r := chi.NewRouter()
	r.Get("/v1/{kind}", p.read)
	p.server = &http.Server{Handler: r, ConnState: p.conns.track}
	return p
}

// Serve answers on l until Close.
func (p *Platform) Serve(l net.Listener) { _ = p.server.Serve(l) }

// Close ends the platform.
func (p *Platform) Close() {
	_ = p.server.Close()
	p.conns.cut()
}

// Publish publishes a new revision of the configuration.
func (p *Platform) Publish(value string) int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.set(publish.Config, value)
}

// set publishes a revision. The platform is locked.
func (p *Platform) set(k publish.Kind, value string) int64 {
	d := p.docs[k]
	if d == nil {
		d = new(published)
		p.docs[k] = d
	}
	d.doc.Revision++
	d.doc.Value = value
	close(p.changed)
	p.changed = make(chan struct{})
	return d.doc.Revision
}

// ChangeList changes the list; the change is published after the lag.
func (p *Platform) ChangeList(change func(l *member.List)) {
	publish := func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		change(&p.list)
		data, err := json.Marshal(p.list)
		if err != nil {
			panic(err) // a List always encodes
		}
		p.set(publish.List, string(data))
	}
	if p.lag == 0 || p.firstList() {
		publish()
		return
	}
	time.AfterFunc(p.lag, publish)
}

func (p *Platform) firstList() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.docs[publish.List] == nil
}

// SetDown makes the platform answer nothing.
func (p *Platform) SetDown(down bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.down = down
	close(p.changed)
	p.changed = make(chan struct{})
}

// ServeOld makes the platform serve an old revision of a document, or its
// newest again if old is nil.
func (p *Platform) ServeOld(k publish.Kind, old *publish.Published) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if old == nil {
		delete(p.stale, k)
	} else {
		p.stale[k] = old
	}
	close(p.changed)
	p.changed = make(chan struct{})
}

// Newest returns what was published last.
func (p *Platform) Newest(k publish.Kind) publish.Published {
	p.mu.Lock()
	defer p.mu.Unlock()
	if d := p.docs[k]; d != nil {
		return d.doc
	}
	return publish.Published{}
}

// present returns what is served now, and a channel that closes when that
// may have changed.
func (p *Platform) present(k publish.Kind) (doc *publish.Published, down bool, changed chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if old := p.stale[k]; old != nil {
		return old, p.down, p.changed
	}
	if d := p.docs[k]; d != nil {
		c := d.doc
		return &c, p.down, p.changed
	}
	return nil, p.down, p.changed
}

func (p *Platform) read(w http.ResponseWriter, q *http.Request) {
	p.Calls.Add(1)
	kind := publish.Kind(chi.URLParam(q, "kind"))
	after, _ := strconv.ParseInt(q.URL.Query().Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.URL.Query().Get("wait_ms"))
	deadline := time.After(time.Duration(wait) * time.Millisecond)
	for {
		doc, down, changed := p.present(kind)
		switch {
		case down:
			panic(http.ErrAbortHandler)
		case doc != nil && (doc.Revision > after || wait == 0 || doc.Revision < after):
			w.Header().Set("Content-Type", "application/json")
			_ = json.NewEncoder(w).Encode(doc)
			return
		}
		select {
		case <-changed:
		case <-q.Context().Done():
			return
		case <-deadline:
			w.WriteHeader(http.StatusNotModified)
			return
		}
	}
}
