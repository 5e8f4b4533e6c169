package registry_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/rs/zerolog"

	"github.com/hibiscuscove/hibiscuscove/internal/registry"
)

var errReset = errors.New("connection reset")

// disturbedFeed answers calls unless this VM's connections are disturbed or the store is
// down.
type disturbedFeed struct {
	// resets are the times at which the connections in use are reset, and silences those
	// from which they carry nothing. New connections work.
	resets, silences []time.Time
	// The store is down from one time to another. It refuses calls, or answers none.
	downFrom, downTo time.Time
	refuses          bool
	// The store takes no more calls from one time to another, since there are too many.
	limitedFrom, limitedTo time.Time
	// latency is the time of an answer.
	latency time.Duration
}

func (f *disturbedFeed) call(ctx context.Context, wait time.Duration) (page, error) {
	const dialTimeout = 300 * time.Millisecond
	called := time.Now()
	end := called.Add(wait + f.latency)
	if !called.Before(f.downFrom) && called.Before(f.downTo) {
		if f.refuses {
			return page{}, errors.Join(registry.ErrRefused, registry.ErrUnavailable)
		}
		return page{}, errors.Join(registry.ErrUnavailable, pause(ctx, dialTimeout))
	}
	if !called.Before(f.limitedFrom) && called.Before(f.limitedTo) {
		return page{}, registry.ErrRefused
	}
	lost := func(at time.Time) bool { return !at.Before(called) && at.Before(end) }
	for _, at := range f.resets {
		if lost(at) {
			return page{}, errors.Join(errReset, pause(ctx, time.Until(at)))
		}
	}
	for _, at := range append(f.silences, f.downFrom) {
		if lost(at) {
			<-ctx.Done()
			return page{}, ctx.Err()
		}
	}
	return page{Revision: 1}, pause(ctx, time.Until(end))
}

func pause(ctx context.Context, d time.Duration) error {
	select {
	case <-time.After(d):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (f *disturbedFeed) List(ctx context.Context) (page, error) { return f.call(ctx, 0) }

func (f *disturbedFeed) Watch(ctx context.Context, _ uint64, wait time.Duration) (page, error) {
	return f.call(ctx, wait)
}

// findOutage follows a feed and returns when an outage was first and last found, in time since
// the start, and the time since which the store was said to be out.
func findOutage(t *testing.T, feed *disturbedFeed, length time.Duration) (first, last, since time.Duration) {
	t.Helper()
	started := time.Now()
	f := registry.NewFollower(registry.Options[string]{
		Name: "test", Feed: feed, Sink: &fakeSink{}, Now: time.Now, ShouldWatch: func(time.Time) bool { return true }, Log: zerolog.Nop(),
		MaxSilence: func() time.Duration { return contact },
	})
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		f.Run(ctx)
	}()
	defer func() {
		cancel()
		<-done
	}()
	for time.Since(started) < length {
		time.Sleep(50 * time.Millisecond)
		if at, found := f.Outage(); found {
			if first == 0 {
				first, since = time.Since(started), at.Sub(started)
			}
			last = time.Since(started)
		}
	}
	return first, last, since
}

// every returns the times from one to another with an interval in between.
func every(interval, from, to time.Duration) []time.Duration {
	var list []time.Duration
	for at := from; at < to; at += interval {
		list = append(list, at)
	}
	return list
}

// Guards against VERSION: a VM takes a reset of its own connections for an outage of the
// store, and goes on to use old weights.
func TestResetsAreNoOutage(t *testing.T) {
	type disturbance struct {
		resets, silences []time.Duration
		latency          time.Duration
		// limitedFrom and limitedFor are when, and for how long, the store takes no more calls.
		limitedFrom, limitedFor time.Duration
	}
	tests := map[string]disturbance{
		"one reset":              {resets: []time.Duration{4 * time.Second}},
		"one silence":            {silences: []time.Duration{4 * time.Second}},
		"a reset every second":   {resets: every(time.Second, 4*time.Second, 20*time.Second)},
		"a silence every second": {silences: every(time.Second, 4*time.Second, 20*time.Second)},
		"five resets a second":   {resets: every(200*time.Millisecond, 4*time.Second, 20*time.Second)},
		"slow store":             {resets: every(time.Second, 4*time.Second, 20*time.Second), latency: 200 * time.Millisecond},
		"quiet":                  {latency: 4 * time.Millisecond},
		"too many calls":         {limitedFrom: 4 * time.Second, limitedFor: 1500 * time.Millisecond},
	}
	for seed := range uint64(40) {
		rng := rand.New(rand.NewPCG(54, seed))
		d := disturbance{latency: time.Duration(rng.IntN(20)) * time.Millisecond}
		for range rng.IntN(40) {
			d.resets = append(d.resets, time.Duration(rng.Int64N(int64(10*time.Second))))
		}
		for range rng.IntN(10) {
			d.silences = append(d.silences, time.Duration(rng.Int64N(int64(10*time.Second))))
		}
		tests[fmt.Sprint("seed ", seed)] = d
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				feed := &disturbedFeed{latency: test.latency, limitedFrom: time.Now().Add(test.limitedFrom)}
				feed.limitedTo = feed.limitedFrom.Add(test.limitedFor)
				for _, at := range test.resets {
					feed.resets = append(feed.resets, time.Now().Add(at))
				}
				for _, at := range test.silences {
					feed.silences = append(feed.silences, time.Now().Add(at))
				}
				if first, _, since := findOutage(t, feed, 25*time.Second); first > 0 {
					t.Errorf("an outage is found at %v, since %v", first, since)
				}
			})
		})
	}
}

// TestOutageIsFound checks that an outage of the store is found while it lasts, is not
// dated back, and ends soon after the store is back.
func TestOutageIsFound(t *testing.T) {
	const limit = 2 * time.Second
	for _, refuses := range []bool{true, false} {
		for phase := range 20 {
			t.Run(fmt.Sprint("refuses ", refuses, " phase ", phase), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					from := 5*time.Second + time.Duration(phase)*137*time.Millisecond
					to := from + 8*time.Second
					feed := &disturbedFeed{downFrom: time.Now().Add(from), downTo: time.Now().Add(to), refuses: refuses, latency: 4 * time.Millisecond}
					first, last, since := findOutage(t, feed, 20*time.Second)
					// A call that waits when the outage begins is lost only at its end.
					if first < from || first > from+contact+limit {
						t.Errorf("found at %v, the outage began at %v", first, from)
					}
					if since < from || since > first {
						t.Errorf("dated to %v, the outage began at %v", since, from)
					}
					if diff := cmp.Diff(true, last >= to && last < to+limit); diff != "" {
						t.Errorf("last found at %v, the store was back at %v (-want +got):\n%s", last, to, diff)
					}
				})
			})
		}
	}
}
