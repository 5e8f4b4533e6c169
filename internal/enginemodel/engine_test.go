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

// site is an engine and what became of its requests.
type site struct {
	loop   *virtualtime.Loop
	engine *enginemodel.Engine
	loads  enginemodel.Loads
	first  map[string]time.Duration
	ended  map[string]bool
	broke  map[string]bool
	read   map[string]int
	n      int
}

func newSite(opts enginemodel.Options) *site {
	s := &site{
		loop: virtualtime.New(start), first: make(map[string]time.Duration), ended: make(map[string]bool),
		broke: make(map[string]bool), read: make(map[string]int),
	}
	s.engine = enginemodel.New(s.loop, &s.loads, opts)
	return s
}

var shared = []enginemodel.Part{{ID: "outer", Tokens: 2_512}, {ID: "inner", Tokens: 3_776}}

func (s *site) request(name string) *enginemodel.Request {
	s.n++
	sent := s.loop.Now()
	return &enginemodel.Request{
		Parts: shared, Own: enginemodel.Part{ID: fmt.Sprint("own", s.n), Tokens: 2_880}, OutputTokens: 10,
		Read:     func(p enginemodel.Part, tokens int) { s.read[name] += tokens },
		First:    func() { s.first[name] = s.loop.Now().Sub(sent) },
		End:      func() { s.ended[name] = true },
		BrokeOff: func() { s.broke[name] = true },
	}
}

func (s *site) pass(d time.Duration) { s.loop.Run(s.loop.Now().Add(d)) }

// TestKeptPartsAreNotReadAgain: the first request reads all, the second its own
// part only, and that much sooner has its first token.
func TestKeptPartsAreNotReadAgain(t *testing.T) {
	s := newSite(enginemodel.Options{})
	s.engine.Offer(s.request("first"))
	s.pass(2 * time.Second)
	s.engine.Offer(s.request("second"))
	s.pass(2 * time.Second)
	if diff := cmp.Diff(map[string]int{"first": 6_288, "second": 0}, s.read); diff != "" {
		t.Errorf("shared tokens read (-want +got):\n%s", diff)
	}
	saved := s.first["first"] - s.first["second"]
	if least := 80 * time.Millisecond; saved < least {
		t.Errorf("kept parts saved %v, want %v or more", saved, least)
	}
}

// TestMemoryYieldsByLastUse: parts of requests that run never yield.
func TestMemoryYieldsByLastUse(t *testing.T) {
	s := newSite(enginemodel.Options{MemoryTokens: 12_000})
	s.engine.Offer(s.request("first"))
	s.pass(2 * time.Second)
	other := s.request("other")
	other.Parts = []enginemodel.Part{{ID: "else", Tokens: 6_000}}
	s.engine.Offer(other)
	s.pass(2 * time.Second)
	s.engine.Offer(s.request("again"))
	s.pass(2 * time.Second)
	if s.read["again"] == 0 {
		t.Error("the parts were still kept, though others took their place")
	}
	if diff := cmp.Diff(map[string]bool{"first": true, "other": true, "again": true}, s.ended); diff != "" {
		t.Errorf("ended (-want +got):\n%s", diff)
	}
}

// TestTurnedAway: full, of other weights, larger than the memory, or down.
func TestTurnedAway(t *testing.T) {
	tests := map[string]struct {
		before func(*site, *enginemodel.Request)
		want   bool
	}{
		"room":          {func(*site, *enginemodel.Request) {}, true},
		"full":          {func(s *site, _ *enginemodel.Request) { s.engine.Offer(s.request("a")); s.engine.Offer(s.request("b")) }, false},
		"other weights": {func(_ *site, r *enginemodel.Request) { r.Version = 2 }, false},
		"too large":     {func(_ *site, r *enginemodel.Request) { r.Own.Tokens = 200_000 }, false},
		"loading":       {func(s *site, _ *enginemodel.Request) { s.engine.Load(2, func() {}) }, false},
		"down":          {func(s *site, _ *enginemodel.Request) { s.engine.Crash(time.Second, func() {}) }, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s := newSite(enginemodel.Options{Slots: 1, Queue: 1})
			r := s.request("r")
			test.before(s, r)
			if diff := cmp.Diff(test.want, s.engine.Offer(r)); diff != "" {
				t.Errorf("taken (-want +got):\n%s", diff)
			}
		})
	}
}

// TestLoad: runs finish first, what waits is turned away, kept memory goes, and
// many loads at once slow one another down.
func TestLoad(t *testing.T) {
	s := newSite(enginemodel.Options{Slots: 1, LoadsAtOnce: 1})
	s.engine.Offer(s.request("runs"))
	s.engine.Offer(s.request("waits"))
	done := time.Duration(0)
	s.engine.Load(2, func() { done = s.loop.Now().Sub(start) })
	other := enginemodel.New(s.loop, &s.loads, enginemodel.Options{LoadsAtOnce: 1})
	other.Load(2, func() {})
	s.pass(10 * time.Second)
	if !s.ended["runs"] || s.broke["runs"] || !s.broke["waits"] {
		t.Errorf("ended %v, broken off %v", s.ended, s.broke)
	}
	if least := 2 * 1900 * time.Millisecond; done < least {
		t.Errorf("loaded after %v, want %v or more", done, least)
	}
	s.engine.Offer(s.request("later"))
	s.pass(2 * time.Second)
	if diff := cmp.Diff(6_288, s.read["later"]); diff != "" {
		t.Errorf("shared tokens read on the new weights (-want +got):\n%s", diff)
	}
}

// TestFetch: what a source keeps is moved, a lost source costs time.
func TestFetch(t *testing.T) {
	tests := map[string]struct {
		up   bool
		read int
	}{"kept": {true, 0}, "lost": {false, 6_288}}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s := newSite(enginemodel.Options{})
			store := enginemodel.NewStore(100_000, 16, 800)
			saving := s.request("saving")
			saving.Save = store
			s.engine.Offer(saving)
			s.pass(2 * time.Second)
			if !test.up {
				store.SetUp(false)
			}
			other := enginemodel.New(s.loop, &s.loads, enginemodel.Options{})
			r := s.request("fetching")
			r.Source = store
			other.Offer(r)
			s.pass(2 * time.Second)
			if diff := cmp.Diff(test.read, s.read["fetching"]); diff != "" {
				t.Errorf("shared tokens read (-want +got):\n%s", diff)
			}
		})
	}
}

// TestCrash: all runs break off; the engine is back empty and takes requests.
func TestCrash(t *testing.T) {
	s := newSite(enginemodel.Options{})
	s.engine.Offer(s.request("lost"))
	s.pass(20 * time.Millisecond)
	back := false
	s.engine.Crash(time.Second, func() { back = true })
	s.pass(2 * time.Second)
	if !s.broke["lost"] || s.ended["lost"] || !back || s.engine.Requests() != 0 {
		t.Errorf("broken off %v, ended %v, back %v, %d requests", s.broke, s.ended, back, s.engine.Requests())
	}
	if !s.engine.Offer(s.request("next")) {
		t.Error("the engine takes no request after its return")
	}
}
