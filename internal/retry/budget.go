// Package retry limits the retries of one VM to its share of a budget that the users'
// platform sets for all VMs together. Package limit has the budgets of the router's
// own API, which are by node.
//
// # Usage
//
//	budget := retry.NewBudget(retry.BudgetOptions{Ratio: 0.2, Slack: 50, Window: 10 * time.Second, ...})
//	budget.RecordRequest(now, service)
//	if budget.Allow(now, service) {
//		// Send the request once more.
//	}
package retry

import (
	"slices"
	"sync"
	"time"
)

// BudgetOptions configures a Budget.
type BudgetOptions struct {
	// Ratio is the number of retries that the platform allows per request to a service.
	Ratio float64
	// Slack is the number of further retries per window that all VMs share.
	Slack float64
	// Window is the length of the sliding window.
	Window time.Duration
	// VMs returns the number of VMs that share the slack.
	VMs func() int
	// Start is when this VM started. It does not know the retries it made before
	// a restart, so it gets no share of the slack during the first window.
	Start time.Time
}

// Budget is this VM's share of the retry budget of all VMs, per service.
// It is safe for concurrent use.
type Budget struct {
	opts BudgetOptions

	mu       sync.Mutex
	services map[string]*retryWindow
}

// retryWindow holds the times of the requests and retries in the window, in order.
type retryWindow struct {
	requests []time.Time
	retries  []time.Time
}

// usableShare is the usable part of the budget. The rest allows for requests
// that are in flight between two windows.
const usableShare = 0.8

// NewBudget returns a Budget without any requests.
func NewBudget(opts BudgetOptions) *Budget {
	return &Budget{opts: opts, services: make(map[string]*retryWindow)}
}

// RecordRequest records a caller's request to a service.
func (b *Budget) RecordRequest(now time.Time, service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.serviceWindow(now, service)
	w.requests = append(w.requests, now)
}

// Allow reports whether a request to the service may be retried, and records
// the retry if so.
func (b *Budget) Allow(now time.Time, service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.serviceWindow(now, service)
	limit := usableShare * b.opts.Ratio * float64(len(w.requests))
	if now.Sub(b.opts.Start) >= b.opts.Window {
		limit += usableShare * b.opts.Slack / float64(max(1, b.opts.VMs()))
	}
	if float64(len(w.retries)+1) > limit {
		return false
	}
	w.retries = append(w.retries, now)
	return true
}

// Refund gives back a retry that Allow has recorded at now and that was not sent.
func (b *Budget) Refund(now time.Time, service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.serviceWindow(now, service)
	if i := slices.IndexFunc(w.retries, now.Equal); i >= 0 {
		w.retries = slices.Delete(w.retries, i, i+1)
	}
}

// serviceWindow returns the service's window, without entries that have left it.
// The caller holds the lock.
func (b *Budget) serviceWindow(now time.Time, service string) *retryWindow {
	w := b.services[service]
	if w == nil {
		w = &retryWindow{}
		b.services[service] = w
	}
	start := now.Add(-b.opts.Window)
	w.requests = timesAfter(w.requests, start)
	w.retries = timesAfter(w.retries, start)
	return w
}

// timesAfter returns the times after start. times must be in order.
func timesAfter(times []time.Time, start time.Time) []time.Time {
	for i, t := range times {
		if t.After(start) {
			return times[i:]
		}
	}
	return times[:0]
}
