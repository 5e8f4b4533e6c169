package publication_test

import (
	"context"
	"encoding/json"
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

// faultyStore is a Store that fails the next writes of the head with the queued
// faults:
//
//   - "response lost": the write takes effect, but its response is lost;
//   - "write lost": the write never takes effect, but its outcome is unknown;
//   - "refused": the store rejects the write.
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
	case "response lost":
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

func newChange(id string, base uint64, objects ...contract.Object) contract.Change {
	return contract.Change{ID: id, Base: base, Upserts: objects}
}

// TestPublishUnderFaults checks that each change is published exactly once when
// writes of the head fail, even if the first change is sent again.
func TestPublishUnderFaults(t *testing.T) {
	for name, faults := range map[string][]string{
		"none":          nil,
		"response lost": {"response lost"},
		"write lost":    {"write lost"},
		"refused":       {"refused", "refused"},
		"mixed":         {"write lost", "refused", "response lost"},
	} {
		t.Run(name, func(t *testing.T) {
			store := &faultyStore{Memory: objectstore.NewMemory(), faults: faults}
			p := publication.NewPublisher(store)
			ctx := context.Background()
			first, err := p.Publish(ctx, start, newChange("one", 0, priority("a", 1)))
			if err != nil || first.Generation != 1 {
				t.Fatalf("got %+v, %v", first, err)
			}
			second, err := p.Publish(ctx, start, newChange("two", 0, priority("b", 2)))
			if err != nil || second.Generation != 2 {
				t.Fatalf("got %+v, %v", second, err)
			}
			resent, err := p.Publish(ctx, start, newChange("one", 0, priority("a", 1)))
			if err != nil || !resent.AlreadyApplied || resent.Generation != 1 {
				t.Errorf("change sent again: %+v, %v", resent, err)
			}
		})
	}
}

// TestPublishWithoutObjectStore checks that Publish fails with the verdict
// NotRun if the object store refuses every write of the head.
func TestPublishWithoutObjectStore(t *testing.T) {
	store := &faultyStore{Memory: objectstore.NewMemory()}
	for range 1000 {
		store.faults = append(store.faults, "refused")
	}
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	_, err := publication.NewPublisher(store).Publish(ctx, start, newChange("one", 0, priority("a", 1)))
	if e := verdict.FromError(err); e.Verdict != verdict.NotRun || e.RetryAfter <= 0 {
		t.Errorf("got %v", err)
	}
}

// TestConcurrentPublish publishes changes concurrently. All changes to different
// objects must be published, but only one of those to the same object.
func TestConcurrentPublish(t *testing.T) {
	store := objectstore.NewMemory()
	p := publication.NewPublisher(store)
	ctx := context.Background()
	if _, err := p.Publish(ctx, start, newChange("base", 0, priority("same", 1))); err != nil {
		t.Fatal(err)
	}
	var wg sync.WaitGroup
	var mu sync.Mutex
	published, conflicts := 0, 0
	const operators = 6
	for i := range operators {
		wg.Go(func() {
			if _, err := p.Publish(ctx, start, newChange(fmt.Sprint("own ", i), 1, priority(fmt.Sprint("own-", i), 1))); err != nil {
				t.Error(err)
			}
		})
		wg.Go(func() {
			r, err := p.Publish(ctx, start, newChange(fmt.Sprint("same ", i), 1, priority("same", 2+i)))
			if err != nil {
				t.Error(err)
			}
			mu.Lock()
			defer mu.Unlock()
			if r.OK() {
				published++
			}
			conflicts += len(r.Conflicts)
		})
	}
	wg.Wait()
	d, err := p.Load(ctx)
	if err != nil {
		t.Fatal(err)
	}
	got := []int{published, conflicts, len(d.Objects), int(d.Generation)}
	if diff := cmp.Diff([]int{1, operators - 1, operators + 1, operators + 2}, got); diff != "" {
		t.Errorf("published, conflicts, objects, generation (-want +got):\n%s", diff)
	}
}

// TestRollback checks that the history is limited to 100 generations, and that a
// rollback publishes the content of one of them as a new generation.
func TestRollback(t *testing.T) {
	store := objectstore.NewMemory()
	p := publication.NewPublisher(store)
	ctx := context.Background()
	for i := range 120 {
		if _, err := p.Publish(ctx, start, newChange(fmt.Sprint(i), 0, priority("a", i%9), priority(fmt.Sprint("b-", i), 1))); err != nil {
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
	if _, err := p.Rollback(ctx, start, "far back", "", 3); verdict.FromError(err).Code != "generation_unknown" {
		t.Errorf("got %v", err)
	}
}

// TestAwaitReadsOnlyNewSegments checks that a follower reads only one segment for
// a change of one object.
func TestAwaitReadsOnlyNewSegments(t *testing.T) {
	store := &countingStore{Memory: objectstore.NewMemory()}
	p, follower := publication.NewPublisher(store), publication.NewPublisher(store)
	ctx := context.Background()
	var all []contract.Object
	for i := range 300 {
		all = append(all, priority(fmt.Sprint("p-", i), 1))
	}
	if _, err := p.Publish(ctx, start, newChange("all", 0, all...)); err != nil {
		t.Fatal(err)
	}
	_, version, err := follower.Await(ctx, 0)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := p.Publish(ctx, start, newChange("one", 0, priority("p-7", 2))); err != nil {
		t.Fatal(err)
	}
	before := store.reads.Load()
	d, _, err := follower.Await(ctx, version)
	if err != nil || d.Generation != 2 {
		t.Fatalf("generation %d, %v", d.Generation, err)
	}
	if got := store.reads.Load() - before; got != 1 {
		t.Errorf("%d segments were read for a change of one object, want 1", got)
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

// TestHolderNeverReverts checks that a Holder ignores older, equal and invalid
// documents, and rejects deltas that it can't apply.
func TestHolderNeverReverts(t *testing.T) {
	one, _ := contract.Document{}.WithChange(newChange("1", 0, priority("a", 1)))
	two, _ := one.WithChange(newChange("2", 0, priority("a", 2)))
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
		t.Error("a delta that starts after the active generation was accepted")
	}
	if applied, err := h.OfferDelta(two.Since(0), 1); applied || err != nil {
		t.Errorf("a delta of the active generation: applied %v, error %v", applied, err)
	}
	three, _ := two.WithChange(newChange("3", 0, priority("a", 3)))
	if _, err := h.OfferDelta(three.Since(2), three.Digest()+1); err == nil || h.Generation() != 2 {
		t.Errorf("a delta whose result has another digest: error %v, generation %d", err, h.Generation())
	}
	if applied, err := h.OfferDelta(three.Since(2), three.Digest()); !applied || err != nil || h.Current().Catalogue.Level("a") != 3 {
		t.Errorf("the next delta: applied %v, error %v, generation %d", applied, err, h.Generation())
	}
}

// BenchmarkSlopeConfiguration applies changes of one object to a node's
// configuration. It reports the processor time of a change and the memory per
// object, for different numbers of objects.
func BenchmarkSlopeConfiguration(b *testing.B) {
	for _, objects := range []int{100, 1000, 5000} {
		b.Run(fmt.Sprintf("objects=%d", objects), func(b *testing.B) {
			var all []contract.Object
			for i := range objects {
				raw, _ := json.Marshal(contract.Organisation{Name: fmt.Sprint("organisation-", i), Share: 1, KeyHashes: []string{contract.HashKey(fmt.Sprint(i))}})
				all = append(all, contract.Object{Kind: contract.KindOrganisation, Name: fmt.Sprint("organisation-", i), Spec: raw})
			}
			before := liveHeapBytes()
			d, outcome := contract.Document{}.WithChange(contract.Change{Upserts: all})
			h := publication.NewHolder()
			if _, err := h.Offer(d); err != nil || !outcome.OK() {
				b.Fatal(err, outcome)
			}
			perObject := float64(liveHeapBytes()-before) / float64(objects)
			for b.Loop() {
				b.StopTimer()
				next, _ := d.WithChange(newChange("", 0, priority("p", int(d.Generation)%9)))
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

// liveHeapBytes returns the number of bytes of heap objects after a garbage
// collection.
func liveHeapBytes() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}
