package roster_test

import (
	"testing"
	"time"

	"github.com/hibiscuscove/hibiscuscove/internal/roster"
)

// TestSlowdownIsLearned checks that late first tokens raise the estimates, as
// under overload after crashes, and that the estimates fall again on recovery.
func TestSlowdownIsLearned(t *testing.T) {
	tb := table(engines(3, 1)...)
	q := query()
	q.Parts = nil
	tb.Start(start, engine("e00", 1), roster.Load{Requests: 1, WaitingTokens: 1_000}, nil, 0)
	tb.Start(start, engine("e01", 1), roster.Load{Requests: 1, WaitingTokens: 1_000}, nil, 0)
	tb.Start(start, engine("e02", 1), roster.Load{Requests: 1, WaitingTokens: 1_000}, nil, 0)
	before := pick(t, tb, start, q)
	serve := func(factor float64) {
		for range 200 {
			c := pick(t, tb, start, q)
			request := tb.Start(start, c.Upstream, roster.Load{Requests: 1}, nil, 0)
			elapsedMS := 80 + factor*c.WaitMS
			request.FirstToken(start.Add(time.Duration(elapsedMS*float64(time.Millisecond))), c.WaitMS)
			request.Finish()
		}
	}
	serve(4)
	slow := pick(t, tb, start, q)
	if want := 80 + 3.5*before.WaitMS; slow.FirstTokenMS < want {
		t.Errorf("estimated time to first token %.0f ms, want %.0f or more", slow.FirstTokenMS, want)
	}
	serve(1)
	if after := pick(t, tb, start, q); after.FirstTokenMS > before.FirstTokenMS*1.1 {
		t.Errorf("estimated time to first token %.0f ms after the overload, %.0f ms before it", after.FirstTokenMS, before.FirstTokenMS)
	}
}

// TestLongPromptsAreNotStarved guards against rejecting long prompts everywhere
// because of their own prefill time. They must be admitted or rejected by the
// queue that they meet.
func TestLongPromptsAreNotStarved(t *testing.T) {
	const target = 500 // ms
	q := query()
	q.UnsharedTokens = 39_000
	tests := map[string]struct {
		queued int
		want   bool
	}{"idle engine": {0, true}, "busy engine": {30_000, false}}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			tb := table(engine("e", 1))
			tb.Start(start, engine("e", 1), roster.Load{Requests: 1, WaitingTokens: test.queued}, nil, 0)
			if got := pick(t, tb, start, q).FirstTokenMS <= target; got != test.want {
				t.Errorf("admitted %v, want %v", got, test.want)
			}
		})
	}
}

// TestOverloadIsFairToSizes checks that, while first tokens come five times
// later than estimated, a long prompt is rejected by the same queue as a usual
// one, not because of its own length.
func TestOverloadIsFairToSizes(t *testing.T) {
	const target = 500 // ms
	tests := map[string]struct {
		unshared, queued int
		want             bool
	}{
		"normal, idle":  {2_900, 0, true},
		"long, idle":    {12_000, 0, true},
		"longest, idle": {39_000, 0, true},
		"normal, busy":  {2_900, 20_000, false},
		"longest, busy": {39_000, 20_000, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			tb := table(engine("e", 1))
			for range 200 {
				request := tb.Start(start, engine("e", 1), roster.Load{}, nil, 0)
				request.FirstToken(start.Add(580*time.Millisecond), 100)
				request.Finish()
			}
			tb.Start(start, engine("e", 1), roster.Load{Requests: 1, WaitingTokens: test.queued}, nil, 0)
			q := query()
			q.Parts, q.UnsharedTokens = nil, test.unshared
			if got := pick(t, tb, start, q).FirstTokenMS <= target; got != test.want {
				t.Errorf("admitted %v, want %v", got, test.want)
			}
		})
	}
}

// TestOverloadEnds guards against rejecting all requests for ever: however late
// first tokens were, an idle engine gets the next request, whose first token
// shows that the overload is over.
func TestOverloadEnds(t *testing.T) {
	const target = 500 // ms
	tb := table(engine("e", 1))
	for range 500 {
		request := tb.Start(start, engine("e", 1), roster.Load{}, nil, 0)
		request.FirstToken(start.Add(5*time.Second), 100)
		request.Finish()
	}
	for _, unshared := range []int{300, 2_900, 9_000, 39_000} {
		q := query()
		q.UnsharedTokens = unshared
		if c := pick(t, tb, start, q); c.FirstTokenMS > target {
			t.Errorf("a prompt of %d unshared tokens is rejected on an idle engine, estimate %.0f ms", unshared, c.FirstTokenMS)
		}
	}
}
