package weights_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/hibiscuscove/hibiscuscove/internal/weights"
)

func TestLoading(t *testing.T) {
	at := time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)
	type state struct {
		Active, Relayed bool
		Version         int64
		Age             time.Duration
	}
	announced := weights.Loading{}.WithAnnouncement(at, 7)
	tests := map[string]struct {
		loading weights.Loading
		after   time.Duration
		want    state
	}{
		"no sign":               {weights.Loading{}, 0, state{}},
		"sign":                  {weights.Loading{}.WithSign(at), 999 * time.Millisecond, state{Active: true}},
		"old sign":              {weights.Loading{}.WithSign(at), time.Second, state{}},
		"announced":             {announced, 449 * time.Millisecond, state{true, true, 7, 449 * time.Millisecond}},
		"announced for long":    {announced, 450 * time.Millisecond, state{Active: true}},
		"old announcement":      {announced, time.Second, state{}},
		"relayed to this again": {announced.WithAnnouncement(at.Add(200*time.Millisecond), 8), 300 * time.Millisecond, state{true, true, 7, 300 * time.Millisecond}},
		"announced again":       {announced.WithAnnouncement(at.Add(201*time.Millisecond), 8), 301 * time.Millisecond, state{true, true, 8, 100 * time.Millisecond}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			now := at.Add(test.after)
			got := state{Active: test.loading.Active(now)}
			got.Version, got.Age, got.Relayed = test.loading.Relayed(now)
			if diff := cmp.Diff(test.want, got); diff != "" {
				t.Errorf("loading (-want +got):\n%s", diff)
			}
		})
	}
}
