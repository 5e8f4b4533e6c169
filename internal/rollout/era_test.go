package rollout_test

import (
	"context"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"github.com/hibiscuscove/hibiscuscove/internal/rollout"
)

// eraView is one VM's view of the lease store: it knows an era only from responses.
type eraView struct {
	*fakeLeaseStore
	era uint64
}

func (v *eraView) Era() uint64 { return v.era }

func (v *eraView) Read(ctx context.Context) (rollout.Lease, error) {
	l, err := v.fakeLeaseStore.Read(ctx)
	v.observe()
	return l, err
}

func (v *eraView) Write(ctx context.Context, l rollout.Lease) (rollout.Lease, error) {
	written, err := v.fakeLeaseStore.Write(ctx, l)
	v.observe()
	return written, err
}

// observe takes the era of a response, which also refusals have.
func (v *eraView) observe() { v.era = max(v.era, v.fakeLeaseStore.Era()) }

// comeBack replaces the lease by a copy. The era rises.
func (s *fakeLeaseStore) comeBack(copied rollout.Lease) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era++
	s.lease = copied
}

func (s *fakeLeaseStore) copyLease() rollout.Lease {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lease
}

// acquire lets an elector acquire the lease until it may send, and returns the fence
// and the time that it took.
func acquire(t *testing.T, e *rollout.Elector, c *fakeClock) (fence uint64, elapsed time.Duration) {
	t.Helper()
	for ; elapsed < 10*time.Second; elapsed += 50 * time.Millisecond {
		_ = e.Acquire(context.Background()) // the lease is not free yet
		if fence, may := e.MaySend(c.clock().Now()); may {
			return fence, elapsed
		}
		c.advance(50 * time.Millisecond)
	}
	t.Fatal("the lease was not taken within 10 s")
	return 0, 0
}

// TestLeaseAfterReturnFromCopy checks that fences never go back or repeat when the
// store comes back from a copy that is older than the lease, and that the next holder
// waits until the earlier one can't send any more.
func TestLeaseAfterReturnFromCopy(t *testing.T) {
	const minWait = handoverDelay + 1500*time.Millisecond
	tests := map[string]struct {
		// copied is the lease in the copy.
		copied func(empty, first, second rollout.Lease) rollout.Lease
		// returns is the number of returns in a row.
		returns int
		next    string
	}{
		"the holder's own lease is gone":    {func(empty, _, _ rollout.Lease) rollout.Lease { return empty }, 1, "b"},
		"lease gone, another VM takes it":   {func(empty, _, _ rollout.Lease) rollout.Lease { return empty }, 1, "c"},
		"lease of the holder before":        {func(_, first, _ rollout.Lease) rollout.Lease { return first }, 1, "a"},
		"lease of the holder before, taken": {func(_, first, _ rollout.Lease) rollout.Lease { return first }, 1, "c"},
		"the present lease":                 {func(_, _, second rollout.Lease) rollout.Lease { return second }, 1, "c"},
		"two returns":                       {func(_, first, _ rollout.Lease) rollout.Lease { return first }, 2, "c"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			store, c := &fakeLeaseStore{era: 1}, newClock()
			elector := func(holder string, steppedDown map[string]bool) *rollout.Elector {
				view := &eraView{fakeLeaseStore: store}
				view.observe()
				return newTestElector(view, c, holder, steppedDown)
			}
			empty := store.copyLease()
			firstFence, _ := acquire(t, elector("a", nil), c)
			first := store.copyLease()
			holder := elector("b", map[string]bool{"a": true})
			secondFence, _ := acquire(t, holder, c)
			for range test.returns {
				store.comeBack(test.copied(empty, first, store.copyLease()))
			}
			next := elector(test.next, map[string]bool{"a": true, "b": true})
			_ = next.Acquire(context.Background()) // learns the era
			fence, elapsed := acquire(t, next, c)
			if fence <= secondFence || secondFence <= firstFence {
				t.Errorf("fences %d, %d, then %d in the new era", firstFence, secondFence, fence)
			}
			if elapsed < minWait {
				t.Errorf("first order %v after the return, want at least %v", elapsed, minWait)
			}
			if maySend(holder, c) {
				t.Error("the holder of the earlier era may still send orders")
			}
		})
	}
}

// TestHolderStopsInNewEra checks that a holder sends no order once it knows that the
// store has come back from a copy, and does not renew the lost lease.
func TestHolderStopsInNewEra(t *testing.T) {
	store, c := &fakeLeaseStore{era: 1}, newClock()
	view := &eraView{fakeLeaseStore: store}
	view.observe()
	e := newTestElector(view, c, "a", nil)
	acquire(t, e, c)
	store.comeBack(store.copyLease())
	view.observe()
	if maySend(e, c) || e.Holds(c.clock().Now()) {
		t.Error("the lease of the earlier era still counts")
	}
	if err := e.Release(context.Background()); err != nil || store.copyLease().Released {
		t.Errorf("the copied lease was released: %v", err)
	}
}

// TestRenewalOfAnotherState checks that a renewal does not count if its condition
// held by chance: in the new era the lease of another VM has the same revision.
func TestRenewalOfAnotherState(t *testing.T) {
	store, c := &fakeLeaseStore{era: 1}, newClock()
	view := &eraView{fakeLeaseStore: store}
	view.observe()
	e := newTestElector(view, c, "a", nil)
	fence, _ := acquire(t, e, c)
	other := store.copyLease()
	other.Holder, other.Era, other.Fence = "b", 2, 1<<40
	store.comeBack(other)
	c.advance(500 * time.Millisecond)
	_ = e.Acquire(context.Background()) // a renewal
	if maySend(e, c) {
		t.Errorf("orders may be sent with fence %d after the renewal replaced another VM's lease", fence)
	}
	next := newTestElector(&eraView{fakeLeaseStore: store, era: 2}, c, "b", nil)
	if again, _ := acquire(t, next, c); again == fence {
		t.Errorf("fence %d is given out again", again)
	}
}

// TestOldBuildKeepsItsLease checks that a VM of a build without eras that renews its
// lease is not taken for a lease of a copy, and that it accepts the lease of a new one.
func TestOldBuildKeepsItsLease(t *testing.T) {
	store, c := &fakeLeaseStore{era: 3}, newClock()
	store.lease = rollout.Lease{Holder: "old", Incarnation: 1, Fence: 7, Revision: 5}
	e := newTestElector(&eraView{fakeLeaseStore: store, era: 3}, c, "new", nil)
	for range 40 {
		_ = e.Acquire(context.Background()) // the lease is held
		if maySend(e, c) {
			t.Fatal("the lease of a VM that renews it was taken")
		}
		c.advance(200 * time.Millisecond)
		store.lease.Renewal++
		store.lease.Revision++
	}
	fence, _ := acquire(t, e, c)
	if diff := cmp.Diff(true, fence > 7); diff != "" {
		t.Errorf("fence %d after 7 (-want +got):\n%s", fence, diff)
	}
}

// TestFencesAcrossReturns is TestOneHolderAtATime with a store that comes back from
// copies at random moments, also several times within seconds, while VMs do not know
// it yet. No two VMs may send at a time, no fence goes back, and none is used by two
// VMs or leases.
func TestFencesAcrossReturns(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		store := &fakeLeaseStore{era: 1}
		names := []string{"a", "b", "c"}
		clocks := make([]*fakeClock, len(names))
		views := make([]*eraView, len(names))
		electors := make([]*rollout.Elector, len(names))
		for i, name := range names {
			clocks[i] = newClock()
			views[i] = &eraView{fakeLeaseStore: store}
			views[i].observe()
			electors[i] = newTestElector(views[i], clocks[i], name, nil)
		}
		copies := []rollout.Lease{{}}
		used := make(map[uint64]string)
		allowedBefore := make([]bool, len(names))
		lastFence := uint64(0)
		for range 250 {
			switch rapid.IntRange(0, 30).Draw(t, "store") {
			case 0:
				store.comeBack(copies[rapid.IntRange(0, len(copies)-1).Draw(t, "copy")])
			case 1, 2, 3:
				copies = append(copies, store.copyLease())
			}
			i := rapid.IntRange(0, len(names)-1).Draw(t, "vm")
			store.down = rapid.IntRange(0, 9).Draw(t, "down") == 0
			store.loseResponses = rapid.IntRange(0, 9).Draw(t, "lost") == 0
			_ = electors[i].Acquire(context.Background()) // errors are part of the scenario
			step := time.Duration(rapid.IntRange(1, 400).Draw(t, "ms")) * time.Millisecond
			suspended := rapid.IntRange(-5, len(names)-1).Draw(t, "suspended")
			for n, c := range clocks {
				if n == suspended {
					c.suspend(step)
				} else {
					c.advance(step)
				}
			}
			holder := -1
			for n, e := range electors {
				fence, allowed := e.MaySend(clocks[n].clock().Now())
				resumed := allowed && !allowedBefore[n]
				allowedBefore[n] = allowed
				if !allowed {
					continue
				}
				if holder >= 0 {
					t.Fatalf("both %s and %s may send orders", names[holder], names[n])
				}
				holder = n
				if fence < lastFence {
					t.Fatalf("%s sends orders with fence %d after %d", names[n], fence, lastFence)
				}
				if by, found := used[fence]; found && (by != names[n] || resumed) {
					t.Fatalf("%s uses fence %d of %s", names[n], fence, by)
				}
				lastFence, used[fence] = fence, names[n]
			}
		}
	})
}
