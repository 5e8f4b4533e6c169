package health

import (
	"maps"
	"math"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// MaxBackoff limits the time for which an upstream gets no requests at its word.
	MaxBackoff = time.Minute
	// maxReturnDelay limits the time after the end of a backoff over which VMs return.
	// It is at most the backoff divided by returnDelayDivisor.
	maxReturnDelay     = 500 * time.Millisecond
	returnDelayDivisor = 4
	// returnPeriod is the time in which a VM returns to sending without a bound.
	// Meanwhile the number of requests that it may have sent doubles every
	// returnDoubling, from one.
	returnPeriod   = 1500 * time.Millisecond
	returnDoubling = 200 * time.Millisecond
)

// Backoffs holds until when this VM sends no requests to upstreams that have turned one
// away. At the end VMs return one after the other, and each with one request first. A
// Backoffs is safe for concurrent use.
type Backoffs struct {
	vm string

	mu      sync.Mutex
	entries map[string]*backoff
	// problems holds the last time of each incarnation that could not be used.
	problems map[string]string
}

// backoff is what a Backoffs holds about one incarnation.
type backoff struct {
	// until is the end that the upstream has named, returnAt when this VM may send again,
	// and sent the number of requests that it has sent since.
	until, returnAt time.Time
	sent            int
}

// NewBackoffs returns the empty Backoffs of a VM.
func NewBackoffs(vm string) *Backoffs {
	return &Backoffs{vm: vm, entries: make(map[string]*backoff), problems: make(map[string]string)}
}

// Observe records that an upstream has turned a request away and takes none for
// retryAfter. It reports whether the upstream was not backed off from before. Of several
// times the last one counts.
func (b *Backoffs) Observe(now time.Time, incarnation string, retryAfter time.Duration) bool {
	if retryAfter <= 0 {
		return false
	}
	retryAfter = min(retryAfter, MaxBackoff)
	until := now.Add(retryAfter)
	b.mu.Lock()
	defer b.mu.Unlock()
	e := b.entries[incarnation]
	if e == nil {
		if len(b.entries) >= maxIncarnations {
			return false
		}
		e = &backoff{}
		b.entries[incarnation] = e
	}
	begins := !e.until.After(now)
	if until.After(e.until) {
		e.until, e.sent = until, 0
		e.returnAt = until.Add(returnDelay(b.vm, incarnation, retryAfter))
	}
	return begins
}

// returnDelay returns how long after the end of a backoff a VM sends again.
func returnDelay(vm, incarnation string, retryAfter time.Duration) time.Duration {
	spread := min(maxReturnDelay, retryAfter/returnDelayDivisor)
	return time.Duration(xxhash.Sum64String(vm+" "+incarnation) % uint64(spread+1))
}

// Any reports whether any upstream gets fewer requests.
func (b *Backoffs) Any(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, e := range b.entries {
		if !e.isOver(now) {
			return true
		}
	}
	return false
}

// Available reports whether a request may be sent to an upstream.
func (b *Backoffs) Available(now time.Time, incarnation string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	e := b.entries[incarnation]
	return e == nil || e.available(now)
}

// Acquire reports whether a request may be sent to an upstream, and counts it.
func (b *Backoffs) Acquire(now time.Time, incarnation string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	e := b.entries[incarnation]
	if e == nil {
		return true
	}
	if !e.available(now) {
		return false
	}
	e.sent++
	return true
}

// RetryAfter returns the time until a request may be sent to an upstream, 0 for now.
func (b *Backoffs) RetryAfter(now time.Time, incarnation string) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	e := b.entries[incarnation]
	if e == nil || e.available(now) {
		return 0
	}
	next := time.Duration(math.Log2(float64(e.sent+1)) * float64(returnDoubling))
	return e.returnAt.Add(min(next, returnPeriod)).Sub(now)
}

// isOver reports whether the backoff and the return have ended.
func (e *backoff) isOver(now time.Time) bool { return now.Sub(e.returnAt) >= returnPeriod }

func (e *backoff) available(now time.Time) bool {
	if now.Before(e.returnAt) {
		return false
	}
	return e.isOver(now) || float64(e.sent+1) <= math.Exp2(float64(now.Sub(e.returnAt))/float64(returnDoubling))
}

// RecordProblem records a time that can't be used. It reports whether it is a new one of
// that incarnation.
func (b *Backoffs) RecordProblem(incarnation, problem string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.problems[incarnation] == problem || len(b.problems) >= maxIncarnations {
		return false
	}
	b.problems[incarnation] = problem
	return true
}

// Retain removes the backoffs that are over, and the problems of the incarnations that
// are not on the list of upstreams.
func (b *Backoffs) Retain(now time.Time, listed map[string]bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	maps.DeleteFunc(b.entries, func(_ string, e *backoff) bool { return e.isOver(now) })
	maps.DeleteFunc(b.problems, func(incarnation, _ string) bool { return !listed[incarnation] })
}

// Remaining returns the time until requests may be sent again in milliseconds, by
// incarnation.
func (b *Backoffs) Remaining(now time.Time) map[string]int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	remaining := make(map[string]int64)
	for incarnation, e := range b.entries {
		if now.Before(e.returnAt) {
			remaining[incarnation] = e.returnAt.Sub(now).Milliseconds()
		}
	}
	return remaining
}
