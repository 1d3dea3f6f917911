package api_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sort"
	"strings"
	"testing"
	"time"
)

func reportQuantiles(b *testing.B, name string, ds []time.Duration) (p50, p99 time.Duration) {
	sort.Slice(ds, func(i, j int) bool { return ds[i] < ds[j] })
	p50, p99 = ds[len(ds)/2], ds[len(ds)*99/100]
	b.ReportMetric(float64(p50.Microseconds()), name+"-p50-µs")
	b.ReportMetric(float64(p99.Microseconds()), name+"-p99-µs")
	return p50, p99
}

// replaceEngine serves h, which has no engine latency, at the address of the fake
// engine, and returns the address.
func (s *testStack) replaceEngine(b *testing.B, h http.HandlerFunc) string {
	s.environment.Endpoint("e1").Crash()
	addr := ""
	for _, e := range s.environment.Config.Endpoints {
		if e.Name == "e1" {
			addr = e.Listen
		}
	}
	l, err := net.Listen("tcp", addr)
	if err != nil {
		b.Fatal(err)
	}
	srv := &http.Server{Handler: h}
	go func() { _ = srv.Serve(l) }()
	b.Cleanup(func() { _ = srv.Close() })
	return addr
}

func mustPost(b *testing.B, url, body string) int64 {
	req, err := http.NewRequest(http.MethodPost, url, strings.NewReader(body))
	if err != nil {
		b.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer "+token)
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		b.Fatal(err)
	}
	defer res.Body.Close()
	n, err := io.Copy(io.Discard, res.Body)
	if err != nil || res.StatusCode != http.StatusOK {
		b.Fatal(res.Status, err)
	}
	return n
}

const chatBody = `{"model": "screening", "messages": [{"role": "user", "content": "x"}], "stream": %v}`

// BenchmarkRequest measures the latency that an instance adds to direct requests.
func BenchmarkRequest(b *testing.B) {
	s := startStack(b)
	addr := s.replaceEngine(b, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		if r.URL.Path == "/load" {
			fmt.Fprint(w, `{"running":0}`)
			return
		}
		fmt.Fprint(w, `{"usage": {"completion_tokens": 1}}`)
	})
	body := fmt.Sprintf(chatBody, false)
	var direct, through []time.Duration
	for range b.N {
		began := time.Now()
		mustPost(b, "http://"+addr+"/v1/chat/completions", body)
		directDone := time.Now()
		mustPost(b, "http://"+s.addr+"/v1/chat/completions", body)
		direct, through = append(direct, directDone.Sub(began)), append(through, time.Since(directDone))
	}
	d50, d99 := reportQuantiles(b, "direct", direct)
	t50, t99 := reportQuantiles(b, "through", through)
	b.ReportMetric(float64((t50 - d50).Microseconds()), "added-p50-µs")
	b.ReportMetric(float64((t99 - d99).Microseconds()), "added-p99-µs")
}

// BenchmarkStream measures the throughput of server-sent events.
func BenchmarkStream(b *testing.B) {
	const events = 20_000
	s := startStack(b)
	event := []byte(`data: {"id":"x","object":"chat.completion.chunk","choices":[{"index":0,"delta":{"content":" word"}}]}` + "\n\n")
	s.replaceEngine(b, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/load" {
			fmt.Fprint(w, `{"running":0}`)
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		w.Header().Set("Content-Type", "text/event-stream")
		for i := range events {
			_, _ = w.Write(event)
			if i%10 == 0 {
				_ = http.NewResponseController(w).Flush()
			}
		}
		fmt.Fprint(w, "data: [DONE]\n\n")
	})
	body := fmt.Sprintf(chatBody, true)
	b.ResetTimer()
	for range b.N {
		mustPost(b, "http://"+s.addr+"/v1/chat/completions", body)
	}
	b.ReportMetric(float64(b.N)*events/b.Elapsed().Seconds(), "events/s")
}
