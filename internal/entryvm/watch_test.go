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

// TestWatchers: of a large fleet a few VMs settle on watching the store. One
// whose calls fail, or that leaves, is replaced, and so are all if none is heard.
func TestWatchers(t *testing.T) {
	const few = 4
	tests := map[string]struct {
		vms int
		// fails is whether the calls of a VM to the store fail.
		fails func(i int) bool
		// heard is when the others were last heard.
		heard time.Time
		want  int
	}{
		"small fleet":       {9, func(int) bool { return false }, start, 9},
		"large fleet":       {65, func(int) bool { return false }, start, few},
		"a third fails":     {65, func(i int) bool { return i%3 == 0 }, start, few},
		"all but two fail":  {65, func(i int) bool { return i > 1 }, start, 2},
		"nobody is heard":   {65, func(int) bool { return false }, start.Add(-4 * time.Second), 65},
		"all fail but sees": {65, func(int) bool { return true }, start, 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			peers := make([]*beacon.Peer, test.vms)
			for i := range peers {
				peers[i] = &beacon.Peer{Message: beacon.Message{Name: fmt.Sprint("vm", i), State: beacon.Serving}, ReceivedAt: test.heard}
			}
			watching := 0
			for range 4 { // beacons tell who watches, until nothing changes
				watching = 0
				for i, p := range peers {
					var others []*beacon.Peer
					for j, o := range peers {
						if j != i {
							others = append(others, o)
						}
					}
					p.Watching = !test.fails(i) && entryvm.Watches(start, p.Name, others)
					if p.Watching {
						watching++
					}
				}
			}
			if diff := cmp.Diff(test.want, watching); diff != "" {
				t.Errorf("VMs that watch (-want +got):\n%s", diff)
			}
		})
	}
}
