package ingress

import (
	"sync"
	"time"
)

// RetryBudgetOptions sets up a RetryBudget.
type RetryBudgetOptions struct {
	// Ratio is how many repeats the platform allows for each request to a service.
	Ratio float64
	// Slack is how many repeats it allows in a window besides.
	Slack float64
	// Window is the length of the window.
	Window time.Duration
	// VMs returns how many VMs share the slack.
	VMs func() int
	// Start is when this VM began. What it used before is not known, so that it
	// has no share of the slack for a window's length.
	Start time.Time
}

// RetryBudget is this VM's share of the budget of repeats that all VMs have, for
// each service. It is safe for concurrent use.
type RetryBudget struct {
	opts RetryBudgetOptions

	mu       sync.Mutex
	services map[string]*retryWindow
}

type retryWindow struct {
	requests []time.Time
	repeats  []time.Time
}

// retryShare is the part of the budget that is used; requests in flight
// between two windows need the rest.
const retryShare = 0.8

// NewRetryBudget returns a RetryBudget.
func NewRetryBudget(opts RetryBudgetOptions) *RetryBudget {
	return &RetryBudget{opts: opts, services: make(map[string]*retryWindow)}
}

// Request counts a caller's request to a service.
func (r *RetryBudget) Request(now time.Time, service string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	w := r.window(now, service)
	w.requests = append(w.requests, now)
}

// Allow reports whether a request may be sent to the service once more, and
// counts it if so.
func (r *RetryBudget) Allow(now time.Time, service string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	w := r.window(now, service)
	most := retryShare * r.opts.Ratio * float64(len(w.requests))
	if now.Sub(r.opts.Start) >= r.opts.Window {
		most += retryShare * r.opts.Slack / float64(max(1, r.opts.VMs()))
	}
	if float64(len(w.repeats)+1) > most {
		return false
	}
	w.repeats = append(w.repeats, now)
	return true
}

func (r *RetryBudget) window(now time.Time, service string) *retryWindow {
	w := r.services[service]
	if w == nil {
		w = &retryWindow{}
		r.services[service] = w
	}
	start := now.Add(-r.opts.Window)
	w.requests = after(w.requests, start)
	w.repeats = after(w.repeats, start)
	return w
}

// after drops the times up to start.
func after(times []time.Time, start time.Time) []time.Time {
	for i, t := range times {
		if t.After(start) {
			return times[i:]
		}
	}
	return times[:0]
}
