package main

import (
	"fmt"
	"net"
	"sync"
	"time"
)

// Case 5: an operator adds a route whose prefix is a slash, and clients send paths that begin with two.

// slashPaths are sent before and after the change.
var slashPaths = []string{"/ping/x", "/other/x", "//other/x", "//ping/x?q=1", "///x"}

const slashRounds = 6 // each path is sent once a round at each instance

func playSlashes(r *record, trouble bool) (broken bool, err error) {
	f, err := newFleet(r, 3)
	if err != nil {
		return false, err
	}
	defer f.close()
	var mu sync.Mutex
	sent := make(map[string]string) // targets by request ID
	changed := 0
	for i := range 3 {
		s, err := newServer(r, fmt.Sprintf("i-portal-%d", i+1), "portal", fmt.Sprintf("z%d", i+1), func(s *server, c net.Conn, a *arrival) {
			mu.Lock()
			want := sent[a.id()]
			same := a.target == want && a.method == "POST" && string(a.body) == "body"
			if !same {
				changed++
			}
			mu.Unlock()
			r.event("%s runs %s: %s %s (as sent: %v)", s.id, a.id(), a.method, a.target, same)
			body := "answer of " + s.id + " to " + a.id()
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nIvyridge-Request-Id: %s\r\nIvyridge-Response-Seal: seal.%s.%s\r\nContent-Length: %d\r\n\r\n%s", a.id(), s.id, a.id(), len(body), body)
		})
		if err != nil {
			return false, err
		}
		defer s.close()
		f.store.Put("servers/"+s.id, map[string]any{
			"service": s.service, "address": s.address, "zone": s.zone, "version": "v1", "slots": 6,
			"state": "ready", "cold-left-ms": 0, "seq": 1, "born": time.Now().UnixMilli(),
		})
	}
	ping := f.route("ping", "/ping/", "unsafe", "portal", 1)
	f.publish(3, []any{ping}, "portal")
	if err := f.startAll(); err != nil {
		return false, err
	}
	time.Sleep(contact)
	round := 0
	send := func() {
		round++
		for _, p := range f.processes {
			for n, path := range slashPaths {
				id := fmt.Sprintf("%s.%d-%d", p.node, round, n)
				mu.Lock()
				sent[id] = path
				mu.Unlock()
				r.event("%s: POST %s to %s: %s", id, path, p.node, call(p, id, path))
			}
		}
	}
	send()
	if trouble {
		f.publish(7, []any{ping, f.route("rest", "/", "unsafe", "portal", 1)}, "portal")
	}
	time.Sleep(contact)
	for range slashRounds {
		send()
	}
	r.event("%d requests ran whose method, path, query or body was not the client's", changed)
	return changed > 0, nil
}
