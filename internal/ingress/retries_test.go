package ingress_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/hibiscuscove/hibiscuscove/internal/ingress"
	"github.com/hibiscuscove/hibiscuscove/internal/roster"
)

var start = time.Date(2026, 12, 3, 8, 0, 0, 0, time.UTC)

// TestRetriesKeepTheBudget: whatever the pattern of repeats, all VMs together
// stay under the platform's ratio and slack in every window.
func TestRetriesKeepTheBudget(t *testing.T) {
	const (
		vms    = 9
		ratio  = 0.2
		slack  = 58
		window = 10 * time.Second
	)
	tests := map[string]struct {
		running  time.Duration
		requests int
		least    int
		most     int
	}{
		"a VM that runs for long":  {time.Hour, 100, 16, (slack + 20*vms) / vms},
		"a VM that has just begun": {0, 100, 16, 20},
		"no traffic, long running": {time.Hour, 0, 4, slack / vms},
		"no traffic, just begun":   {0, 0, 0, 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			r := ingress.NewRetryBudget(ingress.RetryBudgetOptions{
				Ratio: ratio, Slack: slack, Window: window, VMs: func() int { return vms }, Start: start.Add(-test.running),
			})
			for range test.requests {
				r.Request(start, "lm")
			}
			allowed := 0
			for range 200 {
				if r.Allow(start.Add(time.Second), "lm") {
					allowed++
				}
			}
			if allowed < test.least || allowed > test.most {
				t.Errorf("%d repeats allowed, want %d to %d", allowed, test.least, test.most)
			}
			if r.Allow(start.Add(time.Second), "desk") != (test.running > 0) {
				t.Error("services share an account")
			}
		})
	}
}

func TestRetriesWindowSlides(t *testing.T) {
	r := ingress.NewRetryBudget(ingress.RetryBudgetOptions{
		Ratio: 0.2, Slack: 2, Window: time.Second, VMs: func() int { return 1 }, Start: start.Add(-time.Hour),
	})
	got := []bool{
		r.Allow(start, "lm"), r.Allow(start, "lm"), r.Allow(start.Add(900*time.Millisecond), "lm"), r.Allow(start.Add(1100*time.Millisecond), "lm"),
	}
	if diff := cmp.Diff([]bool{true, false, false, true}, got); diff != "" {
		t.Errorf("allowed (-want +got):\n%s", diff)
	}
}

// TestCrashingRequest: only upstreams that are then seen to have ended count,
// and two of them stop the request.
func TestCrashingRequest(t *testing.T) {
	u := func(id string) roster.Upstream { return roster.Upstream{ID: id, Born: 1} }
	tests := map[string]struct {
		broke, ended []string
		late         time.Duration
		want         bool
	}{
		"answers lost, nobody ended":    {[]string{"a", "b", "c"}, nil, 0, false},
		"one upstream ended":            {[]string{"a", "b"}, []string{"a"}, 0, false},
		"two upstreams ended":           {[]string{"a", "b"}, []string{"a", "b"}, 0, true},
		"others ended":                  {[]string{"a", "b"}, []string{"c", "d"}, 0, false},
		"ended long after they broke":   {[]string{"a", "b"}, []string{"a", "b"}, time.Minute, false},
		"broke off twice, one upstream": {[]string{"a", "a"}, []string{"a"}, 0, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s := ingress.NewCrashTracker()
			for _, id := range test.broke {
				s.RecordBroken(start, "body", u(id).Incarnation())
			}
			for _, id := range test.ended {
				s.RecordEnded(start.Add(test.late+time.Second), []roster.Change{{Upstream: u(id), Kind: roster.Removed, EndedIncarnation: u(id).Incarnation()}})
			}
			if diff := cmp.Diff(test.want, s.Stopped(start.Add(2*time.Second), "body")); diff != "" {
				t.Errorf("stopped (-want +got):\n%s", diff)
			}
			if s.Stopped(start.Add(2*time.Second), "another body") {
				t.Error("another request is stopped")
			}
		})
	}
}
