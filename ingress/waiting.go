package ingress

// This file chooses the connections that are closed to make room for others.
//
// A client may hold a connection without a request that runs: it has sent nothing, or only a part of
// a request, it does not read a refusal, or it rests between requests. None of that is lost if the
// connection is closed, as the client may send its request again. So when connections or memory run
// out, the connection that has waited longest is closed.

import (
	"container/list"
	"sync"
	"time"

	"ivyridge/memory"
)

const (
	// minWait is how long a client has to send a request before it is preferred for closing, as clients
	// send requests in one go.
	minWait = 250 * time.Millisecond
	// maxReclaims bounds the connections that are closed for the memory of one connection or request.
	maxReclaims = 64
	// minWaitingFraction is the fraction of the account that waiting connections keep: if they hold
	// less, it is the requests that run which hold the memory, and closing connections is no help.
	minWaitingFraction = 0.05
)

// waitingConns are the connections that may be closed, each list in the order of since. They are safe
// for concurrent use.
type waitingConns struct {
	mu         sync.Mutex
	incomplete list.List // their requests are incomplete, or refused
	idle       list.List // they rest between requests
}

// A place is a connection's place in waitingConns, which guard it.
type place struct {
	list    *list.List // nil: a request runs, or the connection is closed
	element *list.Element
	since   time.Time
	closed  bool
}

func (w *waitingConns) putIncomplete(c *conn) { w.put(c, &w.incomplete) }

func (w *waitingConns) putIdle(c *conn) { w.put(c, &w.idle) }

// resume moves a connection on which a request begins from the idle ones.
func (w *waitingConns) resume(c *conn) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if c.place.list == &w.idle {
		w.putLocked(c, &w.incomplete)
	}
}

func (w *waitingConns) put(c *conn, to *list.List) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.putLocked(c, to)
}

func (w *waitingConns) putLocked(c *conn, to *list.List) {
	w.removeLocked(c)
	if !c.place.closed {
		c.place.list, c.place.element, c.place.since = to, to.PushBack(c), time.Now()
	}
}

// remove removes a connection whose request runs.
func (w *waitingConns) remove(c *conn) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.removeLocked(c)
}

// close removes a connection for good.
func (w *waitingConns) close(c *conn) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.removeLocked(c)
	c.place.closed = true
}

func (w *waitingConns) removeLocked(c *conn) {
	if c.place.list != nil {
		c.place.list.Remove(c.place.element)
		c.place.list, c.place.element = nil, nil
	}
}

// take removes and returns the connection to be closed, other than except; nil if there is none.
// Requests that are incomplete for minWait come first. Otherwise it is the oldest of the kind of which
// there are more, as a crowd is mostly of one kind.
func (w *waitingConns) take(except *conn) (c *conn, idle bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	incomplete, resting := oldest(&w.incomplete, except), oldest(&w.idle, except)
	switch {
	case incomplete != nil && time.Since(incomplete.place.since) >= minWait:
		c = incomplete
	case resting != nil && (incomplete == nil || w.idle.Len() > w.incomplete.Len()):
		c, idle = resting, true
	case incomplete != nil:
		c = incomplete
	default:
		return nil, false
	}
	w.removeLocked(c)
	return c, idle
}

// oldest returns the first connection of a list other than except, or nil.
func oldest(l *list.List, except *conn) *conn {
	for e := l.Front(); e != nil; e = e.Next() {
		if c := e.Value.(*conn); c != except {
			return c
		}
	}
	return nil
}

// reclaim closes the connection that has waited longest, other than except. It reports false if there
// is none.
func (l *Listener) reclaim(except *conn) bool {
	c, idle := l.waiting.take(except)
	if c == nil {
		return false
	}
	if idle {
		l.Count(closedIdle)
	} else {
		l.Count(closedIncomplete)
	}
	_ = c.Close()
	return true
}

// reclaimMemory is reclaim if waiting connections hold a part of the memory.
func (l *Listener) reclaimMemory(except *conn) bool {
	if l.Trusted {
		return false
	}
	waiting := -l.running.Load()
	for _, k := range []memory.Kind{memory.Connections, memory.Sockets, memory.Heads} {
		waiting += l.Account.Held(k)
	}
	return float64(waiting) > minWaitingFraction*float64(l.Account.Limit()) && l.reclaim(except)
}

// Reclaim closes the connection that has waited longest, other than c, to make room for the request on
// c. It reports false if there is none, or if that is no help.
func (c *conn) Reclaim() bool { return c.listener.reclaimMemory(c) }

// SetRunning states whether a request on c is complete and runs, so that c is not closed for others.
func (c *conn) SetRunning(running bool) {
	c.mu.Lock()
	held := ConnectionBytes + c.sockets.charged + c.heads
	if !running {
		held = 0
	}
	c.listener.running.Add(held - c.running)
	c.running = held
	c.mu.Unlock()
	if running {
		c.listener.waiting.remove(c)
	} else {
		c.listener.waiting.putIncomplete(c)
	}
}

// withReclaim calls reserve until it succeeds, and closes waiting connections in between.
func (l *Listener) withReclaim(except *conn, reserve func() bool) bool {
	for range maxReclaims {
		if reserve() {
			return true
		}
		if !l.reclaimMemory(except) {
			return false
		}
	}
	return reserve()
}
