// Package queue orders the requests waiting for an endpoint.
//
// A Queue orders on three levels: tiers by strict priority, with a guaranteed share for each class
// that declares one; classes within a tier by the latest start of their first request; and teams
// within a class by deficit round robin on expected cost. Each level can be switched off; with none,
// a Queue is a single FIFO queue.
//
// Times are durations since the start of the caller's clock. Costs are expected slot-seconds. A
// Queue is not safe for concurrent use.
package queue

import (
	"math"
	"time"
)

const maxCredit = 2.0 // requests' worth of unused guaranteed share that a class may accumulate

// A Class holds the ordering parameters of a class.
type Class struct {
	Tier       int     // 0 is served first
	Share      float64 // guaranteed fraction of the service, 0 to 1
	Target     time.Duration
	FinishLate bool // waiting requests are kept after their latest start
}

// Options enable the levels of the order.
type Options struct {
	Tiers     bool // strict priority between tiers
	Shares    bool // guaranteed shares
	Deadlines bool // earliest latest-start first within a tier, else by arrival
	Fair      bool // deficit round robin between the teams of a class, else by arrival within it
}

// A Request is an entry of a Queue. Its exported fields must not change while it waits.
type Request struct {
	Class       int // index into the classes given to New
	Team        string
	Weight      float64
	Arrival     time.Duration
	LatestStart time.Duration // latest start that still meets the target
	Cost        float64
	// Pushed and Predicted are for the caller: when the wait began, and its predicted duration.
	Pushed    time.Duration
	Predicted time.Duration
	Payload   any // for the caller, not used by Queue

	queue      *teamQueue
	prev, next *Request
}

// Waiting reports whether r is in a Queue.
func (r *Request) Waiting() bool { return r.queue != nil }

// A teamQueue holds the waiting requests of one team in one class, by arrival.
type teamQueue struct {
	class      *class
	team       string
	weight     float64
	work       float64
	n          int
	deficit    float64
	head, tail *Request
	prev, next *teamQueue // in the ring of the class
}

type class struct {
	spec    Class
	n       int
	work    float64
	weights float64
	credit  float64
	queues  map[string]*teamQueue
	current *teamQueue // next in the round robin, nil if none
}

// A Queue orders waiting requests. Push is O(1) in order of arrival and Remove is O(1); Pop is
// linear in the number of classes and independent of the number of waiting requests.
type Queue struct {
	opt        Options
	classes    []*class
	tiers      [][]*class
	n          int
	freeQueues *teamQueue
}

// New returns an empty Queue for the classes in specs.
func New(specs []Class, opt Options) *Queue {
	q := &Queue{opt: opt}
	maxTier := 0
	for _, s := range specs {
		if !opt.Tiers {
			s.Tier = 0
		}
		maxTier = max(maxTier, s.Tier)
		q.classes = append(q.classes, &class{spec: s, queues: make(map[string]*teamQueue)})
	}
	q.tiers = make([][]*class, maxTier+1)
	for _, c := range q.classes {
		q.tiers[c.spec.Tier] = append(q.tiers[c.spec.Tier], c)
	}
	return q
}

// Len returns the number of waiting requests.
func (q *Queue) Len() int { return q.n }

// ClassLen returns the number of waiting requests of the class with index class.
func (q *Queue) ClassLen(class int) int { return q.classes[class].n }

// TeamLen returns the number of waiting requests of team in the class with index class.
func (q *Queue) TeamLen(class int, team string) int {
	if l := q.classes[class].queues[q.queueKey(team)]; l != nil {
		return l.n
	}
	return 0
}

func (q *Queue) queueKey(team string) string {
	if q.opt.Fair {
		return team
	}
	return ""
}

// Push adds r. Requests of one team are kept in order of arrival, so that one submitted again
// after a failure regains its position.
func (q *Queue) Push(r *Request) {
	c := q.classes[r.Class]
	key := q.queueKey(r.Team)
	l := c.queues[key]
	if l == nil {
		l = q.newTeamQueue(c, key, r.Weight)
	}
	l.insert(r)
	l.work += r.Cost
	l.n++
	c.work += r.Cost
	c.n++
	q.n++
}

func (q *Queue) newTeamQueue(c *class, team string, weight float64) *teamQueue {
	l := q.freeQueues
	if l != nil {
		q.freeQueues = l.next
		*l = teamQueue{}
	} else {
		l = new(teamQueue)
	}
	l.class, l.team, l.weight = c, team, max(weight, 1)
	c.queues[team] = l
	c.weights += l.weight
	if c.current == nil {
		l.prev, l.next = l, l
		c.current = l
		return l
	}
	current := c.current // insert at the end of the round
	l.prev, l.next = current.prev, current
	current.prev.next, current.prev = l, l
	return l
}

// insert places r after the last request that did not arrive later.
func (l *teamQueue) insert(r *Request) {
	r.queue = l
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

// Remove removes r and reports whether it was waiting.
func (q *Queue) Remove(r *Request) bool {
	l := r.queue
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
	r.queue, r.prev, r.next = nil, nil, nil
	c := l.class
	l.work -= r.Cost
	l.n--
	c.work = max(0, c.work-r.Cost)
	c.n--
	q.n--
	if l.n == 0 {
		q.removeQueue(l)
	}
	return true
}

func (q *Queue) removeQueue(l *teamQueue) {
	c := l.class
	delete(c.queues, l.team)
	c.weights -= l.weight
	if l.next == l {
		c.current, c.work, c.credit = nil, 0, 0
	} else {
		l.prev.next, l.next.prev = l.next, l.prev
		if c.current == l {
			c.current = l.next
		}
	}
	l.next = q.freeQueues
	q.freeQueues = l
}

// peek returns the request that c serves next. It may advance the round robin, but is idempotent: a
// queue whose deficit covers its head stays current.
func (c *class) peek() *Request {
	if c.current == nil {
		return nil
	}
	if c.current.next == c.current {
		return c.current.head
	}
	for c.current.deficit < c.current.head.Cost {
		// A quantum that covers the head at least once per round bounds the loop to two rounds.
		c.current.deficit += c.current.weight * c.quantum()
		if c.current.deficit >= c.current.head.Cost {
			break
		}
		c.current = c.current.next
	}
	return c.current.head
}

// quantum returns the mean cost of the waiting requests.
func (c *class) quantum() float64 { return max(c.work/float64(c.n), 1e-6) }

// Pop removes and returns the next request to serve, or nil. A class whose next request accept
// rejects is skipped; below its guaranteed share it is enough that acceptBelowShare returns true.
func (q *Queue) Pop(accept, acceptBelowShare func(*Request) bool) *Request {
	if q.n == 0 {
		return nil
	}
	r := q.firstBelowShare(acceptBelowShare)
	if r == nil {
		r = q.firstByTier(accept)
	}
	if r == nil {
		return nil
	}
	q.updateCredits(r)
	l := r.queue
	l.charge(r)
	q.Remove(r)
	return r
}

// charge deducts the cost of r, the head of l, from l's deficit and ends l's turn if the rest does
// not cover the next request. The only queue of a class accumulates no debt.
func (l *teamQueue) charge(r *Request) {
	if l.next == l {
		l.deficit = 0
		return
	}
	l.deficit -= r.Cost
	if l.class.current == l && r.next != nil && l.deficit < r.next.Cost {
		l.class.current = l.next
	}
}

// firstBelowShare returns the next request of the class furthest below its guaranteed share, or nil
// if there is no such class with a request that accept allows.
func (q *Queue) firstBelowShare(accept func(*Request) bool) *Request {
	if !q.opt.Shares {
		return nil
	}
	var best *Request
	highest := 1.0
	for _, c := range q.classes {
		if c.spec.Share == 0 || c.n == 0 {
			continue
		}
		r := c.peek()
		if ratio := c.credit / r.Cost; ratio >= highest && accept(r) {
			best, highest = r, ratio
		}
	}
	return best
}

func (q *Queue) firstByTier(accept func(*Request) bool) *Request {
	for _, tier := range q.tiers {
		var best *Request
		lowest := time.Duration(math.MaxInt64)
		for _, c := range tier {
			r := c.peek()
			if r == nil || !accept(r) {
				continue
			}
			if key := q.sortKey(r); best == nil || key < lowest {
				best, lowest = r, key
			}
		}
		if best != nil {
			return best
		}
	}
	return nil
}

func (q *Queue) sortKey(r *Request) time.Duration {
	if q.opt.Deadlines {
		return r.LatestStart
	}
	return r.Arrival
}

// updateCredits credits each waiting class with its share of r's cost and charges r's class.
func (q *Queue) updateCredits(r *Request) {
	if !q.opt.Shares {
		return
	}
	for _, c := range q.classes {
		if c.spec.Share > 0 && c.n > 0 {
			c.credit = min(c.credit+c.spec.Share*r.Cost, maxCredit*max(c.quantum(), r.Cost))
		}
	}
	own := r.queue.class
	own.credit = max(0, own.credit-r.Cost)
}

// Expire removes the requests whose latest start is before now and calls f with each. Requests of
// classes with FinishLate stay.
func (q *Queue) Expire(now time.Duration, f func(*Request)) {
	for _, c := range q.classes {
		if c.n == 0 || c.spec.FinishLate {
			continue
		}
		l := c.current
		for range len(c.queues) {
			next := l.next // Remove may release l
			for r := l.head; r != nil && r.LatestStart < now; r = l.head {
				q.Remove(r)
				f(r)
			}
			l = next
		}
	}
}

// Ahead returns the work, in slot-seconds, that would be served before r if it were pushed now:
// that of higher tiers, the part of other classes in its tier that is due earlier, and the part of
// its own class that round robin serves first, which own returns alone.
func (q *Queue) Ahead(r *Request) (total, own float64) {
	c := q.classes[r.Class]
	for _, other := range q.classes {
		switch {
		case other == c:
		case other.spec.Tier < c.spec.Tier:
			total += other.work
		case other.spec.Tier == c.spec.Tier:
			total += other.work * earlierPart(c, other)
		}
	}
	own = c.work
	if q.opt.Fair {
		own = min(own, q.fairAhead(c, r))
	}
	return total + own, own
}

// earlierPart estimates the fraction of other's work that is due before a new request of c: all of
// it if other's target is no longer than c's.
func earlierPart(c, other *class) float64 {
	if other.spec.Target <= c.spec.Target {
		return 1
	}
	return float64(c.spec.Target) / float64(other.spec.Target)
}

// fairAhead returns an upper bound of the work of c served before r by round robin: the work of r's
// team, scaled by the total weight over the team's weight.
func (q *Queue) fairAhead(c *class, r *Request) float64 {
	teamWork, weight, weights := r.Cost, max(r.Weight, 1), c.weights
	if l := c.queues[r.Team]; l != nil {
		teamWork += l.work
	} else {
		weights += weight
	}
	return teamWork * weights / weight
}
