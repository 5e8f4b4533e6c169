package roster_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/hibiscuscove/hibiscuscove/internal/roster"
)

const fleet = 65

// sparse returns a table of a VM in a large fleet.
func sparse(dataCentre string, list ...roster.Upstream) *roster.Table {
	t := roster.New(roster.Options{DataCentre: dataCentre, VersionLimits: roster.VersionLimits{MaxSpan: 10 * time.Second}})
	t.SetCacheTokens("lm", cache)
	t.SetFleetSize(fleet)
	t.Replace(start, list, false)
	return t
}

// spread gives engines data centres in turn.
func spread(n int, version int64) []roster.Upstream {
	list := engines(n, version)
	for i := range list {
		list[i].DataCentre = string(rune('a' + i%4))
	}
	return list
}

// TestVMsOfAllDataCentresAgree: in a large fleet a prompt has one home, wherever
// the caller is, whoever has sent it before.
func TestVMsOfAllDataCentresAgree(t *testing.T) {
	for i := range 20 {
		q := query()
		q.Parts = []roster.Part{{ID: "outer", Tokens: 2_500}, {ID: fmt.Sprint("subject", i), Tokens: 4_000}}
		want := pick(t, sparse("a", spread(140, 1)...), start, q)
		tb := sparse("b", spread(140, 1)...)
		tb.Start(start, engine("e07", 1), roster.Load{}, q.Parts, 2_000).Finish()
		got := pick(t, tb, start.Add(time.Second), q)
		if diff := cmp.Diff(want.Upstream.ID, got.Upstream.ID); diff != "" {
			t.Errorf("home of subject %d (-want +got):\n%s", i, diff)
		}
	}
}

// TestHomeBusyOrAway: the next engine of the prompt is agreed as well, and
// fetches from the home while that has the same weights and works.
func TestHomeBusyOrAway(t *testing.T) {
	home := pick(t, sparse("a", engines(140, 1)...), start, query()).Upstream
	tests := map[string]struct {
		happens func(*roster.Table)
		source  bool
	}{
		"busy": {func(tb *roster.Table) {
			tb.Start(start, home, roster.Load{Requests: 3, WaitingTokens: 30_000, Tokens: 9_000}, nil, 0)
		}, true},
		// Until it loads it has what it had, under the name of the old weights.
		"changing its weights": {func(tb *roster.Table) { tb.RecordAnnouncement(start, home.ID, 2) }, true},
		"dark":                 {func(tb *roster.Table) { tb.ReportUnreachable(start, home.ID) }, false},
		"gone":                 {func(tb *roster.Table) { tb.Remove(start, home.ID, false) }, false},
		"dark to two peers": {func(tb *roster.Table) {
			for _, peer := range []string{"v1", "v2"} {
				tb.SetPeerState(start, peer, roster.PeerState{Avoided: []string{home.ID}})
			}
		}, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var second string
			for _, dataCentre := range []string{"a", "b"} {
				tb := sparse(dataCentre, engines(140, 1)...)
				test.happens(tb)
				c := pick(t, tb, start, query())
				if c.Upstream.ID == home.ID {
					t.Fatal("the home was picked")
				}
				if second != "" && c.Upstream.ID != second {
					t.Errorf("VMs differ: %s and %s", second, c.Upstream.ID)
				}
				second = c.Upstream.ID
				if diff := cmp.Diff(test.source, c.Source.ID == home.ID); diff != "" {
					t.Errorf("fetches from the home (-want +got):\n%s", diff)
				}
			}
		})
	}
}

// TestSourcesHaveTheSameWeights: in a rollout every engine keeps its share of the
// prompts, and fetches from engines of its own weights only.
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
	tb := sparse("a", list...)
	tb.SetDesired(start, "m", 2)
	picked := make(map[int64]int)
	for i := range 400 {
		q := query()
		q.Parts = []roster.Part{{ID: fmt.Sprint("subject", i), Tokens: 6_000}}
		c := pick(t, tb, start, q)
		picked[c.Upstream.Version]++
		if c.Source.ID == "" || version(c.Source.ID) != c.Upstream.Version {
			t.Errorf("subject %d on version %d fetches from %q", i, c.Upstream.Version, c.Source.ID)
		}
	}
	if picked[1] < 100 {
		t.Errorf("requests by version: %v; half of the engines are left out", picked)
	}
}

// TestOneWitnessIsNotEnough: a VM that is itself cut off names engines that work.
func TestOneWitnessIsNotEnough(t *testing.T) {
	home := pick(t, sparse("a", engines(140, 1)...), start, query()).Upstream
	tests := map[string]func(*roster.Table){
		"one peer": func(tb *roster.Table) { tb.SetPeerState(start, "v1", roster.PeerState{Avoided: []string{home.ID}}) },
		"two peers, but heard from": func(tb *roster.Table) {
			tb.SetPeerState(start, "v1", roster.PeerState{Avoided: []string{home.ID}})
			tb.SetPeerState(start, "v2", roster.PeerState{Avoided: []string{home.ID}})
			tb.ReportReachable(start, home.ID)
		},
		"two peers, long ago": func(tb *roster.Table) {
			tb.SetPeerState(start.Add(-2*time.Second), "v1", roster.PeerState{Avoided: []string{home.ID}})
			tb.SetPeerState(start.Add(-2*time.Second), "v2", roster.PeerState{Avoided: []string{home.ID}})
		},
	}
	for name, happens := range tests {
		t.Run(name, func(t *testing.T) {
			tb := sparse("a", engines(140, 1)...)
			happens(tb)
			if diff := cmp.Diff(home.ID, pick(t, tb, start, query()).Upstream.ID); diff != "" {
				t.Errorf("engine (-want +got):\n%s", diff)
			}
		})
	}
}

// TestUnheardVMsCount: a VM that hears from a part of the fleet only takes the
// others to have as much.
func TestUnheardVMsCount(t *testing.T) {
	tb := sparse("a", engines(140, 1)...)
	news := roster.PeerState{Loads: map[string]roster.Load{"e00": {Requests: 1, WaitingTokens: 2_000, Tokens: 9_000}}}
	for i := range fleet / 4 {
		tb.SetPeerState(start, fmt.Sprint("v", i), news)
	}
	want := roster.Load{Requests: fleet - 1, WaitingTokens: 2_000 * (fleet - 1), Tokens: 9_000 * (fleet - 1)}
	if diff := cmp.Diff(want, tb.TotalLoad(start)["e00"]); diff != "" {
		t.Errorf("load (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff(roster.Load{}, tb.TotalLoad(start.Add(2 * time.Second))["e00"]); diff != "" {
		t.Errorf("load after the news aged (-want +got):\n%s", diff)
	}
}

// TestPromptsOfASparseFleetStayUntold: what nobody uses is neither kept nor told.
func TestPromptsOfASparseFleetStayUntold(t *testing.T) {
	tb := sparse("a", engines(140, 1)...)
	tb.Start(start, engine("e00", 1), roster.Load{}, parts, 2_000).Finish()
	if diff := cmp.Diff(0, len(tb.DrainSent())); diff != "" {
		t.Errorf("prompts told (-want +got):\n%s", diff)
	}
}

// TestPromptsStayInACrunch: a home that is as busy as others is left at usual
// times, but not while all first tokens come far later than estimated.
func TestPromptsStayInACrunch(t *testing.T) {
	home := pick(t, sparse("a", engines(140, 1)...), start, query()).Upstream
	tests := map[string]struct {
		slower float64
		stays  bool
	}{"usual": {1, false}, "crunch": {5, true}}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			tb := sparse("a", engines(140, 1)...)
			for range 200 {
				stay := tb.Start(start, home, roster.Load{}, nil, 0)
				stay.FirstToken(start.Add(time.Duration((80+test.slower*100)*float64(time.Millisecond))), 100)
				stay.Finish()
			}
			tb.Start(start, home, roster.Load{Requests: 2, WaitingTokens: 20_000}, nil, 0)
			if diff := cmp.Diff(test.stays, pick(t, tb, start, query()).Home); diff != "" {
				t.Errorf("at home (-want +got):\n%s", diff)
			}
		})
	}
}
