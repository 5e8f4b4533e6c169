package registry_test

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/rs/zerolog"
	"pgregory.net/rapid"

	"github.com/hibiscuscove/hibiscuscove/internal/registry"
)

// TestFollowAfterReturnFromCopy checks that a Follower takes the lower revisions of a
// store that has come back from a copy, that it never applies their changes to the
// earlier state, and that it ignores late responses.
func TestFollowAfterReturnFromCopy(t *testing.T) {
	first := step{page: page{Era: 1, Revision: 50, Items: items("a", "b")}}
	tests := map[string]struct {
		steps []step
		want  []update
	}{
		"the watch gets 410": {
			[]step{first, {err: registry.ErrHistoryGone}, {page: page{Era: 2, Revision: 40, Items: items("a")}}, {page: page{Era: 2, Revision: 41, Items: items("c")}}},
			[]update{{true, 50, []string{"a", "b"}, false}, {true, 40, []string{"a"}, true}, {false, 41, []string{"c"}, true}},
		},
		"revisions have been given out again": {
			[]step{first, {page: page{Era: 2, Revision: 52, Items: items("x")}}, {page: page{Era: 2, Revision: 52, Items: items("a", "x")}}},
			[]update{{true, 50, []string{"a", "b"}, false}, {true, 52, []string{"a", "x"}, true}},
		},
		"a late list": {
			[]step{first, {err: registry.ErrHistoryGone}, {page: page{Era: 2, Revision: 40, Items: items("a")}}, {err: registry.ErrHistoryGone}, {page: page{Era: 1, Revision: 90, Items: items("late")}}, {page: page{Era: 2, Revision: 42, Items: items("d")}}},
			[]update{{true, 50, []string{"a", "b"}, false}, {true, 40, []string{"a"}, true}, {false, 42, []string{"d"}, true}},
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			sink, _, _ := follow(t, time.Now, len(test.want), test.steps...)
			if diff := cmp.Diff(test.want, sink.all()); diff != "" {
				t.Errorf("updates (-want +got):\n%s", diff)
			}
		})
	}
}

// TestOffersOfOtherEras checks that a peer's state of a later era replaces one of a
// higher revision, and that states of earlier eras and changes across eras do not.
func TestOffersOfOtherEras(t *testing.T) {
	_, _, f := follow(t, time.Now, 1, step{page: page{Era: 2, Revision: 50, Items: items("a")}})
	for _, offer := range []struct {
		page    page
		applied bool
	}{
		{page{Era: 1, Revision: 90}, false},
		{page{Revision: 90}, false},
		{page{Era: 3, Revision: 40, Since: 30}, false},
		{page{Era: 3, Revision: 40, Items: items("b")}, true},
		{page{Era: 2, Revision: 60, Since: 40}, false},
		{page{Era: 3, Revision: 41, Since: 40, Items: items("c")}, true},
	} {
		if applied := f.Offer(time.Now(), offer.page); applied != offer.applied {
			t.Errorf("state %+v applied: %v, want %v", offer.page, applied, offer.applied)
		}
	}
	if diff := cmp.Diff(registry.Position{Era: 3, Revision: 41}, f.Position()); diff != "" {
		t.Errorf("position (-want +got):\n%s", diff)
	}
	if got := f.Snapshot(registry.Position{Era: 2, Revision: 45}); got.Since != 0 {
		t.Errorf("a peer of an earlier era gets changes since %d, want the whole state", got.Since)
	}
}

// modelStore is a store that comes back from copies. truth holds its state at every
// position that it has had, by name and revision.
type modelStore struct {
	position registry.Position
	items    map[string]uint64
	history  []event
	truth    map[registry.Position]map[string]uint64
}

type event struct {
	item     item
	revision uint64
}

func newModelStore() *modelStore {
	s := &modelStore{position: registry.Position{Era: 1, Revision: 1}, items: make(map[string]uint64), truth: make(map[registry.Position]map[string]uint64)}
	s.truth[s.position] = maps.Clone(s.items)
	return s
}

func (s *modelStore) write(name string, deleted bool) {
	if _, found := s.items[name]; deleted && !found {
		return
	}
	s.position.Revision++
	i := item{Name: name, Revision: s.position.Revision, Deleted: deleted}
	if deleted {
		delete(s.items, name)
	} else {
		s.items[name] = i.Revision
	}
	s.history = append(s.history, event{i, s.position.Revision})
	s.truth[s.position] = maps.Clone(s.items)
}

// copyAt returns a copy of the store's present state.
func (s *modelStore) copyAt() modelStore {
	return modelStore{position: s.position, items: maps.Clone(s.items), history: slices.Clone(s.history)}
}

// comeBack replaces the state by a copy. The era rises.
func (s *modelStore) comeBack(c modelStore) {
	era := s.position.Era + 1
	s.items, s.history = maps.Clone(c.items), slices.Clone(c.history)
	s.position = registry.Position{Era: era, Revision: c.position.Revision}
	s.truth[s.position] = maps.Clone(s.items)
}

func (s *modelStore) list() page {
	p := page{Era: s.position.Era, Revision: s.position.Revision}
	for _, name := range slices.Sorted(maps.Keys(s.items)) {
		p.Items = append(p.Items, item{Name: name, Revision: s.items[name]})
	}
	return p
}

func (s *modelStore) watch(after uint64) (page, error) {
	if after > s.position.Revision {
		return page{}, registry.ErrHistoryGone
	}
	p := page{Era: s.position.Era, Revision: s.position.Revision}
	for _, e := range s.history {
		if e.revision > after {
			p.Items = append(p.Items, e.item)
		}
	}
	return p, nil
}

// modelFeed reads a modelStore. With delayed set, the next list returns that page: a
// response that has been under way since before.
type modelFeed struct {
	store   *modelStore
	delayed *page
}

func (f *modelFeed) List(context.Context) (page, error) {
	if f.delayed != nil {
		p := *f.delayed
		f.delayed = nil
		return p, nil
	}
	return f.store.list(), nil
}

func (f *modelFeed) Watch(_ context.Context, after uint64, _ time.Duration) (page, error) {
	return f.store.watch(after)
}

// TestNoStateMixesEras is a state machine of a store that comes back from copies at
// random moments, and VMs that list, watch, get late responses and fetch from each
// other. At all times a VM's state must be one that the store had at that position,
// and positions never go back.
func TestNoStateMixesEras(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const vms = 3
		store := newModelStore()
		var copies []modelStore
		feeds := make([]*modelFeed, vms)
		followers := make([]*registry.Follower[string], vms)
		list := make([]bool, vms)
		for i := range followers {
			feeds[i], list[i] = &modelFeed{store: store}, true
			followers[i] = registry.NewFollower(registry.Options[string]{
				Name: "test", Feed: feeds[i], Sink: &fakeSink{}, Now: time.Now, ShouldWatch: func(time.Time) bool { return true }, Log: zerolog.Nop(),
			})
		}
		last := make([]registry.Position, vms)
		for range 60 {
			i := rapid.IntRange(0, vms-1).Draw(t, "vm")
			switch rapid.IntRange(0, 6).Draw(t, "action") {
			case 0, 1:
				store.write(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "name"), rapid.Bool().Draw(t, "deleted"))
			case 2:
				copies = append(copies, store.copyAt())
			case 3:
				if len(copies) > 0 && rapid.IntRange(0, 2).Draw(t, "return") == 0 {
					store.comeBack(copies[rapid.IntRange(0, len(copies)-1).Draw(t, "copy")])
				}
			case 4:
				if p := store.list(); rapid.Bool().Draw(t, "late") && feeds[i].delayed == nil {
					feeds[i].delayed = &p
				}
				list[i], _ = followers[i].Step(context.Background(), list[i])
			case 5:
				list[i], _ = followers[i].Step(context.Background(), list[i])
			case 6:
				from := rapid.IntRange(0, vms-1).Draw(t, "peer")
				followers[i].Offer(time.Now(), followers[from].Snapshot(followers[i].Position()))
			}
			for n, f := range followers {
				p := f.Position()
				if p.Before(last[n]) {
					t.Fatalf("VM %d goes back from %+v to %+v", n, last[n], p)
				}
				last[n] = p
				if p.Revision == 0 {
					continue
				}
				if diff := cmp.Diff(store.truth[p], f.Items()); diff != "" {
					t.Fatalf("VM %d at %+v (-store +VM):\n%s", n, p, diff)
				}
			}
		}
	})
}

// TestNewEraReachesTheFleet checks that of a large fleet only the VMs that watch list
// again, and that the others get the new era from them.
func TestNewEraReachesTheFleet(t *testing.T) {
	const vms, watchers = 84, 4
	followers := make([]*registry.Follower[string], vms)
	for i := range followers {
		followers[i] = registry.NewFollower(registry.Options[string]{Name: "test", Sink: &fakeSink{}, Now: time.Now, Log: zerolog.Nop()})
		followers[i].Offer(time.Now(), page{Era: 1, Revision: 90, Items: items("a", "b")})
	}
	for _, f := range followers[:watchers] {
		f.Offer(time.Now(), page{Era: 2, Revision: 40, Items: items("a")})
	}
	rng := rand.New(rand.NewPCG(1, 1))
	for range 5 {
		for _, f := range followers {
			from := followers[rng.IntN(vms)]
			if f.Position().Before(from.LastChange()) {
				f.Offer(time.Now(), from.Snapshot(f.Position()))
			}
		}
		from := followers[rng.IntN(watchers)]
		for _, f := range followers[watchers:] {
			if rng.IntN(2) == 0 && f.Position().Before(from.LastChange()) {
				f.Offer(time.Now(), from.Snapshot(f.Position()))
			}
		}
	}
	for i, f := range followers {
		if diff := cmp.Diff(map[string]uint64{"a": 1}, f.Items()); diff != "" || f.Position().Era != 2 {
			t.Fatalf("VM %d at %s (-want +got):\n%s", i, fmt.Sprint(f.Position()), diff)
		}
	}
}
