package health_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/hibiscuscove/hibiscuscove/internal/health"
)

var ejectionStart = time.Unix(1000, 0)

// listUpstreams returns n listed upstreams of a service, named a to z.
func listUpstreams(n int) map[string]string {
	services := make(map[string]string)
	for i := range n {
		services[string(rune('a'+i))] = "desk"
	}
	return services
}

// observe records outcomes of different requests of an upstream, 100 ms apart: b for
// broken, f for failed, s for sound. It returns the time after the last one.
func observe(x *health.Ejections, now time.Time, incarnation, outcomes string) time.Time {
	kinds := map[rune]health.Outcome{'b': health.Broken, 'f': health.Failed, 's': health.Sound}
	for _, o := range outcomes {
		x.Observe(now, "desk", incarnation, fmt.Sprint(incarnation, now.UnixNano()), kinds[o])
		now = now.Add(100 * time.Millisecond)
	}
	return now
}

// TestEjections checks which outcomes, here and at peers, eject an upstream of four.
func TestEjections(t *testing.T) {
	report := func(sound int, requests ...uint32) []health.EjectionReport {
		return []health.EjectionReport{{Incarnation: "a", Requests: requests, Sound: sound}}
	}
	own := func(outcomes string) func(*health.Ejections) {
		return func(x *health.Ejections) { observe(x, ejectionStart, "a", outcomes) }
	}
	peers := func(outcomes string, reports ...[]health.EjectionReport) func(*health.Ejections) {
		return func(x *health.Ejections) {
			now := observe(x, ejectionStart, "a", outcomes)
			for i, r := range reports {
				x.Learn(now, fmt.Sprint("vm-", i), r)
			}
		}
	}
	repeated := func(between func(x *health.Ejections)) func(x *health.Ejections) {
		return func(x *health.Ejections) {
			x.Observe(ejectionStart, "desk", "a", "poison", health.Broken)
			between(x)
			x.Observe(ejectionStart.Add(time.Second), "desk", "a", "poison", health.Broken)
		}
	}
	tests := map[string]struct {
		events func(x *health.Ejections)
		want   bool
	}{
		"two broken in a row":          {own("sssssbb"), true},
		"one broken":                   {own("b"), false},
		"broken now and then":          {own("bsssbsssb"), false},
		"most of the last few":         {own("ssbsbsbsb"), false},
		"more than half":               {own("bsbsb"), true},
		"failures, others sound":       {func(x *health.Ejections) { own("fffsff")(x); observe(x, ejectionStart, "b", "ssss") }, false},
		"failures, others known sound": {func(x *health.Ejections) { observe(x, ejectionStart, "b", "ssss"); own("fffsff")(x) }, true},
		"failures everywhere":          {func(x *health.Ejections) { observe(x, ejectionStart, "b", "ffsf"); own("fffsff")(x) }, false},
		"failures alone":               {own("ffffffff"), false},
		"few failures":                 {func(x *health.Ejections) { observe(x, ejectionStart, "b", "ssss"); own("fsfsfsfsfs")(x) }, false},
		"one request again and again":  {repeated(func(*health.Ejections) {}), false},
		"one request, completed elsewhere": {repeated(func(x *health.Ejections) {
			x.Observe(ejectionStart.Add(time.Millisecond), "desk", "b", "poison", health.Sound)
		}), true},
		"all connections reset at once": {func(x *health.Ejections) {
			for i := range 5 {
				x.Observe(ejectionStart.Add(time.Duration(i)*time.Millisecond), "desk", "a", fmt.Sprint(i), health.Broken)
			}
		}, false},
		"long ago": {func(x *health.Ejections) {
			own("b")(x)
			observe(x, ejectionStart.Add(6*time.Second), "a", "b")
		}, false},
		"two peers":                   {peers("", report(0, 1, 2), report(1, 3)), true},
		"one peer":                    {peers("", report(0, 1, 2, 3, 4)), false},
		"one peer and a sign here":    {peers("b", report(0, 1, 2)), true},
		"two peers, sound here":       {peers("ss", report(0, 1, 2), report(0, 3, 4)), false},
		"two peers, mostly sound":     {peers("", report(7, 1, 2), report(7, 3)), false},
		"three peers at one moment":   {peers("", report(0, 1), report(0, 2), report(0, 3)), false},
		"two peers, the same request": {peers("", report(0, 1), report(0, 1)), false},
		"peer that takes back":        {peers("", report(0, 1, 2), nil), false},
		"upstream that is not listed": {func(x *health.Ejections) {
			x.Retain(ejectionStart, nil)
			peers("", report(0, 1, 2), report(0, 3, 4))(x)
		}, false},
		"another incarnation": {func(x *health.Ejections) {
			own("bb")(x)
			services := listUpstreams(4)
			delete(services, "a")
			x.Retain(ejectionStart, services)
			x.Retain(ejectionStart, listUpstreams(4))
		}, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			x := health.NewEjections("vm")
			x.Retain(ejectionStart, listUpstreams(4))
			tt.events(x)
			if got := x.InForce(ejectionStart)["a"]; got != tt.want {
				t.Errorf("ejected %v", got)
			}
		})
	}
}

// TestEjectionTrials checks when an ejected upstream gets trials, and how it returns.
func TestEjectionTrials(t *testing.T) {
	x := health.NewEjections("vm")
	x.Retain(ejectionStart, listUpstreams(4))
	now := observe(x, ejectionStart, "a", "bb").Add(-100 * time.Millisecond)
	// next returns the time until the next trial starts, in ms.
	next := func(repeatable bool) int {
		for ms := 0; ms < 10_000; ms += 50 {
			if at := now.Add(time.Duration(ms) * time.Millisecond); x.StartTrial(at, "a", repeatable) {
				now = at
				return ms
			}
		}
		return -1
	}
	breaks := func() { x.Observe(now, "desk", "a", fmt.Sprint(now.UnixNano()), health.Broken) }
	got := []int{next(true), next(true)} // the first one is silent
	for range 3 {
		breaks()
		got = append(got, next(true))
	}
	breaks()
	got = append(got, next(false))
	breaks()
	got = append(got, next(false))
	if diff := cmp.Diff([]int{300, 2000, 600, 1000, 1000, 3000, 1000}, got); diff != "" {
		t.Errorf("time to each trial in ms: %s", diff)
	}
	sound := func() bool {
		_, returned := x.Observe(now, "desk", "a", fmt.Sprint(now.UnixNano()), health.Sound)
		return returned
	}
	if sound() || !x.InForce(now)["a"] || next(true) != 0 {
		t.Error("back after one sound trial, or no other one at once")
	}
	if breaks(); next(true) != 1000 || sound() || next(true) != 0 {
		t.Error("a broken trial between two sound ones does not count")
	}
	if !sound() || x.InForce(now) != nil || next(true) >= 0 {
		t.Error("not back after two sound trials")
	}
	now = now.Add(500 * time.Millisecond)
	if breaks(); !x.InForce(now)["a"] {
		t.Error("not ejected by the first broken response after the return")
	}
	if ms := next(true); ms != 1000 {
		t.Errorf("first trial after the second ejection after %d ms", ms)
	}
}

// TestFleetTakesTurnsAtTrials checks that trials of peers that break delay this VM's, and
// that one peer can't delay them for ever.
func TestFleetTakesTurnsAtTrials(t *testing.T) {
	x := health.NewEjections("vm")
	x.Retain(ejectionStart, listUpstreams(4))
	begin := observe(x, ejectionStart, "a", "bb").Add(-100 * time.Millisecond)
	for ms := 0; ms < 5000; ms += 100 {
		now := begin.Add(time.Duration(ms) * time.Millisecond)
		x.Learn(now, "peer", []health.EjectionReport{{Incarnation: "a", Requests: []uint32{1}}})
		if x.StartTrial(now, "a", true) {
			if ms < 600 || ms > 2000 {
				t.Errorf("trial after %d ms", ms)
			}
			return
		}
	}
	t.Error("no trial")
}

// TestEjectedShare checks how many of a service's upstreams are ejected at most.
func TestEjectedShare(t *testing.T) {
	type counts struct{ Upstreams, Broken int }
	got, want := make(map[counts]int), map[counts]int{
		{1, 1}: 0, {2, 1}: 1, {2, 2}: 0, {3, 2}: 1, {3, 3}: 0, {4, 2}: 2, {4, 3}: 0, {18, 1}: 1, {18, 9}: 6, {18, 10}: 0,
	}
	for c := range want {
		x := health.NewEjections("vm")
		x.Retain(ejectionStart, listUpstreams(c.Upstreams))
		for i := range c.Broken {
			observe(x, ejectionStart, string(rune('a'+i)), "bb")
		}
		got[c] = len(x.InForce(ejectionStart))
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
}

// TestEjectionReports checks what VMs tell each other, and that it is bounded.
func TestEjectionReports(t *testing.T) {
	x, y, z := health.NewEjections("x"), health.NewEjections("y"), health.NewEjections("z")
	for _, e := range []*health.Ejections{x, y, z} {
		e.Retain(ejectionStart, listUpstreams(26))
	}
	now := observe(x, ejectionStart, "a", "sb")
	observe(y, ejectionStart.Add(time.Millisecond), "a", "bb")
	y.Learn(now, "x", x.Reports(now))
	z.Learn(now, "x", x.Reports(now))
	if ejected := z.Learn(now, "y", y.Reports(now)); cmp.Diff([]string{"a"}, ejected) != "" {
		t.Errorf("ejected by reports: %q", ejected)
	}
	if n := len(x.Reports(now.Add(2 * time.Second))); n != 0 {
		t.Errorf("%d old reports", n)
	}
	for i := range 26 {
		observe(x, now, string(rune('a'+i)), "bbbbbbbb")
	}
	list := x.Reports(now.Add(time.Second))
	for _, r := range list {
		if len(r.Requests) > 4 {
			t.Errorf("%d requests in a report", len(r.Requests))
		}
	}
	if len(list) != 16 {
		t.Errorf("%d reports", len(list))
	}
}
