package rollout_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/hibiscuscove/hibiscuscove/internal/rollout"
	"github.com/hibiscuscove/hibiscuscove/internal/roster"
)

func upstreams(n int) []roster.Upstream {
	var list []roster.Upstream
	for i := range n {
		list = append(list, roster.Upstream{ID: fmt.Sprintf("e%02d", i), Service: "lm", Model: "m", Version: 1, Slots: 8, Born: 1})
	}
	return list
}

type site struct {
	book    *fakeBook
	table   *roster.Table
	engines *fakeEngines
	vm      *rollout.Rollout
}

func newSite(n int) *site {
	list := upstreams(n)
	s := &site{book: &fakeBook{}, table: roster.New(roster.Options{}), engines: newEngines(list)}
	s.table.Replace(time.Now(), list, false)
	boot := time.Now()
	clock := rollout.Clock{Now: time.Now, Boot: func() time.Duration { return time.Since(boot) }}
	keeper := rollout.NewElector(rollout.ElectorOptions{
		Store: s.book, Clock: clock, Holder: "a", Incarnation: 1, HandoverDelay: 100 * time.Millisecond,
		SteppedDown:      func(string, int64, uint64) bool { return false },
		DesiredAges:      s.table.DesiredAges,
		MergeDesiredAges: func(time.Time, []roster.DesiredAge) {},
	})
	s.vm = rollout.New(rollout.Options{
		Elector: keeper, Engines: s.engines, Upstreams: s.table, Clock: clock, Holder: "a", Rank: func(time.Time) int { return 0 },
		OnChanged: func(time.Duration) {},
	})
	return s
}

// await runs the VM until all engines have the version.
func (s *site) await(t *testing.T, version int64) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	done := make(chan struct{})
	go func() {
		defer close(done)
		s.vm.Run(ctx)
	}()
	for !s.engines.all(version) {
		if ctx.Err() != nil {
			t.Fatal("the engines are not up to date after 20 s")
		}
		time.Sleep(10 * time.Millisecond)
	}
	cancel()
	<-done
}

// TestRollout: all engines get the named version by one order each, a bounded
// number of them at once.
func TestRollout(t *testing.T) {
	const engines = 12
	s := newSite(engines)
	s.table.SetDesired(time.Now(), "m", 2)
	s.await(t, 2)
	orders := s.engines.seen()
	if diff := cmp.Diff(engines, len(orders)); diff != "" {
		t.Errorf("orders (-want +got):\n%s", diff)
	}
	for i, o := range orders {
		at := 0
		for _, p := range orders[:i] {
			if o.at.Sub(p.at) < loadTime {
				at++
			}
		}
		if at >= engines/2 {
			t.Errorf("order %d began while %d engines loaded", i, at)
		}
	}
}

// TestOvertakenVersion: a version that was overtaken is left out.
func TestOvertakenVersion(t *testing.T) {
	s := newSite(4)
	s.table.SetDesired(time.Now(), "m", 2)
	s.table.SetDesired(time.Now(), "m", 3)
	s.await(t, 3)
	for _, o := range s.engines.seen() {
		if diff := cmp.Diff(int64(3), o.version); diff != "" {
			t.Errorf("version (-want +got):\n%s", diff)
		}
	}
}

// TestOrderWithoutAnswer: an order in doubt takes effect once, whether it was
// carried out at once, late, or never.
func TestOrderWithoutAnswer(t *testing.T) {
	tests := map[string]time.Duration{"carried out": 0, "carried out late": 1500 * time.Millisecond}
	for name, late := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newSite(2)
			s.engines.unanswered = 2
			s.engines.late = late
			s.table.SetDesired(time.Now(), "m", 2)
			s.await(t, 2)
			time.Sleep(late + 2*loadTime)
			for id, n := range s.engines.orders {
				if diff := cmp.Diff(int64(1), n); diff != "" {
					t.Errorf("%s: orders taken (-want +got):\n%s", id, diff)
				}
			}
		})
	}
}
