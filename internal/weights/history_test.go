package weights_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/hibiscuscove/hibiscuscove/internal/weights"
)

var start = time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)

var limits = weights.Limits{MaxSpan: 10 * time.Second, MaxTotal: 14 * time.Second}

// TestOldestAllowed checks that versions older than a desired one are excluded
// once it has been desired for longer than the limits allow, in one undisrupted
// interval or in several.
func TestOldestAllowed(t *testing.T) {
	at := func(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }
	tests := map[string]struct {
		setup       func(*weights.History)
		disruptions []float64
		now         float64
		want        int64
	}{
		"no version":                     {func(*weights.History) {}, nil, 60, 0},
		"before the limit":               {func(h *weights.History) { h.Set(start, "m", 2) }, nil, 9, 0},
		"past the limit":                 {func(h *weights.History) { h.Set(start, "m", 2) }, nil, 11, 2},
		"another model":                  {func(h *weights.History) { h.Set(start, "n", 2) }, nil, 11, 0},
		"disrupted in between":           {func(h *weights.History) { h.Set(start, "m", 2) }, []float64{5}, 11, 0},
		"intervals add up":               {func(h *weights.History) { h.Set(start, "m", 2) }, []float64{5, 10}, 15, 2},
		"one interval is enough":         {func(h *weights.History) { h.Set(start, "m", 2) }, []float64{11}, 12, 2},
		"earlier version past the limit": {func(h *weights.History) { h.Set(start, "m", 2); h.Set(at(6), "m", 3) }, nil, 11, 2},
		"recorded in any order":          {func(h *weights.History) { h.Assume(at(6), "m", 3); h.Set(start, "m", 2) }, nil, 11, 2},
		"the earlier time counts": {func(h *weights.History) {
			h.Set(start, "m", 2)
			h.Set(at(-9), "m", 2)
			h.Set(at(5), "m", 2)
		}, nil, 2, 2},
		"set replaces an estimate":     {func(h *weights.History) { h.Assume(at(-9), "m", 2); h.Set(start, "m", 2) }, nil, 9, 0},
		"an estimate replaces nothing": {func(h *weights.History) { h.Set(start, "m", 2); h.Assume(at(-9), "m", 2) }, nil, 9, 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			h := weights.NewHistory()
			test.setup(h)
			var d weights.Disruptions
			for _, seconds := range test.disruptions {
				d = d.With(at(seconds), at(seconds))
			}
			if diff := cmp.Diff(test.want, h.OldestAllowed(at(test.now), "m", d, limits)); diff != "" {
				t.Errorf("oldest allowed version (-want +got):\n%s", diff)
			}
		})
	}
}

// TestDisruptionsAreLimited checks that repeated disruptions do not fill the
// memory, and that a lasting disruption counts as one.
func TestDisruptionsAreLimited(t *testing.T) {
	var repeated weights.Disruptions
	for i := range 10_000 {
		repeated = repeated.With(start.Add(time.Duration(i)*3*time.Second), start.Add(time.Duration(i)*3*time.Second))
	}
	if maximum := 64; len(repeated) > maximum {
		t.Errorf("%d disruptions are remembered, want %d or fewer", len(repeated), maximum)
	}
	var lasting weights.Disruptions
	for i := range 100 {
		lasting = lasting.With(start.Add(time.Duration(i)*200*time.Millisecond), start.Add(time.Duration(i)*200*time.Millisecond))
	}
	if diff := cmp.Diff(1, len(lasting)); diff != "" {
		t.Errorf("disruptions of a lasting outage (-want +got):\n%s", diff)
	}
}

// TestAgesWithoutEstimates checks that estimated ages are not sent to peers.
func TestAgesWithoutEstimates(t *testing.T) {
	h := weights.NewHistory()
	h.Set(start, "m", 2)
	h.Assume(start, "m", 3)
	want := []weights.Age{{Model: "m", Version: 2, AgeMS: 1_000}}
	if diff := cmp.Diff(want, h.Ages(start.Add(time.Second))); diff != "" {
		t.Errorf("ages (-want +got):\n%s", diff)
	}
}
