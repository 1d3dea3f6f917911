package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// counts are the ends of requests: the status, or why there was none.
type counts map[string]int

func (c counts) String() string {
	var parts []string
	total := 0
	for _, n := range c {
		total += n
	}
	for _, key := range []string{"200", "401", "404", "408", "429", "502", "503", "504", "closed", "not connected"} {
		if c[key] > 0 {
			parts = append(parts, fmt.Sprintf("%s: %d", key, c[key]))
		}
	}
	return fmt.Sprintf("%d requests (%s)", total, strings.Join(parts, ", "))
}

func (c counts) minus(other counts) counts {
	out := make(counts)
	for key, n := range c {
		out[key] = n - other[key]
	}
	return out
}

// traffic is an open stream of unsafe requests at all instances in equal parts.
type traffic struct {
	fleet *fleet
	wg    sync.WaitGroup
	done  chan struct{}

	mu   sync.Mutex
	ends counts
}

// requestTimeout is the deadline of a client's request.
const requestTimeout = 1500 * time.Millisecond

// startTraffic begins the requests. Their IDs begin with the name of the instance that gets them.
func (f *fleet) startTraffic(perSecond float64, target string) *traffic {
	t := &traffic{fleet: f, done: make(chan struct{}), ends: make(counts)}
	f.record.event("%.0f requests a second begin, in equal parts at the instances", perSecond)
	for _, p := range f.processes {
		t.wg.Add(1)
		go func() {
			defer t.wg.Done()
			rng := rand.New(rand.NewSource(int64(len(p.node)) + int64(p.node[len(p.node)-1])))
			next := time.Now()
			for n := 1; ; n++ {
				next = next.Add(time.Duration(rng.ExpFloat64() * float64(len(f.processes)) / perSecond * float64(time.Second)))
				select {
				case <-t.done:
					return
				case <-time.After(time.Until(next)):
				}
				t.wg.Add(1)
				go func() {
					defer t.wg.Done()
					end := call(p, fmt.Sprintf("%s.%d", p.node, n), target)
					t.mu.Lock()
					t.ends[end]++
					t.mu.Unlock()
				}()
			}
		}()
	}
	return t
}

// stop ends the traffic and waits for the requests that run.
func (t *traffic) stop() {
	close(t.done)
	t.wg.Wait()
}

func (t *traffic) count() counts {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make(counts)
	for key, n := range t.ends {
		out[key] = n
	}
	return out
}

// call sends one request on a connection of its own and returns how it ended.
func call(p *process, id, target string) string {
	c, err := net.DialTimeout("tcp", p.front, time.Second)
	if err != nil {
		return "not connected"
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(requestTimeout + 500*time.Millisecond))
	_, _ = fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: h.example\r\nIvyridge-Request-Id: %s\r\nIvyridge-Deadline-Ms: %d\r\nX-Api-Key: key-of-t\r\nContent-Length: 4\r\n\r\nbody", target, id, requestTimeout.Milliseconds())
	res, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return "closed"
	}
	if _, err := io.Copy(io.Discard, res.Body); err != nil {
		return "closed"
	}
	return fmt.Sprint(res.StatusCode)
}
