package enginemodel_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/hibiscuscove/hibiscuscove/internal/enginemodel"
	"github.com/hibiscuscove/hibiscuscove/internal/virtualtime"
)

var start = time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)

// harness runs an engine and records by name what happened to its requests.
type harness struct {
	loop       *virtualtime.Loop
	engine     *enginemodel.Engine
	loads      enginemodel.LoadCounter
	firstToken map[string]time.Duration
	finished   map[string]bool
	broken     map[string]bool
	computed   map[string]int
	requests   int
}

func newHarness(opts enginemodel.Options) *harness {
	s := &harness{
		loop: virtualtime.New(start), firstToken: make(map[string]time.Duration), finished: make(map[string]bool),
		broken: make(map[string]bool), computed: make(map[string]int),
	}
	s.engine = enginemodel.New(s.loop, &s.loads, opts)
	return s
}

var shared = []enginemodel.Part{{ID: "outer", Tokens: 2_512}, {ID: "inner", Tokens: 3_776}}

func (s *harness) request(name string) *enginemodel.Request {
	s.requests++
	sent := s.loop.Now()
	return &enginemodel.Request{
		Parts: shared, Unshared: enginemodel.Part{ID: fmt.Sprint("unshared", s.requests), Tokens: 2_880}, OutputTokens: 10,
		OnPrefill:    func(p enginemodel.Part, tokens int) { s.computed[name] += tokens },
		OnFirstToken: func() { s.firstToken[name] = s.loop.Now().Sub(sent) },
		OnFinish:     func() { s.finished[name] = true },
		OnBroken:     func() { s.broken[name] = true },
	}
}

func (s *harness) advance(d time.Duration) { s.loop.Run(s.loop.Now().Add(d)) }

// A second request with the same shared parts must compute only its unshared part,
// and get its first token sooner for it.
func TestCachedPartsAreNotRecomputed(t *testing.T) {
	s := newHarness(enginemodel.Options{})
	s.engine.Offer(s.request("first"))
	s.advance(2 * time.Second)
	s.engine.Offer(s.request("second"))
	s.advance(2 * time.Second)
	if diff := cmp.Diff(map[string]int{"first": 6_288, "second": 0}, s.computed); diff != "" {
		t.Errorf("computed shared tokens (-want +got):\n%s", diff)
	}
	saved := s.firstToken["first"] - s.firstToken["second"]
	if minSaved := 80 * time.Millisecond; saved < minSaved {
		t.Errorf("cached parts saved %v, want %v or more", saved, minSaved)
	}
}

// Parts that were not used recently are evicted when another prompt needs the
// memory, and no running request loses its parts.
func TestUnusedPartsAreEvicted(t *testing.T) {
	s := newHarness(enginemodel.Options{MemoryTokens: 12_000})
	s.engine.Offer(s.request("first"))
	s.advance(2 * time.Second)
	other := s.request("other")
	other.Parts = []enginemodel.Part{{ID: "other", Tokens: 6_000}}
	s.engine.Offer(other)
	s.advance(2 * time.Second)
	s.engine.Offer(s.request("third"))
	s.advance(2 * time.Second)
	if s.computed["third"] == 0 {
		t.Error("the parts are still cached after other parts needed their memory")
	}
	if diff := cmp.Diff(map[string]bool{"first": true, "other": true, "third": true}, s.finished); diff != "" {
		t.Errorf("finished requests (-want +got):\n%s", diff)
	}
}

// An engine must reject requests that it can't run.
func TestRejected(t *testing.T) {
	tests := map[string]struct {
		setup func(*harness, *enginemodel.Request)
		want  bool
	}{
		"free slot": {func(*harness, *enginemodel.Request) {}, true},
		"full": {func(s *harness, _ *enginemodel.Request) {
			s.engine.Offer(s.request("a"))
			s.engine.Offer(s.request("b"))
		}, false},
		"other weights": {func(_ *harness, r *enginemodel.Request) { r.Version = 2 }, false},
		"too large":     {func(_ *harness, r *enginemodel.Request) { r.Unshared.Tokens = 200_000 }, false},
		"loading":       {func(s *harness, _ *enginemodel.Request) { s.engine.Load(2, func() {}) }, false},
		"down":          {func(s *harness, _ *enginemodel.Request) { s.engine.Crash(time.Second, func() {}) }, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s := newHarness(enginemodel.Options{Slots: 1, MaxQueue: 1})
			r := s.request("r")
			test.setup(s, r)
			if diff := cmp.Diff(test.want, s.engine.Offer(r)); diff != "" {
				t.Errorf("accepted (-want +got):\n%s", diff)
			}
		})
	}
}

// A load of weights must let running requests finish, break waiting ones and clear
// the cache. Loads at the same time slow one another down.
func TestLoadWeights(t *testing.T) {
	s := newHarness(enginemodel.Options{Slots: 1, FullSpeedLoads: 1})
	s.engine.Offer(s.request("runs"))
	s.engine.Offer(s.request("waits"))
	loadedAfter := time.Duration(0)
	s.engine.Load(2, func() { loadedAfter = s.loop.Now().Sub(start) })
	other := enginemodel.New(s.loop, &s.loads, enginemodel.Options{FullSpeedLoads: 1})
	other.Load(2, func() {})
	s.advance(10 * time.Second)
	if !s.finished["runs"] || s.broken["runs"] || !s.broken["waits"] {
		t.Errorf("finished %v, broken %v", s.finished, s.broken)
	}
	if minTime := 2 * 1900 * time.Millisecond; loadedAfter < minTime {
		t.Errorf("loaded after %v, want %v or more", loadedAfter, minTime)
	}
	s.engine.Offer(s.request("later"))
	s.advance(2 * time.Second)
	if diff := cmp.Diff(6_288, s.computed["later"]); diff != "" {
		t.Errorf("computed shared tokens on the new weights (-want +got):\n%s", diff)
	}
}

// Shared parts are fetched from a source that has them, and computed when the
// source is down.
func TestFetch(t *testing.T) {
	tests := map[string]struct {
		up           bool
		wantComputed int
	}{"source up": {true, 0}, "source down": {false, 6_288}}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s := newHarness(enginemodel.Options{})
			store := enginemodel.NewStore(100_000, 16, 800)
			saving := s.request("saving")
			saving.SaveTo = store
			s.engine.Offer(saving)
			s.advance(2 * time.Second)
			if !test.up {
				store.SetUp(false)
			}
			other := enginemodel.New(s.loop, &s.loads, enginemodel.Options{})
			r := s.request("fetching")
			r.Source = store
			other.Offer(r)
			s.advance(2 * time.Second)
			if diff := cmp.Diff(test.wantComputed, s.computed["fetching"]); diff != "" {
				t.Errorf("computed shared tokens (-want +got):\n%s", diff)
			}
		})
	}
}

// A crash breaks all requests. After its restart the engine is empty and accepts
// requests.
func TestCrash(t *testing.T) {
	s := newHarness(enginemodel.Options{})
	s.engine.Offer(s.request("running"))
	s.advance(20 * time.Millisecond)
	restarted := false
	s.engine.Crash(time.Second, func() { restarted = true })
	s.advance(2 * time.Second)
	if !s.broken["running"] || s.finished["running"] || !restarted || s.engine.Requests() != 0 {
		t.Errorf("broken %v, finished %v, restarted %v, %d requests", s.broken, s.finished, restarted, s.engine.Requests())
	}
	if !s.engine.Offer(s.request("next")) {
		t.Error("the engine rejects a request after its restart")
	}
}
