package weights_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/hibiscuscove/hibiscuscove/internal/weights"
)

var start = time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)

var limits = weights.Limits{MaxSpan: 10 * time.Second, MaxTotal: 14 * time.Second}

// TestFloor: a version binds once it has been named for the limit, in one span
// without disturbance or in several.
func TestFloor(t *testing.T) {
	at := func(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }
	tests := map[string]struct {
		named     func(*weights.Book)
		disturbed []float64
		now       float64
		want      int64
	}{
		"nothing named":        {func(*weights.Book) {}, nil, 60, 0},
		"before the limit":     {func(b *weights.Book) { b.Set(start, "m", 2) }, nil, 9, 0},
		"past the limit":       {func(b *weights.Book) { b.Set(start, "m", 2) }, nil, 11, 2},
		"another model":        {func(b *weights.Book) { b.Set(start, "n", 2) }, nil, 11, 0},
		"disturbed in between": {func(b *weights.Book) { b.Set(start, "m", 2) }, []float64{5}, 11, 0},
		"spans add up":         {func(b *weights.Book) { b.Set(start, "m", 2) }, []float64{5, 10}, 15, 2},
		"a span was enough":    {func(b *weights.Book) { b.Set(start, "m", 2) }, []float64{11}, 12, 2},
		"the one before binds": {func(b *weights.Book) { b.Set(start, "m", 2); b.Set(at(6), "m", 3) }, nil, 11, 2},
		"learnt in any order":  {func(b *weights.Book) { b.Assume(at(6), "m", 3); b.Set(start, "m", 2) }, nil, 11, 2},
		"the earlier time holds": {func(b *weights.Book) {
			b.Set(start, "m", 2)
			b.Set(at(-9), "m", 2)
			b.Set(at(5), "m", 2)
		}, nil, 2, 2},
		"a word replaces a guess": {func(b *weights.Book) { b.Assume(at(-9), "m", 2); b.Set(start, "m", 2) }, nil, 9, 0},
		"a guess replaces none":   {func(b *weights.Book) { b.Set(start, "m", 2); b.Assume(at(-9), "m", 2) }, nil, 9, 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			b := weights.NewBook()
			test.named(b)
			var d weights.Disturbances
			for _, seconds := range test.disturbed {
				d = d.With(at(seconds))
			}
			if diff := cmp.Diff(test.want, b.Floor(at(test.now), "m", d, limits)); diff != "" {
				t.Errorf("floor (-want +got):\n%s", diff)
			}
		})
	}
}

// TestDisturbancesAreBounded: a platform that is disturbed again and again does
// not fill the memory, and a lasting disturbance is one.
func TestDisturbancesAreBounded(t *testing.T) {
	var d weights.Disturbances
	for i := range 10_000 {
		d = d.With(start.Add(time.Duration(i) * 3 * time.Second))
	}
	if most := 64; len(d) > most {
		t.Errorf("%d disturbances are remembered, want %d or fewer", len(d), most)
	}
	var lasting weights.Disturbances
	for i := range 100 {
		lasting = lasting.With(start.Add(time.Duration(i) * 200 * time.Millisecond))
	}
	if diff := cmp.Diff(1, len(lasting)); diff != "" {
		t.Errorf("a lasting disturbance (-want +got):\n%s", diff)
	}
}

// TestAgesWithoutGuesses: others are told what is known only.
func TestAgesWithoutGuesses(t *testing.T) {
	b := weights.NewBook()
	b.Set(start, "m", 2)
	b.Assume(start, "m", 3)
	want := []weights.Age{{Model: "m", Version: 2, AgeMS: 1_000}}
	if diff := cmp.Diff(want, b.Ages(start.Add(time.Second))); diff != "" {
		t.Errorf("ages (-want +got):\n%s", diff)
	}
}
