package beacon_test

import (
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/hibiscuscove/hibiscuscove/internal/beacon"
)

// spreadFleet is a fleet of six data centres whose VMs send beacons in rounds.
type spreadFleet struct {
	rng       *rand.Rand
	rounds    []beacon.RoundRobin[int]
	near, far [][]int
	// cutOff are the first VMs, which nothing reaches and whose beacons reach nobody.
	cutOff int
}

func newSpreadFleet(vms, cutOff int) *spreadFleet {
	f := &spreadFleet{rng: rand.New(rand.NewPCG(1, uint64(vms))), rounds: make([]beacon.RoundRobin[int], vms), near: make([][]int, vms), far: make([][]int, vms), cutOff: cutOff}
	for i := range vms {
		for j := range vms {
			switch {
			case j == i:
			case j%6 == i%6:
				f.near[i] = append(f.near[i], j)
			default:
				f.far[i] = append(f.far[i], j)
			}
		}
	}
	return f
}

// round calls receive for each beacon of a round that arrives.
func (f *spreadFleet) round(receive func(from, to int)) {
	for from := range f.rounds {
		targets := slices.Concat(f.near[from], f.far[from])
		if len(targets) > 12 {
			targets = f.rounds[from].Next(f.near[from], f.far[from], f.rng.Shuffle)
		}
		for _, to := range targets {
			if from >= f.cutOff && to >= f.cutOff && f.rng.Float64() >= datagramLoss {
				receive(from, to)
			}
		}
	}
}

// quantiles returns the median, the 99th percentile and the maximum.
func quantiles(values []time.Duration) [3]time.Duration {
	slices.Sort(values)
	n := len(values)
	return [3]time.Duration{values[n/2], values[n*99/100], values[n-1]}
}

// TestSpread measures how long a fact that VMs pass on takes to reach the others, and how old
// the state is that a VM has of another one. A fact must be known everywhere within half of
// the time in which a change of the configuration must be in force: 2 s in deployments of up
// to 9 VMs, 3 s in those of up to 89, 4 s in larger ones.
func TestSpread(t *testing.T) {
	sizes := []int{8, 24, 84, 195}
	if n, err := strconv.Atoi(os.Getenv("SPREAD_VMS")); err == nil {
		sizes = append(sizes, n)
	}
	for _, vms := range sizes {
		limit := 2 * time.Second
		switch {
		case vms <= 9:
			limit = time.Second
		case vms <= 89:
			limit = 1500 * time.Millisecond
		}
		for name, cutOff := range map[string]int{"all connected": 0, "a third cut off": vms / 3} {
			t.Run(fmt.Sprint(vms, " VMs, ", name), func(t *testing.T) {
				f := newSpreadFleet(vms, cutOff)
				var learnt []time.Duration
				for range 8 {
					known, order := make([]bool, vms), []int{vms - 1}
					known[vms-1] = true
					for at := time.Duration(0); len(order) < vms-cutOff && at < 10*time.Second; at += beacon.DefaultInterval {
						knew := slices.Clone(known) // a beacon holds what its sender knew before the round
						f.round(func(from, to int) {
							if knew[from] && !known[to] {
								known[to] = true
								order = append(order, to)
								learnt = append(learnt, at+beacon.DefaultInterval)
							}
						})
					}
					if len(order) < vms-cutOff {
						t.Fatalf("%d of %d VMs know the fact", len(order), vms-cutOff)
					}
				}
				heard := make([][]time.Duration, vms)
				for i := range heard {
					heard[i] = make([]time.Duration, vms)
				}
				var ages []time.Duration
				now := time.Duration(0)
				for range 400 {
					now += beacon.DefaultInterval
					f.round(func(from, to int) { heard[to][from] = now })
				}
				for to := cutOff; to < vms; to++ {
					for from := cutOff; from < vms; from++ {
						if from != to {
							ages = append(ages, now-heard[to][from])
						}
					}
				}
				facts := quantiles(learnt)
				t.Logf("fact after %v, %v, %v; age of state %v, %v, %v (median, 99th percentile, longest)",
					facts[0], facts[1], facts[2], quantiles(ages)[0], quantiles(ages)[1], quantiles(ages)[2])
				if facts[2] > limit {
					t.Errorf("the last VM has a fact after %v, want %v at the most", facts[2], limit)
				}
			})
		}
	}
}
