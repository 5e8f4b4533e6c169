package reachability_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/hibiscuscove/hibiscuscove/internal/reachability"
)

// TestAvoidedFor checks for how long an upstream is avoided, to 100 ms, from the last
// of the events of each case.
func TestAvoidedFor(t *testing.T) {
	type state = reachability.State
	start := time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)
	// fail returns the state after n failures, each once the last one has passed, and
	// the time of the last one.
	fail := func(s state, n int) (state, time.Time) {
		now := start
		for i := range n {
			if i > 0 {
				now = now.Add(10 * time.Second)
			}
			s = s.WithFailure(now)
		}
		return s, now
	}
	tests := map[string]struct {
		failures int
		change   func(state, time.Time) state
		want     time.Duration
	}{
		"nothing sent":                {0, nil, 0},
		"one failure":                 {1, nil, 700 * time.Millisecond},
		"three failures":              {3, nil, 2_800 * time.Millisecond},
		"many failures":               {9, nil, 5 * time.Second},
		"failure while avoided":       {1, func(s state, now time.Time) state { return s.WithFailure(now) }, 700 * time.Millisecond},
		"response":                    {3, func(s state, now time.Time) state { return s.WithResponse(now) }, 0},
		"failure after a response":    {3, func(s state, now time.Time) state { return s.WithResponse(now).WithFailure(now) }, 700 * time.Millisecond},
		"mismatch":                    {0, func(s state, now time.Time) state { return s.WithMismatch(now) }, 5 * time.Second},
		"silence":                     {0, func(s state, now time.Time) state { return s.WithSilence(now, now.Add(-time.Second)) }, 700 * time.Millisecond},
		"silence before the response": {0, func(s state, now time.Time) state { return s.WithResponse(now).WithSilence(now, now.Add(-time.Second)) }, 0},
		"silence after the response":  {0, func(s state, now time.Time) state { return s.WithResponse(now).WithSilence(now, now) }, 700 * time.Millisecond},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s, now := fail(state{}, test.failures)
			if test.change != nil {
				s = test.change(s, now)
			}
			var got time.Duration
			for s.Avoided(now.Add(got)) {
				got += 100 * time.Millisecond
			}
			if diff := cmp.Diff(test.want, got); diff != "" {
				t.Errorf("avoided for (-want +got):\n%s", diff)
			}
		})
	}
}
