package roster_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/hibiscuscove/hibiscuscove/internal/roster"
)

var start = time.Date(2026, 12, 3, 8, 0, 0, 0, time.UTC)

const cache = 100_000

func engine(id string, version int64) roster.Upstream {
	return roster.Upstream{ID: id, Service: "lm", Address: "10.0.0.1:80", DataCentre: "a", Slots: 16, Born: 1, Model: "m", Version: version}
}

func engines(n int, version int64) []roster.Upstream {
	var list []roster.Upstream
	for i := range n {
		list = append(list, engine(fmt.Sprintf("e%02d", i), version))
	}
	return list
}

func table(list ...roster.Upstream) *roster.Table {
	t := roster.New(roster.Options{DataCentre: "a", VersionLimits: roster.VersionLimits{MaxSpan: 10 * time.Second}})
	t.SetCacheTokens("lm", cache)
	t.Replace(start, list, false)
	return t
}

var parts = []roster.Part{{ID: "outer", Tokens: 2_500}, {ID: "inner", Tokens: 4_000}}

func query() roster.Query {
	return roster.Query{Service: "lm", Model: "m", Parts: parts, UnsharedTokens: 2_000, OutputTokens: 20}
}

func pick(t *testing.T, table *roster.Table, now time.Time, q roster.Query) roster.Choice {
	t.Helper()
	c, found := table.Pick(now, q)
	if !found {
		t.Fatal("no upstream found")
	}
	return c
}

func TestPickGoesWhereThePromptIsKept(t *testing.T) {
	tb := table(engines(8, 1)...)
	first := pick(t, tb, start, query())
	tb.Start(start, first.Upstream, roster.Load{}, parts, 2_000).Finish()
	again := pick(t, tb, start.Add(time.Second), query())
	if diff := cmp.Diff(first.Upstream.ID, again.Upstream.ID); diff != "" {
		t.Errorf("engine (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff(2_000, again.MissingTokens); diff != "" {
		t.Errorf("tokens to read (-want +got):\n%s", diff)
	}
}

// TestVMsThatKnowNothingAgree: every VM has the same home for a prompt.
func TestVMsThatKnowNothingAgree(t *testing.T) {
	want := pick(t, table(engines(18, 1)...), start, query()).Upstream.ID
	for range 5 {
		list := engines(18, 1)
		rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
		if diff := cmp.Diff(want, pick(t, table(list...), start, query()).Upstream.ID); diff != "" {
			t.Errorf("home (-want +got):\n%s", diff)
		}
	}
}

// TestOneHotPrompt: a prompt that gets much of the traffic is spread before it
// queues, and the other engines fetch what the first has read.
func TestOneHotPrompt(t *testing.T) {
	tb := table(engines(8, 1)...)
	home := pick(t, tb, start, query()).Upstream
	tb.Start(start, home, roster.Load{}, parts, 0).Finish()
	now := start.Add(time.Second)
	used := make(map[string]int)
	for range 24 {
		c := pick(t, tb, now, query())
		if c.Upstream.ID != home.ID && used[c.Upstream.ID] == 0 {
			if diff := cmp.Diff(home.ID, c.Source.ID); diff != "" {
				t.Errorf("source (-want +got):\n%s", diff)
			}
		}
		used[c.Upstream.ID]++
		tb.Start(now, c.Upstream, roster.Load{Requests: 1, WaitingTokens: c.MissingTokens, Tokens: 8_520}, parts, 2_000)
	}
	for id, n := range used {
		if n > 6 {
			t.Errorf("%d of 24 requests at %s, want at most 6", n, id)
		}
	}
}

// TestQuarterSilent: engines whose connections fail get no more requests while
// others are there, and are tried again later.
func TestQuarterSilent(t *testing.T) {
	tb := table(engines(12, 1)...)
	silent := map[string]bool{"e00": true, "e04": true, "e08": true}
	for id := range silent {
		tb.ReportUnreachable(start, id)
	}
	for i := range 100 {
		q := query()
		q.Parts = []roster.Part{{ID: fmt.Sprint("p", i), Tokens: 500}}
		c := pick(t, tb, start.Add(time.Duration(i)*5*time.Millisecond), q)
		if silent[c.Upstream.ID] || !c.Healthy {
			t.Fatalf("request %d went to %s, fit %v", i, c.Upstream.ID, c.Healthy)
		}
		tb.Start(start, c.Upstream, roster.Load{Requests: 1}, nil, 0).Finish()
	}
	if diff := cmp.Diff([]string(nil), tb.Avoided(start.Add(time.Second))); diff != "" {
		t.Errorf("avoided after a second (-want +got):\n%s", diff)
	}
}

// TestAllSilentIsNoDeadEnd: when every engine is avoided, one is still tried.
func TestAllSilentIsNoDeadEnd(t *testing.T) {
	tb := table(engines(2, 1)...)
	tb.ReportUnreachable(start, "e00")
	tb.ReportUnreachable(start, "e01")
	if c := pick(t, tb, start, query()); c.Healthy {
		t.Errorf("%s is said to be fit", c.Upstream.ID)
	}
}

func TestOldWeights(t *testing.T) {
	tests := map[string]struct {
		after     time.Duration
		disturbed time.Duration
		found     bool
	}{
		"fresh news":                 {after: 2 * time.Second, found: true},
		"time is up":                 {after: 11 * time.Second, found: false},
		"disturbed time counts none": {after: 11 * time.Second, disturbed: 5 * time.Second, found: true},
		"calm again for long":        {after: 16 * time.Second, disturbed: 5 * time.Second, found: false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			tb := table(engines(3, 1)...)
			tb.SetDesired(start, "m", 2)
			if test.disturbed > 0 {
				tb.RecordDisruption(start.Add(test.disturbed))
			}
			_, found := tb.Pick(start.Add(test.after), query())
			if diff := cmp.Diff(test.found, found); diff != "" {
				t.Errorf("an engine with old weights found (-want +got):\n%s", diff)
			}
		})
	}
}

// TestRolloutsInARow: each version has its own time, so an engine two versions
// behind is left out while one that is one behind still serves.
func TestRolloutsInARow(t *testing.T) {
	tb := table(engine("two-behind", 1), engine("one-behind", 2))
	tb.SetDesired(start, "m", 2)
	tb.SetDesired(start.Add(6*time.Second), "m", 3)
	for range 20 {
		c := pick(t, tb, start.Add(11*time.Second), query())
		if diff := cmp.Diff("one-behind", c.Upstream.ID); diff != "" {
			t.Fatalf("engine (-want +got):\n%s", diff)
		}
	}
}

// TestAgeFromPeers: a VM that has just started learns from its peers for how
// long a version has been named.
func TestAgeFromPeers(t *testing.T) {
	tb := table(engine("old", 1))
	tb.SetDesired(start, "m", 2)
	tb.SetDesired(start.Add(-9*time.Second), "m", 2)
	if _, found := tb.Pick(start.Add(2*time.Second), query()); found {
		t.Error("an engine was found whose weights' time is up")
	}
	want := []roster.DesiredAge{{Model: "m", Version: 2, AgeMS: 9_000}}
	if diff := cmp.Diff(want, tb.DesiredAges(start)); diff != "" {
		t.Errorf("ages (-want +got):\n%s", diff)
	}
}

func TestNewWeightsForgetPrompts(t *testing.T) {
	tb := table(engine("e", 1))
	u := pick(t, tb, start, query()).Upstream
	tb.Start(start, u, roster.Load{}, parts, 0).Finish()
	tb.ObserveVersion(start, "e", 1, 2)
	c := pick(t, tb, start.Add(time.Second), query())
	if diff := cmp.Diff(int64(2), c.Upstream.Version); diff != "" {
		t.Errorf("version (-want +got):\n%s", diff)
	}
	if c.MissingTokens <= 2_000 {
		t.Errorf("%d tokens to read: parts of other weights count as kept", c.MissingTokens)
	}
}

// TestNoSourceOfOtherWeights: memory made under other weights is never named
// as a source, nor that of an engine which is changing its weights.
func TestNoSourceOfOtherWeights(t *testing.T) {
	tests := map[string]struct {
		prepare func(*roster.Table)
		want    string
	}{
		"same weights":  {func(*roster.Table) {}, "keeps"},
		"other weights": {func(tb *roster.Table) { tb.ObserveVersion(start, "free", 1, 2) }, ""},
		"changing":      {func(tb *roster.Table) { tb.SetLoading(start.Add(time.Second), "keeps") }, ""},
		"restarted": {func(tb *roster.Table) {
			u := engine("keeps", 1)
			u.Born = 2
			tb.Put(start, u)
		}, ""},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			tb := table(engine("keeps", 1), engine("free", 1))
			tb.Start(start, engine("keeps", 1), roster.Load{Requests: 14, WaitingTokens: 40_000}, parts, 0)
			test.prepare(tb)
			c := pick(t, tb, start.Add(time.Second), query())
			if diff := cmp.Diff("free", c.Upstream.ID); diff != "" {
				t.Fatalf("engine (-want +got):\n%s", diff)
			}
			if diff := cmp.Diff(test.want, c.Source.ID); diff != "" {
				t.Errorf("source (-want +got):\n%s", diff)
			}
		})
	}
}

// TestStoreOutage: entries that expired during an outage stay a last resort
// until they are back, and are gone if they do not come back.
func TestStoreOutage(t *testing.T) {
	tb := table(engines(2, 1)...)
	tb.Replace(start, engines(1, 1), true)
	if c := pick(t, tb, start, query()); c.Upstream.ID != "e00" || c.Candidates != 2 {
		t.Errorf("picked %s of %d, want e00 of 2", c.Upstream.ID, c.Candidates)
	}
	if diff := cmp.Diff(0, len(tb.RemoveExpired(start.Add(time.Second)))); diff != "" {
		t.Errorf("expired after a second (-want +got):\n%s", diff)
	}
	tb.Put(start, engine("e01", 1))
	if diff := cmp.Diff(0, len(tb.RemoveExpired(start.Add(3*time.Second)))); diff != "" {
		t.Errorf("expired after it came back (-want +got):\n%s", diff)
	}
	tb.Replace(start, engines(1, 1), true)
	if diff := cmp.Diff(1, len(tb.RemoveExpired(start.Add(3*time.Second)))); diff != "" {
		t.Errorf("expired (-want +got):\n%s", diff)
	}
}

// TestLeavingDuringOutage: an entry that said it was leaving is gone at once.
func TestLeavingDuringOutage(t *testing.T) {
	u := engine("e", 1)
	u.Leaving = true
	tb := table(u)
	if _, found := tb.Pick(start, query()); found {
		t.Error("a leaving engine was picked")
	}
	changes := tb.Remove(start, "e", true)
	if diff := cmp.Diff([]roster.Change{{Upstream: u, Kind: roster.Removed, EndedIncarnation: u.Incarnation()}}, changes); diff != "" {
		t.Errorf("changes (-want +got):\n%s", diff)
	}
}

func TestMemoryIsALimit(t *testing.T) {
	tb := table(engine("full", 1), engine("free", 1))
	tb.Start(start, engine("full", 1), roster.Load{Requests: 9, Tokens: 96_000}, parts, 0)
	if diff := cmp.Diff("free", pick(t, tb, start.Add(time.Second), query()).Upstream.ID); diff != "" {
		t.Errorf("engine (-want +got):\n%s", diff)
	}
}

// TestPeersLoadAges: what a peer has on an engine counts for a second only.
func TestPeersLoadAges(t *testing.T) {
	tb := table(engine("a", 1), engine("b", 1))
	q := query()
	q.Parts = nil
	first := pick(t, tb, start, q).Upstream.ID
	tb.SetPeerState(start, "peer", roster.PeerState{Loads: map[string]roster.Load{first: {Requests: 8, WaitingTokens: 20_000}}})
	if second := pick(t, tb, start, q).Upstream.ID; second == first {
		t.Errorf("picked %s, which a peer has filled", second)
	}
	if diff := cmp.Diff(first, pick(t, tb, start.Add(2*time.Second), q).Upstream.ID); diff != "" {
		t.Errorf("engine after the news aged (-want +got):\n%s", diff)
	}
}

// TestEvictionsAreToldOrGuessed: an engine whose events are followed keeps what
// it has not said to have dropped; of another the oldest parts are given up.
func TestEvictionsAreToldOrGuessed(t *testing.T) {
	for name, followed := range map[string]bool{"followed": true, "not followed": false} {
		t.Run(name, func(t *testing.T) {
			tb := table(engine("e", 1))
			tb.Start(start, engine("e", 1), roster.Load{}, parts, 0).Finish()
			if followed {
				tb.SetCached(start, "e", 1, nil)
			}
			tb.Start(start, engine("e", 1), roster.Load{}, nil, cache).Finish()
			got := pick(t, tb, start.Add(time.Second), query()).MissingTokens
			if diff := cmp.Diff(followed, got == 2_000); diff != "" {
				t.Errorf("the shared parts count as kept (-want +got):\n%s%d tokens to read", diff, got)
			}
		})
	}
}

// TestGuessedAgeIsNotTold: in a rolling restart, a VM that has just started
// guesses how long a version has been named; its guess must not make peers
// leave out engines whose time is not up.
func TestGuessedAgeIsNotTold(t *testing.T) {
	fresh := table(engines(3, 1)...)
	fresh.AssumeDesired(start.Add(-7*time.Second), "m", 2)
	if diff := cmp.Diff([]roster.DesiredAge(nil), fresh.DesiredAges(start)); diff != "" {
		t.Errorf("ages told (-want +got):\n%s", diff)
	}
	if _, found := fresh.Pick(start.Add(4*time.Second), query()); found {
		t.Error("the guess does not count at the VM itself")
	}
	fresh.SetDesired(start, "m", 2)
	if _, found := fresh.Pick(start.Add(4*time.Second), query()); !found {
		t.Error("a peer's word does not replace the guess")
	}
	fresh.AssumeDesired(start.Add(-9*time.Second), "m", 2)
	want := []roster.DesiredAge{{Model: "m", Version: 2, AgeMS: 1_000}}
	if diff := cmp.Diff(want, fresh.DesiredAges(start.Add(time.Second))); diff != "" {
		t.Errorf("ages told (-want +got):\n%s", diff)
	}
}
