package balance

// This file holds what is known of one endpoint.

import (
	"math"
	"time"

	"ivyridge/belief"
	"ivyridge/quota"
	"ivyridge/speed"
)

// Times for which outcomes count.
const (
	outcomeHalfLife = 5 * time.Second // an outcome counts half after so long
	outcomePrior    = 6               // outcomes like those of the service that are assumed at first
	outcomeLeast    = 0.05            // below it, outcomes are forgotten
	downLeast       = 300 * time.Millisecond
	downMost        = 2 * time.Second
	remoteFor       = 5 * time.Second // what another instance said holds so long; of one that is lost it is dropped sooner
	intensityOver   = 2 * time.Second
)

// A charge is what one running request adds to an endpoint.
type charge struct {
	level    int     // of urgency
	uncached int     // prompt tokens to read
	memory   int     // tokens held while it runs
	exposure float64 // what a pause costs: weight over the lateness of the pause allowed
}

func newCharge(d *Demand, cached int) charge {
	c := charge{level: d.level(), uncached: max(0, d.Prompt-cached), memory: d.Prompt + d.Output}
	if d.Pause > 0 {
		c.exposure = d.weight() / lateness(milliseconds(d.Pause))
	}
	return c
}

// A Running sums up the requests that an instance runs at an endpoint, and what
// it saw of the last ones.
type Running struct {
	Requests int
	ByLevel  [levels]int // requests for models by urgency
	Unread   int         // prompt tokens of requests whose answer has not begun
	UnreadBy [levels]int // the same by urgency
	Memory   int
	Exposure float64
	Down     bool // the instance could not connect to the endpoint of late
	Seen
}

// Seen is what was seen of requests at an endpoint, recent ones counting more.
type Seen struct {
	Ended    float64   // requests
	Failed   float64   // those of them that failed
	Reading  speed.Sum // times to read a token of a prompt
	Stepping speed.Sum // times from token to token of one request alone
}

func (s *Seen) merge(other *Seen) {
	s.Ended += other.Ended
	s.Failed += other.Failed
	s.Reading.Merge(other.Reading)
	s.Stepping.Merge(other.Stepping)
}

func (r *Running) add(c charge) {
	r.Requests++
	r.ByLevel[c.level]++
	r.Unread += c.uncached
	r.UnreadBy[c.level] += c.uncached
	r.Memory += c.memory
	r.Exposure += c.exposure
}

// addRunning adds the requests that another instance runs, not what it saw.
func (r *Running) addRunning(other *Running) {
	r.Requests += other.Requests
	for level, n := range other.ByLevel {
		r.ByLevel[level] += n
		r.UnreadBy[level] += other.UnreadBy[level]
	}
	r.Unread += other.Unread
	r.Memory += other.Memory
	r.Exposure += other.Exposure
}

// addAll adds all that another instance says but whether it can connect.
func (r *Running) addAll(other *Running) {
	r.addRunning(other)
	r.merge(&other.Seen)
}

// remove takes out a request whose prompt was taken out of Unread before.
func (r *Running) remove(c charge) {
	if c == (charge{}) {
		return
	}
	r.Requests--
	r.ByLevel[c.level]--
	r.Memory -= c.memory
	r.Exposure = max(0, r.Exposure-c.exposure)
}

// A remote is what another instance last said of its requests.
type remote struct {
	Running
	at        time.Time
	restUntil time.Time // the endpoint wants nothing from that instance before
	leaves    bool      // the endpoint told that instance that it leaves
}

// A notice is a placement that another instance told.
type notice struct {
	at     time.Time
	level  int // of urgency
	tokens int // to be read
}

// heldPart remembers that an endpoint read a part of a prompt.
type heldPart struct {
	volume int // the endpoint's volume when the part was last used
	tokens int
}

// A load is the state of one endpoint.
type load struct {
	id         string // the endpoint's incarnation
	endpoint   string // its ID; empty until it is listed
	dataCentre string // its own, as of then
	hash       uint32

	running int // own requests of any kind
	own     Running
	remotes map[uint64]remote // by instance

	busyUntil time.Time // prompts that were placed will have been read
	noticed   []notice  // placements by others that their reports need not tell yet
	intensity float64   // mean lateness of the backlog over recent time
	reading   float64   // the part of recent time in which prompts were read
	measured  time.Time

	volume int // tokens that have passed through its memory
	parts  map[uint64]heldPart

	figures    *figures // of its service; nil until it is first looked at for a request
	readTime   float64  // ms to read a token, at the last choice
	stepTime   float64  // ms of a step beside no prompt and no other request, at the last choice
	seen       Seen     // of own requests, as of faded
	faded      time.Time
	others     Running   // what other instances run and saw together, as of refreshed
	lately     Seen      // of all instances' requests, as of refreshed
	refreshed  time.Time // zero: never
	stale      bool      // something was told or seen since
	distance   Distance  // from this instance
	downUntil  time.Time
	downFor    time.Duration
	downTold   int       // other instances that could not connect of late, at the last choice
	known      time.Time // since when
	used       time.Time // when this instance or another one placed a request there last
	said       *said     // what the endpoint said of itself; nil: nothing that matters
	limited    *limited  // what is known of its limit; nil: nothing
	leavesTold time.Time // until then it leaves, by what another instance says
	goneUntil  time.Time // another endpoint has its address; until then it is not tried
	cold       quota.Timed
	slowness   slowness // as told; of plain endpoints

	suspects     int       // own requests there that are suspects
	suspectUntil time.Time // one that another instance placed counts as being there

	donated time.Time // parts were last fetched from here
	changed uint64    // the number of the last change of what this instance runs

	remotesChanged uint64 // the same of what other instances run
}

func newLoad(id string) *load {
	return &load{
		id: id, hash: EndpointHash(id), readTime: readGuess, stepTime: stepGuess,
		remotes: make(map[uint64]remote), parts: make(map[uint64]heldPart),
	}
}

// refreshEvery is how long the sums over other instances hold though nothing was told:
// what was told long ago lapses, and what was seen fades. Summed up at each choice, what
// 60 others tell of 204 endpoints took 2.6 ms.
const refreshEvery = 100 * time.Millisecond

// refresh brings the sums over other instances up to now.
func (l *load) refresh(now time.Time) {
	if !l.stale && !l.refreshed.IsZero() && now.Sub(l.refreshed) < refreshEvery {
		return
	}
	l.others = Running{}
	l.downTold = 0
	for _, r := range l.remotes {
		age := now.Sub(r.at)
		if age < remoteFor {
			l.others.addAll(&r.Running)
		}
		if r.Down && age < downMost {
			l.downTold++
		}
	}
	l.lately = l.recent(now)
	l.lately.merge(&l.others.Seen)
	l.refreshed = now
	l.stale = false
}

// total sums up what all instances run, as of the last refresh.
func (l *load) total() Running {
	t := l.own
	t.addRunning(&l.others)
	return t
}

// backlog returns how long, in ms, the endpoint is still thought to read
// prompts that were placed there.
func (l *load) backlog(now time.Time) float64 {
	return max(0, float64(l.busyUntil.Sub(now))/float64(time.Millisecond))
}

// readUpTo takes what is known to have been read out of the backlog: no more
// can wait than the prompts of requests whose answers have not begun. That is
// told late, so that what others placed since counts as well. Without it, a
// backlog that was taken for too long would stay so until it has gone.
func (l *load) readUpTo(now time.Time, unread int, told time.Duration) {
	waiting := unread + l.noticedSince(now.Add(-told))
	end := now.Add(time.Duration(float64(waiting) * l.readTime * float64(time.Millisecond)))
	if end.Before(l.busyUntil) {
		l.observe(now)
		l.busyUntil = end
	}
}

// noticedSince returns the tokens that others placed after then, and forgets
// earlier ones.
func (l *load) noticedSince(then time.Time) int {
	kept := l.noticed[:0]
	sum := 0
	for _, n := range l.noticed {
		if n.at.After(then) {
			kept = append(kept, n)
			sum += n.tokens
		}
	}
	l.noticed = kept
	return sum
}

// Below these an endpoint has rested for so long that what it read tells nothing: a ms
// of backlog, and a thousandth of the time.
const (
	leastIntensity = 1.0
	leastReading   = 1e-3
)

// observe brings the intensity up to now.
func (l *load) observe(now time.Time) {
	passed := now.Sub(l.measured)
	if passed <= 0 {
		return
	}
	if !l.busyUntil.After(l.measured) && l.intensity < leastIntensity && l.reading < leastReading {
		l.measured, l.intensity, l.reading = now, 0, 0
		return // it rests
	}
	backlog := l.backlog(now)
	keep := math.Exp(-float64(passed) / float64(intensityOver))
	l.intensity = keep*l.intensity + (1-keep)*lateness(backlog)
	if l.busyUntil.After(l.measured) {
		read := min(float64(l.busyUntil.Sub(l.measured))/float64(passed), 1)
		l.reading = keep*l.reading + (1-keep)*read
	} else {
		l.reading *= keep
	}
	l.measured = now
}

// read notes that the endpoint reads a prompt: its parts are held then, and
// prompts that come later wait for it.
func (l *load) read(now time.Time, parts []Part, uncached int) {
	l.observe(now)
	if l.busyUntil.Before(now) {
		l.busyUntil = now
	}
	l.busyUntil = l.busyUntil.Add(time.Duration(float64(uncached) * l.readTime * float64(time.Millisecond)))
	l.volume += uncached
	for _, p := range parts {
		l.parts[p.ID] = heldPart{volume: l.volume, tokens: p.Tokens}
	}
}

// cached returns how many tokens of a prompt the endpoint is thought to
// hold: the parts read last, as far as its memory goes, and only up to the
// first that is missing.
func (l *load) cached(parts []Part, memory int) int {
	sum := 0
	for _, p := range parts {
		h, ok := l.parts[p.ID]
		if !ok || l.volume-h.volume > memory {
			break
		}
		sum += p.Tokens
	}
	return sum
}

// partsKept bounds the memory of parts.
const partsKept = 2048

func (l *load) prune(now time.Time) {
	l.noticedSince(now.Add(-reportMost))
	for id, r := range l.remotes {
		if now.Sub(r.at) > remoteFor {
			delete(l.remotes, id)
			l.stale = true
		}
	}
	if len(l.parts) <= partsKept {
		return
	}
	oldest := l.volume
	for _, h := range l.parts {
		oldest = min(oldest, h.volume)
	}
	middle := (oldest + l.volume) / 2
	for id, h := range l.parts {
		if h.volume <= middle {
			delete(l.parts, id)
		}
	}
}

// downByMany is how many other instances that could not connect to an endpoint make
// it down for all: one alone may be cut off from it.
const downByMany = 2

// failing returns the part that failed.
func (s *Seen) failing() float64 {
	if s.Ended == 0 {
		return 0
	}
	return s.Failed / s.Ended
}

// excess returns by how much the failures of an endpoint are thought to be
// above those of its service. Where all fail alike, or few requests have
// ended, there is nothing to flee from: chance alone would drive all requests
// to the endpoint that has failed least by luck.
func (s *Seen) excess(service float64) float64 {
	return max(0, (s.Failed+outcomePrior*service)/(s.Ended+outcomePrior)-service)
}

// recent returns what this instance saw, as it counts now.
func (l *load) recent(now time.Time) Seen {
	keep := math.Exp2(-float64(now.Sub(l.faded)) / float64(outcomeHalfLife))
	s := Seen{Reading: l.seen.Reading.Faded(keep), Stepping: l.seen.Stepping.Faded(keep)}
	if keep*l.seen.Ended >= outcomeLeast {
		s.Ended, s.Failed = keep*l.seen.Ended, keep*l.seen.Failed
	}
	return s
}

// fade brings what this instance saw up to now, for something to be added.
func (l *load) fade(now time.Time) {
	l.stale = true
	l.seen = l.recent(now)
	l.faded = now
}

func (l *load) record(now time.Time, o Outcome) {
	if o == Unknown {
		return
	}
	l.fade(now)
	l.seen.Ended++
	if o != Served {
		l.seen.Failed++
	}
}

// answered says that the endpoint is reached.
func (l *load) answered(time.Time) {
	l.downFor = 0
	l.downUntil = time.Time{}
}

func (l *load) unreachable(now time.Time) {
	l.downFor = min(max(2*l.downFor, downLeast), downMost)
	l.downUntil = now.Add(l.downFor)
}

// goneFor is how long an endpoint whose address another one has is not tried: longer than
// it stays listed, three of its heartbeats and the list's lag. If the answer that said so
// was a faulty one's, that is what it costs.
const goneFor = 5 * time.Second

// goneYet returns how much longer the endpoint is not tried.
func (l *load) goneYet(now time.Time) time.Duration { return max(0, l.goneUntil.Sub(now)) }

// avoided reports whether the endpoint is passed over. As a last resort, one
// that is thought to be down or has just lapsed may be tried; one that is gone
// is not.
func (l *load) avoided(e *belief.Endpoint, now time.Time, lastResort bool) bool {
	if l.goneUntil.After(now) {
		return true
	}
	if !e.GraceUntil.IsZero() {
		return !lastResort || now.After(e.GraceUntil)
	}
	return !lastResort && (l.downUntil.After(now) || l.downTold >= downByMany)
}
