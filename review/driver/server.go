package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"ivyridge/platform/standin"
)

// An arrival is a request at a server.
type arrival struct {
	server string
	at     time.Time
	ran    bool
	sound  bool // answered as the protocol says
}

// An engine is a model server or a plain server that speaks PROTOCOL.md.
type engine struct {
	id, service, zone, address string
	rec                        *record
	book                       *book
	first                      func(path string) time.Duration // to the first event, or to the answer
	events                     int
	spoil                      func(id string) bool // whether this answer is spoilt; nil: none is
	rate                       int                  // bytes a second of a spoilt answer
	most                       int                  // bytes of a spoilt answer
	server                     *http.Server
}

// A book holds the arrivals at all servers, by request id.
type book struct {
	mu       sync.Mutex
	arrivals map[string][]arrival
}

func (b *book) add(id string, a arrival) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.arrivals[id] = append(b.arrivals[id], a)
}

func (b *book) of(id string) []arrival {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]arrival(nil), b.arrivals[id]...)
}

func (e *engine) listen() error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	e.address = l.Addr().String()
	e.server = &http.Server{Handler: http.HandlerFunc(e.handle)}
	go func() { _ = e.server.Serve(l) }()
	return nil
}

func (e *engine) entry() standin.Entry {
	return standin.Entry{ID: e.id, Service: e.service, Address: e.address, DataCentre: e.zone, ProcessStart: time.Now()}
}

func (e *engine) handle(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	id := r.Header.Get("Ivyridge-Request-Id")
	h := w.Header()
	h.Set("Ivyridge-Request-Id", id)
	if r.Header.Get("Ivyridge-Expect-Instance") != e.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	spoilt := e.spoil != nil && e.spoil(id)
	e.book.add(id, arrival{server: e.id, at: time.Now(), ran: true, sound: !spoilt})
	e.rec.log("%s: runs %s (%s)", e.id, id, r.RequestURI)
	select {
	case <-r.Context().Done():
		e.rec.log("%s: %s is cancelled", e.id, id)
		return
	case <-time.After(e.first(r.URL.Path)):
	}
	if spoilt {
		e.sendNoAnswer(w, id)
		return
	}
	h.Set("Ivyridge-Response-Seal", "seal."+e.id)
	h.Set("Ivyridge-Server-Load", "4,0,64")
	if e.events == 0 {
		body := "answer of " + e.id + " to " + id
		h.Set("Content-Length", strconv.Itoa(len(body)))
		_, _ = io.WriteString(w, body)
		return
	}
	h.Set("Content-Type", "text/event-stream")
	for n := 1; n <= e.events; n++ {
		_, _ = fmt.Fprintf(w, "id: %d\ndata: piece %d of %d\n\n", n, n, e.events)
		_ = http.NewResponseController(w).Flush()
		select {
		case <-r.Context().Done():
			return
		case <-time.After(20 * time.Millisecond):
		}
	}
}

// sendNoAnswer sends bytes that are not an answer, until the other side closes or most bytes are
// sent, and closes.
func (e *engine) sendNoAnswer(w http.ResponseWriter, id string) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	e.rec.log("%s: answers %s with bytes that are no answer", e.id, id)
	const piece = 64 << 10
	junk := []byte(strings.Repeat("\x00", piece))
	pause := time.Duration(float64(time.Second) * piece / float64(e.rate))
	sent, began := 0, time.Now()
	for sent < e.most {
		n, err := conn.Write(junk)
		sent += n
		if err != nil {
			break
		}
		if ahead := time.Duration(sent/piece)*pause - time.Since(began); ahead > 0 {
			time.Sleep(ahead)
		}
	}
	e.rec.log("%s: sent %d KB of them to %s in %s", e.id, sent>>10, id, time.Since(began).Round(time.Millisecond))
}

// firstEventAfter is how long a stand-in takes to the first event, or to the answer.
func firstEventAfter(path string) time.Duration {
	switch path {
	case "/dossier-verdict/x":
		return 450 * time.Millisecond
	case "/landlord-letter/x":
		return 200 * time.Millisecond
	case "/agent-followup/x":
		return 100 * time.Millisecond
	}
	return 15 * time.Millisecond
}

// startServers starts the servers of the small deployment and lists them. With spoil, two thirds of the
// model servers spoil the answers for which it returns true.
func startServers(e *environment, store *standin.Store, b *book, spoil func(id string) bool) error {
	for i := range 12 {
		s := &engine{id: fmt.Sprintf("i-llm-%d", i+1), service: "screening-llm", zone: zones[i%3], rec: e.rec, book: b, first: firstEventAfter, events: 5, rate: spoiltRate, most: spoiltMost}
		if i >= 9 {
			s.id, s.service, s.events = fmt.Sprintf("i-portal-%d", i-8), "portal-api", 0
		} else if i%3 != 0 {
			s.spoil = spoil
		}
		if err := s.listen(); err != nil {
			return err
		}
		store.List(s.entry())
	}
	return nil
}
