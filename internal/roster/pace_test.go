package roster_test

import (
	"testing"
	"time"

	"github.com/hibiscuscove/hibiscuscove/internal/roster"
)

// TestEstimateLearns: engines that are slower than thought, as in a crunch after
// crashes, are noticed by their first tokens, and so is their recovery.
func TestEstimateLearns(t *testing.T) {
	tb := table(engines(3, 1)...)
	q := query()
	q.Parts = nil
	tb.Start(start, engine("e00", 1), roster.Load{Requests: 1, WaitingTokens: 1_000}, nil, 0)
	tb.Start(start, engine("e01", 1), roster.Load{Requests: 1, WaitingTokens: 1_000}, nil, 0)
	tb.Start(start, engine("e02", 1), roster.Load{Requests: 1, WaitingTokens: 1_000}, nil, 0)
	before := pick(t, tb, start, q)
	serve := func(times float64) {
		for range 200 {
			c := pick(t, tb, start, q)
			stay := tb.Start(start, c.Upstream, roster.Load{Requests: 1}, nil, 0)
			took := 80 + times*c.WaitMS
			stay.FirstToken(start.Add(time.Duration(took*float64(time.Millisecond))), c.WaitMS)
			stay.Finish()
		}
	}
	serve(4)
	slow := pick(t, tb, start, q)
	if want := 80 + 3.5*before.WaitMS; slow.FirstTokenMS < want {
		t.Errorf("first token estimated after %.0f ms, want %.0f or more", slow.FirstTokenMS, want)
	}
	serve(1)
	if again := pick(t, tb, start, q); again.FirstTokenMS > before.FirstTokenMS*1.1 {
		t.Errorf("after the crunch estimated after %.0f ms, before it %.0f", again.FirstTokenMS, before.FirstTokenMS)
	}
}

// TestLongPromptsAreNotStarved: a prompt that is late at any engine is judged by
// the queue that it meets.
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

// TestCrunchIsFairToSizes: while first tokens come five times later than thought,
// a long prompt is turned away by the queue that turns the usual one away, not by
// its own length.
func TestCrunchIsFairToSizes(t *testing.T) {
	const target = 500 // ms
	tests := map[string]struct {
		own, queued int
		want        bool
	}{
		"usual, idle":   {2_900, 0, true},
		"long, idle":    {12_000, 0, true},
		"longest, idle": {39_000, 0, true},
		"usual, busy":   {2_900, 20_000, false},
		"longest, busy": {39_000, 20_000, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			tb := table(engine("e", 1))
			for range 200 {
				stay := tb.Start(start, engine("e", 1), roster.Load{}, nil, 0)
				stay.FirstToken(start.Add(580*time.Millisecond), 100)
				stay.Finish()
			}
			tb.Start(start, engine("e", 1), roster.Load{Requests: 1, WaitingTokens: test.queued}, nil, 0)
			q := query()
			q.Parts, q.UnsharedTokens = nil, test.own
			if got := pick(t, tb, start, q).FirstTokenMS <= target; got != test.want {
				t.Errorf("admitted %v, want %v", got, test.want)
			}
		})
	}
}

// TestNoCrunchWithoutEnd: however slow first tokens were, an idle engine gets the
// next request, which tells that the crunch is over.
func TestNoCrunchWithoutEnd(t *testing.T) {
	const target = 500 // ms
	tb := table(engine("e", 1))
	for range 500 {
		stay := tb.Start(start, engine("e", 1), roster.Load{}, nil, 0)
		stay.FirstToken(start.Add(5*time.Second), 100)
		stay.Finish()
	}
	for _, own := range []int{300, 2_900, 9_000, 39_000} {
		q := query()
		q.UnsharedTokens = own
		if c := pick(t, tb, start, q); c.FirstTokenMS > target {
			t.Errorf("a prompt of %d own tokens is refused at an idle engine, estimate %.0f ms", own, c.FirstTokenMS)
		}
	}
}
