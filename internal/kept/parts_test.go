package kept_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/hibiscuscove/hibiscuscove/internal/kept"
)

var (
	start  = time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)
	prompt = []kept.Part{{ID: "outer", Tokens: 2_500}, {ID: "inner", Tokens: 4_000}}
)

// TestHave: what counts of a prompt is what lies there from its beginning on.
func TestHave(t *testing.T) {
	tests := map[string]struct {
		happens func(*kept.Parts)
		want    int
	}{
		"nothing":           {func(*kept.Parts) {}, 0},
		"sent":              {func(k *kept.Parts) { k.Use(start, prompt, 0, 10_000) }, 6_500},
		"inner part only":   {func(k *kept.Parts) { k.Set(start, prompt[1]) }, 0},
		"outer part only":   {func(k *kept.Parts) { k.Set(start, prompt[0]) }, 2_500},
		"half of the outer": {func(k *kept.Parts) { k.Set(start, kept.Part{ID: "outer", Tokens: 1_200}); k.Set(start, prompt[1]) }, 1_200},
		"a block short":     {func(k *kept.Parts) { k.Set(start, kept.Part{ID: "outer", Tokens: 2_496}); k.Set(start, prompt[1]) }, 6_496},
		"dropped": {func(k *kept.Parts) {
			k.Use(start, prompt, 0, 10_000)
			k.Set(start, kept.Part{ID: "inner"})
		}, 2_500},
		"others took its place": {func(k *kept.Parts) {
			k.Use(start, prompt, 0, 10_000)
			k.Use(start, nil, 9_000, 10_000)
		}, 0},
		"others, but it tells": {func(k *kept.Parts) {
			k.Follow()
			k.Use(start, prompt, 0, 10_000)
			k.Use(start, nil, 9_000, 10_000)
		}, 6_500},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			k := kept.New()
			test.happens(k)
			if diff := cmp.Diff(test.want, k.Have(prompt)); diff != "" {
				t.Errorf("tokens (-want +got):\n%s", diff)
			}
		})
	}
}

// TestReady: what was just sent is not yet read; what the upstream names is.
func TestReady(t *testing.T) {
	k := kept.New()
	k.Use(start, prompt, 0, 10_000)
	if diff := cmp.Diff(0, k.Ready(start.Add(50*time.Millisecond), prompt)); diff != "" {
		t.Errorf("tokens at once (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff(6_500, k.Ready(start.Add(time.Second), prompt)); diff != "" {
		t.Errorf("tokens later (-want +got):\n%s", diff)
	}
	told := kept.New()
	told.Set(start, prompt[0])
	if diff := cmp.Diff(2_500, told.Ready(start, prompt)); diff != "" {
		t.Errorf("tokens that were told (-want +got):\n%s", diff)
	}
}
