package node

// This file stores the answers of keyed requests. A retry with the same key, on any
// instance, waits for the running attempt or gets its stored answer.

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
	maxAnswerBytes = 48 << 20 // total of the stored bodies
	joinTimeout    = 4 * time.Minute
	joinAttempts   = 2
)

// An Answer is a complete answer, stored for retries.
type Answer struct {
	Status      int
	ContentType string
	Body        []byte
	// Failure is set if the attempt ended without an answer; the other fields are then zero.
	Failure *verdict.Error
}

// An attemptKey identifies one attempt at a key. An attempt that is missing from the store was
// withdrawn before anything was sent.
type attemptKey struct {
	key     owner.Key
	attempt uint64
}

type attemptAnswer struct {
	done        chan struct{}
	answer      *Answer // nil while running
	completedAt time.Duration
}

type answerStore struct {
	mu        sync.Mutex
	attempts  map[attemptKey]*attemptAnswer
	completed []attemptKey // completed attempts, oldest first
	evicted   int          // number of leading entries of completed whose bodies were dropped
	bytes     int
}

func newAnswerStore() *answerStore {
	return &answerStore{attempts: make(map[attemptKey]*attemptAnswer)}
}

func (a *answerStore) begin(k owner.Key, attempt uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.attempts[attemptKey{k, attempt}] = &attemptAnswer{done: make(chan struct{})}
}

// drop removes attempt at k, which was not sent.
func (a *answerStore) drop(k owner.Key, attempt uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	id := attemptKey{k, attempt}
	if x := a.attempts[id]; x != nil && x.answer == nil {
		delete(a.attempts, id)
		close(x.done)
	}
}

// StoreAnswer stores ans as the answer of c's attempt, for retries.
func (n *Node) StoreAnswer(c *Claim, ans *Answer) {
	a := n.answers
	a.mu.Lock()
	defer a.mu.Unlock()
	id := attemptKey{c.Key, c.Attempt}
	x := a.attempts[id]
	if x == nil || x.answer != nil {
		return
	}
	x.answer, x.completedAt = ans, n.now()
	close(x.done)
	a.bytes += len(ans.Body)
	a.completed = append(a.completed, id)
	for a.bytes > maxAnswerBytes && a.evicted < len(a.completed) {
		a.evict()
	}
}

// evict drops the body of the oldest answer but keeps the fact that the attempt ran.
func (a *answerStore) evict() {
	x := a.attempts[a.completed[a.evicted]]
	a.evicted++
	a.bytes -= len(x.answer.Body)
	x.answer = &Answer{Failure: verdict.Fail(verdict.Ran, verdict.Duplicate, "the request ran; its answer is no longer held")}
}

// expire removes answers that are older than any owner's record of them. If one were
// removed earlier, a retry would take its attempt for one that was not sent.
func (a *answerStore) expire(now time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for len(a.completed) > 0 {
		x := a.attempts[a.completed[0]]
		if now-x.completedAt < 2*owner.Retention {
			return
		}
		a.bytes -= len(x.answer.Body)
		delete(a.attempts, a.completed[0])
		a.completed = a.completed[1:]
		a.evicted = max(0, a.evicted-1)
	}
}

// wait waits for the answer of attempt at k. It returns nil if the attempt was not sent.
func (a *answerStore) wait(ctx context.Context, k owner.Key, attempt uint64) (*Answer, error) {
	a.mu.Lock()
	x := a.attempts[attemptKey{k, attempt}]
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

// Join waits for the answer of r's attempt, which holds a key. A nil answer means that
// the attempt was not sent, so the key may be claimed again.
func (n *Node) Join(ctx context.Context, r *owner.Record) (*Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	n.count.joinCalls.Add(1)
	if r.Entry == n.opt.Name {
		return n.joinLocal(ctx, r)
	}
	var err error
	for range joinAttempts {
		var reply *peerpb.JoinReply
		reply, err = n.dial.To(r.EntryAddr).Join(ctx, &peerpb.JoinRequest{Key: r.Key[:], Attempt: r.Attempt, Incarnation: r.Incarnation})
		if err == nil {
			return answerFromProto(reply), nil
		}
		if !n.sleepContext(ctx, claimRetryDelay) {
			break
		}
	}
	n.count.joinFailures.Add(1)
	return nil, verdict.Fail(verdict.MayHaveRun, verdict.EntryLost, "instance %s, which had the request, does not answer: %v", r.Entry, err)
}

func (n *Node) joinLocal(ctx context.Context, r *owner.Record) (*Answer, error) {
	if r.Incarnation != n.incarnation {
		return nil, verdict.Fail(verdict.MayHaveRun, verdict.EntryLost, "instance %s, which had the request, was restarted", r.Entry)
	}
	ans, err := n.answers.wait(ctx, r.Key, r.Attempt)
	if err == nil && ans == nil {
		n.Withdraw(&Claim{Key: r.Key, Attempt: r.Attempt})
	}
	return ans, err
}

// Join serves a peer that received a retry of an attempt on this instance.
func (s ownerService) Join(ctx context.Context, r *peerpb.JoinRequest) (*peerpb.JoinReply, error) {
	rec := &owner.Record{Key: keyFromBytes(r.Key), Entry: s.opt.Name, Attempt: r.Attempt, Incarnation: r.Incarnation}
	ans, err := s.joinLocal(ctx, rec)
	if e := verdict.Of(err); e != nil {
		if ctx.Err() != nil {
			return nil, err
		}
		ans = &Answer{Failure: e}
	}
	return answerToProto(ans), nil
}

func answerToProto(a *Answer) *peerpb.JoinReply {
	switch {
	case a == nil:
		return &peerpb.JoinReply{}
	case a.Failure != nil:
		return &peerpb.JoinReply{Known: true, Verdict: a.Failure.Verdict.String(), Reason: string(a.Failure.Reason), Detail: a.Failure.Detail}
	}
	return &peerpb.JoinReply{Known: true, Status: int32(a.Status), ContentType: a.ContentType, Body: a.Body}
}

func answerFromProto(r *peerpb.JoinReply) *Answer {
	switch {
	case !r.Known:
		return nil
	case r.Reason != "":
		v, _ := verdict.Parse(r.Verdict)
		return &Answer{Failure: verdict.Fail(v, verdict.Reason(r.Reason), "%s", r.Detail)}
	}
	return &Answer{Status: int(r.Status), ContentType: r.ContentType, Body: r.Body}
}
