package costmodel_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"github.com/hibiscuscove/hibiscuscove/internal/costmodel"
	"github.com/hibiscuscove/hibiscuscove/internal/peerload"
	"github.com/hibiscuscove/hibiscuscove/internal/promptcache"
)

var (
	start = time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)
	parts = []promptcache.Part{{ID: "outer", Tokens: 2_500}, {ID: "inner3", Tokens: 4_000}}
	// prompt has its home at "a" among "a", "b" and "c".
	prompt = costmodel.Prompt{Model: "m", Parts: parts, UnsharedTokens: 2_000, OutputTokens: 20}
)

// candidates returns the sound engines a, b and c, of which c has the parts cached.
func candidates() []costmodel.Candidate {
	var list []costmodel.Candidate
	for _, id := range []string{"a", "b", "c"} {
		list = append(list, costmodel.Candidate{
			ID: id, IDHash: costmodel.Hash(id), Pickable: true, Local: true, Slots: 16, Cached: promptcache.New(), FirstSeen: start.Add(-time.Minute),
		})
	}
	for _, p := range parts {
		list[2].Cached.Set(start.Add(-time.Second), p)
	}
	return list
}

func TestChoose(t *testing.T) {
	type list = []costmodel.Candidate
	stored := func(promptcache.Generation, []promptcache.Part) int { return 6_500 }
	tests := map[string]struct {
		model  costmodel.Model
		policy costmodel.Policy
		change func(list)
		want   costmodel.Choice
		none   bool
	}{
		"cached": {want: costmodel.Choice{ID: "c", MissingTokens: 2_000, FreeSlots: 16, Healthy: true}},
		"cached at one that may not be chosen": {
			change: func(l list) { l[2].Pickable = false },
			want:   costmodel.Choice{ID: "a", MissingTokens: 2_000, FreeSlots: 16, Healthy: true, Home: true, SourceID: "c"},
		},
		"other generation is no source": {
			change: func(l list) { l[0].Generation.Version, l[1].Generation.Version, l[2].Pickable = 7, 7, false },
			want:   costmodel.Choice{ID: "a", MissingTokens: 3_950, FreeSlots: 16, Healthy: true, Home: true},
		},
		"stored": {
			model:  costmodel.Model{StoredTokens: stored},
			change: func(l list) { l[2].Avoided = true },
			want:   costmodel.Choice{ID: "a", MissingTokens: 2_000, FreeSlots: 16, Healthy: true, Home: true, FromStore: true},
		},
		"last resort is the least fault": {
			change: func(l list) { l[0].Loading, l[1].EntryExpired, l[2].Avoided = true, true, true },
			want:   costmodel.Choice{ID: "b", MissingTokens: 8_500, FreeSlots: 16},
		},
		"full cache": {
			change: func(l list) { l[2].CacheTokens, l[2].Load.Tokens = 9_000, 8_000 },
			want:   costmodel.Choice{ID: "a", MissingTokens: 2_000, FreeSlots: 16, Healthy: true, Home: true, SourceID: "c"},
		},
		"home that may not be chosen": {
			change: func(l list) { l[0].Pickable, l[2].Pickable = false, false },
			want:   costmodel.Choice{ID: "b", MissingTokens: 2_000, FreeSlots: 16, Healthy: true, Home: true, SourceID: "c"},
		},
		"outdated version": {
			change: func(l list) { l[2].Outdated = true },
			want:   costmodel.Choice{ID: "a", MissingTokens: 2_000, FreeSlots: 16, Healthy: true, Home: true, SourceID: "c"},
		},
		"outdated version, others busy": {
			change: func(l list) { l[2].Outdated, l[0].Load.WaitingTokens, l[1].Load.WaitingTokens = true, 15_000, 15_000 },
			want:   costmodel.Choice{ID: "c", MissingTokens: 2_000, FreeSlots: 16, Healthy: true},
		},
		"expired version, others busy": {
			change: func(l list) {
				l[2].Outdated, l[2].VersionExpired, l[0].Load.WaitingTokens, l[1].Load.WaitingTokens = true, true, 15_000, 15_000
			},
			want: costmodel.Choice{ID: "a", MissingTokens: 2_000, FreeSlots: 16, Healthy: true, Home: true, SourceID: "c"},
		},
		"by load": {
			policy: costmodel.Policy{Rule: costmodel.ByLoad},
			change: func(l list) { l[0].Load.Requests, l[2].Load.Requests = 1, 2 },
			want:   costmodel.Choice{ID: "b", MissingTokens: 2_000, FreeSlots: 16, Healthy: true, SourceID: "c"},
		},
		"by hash": {
			policy: costmodel.Policy{Rule: costmodel.ByHash},
			change: func(l list) { l[0].Load = peerload.Load{Requests: 9, WaitingTokens: 50_000} },
			want:   costmodel.Choice{ID: "a", MissingTokens: 2_000, FreeSlots: 7, Healthy: true, Home: true, SourceID: "c"},
		},
		"partial view, home": {
			model: costmodel.Model{PartialView: true},
			want:  costmodel.Choice{ID: "a", MissingTokens: 3_625, FreeSlots: 16, Healthy: true, Home: true, SourceID: "c"},
		},
		"partial view, home loading": {
			model:  costmodel.Model{PartialView: true},
			change: func(l list) { l[0].Loading, l[1].Pickable = true, false },
			want:   costmodel.Choice{ID: "c", MissingTokens: 3_625, FreeSlots: 16, Healthy: true, Home: true, SourceID: "a"},
		},
		"partial view, home that may not be chosen": {
			model:  costmodel.Model{PartialView: true},
			change: func(l list) { l[0].Pickable = false },
			want:   costmodel.Choice{ID: "c", MissingTokens: 3_625, FreeSlots: 16, Healthy: true, Home: true, SourceID: "a"},
		},
		"nothing to choose": {
			change: func(l list) { l[0].Pickable, l[1].Pickable, l[2].Pickable = false, false, false },
			none:   true,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			l := candidates()
			if test.change != nil {
				test.change(l)
			}
			test.model.Policy = test.policy.WithDefaults()
			got, found := test.model.Choose(start, l, prompt)
			if found == test.none {
				t.Fatalf("found %v, want %v", found, !test.none)
			}
			estimates := cmpopts.IgnoreFields(costmodel.Choice{}, "CostMS", "WaitMS", "FirstTokenMS")
			if diff := cmp.Diff(test.want, got, estimates, cmpopts.IgnoreUnexported(costmodel.Choice{})); diff != "" {
				t.Errorf("choice (-want +got):\n%s", diff)
			}
		})
	}
}

// TestSlowdownOfFirstToken checks that the slowdown scales the wait behind a queue and
// not that at an idle engine.
func TestSlowdownOfFirstToken(t *testing.T) {
	model := costmodel.Model{Policy: costmodel.Policy{}.WithDefaults()}
	for range 500 {
		model.Slowdown = model.Slowdown.With(480*time.Millisecond, 80, 100)
	}
	for name, test := range map[string]struct {
		waiting int
		want    float64
	}{"idle": {0, 80 + 20}, "queue": {1_500, 80 + 4*40}} {
		t.Run(name, func(t *testing.T) {
			l := candidates()[2:]
			l[0].Load.WaitingTokens = test.waiting
			p := prompt
			p.Parts, p.UnsharedTokens = nil, 1_500
			got, _ := model.Choose(start, l, p)
			if diff := cmp.Diff(test.want, got.FirstTokenMS, cmpopts.EquateApprox(0, 0.01)); diff != "" {
				t.Errorf("milliseconds to the first token (-want +got):\n%s", diff)
			}
		})
	}
}
