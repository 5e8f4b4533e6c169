package registry_test

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/hibiscuscove/hibiscuscove/internal/beacon"
	"github.com/hibiscuscove/hibiscuscove/internal/registry"
	"github.com/hibiscuscove/hibiscuscove/internal/roster"
)

type discardSink struct{}

func (discardSink) Replace(time.Time, registry.Page[roster.Upstream], bool) {}

func (discardSink) Apply(time.Time, registry.Page[roster.Upstream], bool) {}

// BenchmarkSlopeReturn measures what a return of the store from a copy costs a fleet:
// lists of the store, rounds of beacons until all VMs have the new era, and bytes of
// state that each VM fetches from a peer.
func BenchmarkSlopeReturn(b *testing.B) {
	const watchers = 4
	for _, size := range []struct{ vms, upstreams int }{{84, 140}, {300, 140}, {910, 140}, {84, 10_000}, {910, 10_000}} {
		b.Run(fmt.Sprintf("vms=%d/upstreams=%d", size.vms, size.upstreams), func(b *testing.B) {
			state := registry.Page[roster.Upstream]{Era: 1, Revision: 90_000}
			for i := range size.upstreams {
				state.Items = append(state.Items, registry.Item[roster.Upstream]{Name: fmt.Sprintf("i-%010x", i), Revision: uint64(i + 1), Value: roster.Upstream{
					ID: fmt.Sprintf("i-%010x", i), Service: "model-bench", Address: "10.1.64.20:8080", DataCentre: "durban-a", Slots: 48, Born: 1796358998803, Model: "m0", Version: 7,
				}})
			}
			copied := state
			copied.Era, copied.Revision = 2, 80_000
			raw, err := json.Marshal(copied)
			if err != nil {
				b.Fatal(err)
			}
			var rounds, fetches int
			for b.Loop() {
				rounds, fetches = spreadEra(b, size.vms, watchers, copied)
			}
			b.ReportMetric(watchers, "lists")
			b.ReportMetric(float64(rounds), "rounds")
			b.ReportMetric(float64(fetches*len(raw))/float64(size.vms), "B/vm")
		})
	}
}

// spreadEra lets VMs exchange beacons until all have a state of the new era, which the
// watchers have listed. It returns the rounds and the number of fetched states.
func spreadEra(b *testing.B, vms, watchers int, copied registry.Page[roster.Upstream]) (rounds, fetches int) {
	followers := make([]*registry.Follower[roster.Upstream], vms)
	sends := make([]beacon.RoundRobin[int], vms)
	for i := range followers {
		followers[i] = registry.NewFollower(registry.Options[roster.Upstream]{Name: "upstreams", Sink: discardSink{}, Now: time.Now, Log: zerolog.Nop()})
		followers[i].Offer(time.Now(), registry.Page[roster.Upstream]{Era: 1, Revision: 90_000})
	}
	for _, f := range followers[:watchers] {
		f.Offer(time.Now(), copied)
	}
	rng := rand.New(rand.NewPCG(1, 2))
	for done := watchers; done < vms; rounds++ {
		if rounds == 100 {
			b.Fatalf("%d of %d VMs have the new era after 100 rounds", done, vms)
		}
		newer := make(map[int]int)
		for i, f := range followers {
			var near, far []int
			for j := range followers {
				if j%4 == i%4 && j != i {
					near = append(near, j)
				} else if j != i {
					far = append(far, j)
				}
			}
			for _, to := range sends[i].Next(near, far, rng.Shuffle) {
				if followers[to].Position().Before(f.LastChange()) {
					newer[to] = i
				}
			}
		}
		for to, from := range newer {
			if followers[to].Offer(time.Now(), followers[from].Snapshot(followers[to].Position())) {
				fetches++
				done++
			}
		}
	}
	return rounds, fetches
}
