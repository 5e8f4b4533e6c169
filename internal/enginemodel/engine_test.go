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
	loading    enginemodel.LoadingCounter
	firstToken map[string]time.Duration
	finished   map[string]bool
	broken     map[string]bool
	computed   map[string]int
	requests   int
}

func newHarness(opts enginemodel.Options) *harness {
	h := &harness{
		loop: virtualtime.New(start), firstToken: make(map[string]time.Duration), finished: make(map[string]bool),
		broken: make(map[string]bool), computed: make(map[string]int),
	}
	h.engine = enginemodel.New(h.loop, &h.loading, opts)
	return h
}

var shared = []enginemodel.Part{{ID: "outer", Tokens: 2_512}, {ID: "inner", Tokens: 3_776}}

func (h *harness) request(name string) *enginemodel.Request {
	h.requests++
	sent := h.loop.Now()
	return &enginemodel.Request{
		Parts: shared, Unshared: enginemodel.Part{ID: fmt.Sprint("unshared", h.requests), Tokens: 2_880}, OutputTokens: 10,
		OnPrefill:    func(p enginemodel.Part, tokens int) { h.computed[name] += tokens },
		OnFirstToken: func() { h.firstToken[name] = h.loop.Now().Sub(sent) },
		OnFinish:     func() { h.finished[name] = true },
		OnBroken:     func() { h.broken[name] = true },
	}
}

func (h *harness) advance(d time.Duration) { h.loop.Run(h.loop.Now().Add(d)) }

// A second request with the same shared parts must compute only its unshared part,
// and get its first token sooner for it.
func TestCachedPartsAreNotRecomputed(t *testing.T) {
	h := newHarness(enginemodel.Options{})
	h.engine.Offer(h.request("first"))
	h.advance(2 * time.Second)
	h.engine.Offer(h.request("second"))
	h.advance(2 * time.Second)
	if diff := cmp.Diff(map[string]int{"first": 6_288, "second": 0}, h.computed); diff != "" {
		t.Errorf("computed shared tokens (-want +got):\n%s", diff)
	}
	saved := h.firstToken["first"] - h.firstToken["second"]
	if minSaved := 80 * time.Millisecond; saved < minSaved {
		t.Errorf("cached parts saved %v, want %v or more", saved, minSaved)
	}
}

// Parts that were not used recently are evicted when another prompt needs the
// memory, and no running request loses its parts.
func TestUnusedPartsAreEvicted(t *testing.T) {
	h := newHarness(enginemodel.Options{CacheTokens: 12_000})
	h.engine.Offer(h.request("first"))
	h.advance(2 * time.Second)
	other := h.request("other")
	other.Parts = []enginemodel.Part{{ID: "other", Tokens: 6_000}}
	h.engine.Offer(other)
	h.advance(2 * time.Second)
	h.engine.Offer(h.request("third"))
	h.advance(2 * time.Second)
	if h.computed["third"] == 0 {
		t.Error("the parts are still cached after other parts needed their memory")
	}
	if diff := cmp.Diff(map[string]bool{"first": true, "other": true, "third": true}, h.finished); diff != "" {
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
		"full": {func(h *harness, _ *enginemodel.Request) {
			h.engine.Offer(h.request("a"))
			h.engine.Offer(h.request("b"))
		}, false},
		"other weights": {func(_ *harness, r *enginemodel.Request) { r.Version = 2 }, false},
		"too large":     {func(_ *harness, r *enginemodel.Request) { r.Unshared.Tokens = 200_000 }, false},
		"loading":       {func(h *harness, _ *enginemodel.Request) { h.engine.LoadWeights(2, func() {}) }, false},
		"down":          {func(h *harness, _ *enginemodel.Request) { h.engine.Crash(time.Second, func() {}) }, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			h := newHarness(enginemodel.Options{Slots: 1, MaxQueue: 1})
			r := h.request("r")
			test.setup(h, r)
			if diff := cmp.Diff(test.want, h.engine.Offer(r)); diff != "" {
				t.Errorf("accepted (-want +got):\n%s", diff)
			}
		})
	}
}

// A load of weights must let running requests finish, break waiting ones and clear
// the cache. Loads at the same time slow one another down.
func TestLoadWeights(t *testing.T) {
	h := newHarness(enginemodel.Options{Slots: 1, FullSpeedLoads: 1})
	h.engine.Offer(h.request("runs"))
	h.engine.Offer(h.request("waits"))
	loadedAfter := time.Duration(0)
	h.engine.LoadWeights(2, func() { loadedAfter = h.loop.Now().Sub(start) })
	other := enginemodel.New(h.loop, &h.loading, enginemodel.Options{FullSpeedLoads: 1})
	other.LoadWeights(2, func() {})
	h.advance(10 * time.Second)
	if !h.finished["runs"] || h.broken["runs"] || !h.broken["waits"] {
		t.Errorf("finished %v, broken %v", h.finished, h.broken)
	}
	if minTime := 2 * 1900 * time.Millisecond; loadedAfter < minTime {
		t.Errorf("loaded after %v, want %v or more", loadedAfter, minTime)
	}
	h.engine.Offer(h.request("later"))
	h.advance(2 * time.Second)
	if diff := cmp.Diff(6_288, h.computed["later"]); diff != "" {
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
			h := newHarness(enginemodel.Options{})
			store := enginemodel.NewStore(100_000, 16, 800)
			saving := h.request("saving")
			saving.SaveTo = store
			h.engine.Offer(saving)
			h.advance(2 * time.Second)
			if !test.up {
				store.SetUp(false)
			}
			other := enginemodel.New(h.loop, &h.loading, enginemodel.Options{})
			r := h.request("fetching")
			r.Source = store
			other.Offer(r)
			h.advance(2 * time.Second)
			if diff := cmp.Diff(test.wantComputed, h.computed["fetching"]); diff != "" {
				t.Errorf("computed shared tokens (-want +got):\n%s", diff)
			}
		})
	}
}

// A crash breaks all requests. After its restart the engine is empty and accepts
// requests.
func TestCrash(t *testing.T) {
	h := newHarness(enginemodel.Options{})
	h.engine.Offer(h.request("running"))
	h.advance(20 * time.Millisecond)
	restarted := false
	h.engine.Crash(time.Second, func() { restarted = true })
	h.advance(2 * time.Second)
	if !h.broken["running"] || h.finished["running"] || !restarted || h.engine.Requests() != 0 {
		t.Errorf("broken %v, finished %v, restarted %v, %d requests", h.broken, h.finished, restarted, h.engine.Requests())
	}
	if !h.engine.Offer(h.request("next")) {
		t.Error("the engine rejects a request after its restart")
	}
}
