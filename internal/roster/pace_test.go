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
	before := pick(t, tb, start, q)
	serve := func(times float64) {
		for range 200 {
			c := pick(t, tb, start, q)
			stay := tb.Begin(start, c.Upstream, roster.Load{Requests: 1}, nil, 0)
			took := 80 + times*c.WaitMS
			stay.First(start.Add(time.Duration(took*float64(time.Millisecond))), c.WaitMS)
			stay.End()
		}
	}
	serve(4)
	slow := pick(t, tb, start, q)
	if want := 80 + 3.5*before.WaitMS; slow.FirstMS < want {
		t.Errorf("first token estimated after %.0f ms, want %.0f or more", slow.FirstMS, want)
	}
	serve(1)
	if again := pick(t, tb, start, q); again.FirstMS > before.FirstMS*1.1 {
		t.Errorf("after the crunch estimated after %.0f ms, before it %.0f", again.FirstMS, before.FirstMS)
	}
}

// TestLongPromptsAreNotStarved: a prompt that is late at any engine is judged by
// the queue that it meets.
func TestLongPromptsAreNotStarved(t *testing.T) {
	const target = 500 // ms
	q := query()
	q.OwnTokens = 39_000
	tests := map[string]struct {
		queued int
		want   bool
	}{"idle engine": {0, true}, "busy engine": {30_000, false}}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			tb := table(engine("e", 1))
			tb.Begin(start, engine("e", 1), roster.Load{Requests: 1, WaitingTokens: test.queued}, nil, 0)
			if got := pick(t, tb, start, q).FirstMS <= target; got != test.want {
				t.Errorf("admitted %v, want %v", got, test.want)
			}
		})
	}
}
