package roster_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/hibiscuscove/hibiscuscove/internal/roster"
)

// fleetSize is above roster.MaxFullViewVMs.
const fleetSize = 65

// partialViewTable returns the table of a VM in a large fleet.
func partialViewTable(dataCentre string, list ...roster.Upstream) *roster.Table {
	t := roster.New(roster.Options{DataCentre: dataCentre, VersionLimits: roster.VersionLimits{MaxSpan: 10 * time.Second}})
	t.SetCacheTokens("lm", cacheTokens)
	t.SetFleetSize(fleetSize)
	t.Replace(start, list, false)
	return t
}

// spreadEngines returns engines distributed over four data centres.
func spreadEngines(n int, version int64) []roster.Upstream {
	list := engines(n, version)
	for i := range list {
		list[i].DataCentre = string(rune('a' + i%4))
	}
	return list
}

// TestVMsOfAllDataCentresAgree guards against VMs of a large fleet that choose
// different homes for a prompt, depending on their data centre or on the engine
// that they sent it to before.
func TestVMsOfAllDataCentresAgree(t *testing.T) {
	for i := range 20 {
		q := query()
		q.Parts = []roster.Part{{ID: "outer", Tokens: 2_500}, {ID: fmt.Sprint("subject", i), Tokens: 4_000}}
		want := pick(t, partialViewTable("a", spreadEngines(140, 1)...), start, q)
		tb := partialViewTable("b", spreadEngines(140, 1)...)
		tb.Start(start, engine("e07", 1), roster.Load{}, q.Parts, 2_000).Finish()
		got := pick(t, tb, start.Add(time.Second), q)
		if diff := cmp.Diff(want.Upstream.ID, got.Upstream.ID); diff != "" {
			t.Errorf("home of prompt %d (-want +got):\n%s", i, diff)
		}
	}
}

// TestHomeBusyOrAway checks that all VMs also agree on the engine after the
// home. That engine fetches the prompt from the home as long as the home works
// and has the same weights.
func TestHomeBusyOrAway(t *testing.T) {
	home := pick(t, partialViewTable("a", engines(140, 1)...), start, query()).Upstream
	tests := map[string]struct {
		setup    func(*roster.Table)
		fromHome bool
	}{
		"busy": {func(tb *roster.Table) {
			tb.Start(start, home, roster.Load{Requests: 3, WaitingTokens: 30_000, Tokens: 9_000}, nil, 0)
		}, true},
		// Until the engine loads, it still has its cached parts, under the old
		// version.
		"changing its weights": {func(tb *roster.Table) { tb.RecordAnnouncement(start, home.ID, 2) }, true},
		"unreachable":          {func(tb *roster.Table) { tb.ReportUnreachable(start, home.ID) }, false},
		"removed":              {func(tb *roster.Table) { tb.Remove(start, home.ID, false) }, false},
		"unreachable for two peers": {func(tb *roster.Table) {
			for _, peer := range []string{"v1", "v2"} {
				tb.SetPeerState(start, peer, roster.PeerState{Avoided: []string{home.ID}})
			}
		}, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var second string
			for _, dataCentre := range []string{"a", "b"} {
				tb := partialViewTable(dataCentre, engines(140, 1)...)
				test.setup(tb)
				c := pick(t, tb, start, query())
				if c.Upstream.ID == home.ID {
					t.Fatal("picked the home")
				}
				if second != "" && c.Upstream.ID != second {
					t.Errorf("VMs differ: %s and %s", second, c.Upstream.ID)
				}
				second = c.Upstream.ID
				if diff := cmp.Diff(test.fromHome, c.Source.ID == home.ID); diff != "" {
					t.Errorf("fetches from the home (-want +got):\n%s", diff)
				}
			}
		})
	}
}

// TestSourcesHaveTheSameWeights checks that during a rollout every engine keeps
// its share of the prompts, and fetches them only from engines with its own
// version.
func TestSourcesHaveTheSameWeights(t *testing.T) {
	list := engines(140, 1)
	for i := range list {
		list[i].Version = 1 + int64(i%2)
	}
	version := func(id string) int64 {
		for _, u := range list {
			if u.ID == id {
				return u.Version
			}
		}
		t.Fatalf("no engine %s", id)
		return 0
	}
	tb := partialViewTable("a", list...)
	tb.SetDesired(start, "m", 2)
	picked := make(map[int64]int)
	for i := range 400 {
		q := query()
		q.Parts = []roster.Part{{ID: fmt.Sprint("subject", i), Tokens: 6_000}}
		c := pick(t, tb, start, q)
		picked[c.Upstream.Version]++
		if c.Source.ID == "" || version(c.Source.ID) != c.Upstream.Version {
			t.Errorf("prompt %d on version %d fetches from %q", i, c.Upstream.Version, c.Source.ID)
		}
	}
	if picked[1] < 100 {
		t.Errorf("requests by version: %v, want at least 100 on version 1", picked)
	}
}

// TestOnePeerReportIsNotEnough guards against avoiding engines that work: a VM
// that is itself cut off reports them as unreachable.
func TestOnePeerReportIsNotEnough(t *testing.T) {
	home := pick(t, partialViewTable("a", engines(140, 1)...), start, query()).Upstream
	tests := map[string]func(*roster.Table){
		"one peer": func(tb *roster.Table) { tb.SetPeerState(start, "v1", roster.PeerState{Avoided: []string{home.ID}}) },
		"two peers, but it responds here": func(tb *roster.Table) {
			tb.SetPeerState(start, "v1", roster.PeerState{Avoided: []string{home.ID}})
			tb.SetPeerState(start, "v2", roster.PeerState{Avoided: []string{home.ID}})
			tb.ReportReachable(start, home.ID)
		},
		"two peers, expired": func(tb *roster.Table) {
			tb.SetPeerState(start.Add(-2*time.Second), "v1", roster.PeerState{Avoided: []string{home.ID}})
			tb.SetPeerState(start.Add(-2*time.Second), "v2", roster.PeerState{Avoided: []string{home.ID}})
		},
	}
	for name, setup := range tests {
		t.Run(name, func(t *testing.T) {
			tb := partialViewTable("a", engines(140, 1)...)
			setup(tb)
			if diff := cmp.Diff(home.ID, pick(t, tb, start, query()).Upstream.ID); diff != "" {
				t.Errorf("engine (-want +got):\n%s", diff)
			}
		})
	}
}

// TestLoadIsExtrapolated checks that a VM which receives the states of only
// some peers assumes the same load for the others.
func TestLoadIsExtrapolated(t *testing.T) {
	tb := partialViewTable("a", engines(140, 1)...)
	state := roster.PeerState{Loads: map[string]roster.Load{"e00": {Requests: 1, WaitingTokens: 2_000, Tokens: 9_000}}}
	for i := range fleetSize / 4 {
		tb.SetPeerState(start, fmt.Sprint("v", i), state)
	}
	want := roster.Load{Requests: fleetSize - 1, WaitingTokens: 2_000 * (fleetSize - 1), Tokens: 9_000 * (fleetSize - 1)}
	if diff := cmp.Diff(want, tb.TotalLoad(start)["e00"]); diff != "" {
		t.Errorf("load (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff(roster.Load{}, tb.TotalLoad(start.Add(2 * time.Second))["e00"]); diff != "" {
		t.Errorf("load after the states expired (-want +got):\n%s", diff)
	}
}

// TestPartialViewRecordsNoPrompts checks that a VM with a partial view neither
// records nor reports sent prompts, as nothing would use them.
func TestPartialViewRecordsNoPrompts(t *testing.T) {
	tb := partialViewTable("a", engines(140, 1)...)
	tb.Start(start, engine("e00", 1), roster.Load{}, parts, 2_000).Finish()
	if diff := cmp.Diff(0, len(tb.DrainSent())); diff != "" {
		t.Errorf("prompts to report (-want +got):\n%s", diff)
	}
}

// TestPromptsStayUnderOverload checks that a prompt leaves a busy home at
// normal times, but stays there while all first tokens come far later than
// estimated.
func TestPromptsStayUnderOverload(t *testing.T) {
	home := pick(t, partialViewTable("a", engines(140, 1)...), start, query()).Upstream
	tests := map[string]struct {
		slowdown float64
		stays    bool
	}{"normal": {1, false}, "overload": {5, true}}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			tb := partialViewTable("a", engines(140, 1)...)
			for range 200 {
				request := tb.Start(start, home, roster.Load{}, nil, 0)
				request.FirstToken(start.Add(time.Duration((80+test.slowdown*100)*float64(time.Millisecond))), 100)
				request.Finish()
			}
			tb.Start(start, home, roster.Load{Requests: 2, WaitingTokens: 20_000}, nil, 0)
			if diff := cmp.Diff(test.stays, pick(t, tb, start, query()).Home); diff != "" {
				t.Errorf("stays on its home (-want +got):\n%s", diff)
			}
		})
	}
}
