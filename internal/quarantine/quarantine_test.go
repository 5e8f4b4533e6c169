package quarantine_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/hibiscuscove/hibiscuscove/internal/quarantine"
)

var start = time.Unix(1_800_000_000, 0)

func death(upstream int, dataCentre string, after time.Duration) quarantine.Crash {
	return quarantine.Crash{
		Upstream:    fmt.Sprint("engine-", upstream),
		Incarnation: fmt.Sprint("engine-", upstream, "@", after),
		DataCentre:  dataCentre,
		At:          start.Add(after),
	}
}

func TestJudge(t *testing.T) {
	const fingerprint = "f"
	second := time.Second
	tests := map[string]struct {
		accused []quarantine.Crash
		seen    []quarantine.Crash
		size    int
		absolve time.Duration
		at      time.Duration
		want    quarantine.Status
	}{
		"nothing":                 {want: quarantine.Clear},
		"one death":               {accused: []quarantine.Crash{death(1, "a", 0)}, at: second, want: quarantine.Suspect},
		"two deaths":              {accused: []quarantine.Crash{death(1, "a", 0), death(2, "a", second)}, at: second, want: quarantine.Quarantined},
		"one death told twice":    {accused: []quarantine.Crash{death(1, "a", 0), death(1, "a", 0)}, at: second, want: quarantine.Suspect},
		"forgotten":               {accused: []quarantine.Crash{death(1, "a", 0), death(2, "a", second)}, at: 2 * time.Hour, want: quarantine.Clear},
		"absolved after a trial":  {accused: []quarantine.Crash{death(1, "a", 0)}, absolve: second, at: 2 * second, want: quarantine.Clear},
		"data centre dies":        {accused: []quarantine.Crash{death(1, "a", 0), death(2, "a", second)}, seen: []quarantine.Crash{death(3, "a", second)}, size: 8, at: second, want: quarantine.Clear},
		"others die elsewhere":    {accused: []quarantine.Crash{death(1, "a", 0), death(2, "a", second)}, seen: []quarantine.Crash{death(3, "b", second)}, size: 8, at: second, want: quarantine.Quarantined},
		"others die much later":   {accused: []quarantine.Crash{death(1, "a", 0), death(2, "a", second)}, seen: []quarantine.Crash{death(3, "a", time.Minute)}, size: 8, at: time.Minute, want: quarantine.Quarantined},
		"few of many upstreams":   {accused: []quarantine.Crash{death(1, "a", 0), death(2, "a", second)}, seen: []quarantine.Crash{death(3, "a", second)}, size: 100, at: second, want: quarantine.Quarantined},
		"one upstream, two lives": {accused: []quarantine.Crash{death(1, "a", 0), death(1, "a", second)}, seen: []quarantine.Crash{death(1, "a", 2*second)}, size: 8, at: 2 * second, want: quarantine.Quarantined},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			b := quarantine.NewTracker(quarantine.Options{})
			b.SetUpstreamCounts(map[string]int{"a": tt.size, "b": tt.size})
			for _, d := range tt.seen {
				b.RecordCrash(d.At, d)
			}
			for _, d := range tt.accused {
				b.AttributeCrash(d.At, fingerprint, d)
			}
			if tt.absolve > 0 {
				b.Clear(start.Add(tt.absolve), fingerprint)
			}
			if got := b.Check(start.Add(tt.at), fingerprint); got != tt.want {
				t.Errorf("got %d, want %d", got, tt.want)
			}
		})
	}
}

func TestTrials(t *testing.T) {
	b := quarantine.NewTracker(quarantine.Options{})
	until := start.Add(time.Minute)
	if !b.StartTrial(start, "f", "one", "engine-1", until) {
		t.Fatal("the first trial is refused")
	}
	if b.StartTrial(start, "f", "two", "engine-2", until) {
		t.Error("two trials of one request")
	}
	if b.AvailableForTrial(start, "engine-1", "g") {
		t.Error("an upstream with a trial is free for another")
	}
	if !b.AvailableForTrial(start, "engine-1", "f") {
		t.Error("an upstream is not free for its own trial")
	}
	leave := b.StartSuspect("engine-3")
	if b.AvailableForTrial(start, "engine-3", "f") {
		t.Error("an upstream with a suspect is free for a trial")
	}
	leave()
	if !b.AvailableForTrial(start, "engine-3", "f") {
		t.Error("the suspect has left, and the upstream is not free")
	}
	if !b.StartTrial(until, "f", "two", "engine-2", until.Add(time.Minute)) {
		t.Error("a trial that has run out keeps others off")
	}
}
