package fake

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
	"ivyridge/platformclient"
)

// A Platform serves the configuration and the member list with long polling. It is
// safe for concurrent use.
type Platform struct {
	Calls  atomic.Int64  // requests received
	lag    time.Duration // publication delay of the member list
	server *http.Server
	conns  connections

	mu      sync.Mutex
	docs    map[platformclient.Kind]*document
	list    member.List
	down    bool
	stale   map[platformclient.Kind]*platformclient.Published // overrides docs
	changed chan struct{}                                     // closed and replaced on each change
}

type document struct{ doc platformclient.Published }

// NewPlatform returns a platform that publishes the member list with a delay of lag.
func NewPlatform(lag time.Duration) *Platform {
	p := &Platform{
		lag:     lag,
		docs:    make(map[platformclient.Kind]*document),
		stale:   make(map[platformclient.Kind]*platformclient.Published),
		changed: make(chan struct{}),
	}
	r := chi.NewRouter()
	r.Get("/v1/{kind}", p.handleRead)
	p.server = &http.Server{Handler: r, ConnState: p.conns.track}
	return p
}

// Serve accepts connections on l until Close.
func (p *Platform) Serve(l net.Listener) { _ = p.server.Serve(l) }

// Close stops the platform and closes its connections.
func (p *Platform) Close() {
	_ = p.server.Close()
	p.conns.closeAll()
}

// Publish publishes value as the configuration and returns its revision.
func (p *Platform) Publish(value string) int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.publishLocked(platformclient.Config, value)
}

// publishLocked publishes value as document k and returns its revision. p.mu must be held.
func (p *Platform) publishLocked(k platformclient.Kind, value string) int64 {
	d := p.docs[k]
	if d == nil {
		d = new(document)
		p.docs[k] = d
	}
	d.doc.Revision++
	d.doc.Value = value
	close(p.changed)
	p.changed = make(chan struct{})
	return d.doc.Revision
}

// ChangeList changes and publishes the member list after the delay, or at once if
// no list has been published.
func (p *Platform) ChangeList(change func(l *member.List)) {
	publish := func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		change(&p.list)
		data, err := json.Marshal(p.list)
		if err != nil {
			panic(err) // a List always encodes
		}
		p.publishLocked(platformclient.List, string(data))
	}
	if p.lag == 0 || p.listUnpublished() {
		publish()
		return
	}
	time.AfterFunc(p.lag, publish)
}

func (p *Platform) listUnpublished() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.docs[platformclient.List] == nil
}

// SetDown sets whether the platform aborts all requests.
func (p *Platform) SetDown(down bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.down = down
	close(p.changed)
	p.changed = make(chan struct{})
}

// ServeOld serves old instead of the newest revision of k, which a nil old restores.
func (p *Platform) ServeOld(k platformclient.Kind, old *platformclient.Published) {
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

// Newest returns the newest revision of k, or the zero Published if there is none.
func (p *Platform) Newest(k platformclient.Kind) platformclient.Published {
	p.mu.Lock()
	defer p.mu.Unlock()
	if d := p.docs[k]; d != nil {
		return d.doc
	}
	return platformclient.Published{}
}

// current returns the revision of k to serve, if any. The next change closes changed.
func (p *Platform) current(k platformclient.Kind) (doc *platformclient.Published, down bool, changed chan struct{}) {
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

func (p *Platform) handleRead(w http.ResponseWriter, r *http.Request) {
	p.Calls.Add(1)
	kind := platformclient.Kind(chi.URLParam(r, "kind"))
	after, _ := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	deadline := time.After(time.Duration(wait) * time.Millisecond)
	for {
		doc, down, changed := p.current(kind)
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
		case <-r.Context().Done():
			return
		case <-deadline:
			w.WriteHeader(http.StatusNotModified)
			return
		}
	}
}
