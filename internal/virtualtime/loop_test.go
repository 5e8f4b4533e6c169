package virtualtime_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/hibiscuscove/hibiscuscove/internal/virtualtime"
)

var start = time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)

// TestOrder: events come by their time, those of one moment as asked for, and
// none comes after the end.
func TestOrder(t *testing.T) {
	loop := virtualtime.New(start)
	var seen []string
	note := func(name string) func() { return func() { seen = append(seen, name) } }
	loop.After(2*time.Second, note("late"))
	loop.After(time.Second, func() {
		note("first")()
		loop.After(0, note("at once"))
		loop.After(-time.Second, note("past"))
	})
	loop.After(time.Second, note("second"))
	loop.After(time.Hour, note("never"))
	loop.Run(start.Add(time.Minute))
	if diff := cmp.Diff([]string{"first", "second", "at once", "past", "late"}, seen); diff != "" {
		t.Errorf("order (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff(start.Add(time.Minute), loop.Now()); diff != "" {
		t.Errorf("time (-want +got):\n%s", diff)
	}
}

func TestEvery(t *testing.T) {
	loop := virtualtime.New(start)
	n := 0
	loop.Every(100*time.Millisecond, func() { n++ })
	loop.Run(start.Add(time.Second))
	if diff := cmp.Diff(10, n); diff != "" {
		t.Errorf("times played (-want +got):\n%s", diff)
	}
}
