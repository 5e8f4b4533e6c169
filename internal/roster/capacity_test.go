package roster_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/hibiscuscove/hibiscuscove/internal/roster"
)

// observed is what a recorder gets.
type observed struct {
	Incarnation       string
	Expected, Elapsed time.Duration
	InFlight          int
}

// recorder is a roster.Observer.
type recorder struct{ list []observed }

func (r *recorder) Observe(_ time.Time, incarnation string, expected, elapsed time.Duration) {
	r.list = append(r.list, observed{Incarnation: incarnation, Expected: expected, Elapsed: elapsed})
}

func (r *recorder) ObservePlain(_ time.Time, incarnation string, inFlight int, elapsed time.Duration) {
	r.list = append(r.list, observed{Incarnation: incarnation, Elapsed: elapsed, InFlight: inFlight})
}

// Guards against observations of requests that say nothing about an upstream's speed: those
// that failed, fast or not, those of an engine whose cache is empty after new weights (in covesim,
// rollouts in a row then lost 0.03 of their worth), and second ones of the same request; and against figures that
// count twice, in the speed and in the wait from which it is learnt.
func TestObservations(t *testing.T) {
	const ms = time.Millisecond
	u := engine("e00", 1)
	tests := map[string]struct {
		act  func(*roster.Table)
		want []observed
	}{
		"first token": {func(tb *roster.Table) {
			tb.SetCapacities(func(string) roster.Capacity { return roster.Capacity{Speed: 0.5} })
			c := pick(t, tb, start, query())
			f := tb.Start(start, u, roster.Load{Requests: 1}, nil, 0)
			f.ExpectPrefill(c.PrefillMS)
			f.FirstToken(start.Add(280*ms), c.WaitMS)
			f.FirstToken(start.Add(900*ms), c.WaitMS)
			f.Finish()
		}, []observed{{Incarnation: u.Incarnation(), Expected: expectedPrefill(t), Elapsed: 200 * ms}}},
		"failed before the first token": {func(tb *roster.Table) {
			f := tb.Start(start, u, roster.Load{Requests: 1}, nil, 0)
			f.ExpectPrefill(100)
			f.Finish()
			f.FirstToken(start.Add(ms), 100)
		}, nil},
		"after new weights": {func(tb *roster.Table) {
			tb.ObserveVersion(start, u.ID, u.Born, 2)
			for _, after := range []time.Duration{time.Second, 5 * time.Second} {
				f := tb.Start(start.Add(after), u, roster.Load{Requests: 1}, nil, 0)
				f.ExpectPrefill(100)
				f.FirstToken(start.Add(after+280*ms), 100)
			}
		}, []observed{{Incarnation: u.Incarnation(), Expected: 100 * ms, Elapsed: 200 * ms}}},
		"no expectation": {func(tb *roster.Table) {
			tb.Start(start, u, roster.Load{Requests: 1}, nil, 0).FirstToken(start.Add(ms), 100)
		}, nil},
		"plain response": {func(tb *roster.Table) {
			tb.Start(start, u, roster.Load{Requests: 1}, nil, 0)
			tb.SetPeerState(start, "vm-2", roster.PeerState{Loads: map[string]roster.Load{"e00": {Requests: 2}}})
			f := tb.Start(start, u, roster.Load{Requests: 1}, nil, 0)
			f.Complete(start.Add(60 * ms))
			f.Finish()
		}, []observed{{Incarnation: u.Incarnation(), Elapsed: 60 * ms, InFlight: 4}}},
		"fast failure of a plain upstream": {func(tb *roster.Table) {
			tb.Start(start, u, roster.Load{Requests: 1}, nil, 0).Finish()
		}, nil},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			r := &recorder{}
			tb := roster.New(roster.Options{Observer: r})
			tb.Replace(start, []roster.Upstream{u}, false)
			test.act(tb)
			if diff := cmp.Diff(test.want, r.list); diff != "" {
				t.Errorf("observations (-want +got):\n%s", diff)
			}
		})
	}
}

// expectedPrefill is the estimate for the query at an idle engine at the configured speed.
func expectedPrefill(t *testing.T) time.Duration {
	c := pick(t, table(engine("e00", 1)), start, query())
	return time.Duration(c.WaitMS * float64(time.Millisecond))
}

// Failure: an engine is replaced at the same ID. Guards against the new process having the
// learnt figures of the old one.
func TestCapacityBelongsToTheIncarnation(t *testing.T) {
	tb := table(engine("e00", 1))
	usual := pick(t, tb, start, query()).WaitMS
	tb.SetCapacities(func(string) roster.Capacity { return roster.Capacity{Speed: 0.5} })
	if diff := cmp.Diff(2*usual, pick(t, tb, start, query()).WaitMS); diff != "" {
		t.Errorf("wait at a slow engine (-want +got):\n%s", diff)
	}
	next := engine("e00", 1)
	next.Born++
	tb.Put(start, next)
	if diff := cmp.Diff(usual, pick(t, tb, start, query()).WaitMS); diff != "" {
		t.Errorf("wait at its replacement (-want +got):\n%s", diff)
	}
}
