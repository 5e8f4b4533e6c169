package permit_test

import (
	"math"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/hibiscuscove/hibiscuscove/internal/permit"
)

// TestNewerNews checks which of two announcements counts.
func TestNewerNews(t *testing.T) {
	start := time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)
	limit := func(rate float64, sent, received int) permit.Limit {
		return permit.Limit{Rate: rate, SentAt: start.Add(time.Duration(sent) * time.Second), ReceivedAt: start.Add(time.Duration(received) * time.Second)}
	}
	none := math.Inf(1)
	tests := map[string]struct{ a, b, want permit.Limit }{
		"lowered":                        {limit(5, 0, 1), limit(2, 2, 3), limit(2, 2, 3)},
		"raised":                         {limit(2, 0, 1), limit(5, 2, 3), limit(5, 2, 3)},
		"ended":                          {limit(2, 0, 1), limit(none, 1, 2), limit(none, 1, 2)},
		"named again after an end":       {limit(none, 0, 1), limit(2, 1, 2), limit(2, 1, 2)},
		"overlapping, lower arrives":     {limit(5, 0, 3), limit(2, 1, 2), limit(2, 1, 2)},
		"overlapping, higher arrives":    {limit(2, 1, 2), limit(5, 0, 3), limit(2, 1, 2)},
		"end of a stream's old head":     {limit(2, 5, 6), limit(none, 0, 9), limit(2, 5, 6)},
		"the same, confirmed":            {limit(2, 0, 1), limit(2, 0, 4), limit(2, 0, 4)},
		"the same, both may be the last": {limit(2, 0, 4), limit(2, 1, 3), limit(2, 1, 4)},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			if diff := cmp.Diff(tt.want, tt.a.Merge(tt.b)); diff != "" {
				t.Error(diff)
			}
			if diff := cmp.Diff(tt.want, tt.b.Merge(tt.a)); diff != "" {
				t.Errorf("other order of arrival: %s", diff)
			}
		})
	}
}

// TestReports checks what VMs make of peers' news, by the rate afterwards. The own news
// is a limit of 2 that arrived 5 s ago.
func TestReports(t *testing.T) {
	now := time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)
	none := math.Inf(1)
	tests := map[string]struct {
		report permit.Report
		want   float64
	}{
		"newer limit":               {permit.Report{Incarnation: upstream, Rate: 7, SentAgeMS: 2000, ReceivedAgeMS: 1000}, 7},
		"newer end":                 {permit.Report{Incarnation: upstream, SentAgeMS: 2000, ReceivedAgeMS: 1000}, none},
		"older end":                 {permit.Report{Incarnation: upstream, SentAgeMS: 9000, ReceivedAgeMS: 8000}, 2},
		"end that was on its way":   {permit.Report{Incarnation: upstream, SentAgeMS: 4900, ReceivedAgeMS: 4800}, 2},
		"lower, perhaps older":      {permit.Report{Incarnation: upstream, Rate: 1, SentAgeMS: 9000, ReceivedAgeMS: 4800}, 1},
		"another incarnation":       {permit.Report{Incarnation: "i-1@2", Rate: 1, SentAgeMS: 2000, ReceivedAgeMS: 1000}, 2},
		"not a number":              {permit.Report{Incarnation: upstream, Rate: math.NaN(), SentAgeMS: 2000, ReceivedAgeMS: 1000}, 2},
		"negative rate":             {permit.Report{Incarnation: upstream, Rate: -1, SentAgeMS: 2000, ReceivedAgeMS: 1000}, 2},
		"received before it's sent": {permit.Report{Incarnation: upstream, Rate: 1, SentAgeMS: 1000, ReceivedAgeMS: 2000}, 2},
		"from the future":           {permit.Report{Incarnation: upstream, Rate: 1, SentAgeMS: 1000, ReceivedAgeMS: -2000}, 2},
		"age that overflows":        {permit.Report{Incarnation: upstream, Rate: 1, SentAgeMS: math.MaxInt64, ReceivedAgeMS: 1}, 2},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			book := permit.NewBook("vm-0")
			book.Observe(now.Add(-5*time.Second), upstream, 2, now.Add(-6*time.Second))
			book.Learn(now, tt.report)
			if got := book.Rate(upstream); got != tt.want {
				t.Errorf("rate %v, want %v", got, tt.want)
			}
		})
	}
}

// Two VMs that tell each other the same limit must not make it look ever newer: a news
// of its end could then never be newer.
func TestReportsDoNotEcho(t *testing.T) {
	now := time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)
	a, b := permit.NewBook("a"), permit.NewBook("b")
	a.Observe(now, upstream, 2, now.Add(-time.Millisecond))
	for range 100 {
		reports := a.Reports(now)
		now = now.Add(100 * time.Millisecond)
		b.Learn(now, reports[0])
		reports = b.Reports(now)
		now = now.Add(100 * time.Millisecond)
		a.Learn(now, reports[0])
	}
	b.Observe(now, upstream, math.Inf(1), now.Add(-time.Second))
	a.Learn(now, b.Reports(now)[0])
	if a.Rate(upstream) != math.Inf(1) || b.Rate(upstream) != math.Inf(1) {
		t.Errorf("rates %v and %v after the end", a.Rate(upstream), b.Rate(upstream))
	}
}

// TestRatesAreClamped checks which rates are enforced.
func TestRatesAreClamped(t *testing.T) {
	now := time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)
	tests := map[string]struct{ announced, want float64 }{
		"zero":     {0, permit.MinRate},
		"low":      {0.01, permit.MinRate},
		"usual":    {1.9, 1.9},
		"too high": {permit.MaxRate + 1, math.Inf(1)},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			book := permit.NewBook("vm-0")
			book.Observe(now, upstream, tt.announced, now)
			if got := book.Rate(upstream); got != tt.want {
				t.Errorf("rate %v, want %v", got, tt.want)
			}
		})
	}
}

// A limit is kept as long as its incarnation is listed, and no longer.
func TestLimitBelongsToIncarnation(t *testing.T) {
	now := time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)
	book := permit.NewBook("vm-0")
	book.Observe(now, upstream, 2, now)
	for range 600 {
		now = now.Add(time.Second)
		book.Retain(now, map[string]bool{upstream: true})
	}
	if !book.Limited(now, upstream) || book.Limited(now, "i-1@2") {
		t.Error("after ten minutes without news: the limit is forgotten, or counts for the next incarnation")
	}
	now = now.Add(time.Minute)
	book.Retain(now, nil)
	if book.Any(now) {
		t.Error("the limit of an incarnation that is gone is kept")
	}
}
