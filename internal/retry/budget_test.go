package retry_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/hibiscuscove/hibiscuscove/internal/retry"
)

var start = time.Date(2026, 12, 3, 8, 0, 0, 0, time.UTC)

// TestRetryBudgetLimits checks that a VM never exceeds its share of the
// platform's retry limit in a window, so that all VMs together stay within it,
// and that a VM that has just started gets no share of the slack.
func TestRetryBudgetLimits(t *testing.T) {
	const (
		vms    = 9
		ratio  = 0.2
		slack  = 58
		window = 10 * time.Second
	)
	tests := map[string]struct {
		running    time.Duration
		requests   int
		minAllowed int
		maxAllowed int
	}{
		"running for long":             {time.Hour, 100, 16, (slack + 20*vms) / vms},
		"just started":                 {0, 100, 16, 20},
		"no traffic, running for long": {time.Hour, 0, 4, slack / vms},
		"no traffic, just started":     {0, 0, 0, 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			r := retry.NewBudget(retry.BudgetOptions{
				Ratio: ratio, Slack: slack, Window: window, VMs: func() int { return vms }, Start: start.Add(-test.running),
			})
			for range test.requests {
				r.RecordRequest(start, "lm")
			}
			allowed := 0
			for range 200 {
				if r.Allow(start.Add(time.Second), "lm") {
					allowed++
				}
			}
			if allowed < test.minAllowed || allowed > test.maxAllowed {
				t.Errorf("%d retries allowed, want %d to %d", allowed, test.minAllowed, test.maxAllowed)
			}
			if r.Allow(start.Add(time.Second), "desk") != (test.running > 0) {
				t.Error("services share a budget")
			}
		})
	}
}

// TestRetryBudgetWindowSlides checks that a retry is allowed again once an
// earlier one has left the window.
func TestRetryBudgetWindowSlides(t *testing.T) {
	r := retry.NewBudget(retry.BudgetOptions{
		Ratio: 0.2, Slack: 2, Window: time.Second, VMs: func() int { return 1 }, Start: start.Add(-time.Hour),
	})
	got := []bool{
		r.Allow(start, "lm"), r.Allow(start, "lm"), r.Allow(start.Add(900*time.Millisecond), "lm"), r.Allow(start.Add(1100*time.Millisecond), "lm"),
	}
	if diff := cmp.Diff([]bool{true, false, false, true}, got); diff != "" {
		t.Errorf("allowed (-want +got):\n%s", diff)
	}
}
