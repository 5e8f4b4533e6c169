// Package limit decides which requests are admitted, in which order, and which
// may be tried again.
//
// # Usage
//
//	budget := limit.NewBudget(limit.BudgetOptions{})
//	budget.Deposit("replies/acme")
//	if budget.Withdraw(now, "replies/acme") {
//		// A retry is allowed.
//	}
//
//	gate := limit.NewGate(limit.GateOptions{Capacity: 64})
//	ticket, err := gate.Acquire(now, limit.Request{Organisation: "acme", Share: 1, Level: 2})
//
// All types are safe for concurrent use. Each function that decides takes the
// present time as an argument.
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

// BudgetOptions sets up a Budget. The zero value works.
type BudgetOptions struct {
	// Ratio is the share of first attempts that may be followed by a retry. The default is 0.08.
	Ratio float64
	// Burst bounds the retries saved up. The default is 10.
	Burst float64
	// Initial is what a new name starts with. The default is 3.
	Initial float64
	// PerHour is what a name earns without traffic. The default is 360.
	PerHour float64
}

// Budget bounds retries by the number of first attempts, for each name on its own.
type Budget struct {
	opts BudgetOptions

	mu       sync.Mutex
	accounts map[string]*account
}

type account struct {
	tokens float64
	at     time.Time
}

// NewBudget returns a Budget.
func NewBudget(opts BudgetOptions) *Budget {
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
	return &Budget{opts: opts, accounts: make(map[string]*account)}
}

// Deposit counts a first attempt.
func (b *Budget) Deposit(now time.Time, name string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	a := b.account(now, name)
	a.tokens = min(b.opts.Burst, a.tokens+b.opts.Ratio)
}

// Withdraw reports whether a retry is allowed, and counts it if so.
func (b *Budget) Withdraw(now time.Time, name string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	a := b.account(now, name)
	if a.tokens < 1 {
		return false
	}
	a.tokens--
	return true
}

func (b *Budget) account(now time.Time, name string) *account {
	a := b.accounts[name]
	if a == nil {
		b.forgetIdle(now)
		a = &account{tokens: b.opts.Initial, at: now}
		b.accounts[name] = a
	}
	if elapsed := now.Sub(a.at); elapsed > 0 {
		a.tokens = min(b.opts.Burst, a.tokens+elapsed.Hours()*b.opts.PerHour)
		a.at = now
	}
	return a
}

func (b *Budget) forgetIdle(now time.Time) {
	for name, a := range b.accounts {
		if now.Sub(a.at) > budgetIdlePeriod {
			delete(b.accounts, name)
		}
	}
}
