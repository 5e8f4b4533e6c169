package entryvm_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/hibiscuscove/hibiscuscove/internal/beacon"
	"github.com/hibiscuscove/hibiscuscove/internal/entryvm"
)

var start = time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)

// TestShouldWatch checks that the VMs of a large fleet settle on a few that watch
// the store, that a VM whose calls to the store fail is replaced, and that all VMs
// watch if beacons of watching VMs have stopped arriving.
func TestShouldWatch(t *testing.T) {
	const wantWatchers = 4
	tests := map[string]struct {
		vms int
		// fails reports whether VM i's calls to the store fail.
		fails func(i int) bool
		// lastBeacon is when the last beacons of the others arrived.
		lastBeacon time.Time
		// large VMs, the first ones, have a larger link than the others.
		large, want, wantLarge int
	}{
		"small fleet":       {9, func(int) bool { return false }, start, 0, 9, 0},
		"large fleet":       {65, func(int) bool { return false }, start, 0, wantWatchers, 0},
		"a third fails":     {65, func(i int) bool { return i%3 == 0 }, start, 0, wantWatchers, 0},
		"all but two fail":  {65, func(i int) bool { return i > 1 }, start, 0, 2, 0},
		"no recent beacons": {65, func(int) bool { return false }, start.Add(-4 * time.Second), 0, 65, 0},
		"all fail":          {65, func(int) bool { return true }, start, 0, 0, 0},
		// Guards against a small VM's answers that wait on its link behind the store's
		// whole configuration, while VMs with twenty times the bandwidth don't watch.
		"larger links":                 {84, func(int) bool { return false }, start, 8, wantWatchers, wantWatchers},
		"few larger links":             {84, func(int) bool { return false }, start, 3, wantWatchers, 3},
		"those with larger links fail": {84, func(i int) bool { return i < 8 }, start, 8, wantWatchers, 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			peers := make([]*beacon.Peer, test.vms)
			for i := range peers {
				peers[i] = &beacon.Peer{Message: beacon.Message{Name: fmt.Sprint("vm", i), State: beacon.Serving, LinkMbps: 10}, ReceivedAt: test.lastBeacon}
				if i < test.large {
					peers[i].LinkMbps = 200
				}
			}
			watching, large := 0, 0
			for range 4 { // rounds of beacons until nothing changes
				watching, large = 0, 0
				for i, p := range peers {
					var others []*beacon.Peer
					for j, o := range peers {
						if j != i {
							others = append(others, o)
						}
					}
					p.Watching = !test.fails(i) && entryvm.ShouldWatch(start, p.Name, p.LinkMbps, others)
					if p.Watching {
						watching++
						if i < test.large {
							large++
						}
					}
				}
			}
			if diff := cmp.Diff([2]int{test.want, test.wantLarge}, [2]int{watching, large}); diff != "" {
				t.Errorf("VMs that watch, and of these with larger links (-want +got):\n%s", diff)
			}
		})
	}
}
