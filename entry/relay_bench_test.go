package entry

import (
	"bufio"
	"context"
	"expvar"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"

	"ivyridge/balance"
	"ivyridge/catalog"
	"ivyridge/discovery"
	"ivyridge/upstream"
	"ivyridge/verdict"
)

// BenchmarkRelayEvent measures relaying a 200-byte event over TCP to a caller that reads.
func BenchmarkRelayEvent(b *testing.B) {
	event := "event: a\ndata: " + strings.Repeat("x", 183) + "\n\n"
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Seal", "1")
		for {
			if _, err := io.WriteString(w, event); err != nil {
				return
			}
			w.(http.Flusher).Flush()
		}
	}))
	defer server.Close()
	table := discovery.NewTable(time.Now)
	err := table.Apply(&discovery.Update{Revision: 1, Full: true, ValidatedAt: time.Now(), Config: &catalog.Document{
		Version: 1, Services: []catalog.Service{{Name: "m"}},
		Routes: []catalog.Route{{Name: "r", Host: "h", Prefix: "/", Kind: catalog.Stream, Targets: []catalog.Target{{Service: "m", Weight: 1}}}},
	}})
	if err != nil {
		b.Fatal(err)
	}
	p := New(Options{
		State: table, Placer: fixedPlacer{balance.New("a", time.Now), &discovery.Endpoint{Endpoint: catalog.Endpoint{ID: "e", Address: server.Listener.Addr().String()}}},
		Pool: upstream.NewPool(func(string) {}, time.Now), Codec: stubCodec{}, Log: zap.NewNop(),
		Counters: NewCounters(new(expvar.Map).Init()), Now: time.Now, Limits: Limits{Propagation: time.Minute},
	})
	front := httptest.NewServer(p)
	defer front.Close()
	c, err := net.Dial("tcp", front.Listener.Addr().String())
	if err != nil {
		b.Fatal(err)
	}
	defer c.Close()
	fmt.Fprintf(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	res, err := http.ReadResponse(bufio.NewReaderSize(c, 64<<10), nil)
	if err != nil {
		b.Fatal(err)
	}
	buffer := make([]byte, len(event))
	b.ReportAllocs()
	b.ResetTimer()
	for range b.N {
		if _, err := io.ReadFull(res.Body, buffer); err != nil {
			b.Fatal(err)
		}
	}
}

type fixedPlacer struct {
	b *balance.Balancer
	e *discovery.Endpoint
}

func (p fixedPlacer) Place(_ context.Context, _ []*discovery.Endpoint, d *balance.Demand) (*balance.Placement, *balance.Refusal) {
	return p.b.Place([]*discovery.Endpoint{p.e}, d), nil
}

type stubCodec struct{}

func (stubCodec) Decode(r *http.Request) (*Call, error) {
	return &Call{ID: "1", Method: r.Method, Host: r.Host, Path: "/", Target: "/", Header: http.Header{}}, nil
}
func (stubCodec) Encode(*Call, ForwardOptions) http.Header { return http.Header{} }
func (stubCodec) EncodeForwarded(h http.Header, _ time.Duration, _ string) http.Header {
	return h.Clone()
}
func (stubCodec) DecodeResponse(int, http.Header) ResponseHead { return ResponseHead{Sealed: true} }
func (stubCodec) CopyResponseHeaders(to, from http.Header)     {}
func (stubCodec) WriteError(w http.ResponseWriter, _ string, e *verdict.Error) {
	w.WriteHeader(e.Reason.Status())
}
