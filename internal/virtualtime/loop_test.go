package virtualtime_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/hibiscuscove/hibiscuscove/internal/virtualtime"
)

var start = time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)

// TestOrder checks that events run in the order of their times, that events at the
// same time run in the order in which they were scheduled, and that no event after
// the end of the run is run.
func TestOrder(t *testing.T) {
	loop := virtualtime.New(start)
	var seen []string
	record := func(name string) func() { return func() { seen = append(seen, name) } }
	loop.After(2*time.Second, record("late"))
	loop.After(time.Second, func() {
		record("first")()
		loop.After(0, record("at once"))
		loop.After(-time.Second, record("past"))
	})
	loop.After(time.Second, record("second"))
	loop.After(time.Hour, record("never"))
	loop.Run(start.Add(time.Minute))
	if diff := cmp.Diff([]string{"first", "second", "at once", "past", "late"}, seen); diff != "" {
		t.Errorf("order (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff(start.Add(time.Minute), loop.Now()); diff != "" {
		t.Errorf("time (-want +got):\n%s", diff)
	}
}

// TestEvery checks how often a periodic event runs, including at the end of the run.
func TestEvery(t *testing.T) {
	loop := virtualtime.New(start)
	n := 0
	loop.Every(100*time.Millisecond, func() { n++ })
	loop.Run(start.Add(time.Second))
	if diff := cmp.Diff(10, n); diff != "" {
		t.Errorf("number of runs (-want +got):\n%s", diff)
	}
}
