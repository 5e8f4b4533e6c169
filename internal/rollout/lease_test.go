package rollout_test

import (
	"context"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/rs/zerolog"
	"pgregory.net/rapid"

	"github.com/hibiscuscove/hibiscuscove/internal/rollout"
	"github.com/hibiscuscove/hibiscuscove/internal/roster"
)

func may(k *rollout.Elector, c *fakeClock) bool {
	_, may := k.May(c.clock().Now())
	return may
}

func TestFirstHolderNeedNotWait(t *testing.T) {
	c := newClock()
	k := newKeeper(&fakeBook{}, c, "a", nil)
	if err := k.Acquire(context.Background()); err != nil {
		t.Fatal(err)
	}
	if !may(k, c) {
		t.Error("the first holder may not give orders")
	}
}

// TestHolderStops: a holder gives no order once its term is over by either clock.
func TestHolderStops(t *testing.T) {
	tests := map[string]struct {
		wait func(*fakeClock)
		want bool
	}{
		"within its term":           {func(c *fakeClock) { c.pass(time.Second) }, true},
		"after its term":            {func(c *fakeClock) { c.pass(2 * time.Second) }, false},
		"slept, steady clock still": {func(c *fakeClock) { c.sleep(2 * time.Second) }, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := newClock()
			k := newKeeper(&fakeBook{}, c, "a", nil)
			if err := k.Acquire(context.Background()); err != nil {
				t.Fatal(err)
			}
			test.wait(c)
			if diff := cmp.Diff(test.want, may(k, c)); diff != "" {
				t.Errorf("may give orders (-want +got):\n%s", diff)
			}
		})
	}
}

// TestRenewalInDoubt: a renewal without an answer counts as none, and the next
// holder's number is higher.
func TestRenewalInDoubt(t *testing.T) {
	b, c := &fakeBook{}, newClock()
	k := newKeeper(b, c, "a", nil)
	ctx := context.Background()
	if err := k.Acquire(ctx); err != nil {
		t.Fatal(err)
	}
	first, _ := k.May(c.clock().Now())
	b.lost = true
	c.pass(time.Second)
	if err := k.Acquire(ctx); err == nil {
		t.Error("a lost answer is no error")
	}
	c.pass(time.Second)
	if may(k, c) {
		t.Error("orders may be given on a renewal in doubt")
	}
	b.lost = false
	if err := k.Acquire(ctx); err != nil {
		t.Fatal(err)
	}
	second, allowed := k.May(c.clock().Now())
	if !allowed || second <= first {
		t.Errorf("number %d after %d, allowed %v", second, first, allowed)
	}
}

// TestTakeover: another VM takes the lease of a lost holder after its term, and
// waits out the time in which two holders may not both give orders. One that
// has said itself that it lost the lease is followed at once.
func TestTakeover(t *testing.T) {
	tests := map[string]struct {
		resigned bool
		least    time.Duration
		most     time.Duration
	}{
		"silent holder":   {false, turn + 1500*time.Millisecond, turn + 2500*time.Millisecond},
		"resigned holder": {true, 0, 200 * time.Millisecond},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			b, c := &fakeBook{}, newClock()
			old := newKeeper(b, c, "a", nil)
			if err := old.Acquire(context.Background()); err != nil {
				t.Fatal(err)
			}
			next := newKeeper(b, c, "b", map[string]bool{"a": test.resigned})
			took := time.Duration(0)
			for !may(next, c) && took < 10*time.Second {
				_ = next.Acquire(context.Background()) // not yet free
				c.pass(50 * time.Millisecond)
				took += 50 * time.Millisecond
			}
			if took < test.least || took > test.most {
				t.Errorf("first order after %v, want %v to %v", took, test.least, test.most)
			}
			if waits := next.Waits().Sub(start); waits < turn {
				t.Errorf("engines of the old holder wait until %v, want %v or more", waits, turn)
			}
		})
	}
}

// TestReleasedLease: a lease that was let go is taken at once.
func TestReleasedLease(t *testing.T) {
	b, c := &fakeBook{}, newClock()
	old := newKeeper(b, c, "a", nil)
	ctx := context.Background()
	if err := old.Acquire(ctx); err != nil {
		t.Fatal(err)
	}
	if err := old.Release(ctx); err != nil {
		t.Fatal(err)
	}
	if may(old, c) {
		t.Error("orders may be given on a lease that was let go")
	}
	next := newKeeper(b, c, "b", nil)
	if err := next.Acquire(ctx); err != nil {
		t.Fatal(err)
	}
	if !may(next, c) {
		t.Error("the next holder may not give orders")
	}
}

// TestOneHolderAtATime plays VMs that sleep, lose answers and lose the store,
// in any order: at no moment may two of them give orders, and numbers only grow.
func TestOneHolderAtATime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := &fakeBook{}
		names := []string{"a", "b", "c"}
		clocks := make([]*fakeClock, len(names))
		keepers := make([]*rollout.Elector, len(names))
		for i, name := range names {
			clocks[i] = newClock()
			keepers[i] = newKeeper(b, clocks[i], name, nil)
		}
		lastFence, lastHolder := uint64(0), -1
		for range 200 {
			i := rapid.IntRange(0, len(names)-1).Draw(t, "vm")
			b.down = rapid.IntRange(0, 9).Draw(t, "down") == 0
			b.lost = rapid.IntRange(0, 9).Draw(t, "lost") == 0
			_ = keepers[i].Acquire(context.Background()) // refusals are part of the play
			step := time.Duration(rapid.IntRange(1, 400).Draw(t, "ms")) * time.Millisecond
			sleeper := rapid.IntRange(-5, len(names)-1).Draw(t, "sleeper")
			for n, c := range clocks {
				if n == sleeper {
					c.sleep(step)
				} else {
					c.pass(step)
				}
			}
			holder := -1
			for n, k := range keepers {
				fence, allowed := k.May(clocks[n].clock().Now())
				if !allowed {
					continue
				}
				if holder >= 0 {
					t.Fatalf("both %s and %s may give orders", names[holder], names[n])
				}
				holder = n
				if fence < lastFence || fence == lastFence && lastHolder != n {
					t.Fatalf("%s gives orders under %d after %d of another", names[n], fence, lastFence)
				}
				lastFence, lastHolder = fence, n
			}
		}
	})
}

// TestAgesOutliveAllVMs: all VMs lose power during a rollout. What the lease
// says of the versions named is still there, and the time since counts.
func TestAgesOutliveAllVMs(t *testing.T) {
	tests := map[string]struct {
		// clock is how far the reader's time of day is from the writer's.
		clock time.Duration
		want  time.Duration
	}{
		"same time of day":     {0, 9500 * time.Millisecond},
		"clock that went back": {-time.Minute, 6 * time.Second},
		"clock that ran ahead": {time.Hour, 6*time.Second + rollout.MostDowntime},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			b, c := &fakeBook{}, newClock()
			named := []roster.DesiredAge{{Model: "m", Version: 3, AgeMS: 6_000}}
			k := rollout.NewElector(rollout.ElectorOptions{
				Store: b, Clock: c.clock(), Holder: "a", HandoverDelay: turn, Log: zerolog.Nop(),
				SteppedDown:      func(string, int64, uint64) bool { return false },
				DesiredAges:      func(time.Time) []roster.DesiredAge { return named },
				MergeDesiredAges: func(time.Time, []roster.DesiredAge) {},
			})
			if err := k.Acquire(context.Background()); err != nil {
				t.Fatal(err)
			}
			now := start.Add(3500 * time.Millisecond).Add(test.clock)
			want := []roster.DesiredAge{{Model: "m", Version: 3, AgeMS: test.want.Milliseconds()}}
			if diff := cmp.Diff(want, b.lease.DesiredAges(now)); diff != "" {
				t.Errorf("ages (-want +got):\n%s", diff)
			}
			// The first VM that starts again leads at once, before it has read more.
			var recalled []roster.DesiredAge
			next := rollout.NewElector(rollout.ElectorOptions{
				Store: b, Clock: rollout.Clock{Now: func() time.Time { return now }, Boot: c.clock().Boot}, Holder: "a", Incarnation: 2,
				HandoverDelay: turn, SteppedDown: func(string, int64, uint64) bool { return false },
				DesiredAges:      func(time.Time) []roster.DesiredAge { return recalled },
				MergeDesiredAges: func(_ time.Time, ages []roster.DesiredAge) { recalled = ages },
			})
			if err := next.Acquire(context.Background()); err != nil {
				t.Fatal(err)
			}
			if diff := cmp.Diff(want, b.lease.DesiredAges(now)); diff != "" {
				t.Errorf("ages in the new holder's lease (-want +got):\n%s", diff)
			}
		})
	}
}
