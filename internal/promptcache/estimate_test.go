package promptcache_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/hibiscuscove/hibiscuscove/internal/promptcache"
)

var (
	start  = time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)
	prompt = []promptcache.Part{{ID: "outer", Tokens: 2_500}, {ID: "inner", Tokens: 4_000}}
)

// TestCachedTokens checks that only the cached parts at the beginning of a
// prompt count.
func TestCachedTokens(t *testing.T) {
	tests := map[string]struct {
		setup func(*promptcache.Estimate)
		want  int
	}{
		"empty":           {func(*promptcache.Estimate) {}, 0},
		"sent":            {func(est *promptcache.Estimate) { est.RecordUse(start, prompt, 0, 10_000) }, 6_500},
		"inner part only": {func(est *promptcache.Estimate) { est.Set(start, prompt[1]) }, 0},
		"outer part only": {func(est *promptcache.Estimate) { est.Set(start, prompt[0]) }, 2_500},
		"half of the outer part": {func(est *promptcache.Estimate) {
			est.Set(start, promptcache.Part{ID: "outer", Tokens: 1_200})
			est.Set(start, prompt[1])
		}, 1_200},
		"one block short": {func(est *promptcache.Estimate) {
			est.Set(start, promptcache.Part{ID: "outer", Tokens: 2_496})
			est.Set(start, prompt[1])
		}, 6_496},
		"evicted": {func(est *promptcache.Estimate) {
			est.RecordUse(start, prompt, 0, 10_000)
			est.Set(start, promptcache.Part{ID: "inner"})
		}, 2_500},
		"displaced by other tokens": {func(est *promptcache.Estimate) {
			est.RecordUse(start, prompt, 0, 10_000)
			est.RecordUse(start, nil, 9_000, 10_000)
		}, 0},
		"reports evictions": {func(est *promptcache.Estimate) {
			est.ExpectEvictionReports()
			est.RecordUse(start, prompt, 0, 10_000)
			est.RecordUse(start, nil, 9_000, 10_000)
		}, 6_500},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			est := promptcache.New()
			test.setup(est)
			if diff := cmp.Diff(test.want, est.CachedTokens(prompt)); diff != "" {
				t.Errorf("tokens (-want +got):\n%s", diff)
			}
		})
	}
}

// TestReadyTokens checks that a part just sent is not ready, while a part
// reported by the upstream is.
func TestReadyTokens(t *testing.T) {
	est := promptcache.New()
	est.RecordUse(start, prompt, 0, 10_000)
	if diff := cmp.Diff(0, est.ReadyTokens(start.Add(50*time.Millisecond), prompt)); diff != "" {
		t.Errorf("tokens just after sending (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff(6_500, est.ReadyTokens(start.Add(time.Second), prompt)); diff != "" {
		t.Errorf("tokens later (-want +got):\n%s", diff)
	}
	reported := promptcache.New()
	reported.Set(start, prompt[0])
	if diff := cmp.Diff(2_500, reported.ReadyTokens(start, prompt)); diff != "" {
		t.Errorf("tokens of a reported part (-want +got):\n%s", diff)
	}
}
