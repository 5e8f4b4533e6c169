// Package limit decides for package request which requests are admitted, in which
// order, and which may be retried.
//
// # Usage
//
//	budget := limit.NewRetryBudget(limit.RetryBudgetOptions{})
//	budget.Deposit(now, "replies/acme")
//	if budget.Withdraw(now, "replies/acme") {
//		// A retry is allowed.
//	}
//
//	gate := limit.NewGate(limit.GateOptions{Capacity: 64})
//	ticket, err := gate.Acquire(now, limit.Request{Organisation: "acme", Share: 1, Level: 2})
//	// Reject the request if err is not nil.
//	defer ticket.Release()
//	<-ticket.Admitted()
//
// RetryBudget, Gate and Ticket are safe for concurrent use. Functions that depend on
// the present time take it as an argument.
package limit

import (
	"sync"
	"time"
)

const (
	defaultRetryRatio   = 0.08
	defaultRetryBurst   = 10.0
	defaultRetryInitial = 3.0
	defaultRetryPerHour = 360.0
	budgetIdlePeriod    = 10 * time.Minute
)

// RetryBudgetOptions configures a RetryBudget. The zero value is valid.
type RetryBudgetOptions struct {
	// Ratio is the number of retries allowed per first attempt. The default is 0.08.
	Ratio float64
	// Burst is the maximum number of unused retries of a name. The default is 10.
	Burst float64
	// Initial is the number of retries allowed for a new name. The default is 3.
	Initial float64
	// PerHour is the number of retries that a name earns per hour, also without
	// first attempts. The default is 360.
	PerHour float64
}

// RetryBudget limits retries by the number of first attempts, with a token bucket for
// each name, such as that of a route and organisation.
type RetryBudget struct {
	opts RetryBudgetOptions

	mu      sync.Mutex
	buckets map[string]*bucket
}

// bucket holds the retries that a name has left.
type bucket struct {
	tokens     float64
	refilledAt time.Time
}

// NewRetryBudget returns a RetryBudget.
func NewRetryBudget(opts RetryBudgetOptions) *RetryBudget {
	if opts.Ratio <= 0 {
		opts.Ratio = defaultRetryRatio
	}
	if opts.Burst <= 0 {
		opts.Burst = defaultRetryBurst
	}
	if opts.Initial <= 0 {
		opts.Initial = defaultRetryInitial
	}
	if opts.PerHour <= 0 {
		opts.PerHour = defaultRetryPerHour
	}
	return &RetryBudget{opts: opts, buckets: make(map[string]*bucket)}
}

// Deposit adds RetryBudgetOptions.Ratio retries for a first attempt.
func (b *RetryBudget) Deposit(now time.Time, name string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	entry := b.refill(now, name)
	entry.tokens = min(b.opts.Burst, entry.tokens+b.opts.Ratio)
}

// Withdraw reports whether a retry is allowed, and if so subtracts it.
func (b *RetryBudget) Withdraw(now time.Time, name string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	entry := b.refill(now, name)
	if entry.tokens < 1 {
		return false
	}
	entry.tokens--
	return true
}

// Refund gives back a retry that Withdraw has subtracted and that was not made.
func (b *RetryBudget) Refund(now time.Time, name string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	entry := b.refill(now, name)
	entry.tokens = min(b.opts.Burst, entry.tokens+1)
}

// refill returns the bucket of a name with the retries earned until now. The
// caller holds the lock.
func (b *RetryBudget) refill(now time.Time, name string) *bucket {
	entry := b.buckets[name]
	if entry == nil {
		b.removeIdle(now)
		entry = &bucket{tokens: b.opts.Initial, refilledAt: now}
		b.buckets[name] = entry
	}
	if elapsed := now.Sub(entry.refilledAt); elapsed > 0 {
		entry.tokens = min(b.opts.Burst, entry.tokens+elapsed.Hours()*b.opts.PerHour)
		entry.refilledAt = now
	}
	return entry
}

// removeIdle removes the buckets unused for longer than budgetIdlePeriod. The
// caller holds the lock.
func (b *RetryBudget) removeIdle(now time.Time) {
	for name, entry := range b.buckets {
		if now.Sub(entry.refilledAt) > budgetIdlePeriod {
			delete(b.buckets, name)
		}
	}
}
