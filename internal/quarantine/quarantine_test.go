package quarantine_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/hibiscuscove/hibiscuscove/internal/quarantine"
)

var start = time.Unix(1_800_000_000, 0)

// crash returns the crash of an upstream's incarnation at a time after start.
func crash(upstream int, dataCentre string, after time.Duration) quarantine.Crash {
	return quarantine.Crash{
		Upstream:    fmt.Sprint("engine-", upstream),
		Incarnation: fmt.Sprint("engine-", upstream, "@", after),
		DataCentre:  dataCentre,
		At:          start.Add(after),
	}
}

// noticed returns a crash with the time at which it was noticed.
func noticed(c quarantine.Crash, after time.Duration) quarantine.Crash {
	c.At = start.Add(after)
	return c
}

// TestCheck checks that crashes count against a request unless they are old,
// reported twice, from before it was cleared, or part of a mass crash. It guards against
// sound requests that were suspect after a mass crash since they noticed it late.
func TestCheck(t *testing.T) {
	const fingerprint = "f"
	second := time.Second
	tests := map[string]struct {
		attributed []quarantine.Crash
		recorded   []quarantine.Crash
		// recordedLast is set if recorded is known after attributed.
		recordedLast bool
		upstreams    int
		clearedAt    time.Duration
		at           time.Duration
		want         quarantine.Status
	}{
		"nothing":               {want: quarantine.Clear},
		"one crash":             {attributed: []quarantine.Crash{crash(1, "a", 0)}, at: second, want: quarantine.Suspect},
		"two crashes":           {attributed: []quarantine.Crash{crash(1, "a", 0), crash(2, "a", second)}, at: second, want: quarantine.Quarantined},
		"one crash sent twice":  {attributed: []quarantine.Crash{crash(1, "a", 0), crash(1, "a", 0)}, at: second, want: quarantine.Suspect},
		"expired":               {attributed: []quarantine.Crash{crash(1, "a", 0), crash(2, "a", second)}, at: 2 * time.Hour, want: quarantine.Clear},
		"cleared after a trial": {attributed: []quarantine.Crash{crash(1, "a", 0)}, clearedAt: second, at: 2 * second, want: quarantine.Clear},
		"mass crash":            {attributed: []quarantine.Crash{crash(1, "a", 0), crash(2, "a", second)}, recorded: []quarantine.Crash{crash(3, "a", second)}, upstreams: 8, at: second, want: quarantine.Clear},
		"crash elsewhere":       {attributed: []quarantine.Crash{crash(1, "a", 0), crash(2, "a", second)}, recorded: []quarantine.Crash{crash(3, "b", second)}, upstreams: 8, at: second, want: quarantine.Quarantined},
		"crash much later":      {attributed: []quarantine.Crash{crash(1, "a", 0), crash(2, "a", second)}, recorded: []quarantine.Crash{crash(3, "a", time.Minute)}, upstreams: 8, at: time.Minute, want: quarantine.Quarantined},
		"few of many upstreams": {attributed: []quarantine.Crash{crash(1, "a", 0), crash(2, "a", second)}, recorded: []quarantine.Crash{crash(3, "a", second)}, upstreams: 100, at: second, want: quarantine.Quarantined},
		"mass crash, the end of the request noticed late": {
			recorded:   []quarantine.Crash{crash(1, "a", 0), crash(2, "a", second), crash(3, "a", second)},
			attributed: []quarantine.Crash{noticed(crash(1, "a", 0), 5*second)}, upstreams: 8, at: 5 * second, want: quarantine.Clear,
		},
		"mass crash noticed late first": {
			attributed: []quarantine.Crash{noticed(crash(1, "a", 0), 5*second)},
			recorded:   []quarantine.Crash{crash(1, "a", 0), crash(2, "a", second), crash(3, "a", second)}, recordedLast: true,
			upstreams: 8, at: 5 * second, want: quarantine.Clear,
		},
		"one crash noticed late": {
			recorded:   []quarantine.Crash{crash(1, "a", 0)},
			attributed: []quarantine.Crash{noticed(crash(1, "a", 0), 5*second)}, upstreams: 8, at: 5 * second, want: quarantine.Suspect,
		},
		"crash of an unknown incarnation after a mass crash": {
			recorded:   []quarantine.Crash{quarantine.NewCrash(start, "engine-1", "a", ""), crash(2, "a", second), crash(3, "a", second)},
			attributed: []quarantine.Crash{quarantine.NewCrash(start.Add(5*second), "engine-1", "a", "")}, upstreams: 8, at: 5 * second, want: quarantine.Suspect,
		},
		"one upstream twice": {attributed: []quarantine.Crash{crash(1, "a", 0), crash(1, "a", second)}, recorded: []quarantine.Crash{crash(1, "a", 2*second)}, upstreams: 8, at: 2 * second, want: quarantine.Quarantined},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			tracker := quarantine.NewTracker(quarantine.Options{})
			tracker.SetUpstreamCounts(map[string]int{"a": tt.upstreams, "b": tt.upstreams})
			record := func() {
				for _, c := range tt.recorded {
					tracker.RecordCrash(c.At, c)
				}
			}
			if !tt.recordedLast {
				record()
			}
			for _, c := range tt.attributed {
				tracker.AttributeCrash(c.At, fingerprint, c)
			}
			if tt.recordedLast {
				record()
			}
			if tt.clearedAt > 0 {
				tracker.Clear(start.Add(tt.clearedAt), fingerprint)
			}
			if got := tracker.Check(start.Add(tt.at), fingerprint); got != tt.want {
				t.Errorf("got %d, want %d", got, tt.want)
			}
		})
	}
}

// TestTrials checks that a request has one trial at a time, on an upstream that
// runs no other trial or suspect, and that a trial ends at its deadline.
func TestTrials(t *testing.T) {
	tracker := quarantine.NewTracker(quarantine.Options{})
	until := start.Add(time.Minute)
	if !tracker.StartTrial(start, "f", "one", "engine-1", until) {
		t.Fatal("the first trial is rejected")
	}
	if tracker.StartTrial(start, "f", "two", "engine-2", until) {
		t.Error("a second trial of the same request is allowed")
	}
	if tracker.AvailableForTrial(start, "engine-1", "g") {
		t.Error("an upstream with a trial is available for another trial")
	}
	if !tracker.AvailableForTrial(start, "engine-1", "f") {
		t.Error("an upstream is not available for the trial that it runs")
	}
	finish := tracker.StartSuspect("engine-3")
	if tracker.AvailableForTrial(start, "engine-3", "f") {
		t.Error("an upstream with a suspect is available for a trial")
	}
	finish()
	if !tracker.AvailableForTrial(start, "engine-3", "f") {
		t.Error("the suspect has finished, but the upstream is not available")
	}
	if !tracker.StartTrial(until, "f", "two", "engine-2", until.Add(time.Minute)) {
		t.Error("a trial past its deadline prevents another one")
	}
}
