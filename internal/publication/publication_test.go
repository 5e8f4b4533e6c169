package publication_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/hibiscuscove/hibiscuscove/internal/contract"
	"github.com/hibiscuscove/hibiscuscove/internal/objectstore"
	"github.com/hibiscuscove/hibiscuscove/internal/publication"
	"github.com/hibiscuscove/hibiscuscove/internal/verdict"
)

var start = time.Unix(1_800_000_000, 0)

// faultyStore fails the next writes of the head in chosen ways.
type faultyStore struct {
	*objectstore.Memory
	mu     sync.Mutex
	faults []string
}

func (s *faultyStore) Put(ctx context.Context, key string, value []byte, ifVersion uint64) (objectstore.Object, error) {
	s.mu.Lock()
	fault := ""
	if key == publication.HeadKey && len(s.faults) > 0 {
		fault, s.faults = s.faults[0], s.faults[1:]
	}
	s.mu.Unlock()
	switch fault {
	case "answer lost":
		_, _ = s.Memory.Put(ctx, key, value, ifVersion)
		return objectstore.Object{}, objectstore.ErrOutcomeUnknown
	case "write lost":
		return objectstore.Object{}, objectstore.ErrOutcomeUnknown
	case "refused":
		return objectstore.Object{}, objectstore.ErrUnavailable
	}
	return s.Memory.Put(ctx, key, value, ifVersion)
}

func priority(name string, level int) contract.Object {
	raw, _ := json.Marshal(contract.Priority{Name: name, Level: level})
	return contract.Object{Kind: contract.KindPriority, Name: name, Spec: raw}
}

func change(id string, base uint64, objects ...contract.Object) contract.Change {
	return contract.Change{ID: id, Base: base, Upserts: objects}
}

// TestPublishUnderFaults publishes two changes with failing head writes and
// sends the first one again.
func TestPublishUnderFaults(t *testing.T) {
	for name, faults := range map[string][]string{
		"none":        nil,
		"answer lost": {"answer lost"},
		"write lost":  {"write lost"},
		"refused":     {"refused", "refused"},
		"mixed":       {"write lost", "refused", "answer lost"},
	} {
		t.Run(name, func(t *testing.T) {
			store := &faultyStore{Memory: objectstore.NewMemory(), faults: faults}
			p := publication.NewPublisher(store)
			ctx := context.Background()
			first, err := p.Publish(ctx, start, change("one", 0, priority("a", 1)))
			if err != nil || first.Generation != 1 {
				t.Fatalf("got %+v, %v", first, err)
			}
			second, err := p.Publish(ctx, start, change("two", 0, priority("b", 2)))
			if err != nil || second.Generation != 2 {
				t.Fatalf("got %+v, %v", second, err)
			}
			again, err := p.Publish(ctx, start, change("one", 0, priority("a", 1)))
			if err != nil || !again.AlreadyApplied || again.Generation != 1 {
				t.Errorf("the change sent again: %+v, %v", again, err)
			}
		})
	}
}

// TestPublishWithoutPlatform says that a change has not been published when no
// write can have taken effect.
func TestPublishWithoutPlatform(t *testing.T) {
	store := &faultyStore{Memory: objectstore.NewMemory()}
	for range 1000 {
		store.faults = append(store.faults, "refused")
	}
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	_, err := publication.NewPublisher(store).Publish(ctx, start, change("one", 0, priority("a", 1)))
	if e := verdict.As(err); e.Verdict != verdict.NotRun || e.RetryAfter <= 0 {
		t.Errorf("got %v", err)
	}
}

// TestRacingOperators publishes from many at once: disjoint changes are all in
// force, of those to one object just one.
func TestRacingOperators(t *testing.T) {
	store := objectstore.NewMemory()
	p := publication.NewPublisher(store)
	ctx := context.Background()
	if _, err := p.Publish(ctx, start, change("base", 0, priority("same", 1))); err != nil {
		t.Fatal(err)
	}
	var wg sync.WaitGroup
	var mu sync.Mutex
	won, conflicts := 0, 0
	const operators = 6
	for i := range operators {
		wg.Go(func() {
			if _, err := p.Publish(ctx, start, change(fmt.Sprint("own ", i), 1, priority(fmt.Sprint("own-", i), 1))); err != nil {
				t.Error(err)
			}
		})
		wg.Go(func() {
			r, err := p.Publish(ctx, start, change(fmt.Sprint("same ", i), 1, priority("same", 2+i)))
			if err != nil {
				t.Error(err)
			}
			mu.Lock()
			defer mu.Unlock()
			if r.OK() {
				won++
			}
			conflicts += len(r.Conflicts)
		})
	}
	wg.Wait()
	d, err := p.Load(ctx)
	if err != nil {
		t.Fatal(err)
	}
	got := []int{won, conflicts, len(d.Objects), int(d.Generation)}
	if diff := cmp.Diff([]int{1, operators - 1, operators + 1, operators + 2}, got); diff != "" {
		t.Errorf("won, conflicts, objects, generation (-want +got):\n%s", diff)
	}
}

// TestRollback publishes a new generation with old content, and keeps the
// history bounded.
func TestRollback(t *testing.T) {
	store := objectstore.NewMemory()
	p := publication.NewPublisher(store)
	ctx := context.Background()
	for i := range 120 {
		if _, err := p.Publish(ctx, start, change(fmt.Sprint(i), 0, priority("a", i%9), priority(fmt.Sprint("b-", i), 1))); err != nil {
			t.Fatal(err)
		}
	}
	entries, err := p.History(ctx)
	if err != nil || len(entries) != 100 {
		t.Fatalf("%d entries, %v", len(entries), err)
	}
	r, err := p.Rollback(ctx, start, "back", "", 40)
	if err != nil || r.Generation != 121 {
		t.Fatalf("got %+v, %v", r, err)
	}
	d, err := p.Load(ctx)
	if err != nil || len(d.Objects) != 41 {
		t.Errorf("%d objects, %v", len(d.Objects), err)
	}
	if _, err := p.Rollback(ctx, start, "far back", "", 3); verdict.As(err).Code != "generation_unknown" {
		t.Errorf("got %v", err)
	}
}

// TestReadsOnlyNewSegments follows changes of one object each and counts what
// is read for one.
func TestReadsOnlyNewSegments(t *testing.T) {
	store := &countingStore{Memory: objectstore.NewMemory()}
	p, follower := publication.NewPublisher(store), publication.NewPublisher(store)
	ctx := context.Background()
	var all []contract.Object
	for i := range 300 {
		all = append(all, priority(fmt.Sprint("p-", i), 1))
	}
	if _, err := p.Publish(ctx, start, change("all", 0, all...)); err != nil {
		t.Fatal(err)
	}
	_, version, err := follower.Await(ctx, 0)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := p.Publish(ctx, start, change("one", 0, priority("p-7", 2))); err != nil {
		t.Fatal(err)
	}
	before := store.reads.Load()
	d, _, err := follower.Await(ctx, version)
	if err != nil || d.Generation != 2 {
		t.Fatalf("generation %d, %v", d.Generation, err)
	}
	if got := store.reads.Load() - before; got != 1 {
		t.Errorf("%d segments were read for a change of one object", got)
	}
}

type countingStore struct {
	*objectstore.Memory
	reads atomic.Int64
}

func (s *countingStore) Get(ctx context.Context, key string) (objectstore.Object, error) {
	s.reads.Add(1)
	return s.Memory.Get(ctx, key)
}

// TestHolderNeverReverts offers old, equal and broken documents.
func TestHolderNeverReverts(t *testing.T) {
	one, _ := contract.Document{}.WithChange(change("1", 0, priority("a", 1)))
	two, _ := one.WithChange(change("2", 0, priority("a", 2)))
	broken := two
	broken.Generation = 3
	broken.Objects = []contract.Object{priority("a", 77)}
	h := publication.NewHolder()
	for _, d := range []contract.Document{one, two, two, broken, one} {
		_, _ = h.Offer(d)
	}
	if h.Generation() != 2 || h.Current().Catalogue.Level("a") != 2 {
		t.Errorf("generation %d", h.Generation())
	}
	if _, err := h.OfferDelta(contract.Delta{Since: 9, Generation: 10}, 0); err == nil {
		t.Error("a delta from a generation that is not there was taken")
	}
	if _, err := h.OfferDelta(two.Since(0), 1); err != nil && errors.Is(err, context.Canceled) {
		t.Error(err)
	}
}

// BenchmarkSlopeConfiguration applies a change of one object to a node's
// configuration: processor time and memory against the number of objects.
func BenchmarkSlopeConfiguration(b *testing.B) {
	for _, objects := range []int{100, 1000, 5000} {
		b.Run(fmt.Sprintf("objects=%d", objects), func(b *testing.B) {
			var all []contract.Object
			for i := range objects {
				raw, _ := json.Marshal(contract.Organisation{Name: fmt.Sprint("organisation-", i), Share: 1, KeyHashes: []string{contract.HashKey(fmt.Sprint(i))}})
				all = append(all, contract.Object{Kind: contract.KindOrganisation, Name: fmt.Sprint("organisation-", i), Spec: raw})
			}
			before := heap()
			d, outcome := contract.Document{}.WithChange(contract.Change{Upserts: all})
			h := publication.NewHolder()
			if _, err := h.Offer(d); err != nil || !outcome.OK() {
				b.Fatal(err, outcome)
			}
			perObject := float64(heap()-before) / float64(objects)
			for b.Loop() {
				b.StopTimer()
				next, _ := d.WithChange(change("", 0, priority("p", int(d.Generation)%9)))
				b.StartTimer()
				if _, err := h.OfferDelta(next.Since(d.Generation), next.Digest()); err != nil {
					b.Fatal(err)
				}
				d = next
			}
			b.ReportMetric(perObject, "B/object")
			runtime.KeepAlive(h)
		})
	}
}

func heap() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}
