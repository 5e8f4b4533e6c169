package roster_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/hibiscuscove/hibiscuscove/internal/roster"
)

// TestEarlierVersionsAreRemembered: rollouts in a row, then all VMs lose power.
// A VM that has started again lists the newest version only; what it hears of
// the one before must keep requests from engines that are two behind.
func TestEarlierVersionsAreRemembered(t *testing.T) {
	tb := table(engines(3, 2)...)
	tb.AssumeDesired(start.Add(-5*time.Second), "m", 4)
	tb.SetDesired(start.Add(-9*time.Second), "m", 3)
	if _, found := tb.Pick(start, query()); !found {
		t.Fatal("no engine before the limit")
	}
	if _, found := tb.Pick(start.Add(2*time.Second), query()); found {
		t.Error("a request goes to an engine whose time is up")
	}
	tb.Put(start, engine("e00", 3))
	if got := pick(t, tb, start.Add(2*time.Second), query()).Upstream.ID; got != "e00" {
		t.Errorf("picked %s, want the engine that is one behind", got)
	}
}

// TestDisturbancesInARow: the store goes away again and again, for shorter
// pauses than the limit. The undisturbed spans add up to a limit of their own.
func TestDisturbancesInARow(t *testing.T) {
	tests := map[string]struct {
		every, most time.Duration
		want        bool
	}{
		"spans of 6 s":               {6 * time.Second, 16 * time.Second, true},
		"too little time":            {6 * time.Second, 12 * time.Second, false},
		"spans that are too short":   {1500 * time.Millisecond, 40 * time.Second, false},
		"none, the plain limit":      {time.Hour, 11 * time.Second, true},
		"past the plain limit, once": {11 * time.Second, 13 * time.Second, true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			tb := roster.New(roster.Options{DataCentre: "a", VersionLimits: roster.VersionLimits{MaxSpan: 10 * time.Second, MaxTotal: 14 * time.Second}})
			tb.Replace(start, engines(3, 1), false)
			tb.SetDesired(start, "m", 2)
			for at := test.every; at < test.most; at += test.every {
				tb.RecordDisruption(start.Add(at))
			}
			_, found := tb.Pick(start.Add(test.most), query())
			if diff := cmp.Diff(test.want, !found); diff != "" {
				t.Errorf("old engines are left out (-want +got):\n%s", diff)
			}
		})
	}
}

// TestLoadingIsRelayed: in a large fleet few VMs hear from the one that changes
// engines. What peers pass on keeps requests away as well, but neither after the
// engine has its new weights nor for longer than the word holds.
func TestLoadingIsRelayed(t *testing.T) {
	tests := map[string]struct {
		heard  func(*roster.Table)
		avoids bool
	}{
		"heard late":     {func(tb *roster.Table) { tb.RecordAnnouncement(start.Add(-400*time.Millisecond), "e00", 2) }, true},
		"heard too late": {func(tb *roster.Table) { tb.RecordAnnouncement(start.Add(-1100*time.Millisecond), "e00", 2) }, false},
		"listed with it": {func(tb *roster.Table) {
			// The VM that changes it does not know yet that it is done.
			tb.Put(start.Add(-50*time.Millisecond), engine("e00", 2))
			tb.RecordAnnouncement(start, "e00", 2)
		}, false},
		"changed again": {func(tb *roster.Table) {
			tb.Put(start.Add(-50*time.Millisecond), engine("e00", 2))
			tb.RecordAnnouncement(start, "e00", 3)
		}, true},
		"updated since": {func(tb *roster.Table) {
			tb.ObserveVersion(start.Add(-100*time.Millisecond), "e00", 1, 2)
			tb.RecordAnnouncement(start.Add(-600*time.Millisecond), "e00", 2)
		}, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			tb := table(engine("e00", 1))
			test.heard(tb)
			if diff := cmp.Diff(test.avoids, !pick(t, tb, start, query()).Healthy); diff != "" {
				t.Errorf("the engine is avoided (-want +got):\n%s", diff)
			}
			if diff := cmp.Diff(test.avoids, len(tb.Announcements(start)) == 1); diff != "" {
				t.Errorf("told on (-want +got):\n%s", diff)
			}
		})
	}
}
