// Package queue orders the requests that wait for an endpoint.
//
// A Queue holds three levels: tiers by strict precedence, with a guaranteed
// share for each class that has one; classes within a tier by the latest
// start of their first request; and teams within a class by deficit round
// robin on expected cost. Each level can be switched off, which gives the
// baselines: with none, a Queue is one first-in first-out line.
//
// Times are instants on the owner's clock, as durations since its start.
// Costs are expected slot-seconds. A Queue is not safe for concurrent use.
package queue

import (
	"math"
	"time"
)

// maxCredit bounds, in requests of a class, how much unused guaranteed share
// it may save up.
const maxCredit = 2.0

// A Class is what the order needs to know of a class.
type Class struct {
	Tier       int
	Share      float64 // guaranteed part of the service, 0 to 1
	Target     time.Duration
	FinishLate bool // waiting requests are kept after their latest start
}

// Options switch the levels of the order.
type Options struct {
	Tiers     bool // strict precedence between tiers
	Shares    bool // guaranteed shares
	Deadlines bool // latest start first within a tier, else arrival first
	Fair      bool // deficit round robin between teams, else arrival first
}

// A Request waits in a Queue. The caller fills the exported fields and does
// not change them while the request waits.
type Request struct {
	Class   int // index into the classes given to New
	Team    string
	Weight  float64
	Arrival time.Duration
	Latest  time.Duration // latest start that still makes the target
	Cost    float64
	// Pushed and Predicted are for the owner's own use: when the request
	// began to wait, and for how long it was expected to.
	Pushed    time.Duration
	Predicted time.Duration
	Payload   any // the owner's, untouched

	line       *line
	prev, next *Request
}

// Waiting reports whether r is in a Queue.
func (r *Request) Waiting() bool { return r.line != nil }

// A line is the waiting requests of one team in one class, by arrival.
type line struct {
	class      *class
	team       string
	weight     float64
	work       float64
	n          int
	deficit    float64
	head, tail *Request
	prev, next *line // ring of the class
}

type class struct {
	spec    Class
	n       int
	work    float64
	weights float64
	credit  float64
	lines   map[string]*line
	current *line // ring position of the round robin, nil if empty
}

// A Queue orders waiting requests. Push and Remove are O(1), Pop is linear
// in classes and constant in waiting requests.
type Queue struct {
	opt     Options
	classes []*class
	tiers   [][]*class
	n       int
	spare   *line // finished lines, reused
}

// New returns an empty Queue over the given classes.
func New(specs []Class, opt Options) *Queue {
	q := &Queue{opt: opt}
	top := 0
	for _, s := range specs {
		if !opt.Tiers {
			s.Tier = 0
		}
		top = max(top, s.Tier)
		q.classes = append(q.classes, &class{spec: s, lines: make(map[string]*line)})
	}
	q.tiers = make([][]*class, top+1)
	for _, c := range q.classes {
		q.tiers[c.spec.Tier] = append(q.tiers[c.spec.Tier], c)
	}
	return q
}

// Len returns the number of waiting requests.
func (q *Queue) Len() int { return q.n }

// ClassLen returns the number of waiting requests of a class.
func (q *Queue) ClassLen(class int) int { return q.classes[class].n }

// TeamLen returns the number of waiting requests of a team in a class.
func (q *Queue) TeamLen(class int, team string) int {
	if l := q.classes[class].lines[q.lineKey(team)]; l != nil {
		return l.n
	}
	return 0
}

func (q *Queue) lineKey(team string) string {
	if q.opt.Fair {
		return team
	}
	return ""
}

// Push adds r. Requests of one line stay in the order of their arrival, so
// that one asked again after a fault regains its place.
func (q *Queue) Push(r *Request) {
	c := q.classes[r.Class]
	key := q.lineKey(r.Team)
	l := c.lines[key]
	if l == nil {
		l = q.newLine(c, key, r.Weight)
	}
	l.insert(r)
	l.work += r.Cost
	l.n++
	c.work += r.Cost
	c.n++
	q.n++
}

func (q *Queue) newLine(c *class, team string, weight float64) *line {
	l := q.spare
	if l != nil {
		q.spare = l.next
		*l = line{}
	} else {
		l = new(line)
	}
	l.class, l.team, l.weight = c, team, max(weight, 1)
	c.lines[team] = l
	c.weights += l.weight
	if c.current == nil {
		l.prev, l.next = l, l
		c.current = l
		return l
	}
	at := c.current // behind all that wait for their turn
	l.prev, l.next = at.prev, at
	at.prev.next, at.prev = l, l
	return l
}

// insert places r behind the last request that arrived no later.
func (l *line) insert(r *Request) {
	r.line = l
	at := l.tail
	for at != nil && at.Arrival > r.Arrival {
		at = at.prev
	}
	r.prev = at
	if at == nil {
		r.next = l.head
		l.head = r
	} else {
		r.next = at.next
		at.next = r
	}
	if r.next == nil {
		l.tail = r
	} else {
		r.next.prev = r
	}
}

// Remove takes r out and reports whether it was waiting.
func (q *Queue) Remove(r *Request) bool {
	l := r.line
	if l == nil {
		return false
	}
	if r.prev == nil {
		l.head = r.next
	} else {
		r.prev.next = r.next
	}
	if r.next == nil {
		l.tail = r.prev
	} else {
		r.next.prev = r.prev
	}
	r.line, r.prev, r.next = nil, nil, nil
	c := l.class
	l.work -= r.Cost
	l.n--
	c.work = max(0, c.work-r.Cost)
	c.n--
	q.n--
	if l.n == 0 {
		q.drop(l)
	}
	return true
}

// drop takes an empty line out of its class's ring.
func (q *Queue) drop(l *line) {
	c := l.class
	delete(c.lines, l.team)
	c.weights -= l.weight
	if l.next == l {
		c.current, c.work, c.credit = nil, 0, 0
	} else {
		l.prev.next, l.next.prev = l.next, l.prev
		if c.current == l {
			c.current = l.next
		}
	}
	l.next = q.spare
	q.spare = l
}

// peek returns the request that c serves next. Turning the ring is
// idempotent: once a line's deficit covers its head it stays current.
func (c *class) peek() *Request {
	if c.current == nil {
		return nil
	}
	if c.current.next == c.current {
		return c.current.head
	}
	for c.current.deficit < c.current.head.Cost {
		// A quantum that covers the head at least once in a round
		// bounds the loop to two turns of the ring.
		c.current.deficit += c.current.weight * c.quantum()
		if c.current.deficit >= c.current.head.Cost {
			break
		}
		c.current = c.current.next
	}
	return c.current.head
}

// quantum is the mean cost of a waiting request.
func (c *class) quantum() float64 { return max(c.work/float64(c.n), 1e-6) }

// Pop removes and returns the request to serve next, or nil. Only requests
// for which accept returns true may be served; a class whose next request is
// not accepted is passed over. A class that is owed service by its guaranteed
// share needs only owed to return true.
func (q *Queue) Pop(accept, owed func(*Request) bool) *Request {
	if q.n == 0 {
		return nil
	}
	r := q.owed(owed)
	if r == nil {
		r = q.first(accept)
	}
	if r == nil {
		return nil
	}
	q.account(r)
	l := r.line
	l.charge(r)
	q.Remove(r)
	return r
}

// charge takes r, the head of l, from l's deficit and passes the turn on
// when what is left does not cover the next request. A line that has its
// class to itself runs up no debt.
func (l *line) charge(r *Request) {
	if l.next == l {
		l.deficit = 0
		return
	}
	l.deficit -= r.Cost
	if l.class.current == l && r.next != nil && l.deficit < r.next.Cost {
		l.class.current = l.next
	}
}

// owed returns the next request of the class whose guaranteed share is the
// furthest behind, if one is.
func (q *Queue) owed(accept func(*Request) bool) *Request {
	if !q.opt.Shares {
		return nil
	}
	var best *Request
	most := 1.0
	for _, c := range q.classes {
		if c.spec.Share == 0 || c.n == 0 {
			continue
		}
		r := c.peek()
		if due := c.credit / r.Cost; due >= most && accept(r) {
			best, most = r, due
		}
	}
	return best
}

// first returns the next request by tier, then by latest start or arrival.
func (q *Queue) first(accept func(*Request) bool) *Request {
	for _, tier := range q.tiers {
		var best *Request
		at := time.Duration(math.MaxInt64)
		for _, c := range tier {
			r := c.peek()
			if r == nil || !accept(r) {
				continue
			}
			if key := q.key(r); best == nil || key < at {
				best, at = r, key
			}
		}
		if best != nil {
			return best
		}
	}
	return nil
}

func (q *Queue) key(r *Request) time.Duration {
	if q.opt.Deadlines {
		return r.Latest
	}
	return r.Arrival
}

// account gives each waiting class its share of the service that r takes,
// and takes r's cost from its own class's credit.
func (q *Queue) account(r *Request) {
	if !q.opt.Shares {
		return
	}
	for _, c := range q.classes {
		if c.spec.Share > 0 && c.n > 0 {
			c.credit = min(c.credit+c.spec.Share*r.Cost, maxCredit*max(c.quantum(), r.Cost))
		}
	}
	own := r.line.class
	own.credit = max(0, own.credit-r.Cost)
}

// Expire removes the requests whose latest start has passed and hands each
// to f. Classes that finish late keep theirs.
func (q *Queue) Expire(now time.Duration, f func(*Request)) {
	for _, c := range q.classes {
		if c.n == 0 || c.spec.FinishLate {
			continue
		}
		l := c.current
		for range len(c.lines) {
			next := l.next // Remove may drop l
			for r := l.head; r != nil && r.Latest < now; r = l.head {
				q.Remove(r)
				f(r)
			}
			l = next
		}
	}
}

// Ahead returns the work, in slot-seconds, that would be served before r if
// it were pushed now: all of the higher tiers, the part of the other classes
// of its tier that is due earlier, and of its own class what fair turns let
// go first. Own is the last part alone.
func (q *Queue) Ahead(r *Request) (total, own float64) {
	c := q.classes[r.Class]
	for _, other := range q.classes {
		switch {
		case other == c:
		case other.spec.Tier < c.spec.Tier:
			total += other.work
		case other.spec.Tier == c.spec.Tier:
			total += other.work * earlier(c, other)
		}
	}
	own = c.work
	if q.opt.Fair {
		own = min(own, q.fairAhead(c, r))
	}
	return total + own, own
}

// earlier estimates which part of other's work is due before a new request
// of c: all of it if its target is the shorter one.
func earlier(c, other *class) float64 {
	if other.spec.Target <= c.spec.Target {
		return 1
	}
	return float64(c.spec.Target) / float64(other.spec.Target)
}

// fairAhead bounds the work of c that round robin serves before r: every
// team gets no more than its weight's part of what r's team gets.
func (q *Queue) fairAhead(c *class, r *Request) float64 {
	mine, weight, weights := r.Cost, max(r.Weight, 1), c.weights
	if l := c.lines[r.Team]; l != nil {
		mine += l.work
	} else {
		weights += weight
	}
	return mine * weights / weight
}
