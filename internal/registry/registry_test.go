package registry_test

import (
	"context"
	"errors"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/rs/zerolog"

	"github.com/hibiscuscove/hibiscuscove/internal/registry"
)

type page = registry.Page[string]

type item = registry.Item[string]

// fakeFeed returns scripted results, then blocks until the test ends.
type fakeFeed struct {
	mu    sync.Mutex
	steps []step
	calls []string
}

// step is the result of one call of the feed.
type step struct {
	page page
	err  error
}

func (f *fakeFeed) next(ctx context.Context, call string) (page, error) {
	f.mu.Lock()
	f.calls = append(f.calls, call)
	if len(f.steps) == 0 {
		f.mu.Unlock()
		<-ctx.Done()
		return page{}, ctx.Err()
	}
	s := f.steps[0]
	f.steps = f.steps[1:]
	f.mu.Unlock()
	return s.page, s.err
}

func (f *fakeFeed) List(ctx context.Context) (page, error) { return f.next(ctx, "list") }

func (f *fakeFeed) Watch(ctx context.Context, _ uint64, _ time.Duration) (page, error) {
	return f.next(ctx, "watch")
}

// update is one call of the sink. Whole is set for Replace.
type update struct {
	Whole       bool
	Revision    uint64
	Names       []string
	AfterOutage bool
}

type fakeSink struct {
	mu      sync.Mutex
	updates []update
}

// record records a call. The names of deleted items get the prefix "-".
func (s *fakeSink) record(whole bool, p page, afterOutage bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	u := update{Whole: whole, Revision: p.Revision, AfterOutage: afterOutage}
	for _, i := range p.Items {
		name := i.Name
		if i.Deleted {
			name = "-" + name
		}
		u.Names = append(u.Names, name)
	}
	s.updates = append(s.updates, u)
}

func (s *fakeSink) Replace(_ time.Time, p page, afterOutage bool) { s.record(true, p, afterOutage) }

func (s *fakeSink) Apply(_ time.Time, p page, afterOutage bool) { s.record(false, p, afterOutage) }

func (s *fakeSink) all() []update {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]update(nil), s.updates...)
}

// follow runs a Follower on the scripted results until the sink has received
// want updates.
func follow(t *testing.T, now func() time.Time, want int, steps ...step) (*fakeSink, *fakeFeed, *registry.Follower[string]) {
	t.Helper()
	feed, sink := &fakeFeed{steps: steps}, &fakeSink{}
	f := registry.NewFollower(registry.Options[string]{Name: "test", Feed: feed, Sink: sink, Now: now, ShouldWatch: func(time.Time) bool { return true }, Log: zerolog.Nop()})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		f.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	for end := time.Now().Add(5 * time.Second); len(sink.all()) < want; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%d updates after 5 s, want %d", len(sink.all()), want)
		}
	}
	return sink, feed, f
}

func items(names ...string) []item {
	var list []item
	for _, n := range names {
		list = append(list, item{Name: n, Revision: 1})
	}
	return list
}

// TestFollow checks that a Follower lists, then watches, that it lists again if
// the history is gone, and that an older state never replaces its state.
func TestFollow(t *testing.T) {
	tests := map[string]struct {
		steps []step
		want  []update
	}{
		"list, then changes": {
			[]step{{page: page{Revision: 5, Items: items("a", "b")}}, {page: page{Revision: 7, Items: []item{{Name: "b", Deleted: true}}}}},
			[]update{{true, 5, []string{"a", "b"}, false}, {false, 7, []string{"-b"}, false}},
		},
		"history gone": {
			[]step{{page: page{Revision: 5, Items: items("a")}}, {err: registry.ErrHistoryGone}, {page: page{Revision: 9, Items: items("c")}}},
			[]update{{true, 5, []string{"a"}, false}, {true, 9, []string{"c"}, false}},
		},
		"a stale list after history is gone": {
			[]step{{page: page{Revision: 5, Items: items("a")}}, {err: registry.ErrHistoryGone}, {page: page{Revision: 4, Items: items("old")}}, {page: page{Revision: 8, Items: items("b")}}},
			[]update{{true, 5, []string{"a"}, false}, {false, 8, []string{"b"}, false}},
		},
		"rejected, then served": {
			[]step{{err: registry.ErrRefused}, {err: registry.ErrRefused}, {page: page{Revision: 5, Items: items("a")}}},
			[]update{{true, 5, []string{"a"}, false}},
		},
		"nothing new": {
			[]step{{page: page{Revision: 5, Items: items("a")}}, {page: page{Revision: 6}}, {page: page{Revision: 7, Items: items("b")}}},
			[]update{{true, 5, []string{"a"}, false}, {false, 7, []string{"b"}, false}},
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

// TestOutage checks that an item which is missing after an outage of the store of
// 0.5 s or more, in which items may expire, is marked as one that may come back.
func TestOutage(t *testing.T) {
	var mu sync.Mutex
	now := time.Date(2026, 12, 3, 8, 0, 0, 0, time.UTC)
	clock := func() time.Time {
		mu.Lock()
		defer mu.Unlock()
		now = now.Add(400 * time.Millisecond)
		return now
	}
	noResponse := errors.New("no response")
	sink, _, _ := follow(t, clock, 2,
		step{page: page{Revision: 5, Items: items("a")}}, step{err: noResponse}, step{err: noResponse}, step{err: noResponse}, step{page: page{Revision: 9, Items: []item{{Name: "a", Deleted: true}}}})
	want := []update{{true, 5, []string{"a"}, false}, {false, 9, []string{"-a"}, true}}
	if diff := cmp.Diff(want, sink.all()); diff != "" {
		t.Errorf("updates (-want +got):\n%s", diff)
	}
}

// TestOfferedState checks that a peer's state is applied if it is newer, and
// ignored otherwise.
func TestOfferedState(t *testing.T) {
	sink, _, f := follow(t, time.Now, 1, step{page: page{Revision: 5, Items: items("a")}})
	for _, offer := range []struct {
		revision uint64
		applied  bool
	}{{4, false}, {5, false}, {8, true}, {7, false}} {
		if applied := f.Offer(time.Now(), page{Revision: offer.revision, Items: items("p")}); applied != offer.applied {
			t.Errorf("state %d applied: %v, want %v", offer.revision, applied, offer.applied)
		}
	}
	if diff := cmp.Diff(2, len(sink.all())); diff != "" {
		t.Errorf("updates (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff(page{Revision: 8, Items: items("p")}, f.Snapshot(registry.Position{})); diff != "" {
		t.Errorf("state (-want +got):\n%s", diff)
	}
}

// TestChangesForPeers checks that a peer with an older state gets the changes
// that it lacks, or the whole state if these changes are no longer known.
func TestChangesForPeers(t *testing.T) {
	_, _, f := follow(t, time.Now, 3, step{page: page{Revision: 5, Items: []item{{Name: "a", Revision: 3}, {Name: "b", Revision: 4}}}},
		step{page: page{Revision: 7, Items: []item{{Name: "c", Revision: 7}}}},
		step{page: page{Revision: 9, Items: []item{{Name: "a", Revision: 3, Deleted: true}}}})
	tests := map[string]struct {
		since uint64
		want  page
	}{
		"knows all but the last": {7, page{Revision: 9, Since: 7, Items: []item{{Name: "a", Revision: 9, Deleted: true}}}},
		"from before the list":   {4, page{Revision: 9, Items: []item{{Name: "b", Revision: 4}, {Name: "c", Revision: 7}}}},
		"knows all":              {9, page{Revision: 9, Since: 9, Items: []item{}}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			got := f.Snapshot(registry.Position{Revision: test.since})
			slices.SortFunc(got.Items, func(a, b item) int { return strings.Compare(a.Name, b.Name) })
			if diff := cmp.Diff(test.want, got); diff != "" {
				t.Errorf("changes (-want +got):\n%s", diff)
			}
		})
	}
	if f.Offer(time.Now(), page{Revision: 12, Since: 11}) {
		t.Error("applied changes that start after the current revision")
	}
	if !f.Offer(time.Now(), page{Revision: 12, Since: 9, Items: items("d")}) || f.Revision() != 12 {
		t.Error("changes that start at the current revision were not applied")
	}
}

// Guards against upstreams that vanish from one VM: an item that was deleted and
// created again between two watches was deleted at a peer that already had it.
func TestRecreatedItemIsNotDeletedAtPeers(t *testing.T) {
	_, _, f := follow(t, time.Now, 2, step{page: page{Revision: 2, Items: []item{{Name: "a", Revision: 2}}}},
		step{page: page{Revision: 5, Items: []item{{Name: "a", Revision: 2, Deleted: true}, {Name: "a", Revision: 4}, {Name: "b", Revision: 5}}}})
	want := page{Revision: 5, Since: 4, Items: []item{{Name: "b", Revision: 5}}}
	if diff := cmp.Diff(want, f.Snapshot(registry.Position{Revision: 4})); diff != "" {
		t.Errorf("changes (-want +got):\n%s", diff)
	}
}

// TestReplacedWatcherIsWell checks that a VM whose watch failed becomes healthy
// again when other VMs watch in its place, although it makes no more calls.
func TestReplacedWatcherIsWell(t *testing.T) {
	feed := &fakeFeed{steps: []step{{page: page{Revision: 1}}, {err: errors.New("cut off")}}}
	var f *registry.Follower[string]
	failed := make(chan struct{})
	var once sync.Once
	f = registry.NewFollower(registry.Options[string]{
		Name: "test", Feed: feed, Sink: &fakeSink{}, Now: time.Now, Log: zerolog.Nop(),
		ShouldWatch: func(time.Time) bool {
			if f.Healthy() {
				select {
				case <-failed:
					return false
				default:
					return true
				}
			}
			once.Do(func() { close(failed) })
			return false
		},
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		f.Run(ctx)
	}()
	defer func() {
		cancel()
		<-done
	}()
	select {
	case <-failed:
	case <-time.After(5 * time.Second):
		t.Fatal("the watch did not fail")
	}
	for end := time.Now().Add(2 * time.Second); !f.Healthy(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the VM is still unhealthy although it no longer watches")
		}
	}
}
