package leg

import (
	"context"
	"sync"
)

// freeEvents is the number of events that wait for the caller without being accounted for.
const freeEvents = 2

// Account is the memory for what callers have not read.
type Account interface {
	// TryAdd takes n bytes if there is room.
	TryAdd(n int64) bool
	// Remove gives n bytes back.
	Remove(n int64)
}

// Queue passes on what legs read to the one who answers the caller. Upstreams cut off
// responses that nobody reads, so that events wait here for a slow caller as far as the
// account has room. It is created by NewQueue and safe for concurrent use.
type Queue struct {
	account Account
	// ready and space have one element once something was added or taken out.
	ready, space chan struct{}

	mu      sync.Mutex
	waiting []queued
	// accounted is the number of bytes that the waiting events hold of the account.
	accounted int64
	closed    bool
}

type queued struct {
	received  Received
	accounted int64
}

// NewQueue returns an empty Queue. account may be nil: then only freeEvents wait.
func NewQueue(account Account) *Queue {
	return &Queue{account: account, ready: make(chan struct{}, 1), space: make(chan struct{}, 1)}
}

// Ready receives a value after something was added.
func (q *Queue) Ready() <-chan struct{} { return q.ready }

// Add adds what a leg has read once there is room. It reports whether it did so before ctx
// was done.
func (q *Queue) Add(ctx context.Context, r Received) bool {
	for !q.tryAdd(r) {
		select {
		case <-q.space:
		case <-ctx.Done():
			return false
		}
	}
	notify(q.ready)
	return ctx.Err() == nil
}

func (q *Queue) tryAdd(r Received) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.closed {
		return true // nobody takes it
	}
	accounted := int64(0)
	if len(q.waiting) >= freeEvents && (r.Event != nil || q.account == nil) {
		if r.Event != nil {
			accounted = int64(cap(r.Event.Raw))
		}
		if q.account == nil || !q.account.TryAdd(accounted) {
			return false
		}
	}
	q.waiting = append(q.waiting, queued{r, accounted})
	q.accounted += accounted
	return true
}

// Take returns what has waited the longest, if anything does.
func (q *Queue) Take() (Received, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.waiting) == 0 {
		return Received{}, false
	}
	first := q.waiting[0]
	q.waiting[0] = queued{} // it is held no longer
	q.waiting = q.waiting[1:]
	q.release(first.accounted)
	notify(q.space)
	return first.received, true
}

func (q *Queue) release(n int64) {
	if n > 0 {
		q.account.Remove(n)
		q.accounted -= n
	}
}

// Close gives back what the waiting events hold. What is added later is dropped.
func (q *Queue) Close() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.closed, q.waiting = true, nil
	q.release(q.accounted)
	notify(q.space)
}

// notify adds an element unless there is one.
func notify(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
