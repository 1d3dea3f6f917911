package node

// This file keeps the answers of keyed requests, so that a repeat under the
// same key joins the running one or gets its answer, on whichever instance
// it lands.

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"ivyridge/owner"
	"ivyridge/peer/peerpb"
	"ivyridge/verdict"
)

const (
	// maxAnswers bounds the memory of kept answers, in bytes.
	maxAnswers  = 48 << 20
	joinTimeout = 4 * time.Minute
	joinDial    = 2
)

// An Answer is a whole answer, kept for repeats.
type Answer struct {
	Status      int
	ContentType string
	Body        []byte
	// Failure is set instead where the attempt ended without an answer.
	Failure *verdict.Error
}

// An attemptKey names one attempt at a key. An attempt that is not among the
// kept ones was withdrawn before anything was sent.
type attemptKey struct {
	key     owner.Key
	attempt uint64
}

type kept struct {
	done   chan struct{}
	answer *Answer // nil while running
	ended  time.Duration
}

type answers struct {
	mu      sync.Mutex
	kept    map[attemptKey]*kept
	order   []attemptKey // ended, oldest first
	evicted int          // of order, those whose text was dropped for room
	bytes   int
}

func newAnswers() *answers { return &answers{kept: make(map[attemptKey]*kept)} }

func (a *answers) begin(k owner.Key, attempt uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.kept[attemptKey{k, attempt}] = &kept{done: make(chan struct{})}
}

// drop forgets an attempt that was not sent.
func (a *answers) drop(k owner.Key, attempt uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	id := attemptKey{k, attempt}
	if x := a.kept[id]; x != nil && x.answer == nil {
		delete(a.kept, id)
		close(x.done)
	}
}

// Keep stores the answer of a claim for repeats.
func (n *Node) Keep(c *Claim, ans *Answer) {
	a := n.answers
	a.mu.Lock()
	defer a.mu.Unlock()
	id := attemptKey{c.Key, c.Attempt}
	x := a.kept[id]
	if x == nil || x.answer != nil {
		return
	}
	x.answer, x.ended = ans, n.now()
	close(x.done)
	a.bytes += len(ans.Body)
	a.order = append(a.order, id)
	for a.bytes > maxAnswers && a.evicted < len(a.order) {
		a.evict()
	}
}

// evict drops the oldest answer's text but remembers that there was one.
func (a *answers) evict() {
	x := a.kept[a.order[a.evicted]]
	a.evicted++
	a.bytes -= len(x.answer.Body)
	x.answer = &Answer{Failure: verdict.Fail(verdict.Ran, verdict.Duplicate, "the request ran; its answer is no longer held")}
}

// expire forgets answers older than any record of their owners, which would
// else take a forgotten attempt for one that was not sent.
func (a *answers) expire(now time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for len(a.order) > 0 {
		x := a.kept[a.order[0]]
		if now-x.ended < 2*owner.Retention {
			return
		}
		a.bytes -= len(x.answer.Body)
		delete(a.kept, a.order[0])
		a.order = a.order[1:]
		a.evicted = max(0, a.evicted-1)
	}
}

// wait returns the answer of an attempt, or nil if it was not sent.
func (a *answers) wait(ctx context.Context, k owner.Key, attempt uint64) (*Answer, error) {
	a.mu.Lock()
	x := a.kept[attemptKey{k, attempt}]
	a.mu.Unlock()
	if x == nil {
		return nil, nil
	}
	select {
	case <-x.done:
	case <-ctx.Done():
		return nil, errors.Wrap(ctx.Err(), "join")
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	return x.answer, nil
}

// Join waits for the answer of the attempt that holds a key. A nil answer
// says that the attempt was not sent, so that the key may be claimed again.
func (n *Node) Join(ctx context.Context, r *owner.Record) (*Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	n.count.joins.Add(1)
	if r.Entry == n.opt.Name {
		return n.joinHere(ctx, r)
	}
	var err error
	for range joinDial {
		var reply *peerpb.JoinReply
		reply, err = n.dial.To(r.EntryAddr).Join(ctx, &peerpb.JoinRequest{Key: r.Key[:], Attempt: r.Attempt, Incarnation: r.Incarnation})
		if err == nil {
			return answerOf(reply), nil
		}
		if !n.pause(ctx, claimPause) {
			break
		}
	}
	n.count.joinErrors.Add(1)
	return nil, verdict.Fail(verdict.MayHaveRun, verdict.EntryLost, "instance %s, which had the request, does not answer: %v", r.Entry, err)
}

func (n *Node) joinHere(ctx context.Context, r *owner.Record) (*Answer, error) {
	if r.Incarnation != n.incarnation {
		return nil, verdict.Fail(verdict.MayHaveRun, verdict.EntryLost, "instance %s, which had the request, was restarted", r.Entry)
	}
	ans, err := n.answers.wait(ctx, r.Key, r.Attempt)
	if err == nil && ans == nil {
		n.Withdraw(&Claim{Key: r.Key, Attempt: r.Attempt})
	}
	return ans, err
}

// Join serves a peer whose caller repeated a key that this instance runs.
func (s ownerService) Join(ctx context.Context, r *peerpb.JoinRequest) (*peerpb.JoinReply, error) {
	rec := &owner.Record{Key: keyOf(r.Key), Entry: s.opt.Name, Attempt: r.Attempt, Incarnation: r.Incarnation}
	ans, err := s.joinHere(ctx, rec)
	if e := verdict.Of(err); e != nil {
		if ctx.Err() != nil {
			return nil, err
		}
		ans = &Answer{Failure: e}
	}
	return wireAnswer(ans), nil
}

func wireAnswer(a *Answer) *peerpb.JoinReply {
	switch {
	case a == nil:
		return &peerpb.JoinReply{}
	case a.Failure != nil:
		return &peerpb.JoinReply{Known: true, Verdict: a.Failure.Verdict.String(), Reason: string(a.Failure.Reason), Detail: a.Failure.Detail}
	}
	return &peerpb.JoinReply{Known: true, Status: int32(a.Status), ContentType: a.ContentType, Body: a.Body}
}

func answerOf(r *peerpb.JoinReply) *Answer {
	switch {
	case !r.Known:
		return nil
	case r.Reason != "":
		v, _ := verdict.Parse(r.Verdict)
		return &Answer{Failure: verdict.Fail(v, verdict.Reason(r.Reason), "%s", r.Detail)}
	}
	return &Answer{Status: int(r.Status), ContentType: r.ContentType, Body: r.Body}
}
