package suspect_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/hibiscuscove/hibiscuscove/internal/beacon"
	"github.com/hibiscuscove/hibiscuscove/internal/roster"
	"github.com/hibiscuscove/hibiscuscove/internal/suspect"
)

var start = time.Date(2026, 12, 3, 8, 0, 0, 0, time.UTC)

// end returns the change of an upstream list in which an upstream has ended.
func end(id string, kind roster.ChangeKind, leaving bool) []roster.Change {
	u := roster.Upstream{ID: id, Born: 1, Leaving: leaving}
	return []roster.Change{{Upstream: u, Kind: kind, EndedIncarnation: u.Incarnation()}}
}

// crash lets the request run through a VM and crash an upstream.
func crash(t *suspect.Tracker, now time.Time, fingerprint, id string) {
	t.RecordUnanswered(now, now, fingerprint, id+"@1", true)
	t.RecordEnded(now.Add(time.Second), end(id, roster.Removed, false))
}

// Guards against BUDGET: crashes in silence and ends that were seen late did not
// count, while planned ends and entries that had only expired did.
func TestCrashIsToldFromOtherEnds(t *testing.T) {
	tests := map[string]struct {
		aliveAt, endSeen time.Duration
		cut              bool
		kind             roster.ChangeKind
		leaving          bool
		want             int
	}{
		"broken off, end seen":                {0, 4 * time.Second, true, roster.Removed, false, 1},
		"silent, end seen":                    {0, 4 * time.Second, false, roster.Removed, false, 1},
		"restarted under its ID":              {0, time.Second, true, roster.Restarted, false, 1},
		"end seen after an outage":            {0, 15 * time.Second, true, roster.Removed, false, 1},
		"end seen much later":                 {0, time.Minute, true, roster.Removed, false, 0},
		"alive after its entry had gone":      {2 * time.Second, time.Second, true, roster.Removed, false, 0},
		"left as planned":                     {0, time.Second, true, roster.Removed, true, 0},
		"entry expired in the store's outage": {0, time.Second, true, roster.Expired, false, 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			aliveAt, endSeen := start.Add(test.aliveAt), start.Add(test.endSeen)
			before, after := suspect.NewTracker(), suspect.NewTracker()
			before.RecordEnded(endSeen, end("a", test.kind, test.leaving))
			before.RecordUnanswered(endSeen, aliveAt, "body", "a@1", test.cut)
			after.RecordUnanswered(aliveAt, aliveAt, "body", "a@1", test.cut)
			after.RecordEnded(endSeen, end("a", test.kind, test.leaving))
			got := []int{before.Evidence(endSeen, "body").Crashes, after.Evidence(endSeen, "body").Crashes}
			if diff := cmp.Diff([]int{test.want, test.want}, got); diff != "" {
				t.Errorf("crashes with the end recorded before and after the response (-want +got):\n%s", diff)
			}
		})
	}
}

// Guards against BUDGET: a request could crash many upstreams in the seconds until the
// list of upstreams shows the first end. Calls that end for other reasons must not
// block it, and neither must crashes before it ran to completion.
func TestRequestIsHeldBeforeEndsAreSeen(t *testing.T) {
	tests := map[string]struct {
		cut, completed bool
		after          time.Duration
		want           bool
	}{
		"four upstreams broke off":              {true, false, time.Second, true},
		"four upstreams broke off long ago":     {true, false, 10 * time.Second, false},
		"four callers left":                     {false, false, time.Second, false},
		"four upstreams broke off, then it ran": {true, true, time.Second, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s := suspect.NewTracker()
			for i := range 4 {
				s.RecordUnanswered(start, start, "body", fmt.Sprintf("i-%d@1", i), test.cut)
			}
			if test.completed {
				s.RecordCompleted(start.Add(time.Millisecond), "body")
			}
			if got := s.IsBlocked(start.Add(test.after), "body"); got != test.want {
				t.Errorf("blocked: %v, want %v", got, test.want)
			}
		})
	}
}

// Suspects beyond the limit must not push out the requests that are blocked.
func TestBlockedRequestSurvivesManySuspects(t *testing.T) {
	s := suspect.NewTracker()
	crash(s, start, "body", "a")
	crash(s, start, "body", "b")
	for i := range 6000 {
		s.RecordUnanswered(start, start, fmt.Sprint(i), "c@1", true)
	}
	if !s.IsBlocked(start.Add(time.Second), "body") {
		t.Error("the request is no longer blocked")
	}
}

// fleet is a number of VMs that exchange beacons in rounds, each with its tracker.
type fleet struct {
	trackers []*suspect.Tracker
	sends    []beacon.RoundRobin[int]
	rng      *rand.Rand
}

func newFleet(vms int) *fleet {
	f := &fleet{sends: make([]beacon.RoundRobin[int], vms), rng: rand.New(rand.NewPCG(1, 2))}
	for range vms {
		f.trackers = append(f.trackers, suspect.NewTracker())
	}
	return f
}

// round lets each VM send a beacon, of which loss is lost. VMs are in four data centres.
func (f *fleet) round(now time.Time, loss float64) {
	for i, t := range f.trackers {
		reports := t.Reports(now)
		var near, far []int
		for j := range f.trackers {
			switch {
			case j == i:
			case j%4 == i%4:
				near = append(near, j)
			default:
				far = append(far, j)
			}
		}
		for _, to := range f.sends[i].Next(near, far, f.rng.Shuffle) {
			if f.rng.Float64() < loss {
				continue
			}
			for _, r := range reports {
				f.trackers[to].Merge(now, r)
			}
		}
	}
}

// blocked returns the number of VMs that block the request.
func (f *fleet) blocked(now time.Time, fingerprint string) int {
	n := 0
	for _, t := range f.trackers {
		if t.IsBlocked(now, fingerprint) {
			n++
		}
	}
	return n
}

const beaconInterval = 150 * time.Millisecond

// Guards against BUDGET: only the dozen VMs that got one certain beacon learnt that a
// request had crashed an upstream, and those that started later never did.
func TestCrashesSpreadToAllVMs(t *testing.T) {
	tests := map[string]struct{ vms, innocent int }{
		"9 VMs, mass crash":  {9, 30},
		"65 VMs":             {65, 0},
		"84 VMs, mass crash": {84, 252},
		"910 VMs":            {910, 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			f := newFleet(test.vms)
			vms := test.vms
			now := start
			for i := range test.innocent {
				crash(f.trackers[i%vms], now, fmt.Sprintf("innocent-%d", i), fmt.Sprintf("m%d", i%3))
			}
			crash(f.trackers[0], now, "body", "a")
			crash(f.trackers[vms/2], now, "body", "b")
			rounds := 0
			for ; f.blocked(now, "body") < vms && rounds < 20; rounds++ {
				now = now.Add(beaconInterval)
				f.round(now, 0.03)
			}
			if got := f.blocked(now, "body"); got < vms {
				t.Fatalf("%d of %d VMs block the request after %d rounds", got, vms, rounds)
			}
			t.Logf("%d VMs block the request after %d rounds", vms, rounds)
			for range 30 {
				now = now.Add(beaconInterval)
				f.round(now, 0.03)
			}
			f.trackers[vms-1] = suspect.NewTracker()
			for range 10 {
				now = now.Add(beaconInterval)
				f.round(now, 0.03)
			}
			if got := f.blocked(now, "body"); got < vms {
				t.Error("a VM that started later does not block the request")
			}
			for i := range f.trackers {
				if n := len(f.trackers[i].Reports(now)); n > 1 {
					t.Fatalf("VM %d still sends %d reports", i, n)
				}
			}
		})
	}
}

// The age of a crash must not start anew when VMs pass it on, or a request would be
// blocked for ever.
func TestPassedOnCrashesExpire(t *testing.T) {
	f := newFleet(12)
	crash(f.trackers[0], start, "body", "a")
	crash(f.trackers[0], start, "body", "b")
	now := start
	for now.Before(start.Add(suspect.TTL + 5*time.Second)) {
		now = now.Add(beaconInterval)
		f.round(now, 0)
	}
	if got := f.blocked(now, "body"); got != 0 {
		t.Errorf("%d VMs still block the request", got)
	}
}

// TestCrashTracker checks that broken responses block a request only if two
// different upstreams are seen to have ended shortly afterwards. Lost connections
// and late or unrelated ends must not block it.
func TestCrashTracker(t *testing.T) {
	u := func(id string) roster.Upstream { return roster.Upstream{ID: id, Born: 1} }
	tests := map[string]struct {
		broken, ended []string
		endDelay      time.Duration
		want          bool
	}{
		"responses broken, none ended":         {[]string{"a", "b", "c"}, nil, 0, false},
		"one upstream ended":                   {[]string{"a", "b"}, []string{"a"}, 0, false},
		"two upstreams ended":                  {[]string{"a", "b"}, []string{"a", "b"}, 0, true},
		"other upstreams ended":                {[]string{"a", "b"}, []string{"c", "d"}, 0, false},
		"ended long after the broken response": {[]string{"a", "b"}, []string{"a", "b"}, time.Minute, false},
		"one upstream broke off twice":         {[]string{"a", "a"}, []string{"a"}, 0, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s := suspect.NewTracker()
			for _, id := range test.broken {
				s.RecordBroken(start, "body", u(id).Incarnation())
			}
			for _, id := range test.ended {
				s.RecordEnded(start.Add(test.endDelay+time.Second), []roster.Change{{Upstream: u(id), Kind: roster.Removed, EndedIncarnation: u(id).Incarnation()}})
			}
			if diff := cmp.Diff(test.want, s.IsBlocked(start.Add(2*time.Second), "body")); diff != "" {
				t.Errorf("blocked (-want +got):\n%s", diff)
			}
			if s.IsBlocked(start.Add(2*time.Second), "another body") {
				t.Error("another request is blocked")
			}
		})
	}
}
