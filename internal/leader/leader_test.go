package leader_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/hibiscuscove/hibiscuscove/internal/beacon"
	"github.com/hibiscuscove/hibiscuscove/internal/leader"
)

var start = time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)

// Guards against weights that stay old for seconds because the VMs of a large fleet don't
// know that the leader has lost the lease.
func TestLostLeaseIsKnownSoon(t *testing.T) {
	const (
		interval    = 150 * time.Millisecond
		dataCentres = 6
		limit       = time.Second
	)
	for _, vms := range []int{24, 84, 195, 910} {
		t.Run(fmt.Sprint(vms, " VMs"), func(t *testing.T) {
			rng := rand.New(rand.NewPCG(1, uint64(vms)))
			trackers := make([]*leader.Tracker, vms)
			rounds := make([]beacon.RoundRobin[int], vms)
			near, far := make([][]int, vms), make([][]int, vms)
			for i := range trackers {
				trackers[i] = leader.NewTracker(fmt.Sprint("vm-", i))
				trackers[i].RecordLeading(start, leader.Leading{Name: "vm-0", Fence: 7})
				for j := range vms {
					switch {
					case j == i:
					case j%dataCentres == i%dataCentres:
						near[i] = append(near[i], j)
					default:
						far[i] = append(far[i], j)
					}
				}
			}
			trackers[0].RecordLetGo(start, leader.LetGo{Holder: "vm-0", Incarnation: 1, Fence: 7, Lost: true})
			now := start
			for known := 0; known < vms; now = now.Add(interval) {
				messages := make([]*leader.LetGo, vms)
				for i, tracker := range trackers {
					messages[i] = tracker.LetGo(now)
				}
				for i, message := range messages {
					for _, target := range rounds[i].Next(near[i], far[i], rng.Shuffle) {
						if message != nil {
							trackers[target].RecordLetGo(now, *message)
						}
					}
				}
				known = 0
				for _, tracker := range trackers {
					if tracker.SteppedDown("vm-0", 1, 7) {
						known++
					}
				}
			}
			t.Logf("the last VM knows after %v", now.Sub(start))
			if now.Sub(start) > limit {
				t.Errorf("the last VM knows after %v, want %v at the most", now.Sub(start), limit)
			}
		})
	}
}

// TestLost checks that a leader counts as lost until the next one is known.
func TestLost(t *testing.T) {
	tracker := leader.NewTracker("self")
	tracker.RecordLeading(start, leader.Leading{Name: "c", Fence: 9})
	tracker.RecordLetGo(start.Add(time.Second), leader.LetGo{Holder: "c", Incarnation: 1, Fence: 9, Lost: true, AgeMS: 400})
	since, lost := tracker.Lost()
	if diff := cmp.Diff(start.Add(600*time.Millisecond), since); diff != "" || !lost {
		t.Errorf("lost: %v, since (-want +got):\n%s", lost, diff)
	}
	tracker.RecordLeading(start.Add(2*time.Second), leader.Leading{Name: "d", Fence: 10})
	tracker.RecordLeading(start.Add(2*time.Second), leader.Leading{Name: "c", Fence: 9}) // late
	if _, lost := tracker.Lost(); lost {
		t.Error("the leader counts as lost although another one leads")
	}
	if diff := cmp.Diff(&leader.Leading{Name: "d", Fence: 10}, tracker.Leading(start.Add(3*time.Second))); diff != "" {
		t.Errorf("told to peers (-want +got):\n%s", diff)
	}
}

// TestSteppedDown checks that only the holder's own word, about the same lease or a later
// one, counts.
func TestSteppedDown(t *testing.T) {
	letGo := leader.LetGo{Holder: "a", Incarnation: 3, Fence: 7}
	tests := map[string]struct {
		holder      string
		incarnation int64
		fence       uint64
		want        bool
	}{
		"this lease":           {"a", 3, 7, true},
		"an earlier lease":     {"a", 3, 6, true},
		"a later lease":        {"a", 3, 8, false},
		"an earlier process":   {"a", 2, 7, false},
		"another VM's lease":   {"b", 3, 7, false},
		"a lease of a new era": {"a", 3, 1<<32 + 1, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			tracker := leader.NewTracker("self")
			tracker.RecordLetGo(start, letGo)
			tracker.RecordLetGo(start, leader.LetGo{Holder: "b", Incarnation: 3, Fence: 5}) // late
			if diff := cmp.Diff(test.want, tracker.SteppedDown(test.holder, test.incarnation, test.fence)); diff != "" {
				t.Errorf("stepped down (-want +got):\n%s", diff)
			}
		})
	}
}

// TestRank checks that the last leader comes first until it has lost the lease, and that the
// ranks of VMs with the same view differ.
func TestRank(t *testing.T) {
	names := []string{"a", "b", "c", "d"}
	tests := map[string]struct {
		letGo leader.LetGo
		// firstIsLeader is whether the VM that led, c, has rank 0.
		firstIsLeader bool
	}{
		"leads":              {leader.LetGo{}, true},
		"released the lease": {leader.LetGo{Holder: "c", Incarnation: 1, Fence: 9}, true},
		"lost the lease":     {leader.LetGo{Holder: "c", Incarnation: 1, Fence: 9, Lost: true}, false},
		"another one leads":  {leader.LetGo{Holder: "c", Incarnation: 1, Fence: 8, Lost: true}, true},
		"lost an older one":  {leader.LetGo{Holder: "c", Incarnation: 1, Fence: 8, Lost: true}, true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			ranks := make(map[int]bool)
			for i, self := range names {
				tracker := leader.NewTracker(self)
				tracker.RecordLeading(start, leader.Leading{Name: "c", Fence: 9})
				tracker.RecordLetGo(start, test.letGo)
				others := append(append([]string(nil), names[:i]...), names[i+1:]...)
				rank := tracker.Rank(0, others)
				ranks[rank] = true
				if self == "c" {
					if diff := cmp.Diff(test.firstIsLeader, rank == 0); diff != "" {
						t.Errorf("the leader comes first (-want +got):\n%s", diff)
					}
				}
			}
			if len(ranks) != len(names) {
				t.Errorf("%d different ranks of %d VMs", len(ranks), len(names))
			}
		})
	}
}
