package watchers_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/hibiscuscove/hibiscuscove/internal/watchers"
)

var start = time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)

const interval = 150 * time.Millisecond

// fleetVM is a VM of a fleet whose reports reach all others.
type fleetVM struct {
	watchers.VM
	tracker  *watchers.Tracker
	watching bool
}

func newFleet(n, large int) []*fleetVM {
	fleet := make([]*fleetVM, n)
	for i := range fleet {
		vm := watchers.VM{Name: fmt.Sprint("vm", i), LinkMbps: 10}
		if i < large {
			vm.LinkMbps = 200
		}
		fleet[i] = &fleetVM{VM: vm, tracker: watchers.New(watchers.Options{Name: vm.Name, Incarnation: 1, LinkMbps: vm.LinkMbps, StartedAt: start})}
	}
	return fleet
}

// round lets all VMs decide. Those that fails names can't call the store. If reports arrive,
// each VM then has those of all others.
func round(now time.Time, fleet []*fleetVM, isLarge bool, fails func(i int) bool, arrive bool) {
	for i, v := range fleet {
		var peers []watchers.VM
		for j, o := range fleet {
			if j != i {
				peers = append(peers, o.VM)
			}
		}
		v.watching = v.tracker.Decide(now, watchers.Fleet{Large: isLarge, Peers: peers}) && !fails(i)
	}
	for _, v := range fleet {
		reports := v.tracker.Reports(now, v.watching, 0)
		for _, o := range fleet {
			if arrive {
				o.tracker.Learn(now, reports)
			}
		}
	}
}

func count(fleet []*fleetVM, counts func(i int, v *fleetVM) bool) int {
	n := 0
	for i, v := range fleet {
		if counts(i, v) {
			n++
		}
	}
	return n
}

// TestDecide checks that the VMs of a large fleet settle on a few that watch
// the store, that a VM whose calls to the store fail is replaced, and that all VMs
// watch if reports of watching VMs don't arrive.
func TestDecide(t *testing.T) {
	tests := map[string]struct {
		vms int
		// fails reports whether VM i's calls to the store fail.
		fails func(i int) bool
		// silent is set if no reports arrive.
		silent bool
		// large VMs, the first ones, have a larger link than the others.
		large, want, wantLarge int
	}{
		"small fleet":       {9, func(int) bool { return false }, false, 0, 9, 0},
		"large fleet":       {65, func(int) bool { return false }, false, 0, watchers.Target, 0},
		"a third fails":     {65, func(i int) bool { return i%3 == 0 }, false, 0, watchers.Target, 0},
		"all but two fail":  {65, func(i int) bool { return i > 1 }, false, 0, 2, 0},
		"no recent beacons": {65, func(int) bool { return false }, true, 0, 65, 0},
		"all fail":          {65, func(int) bool { return true }, false, 0, 0, 0},
		// Guards against a small VM's answers that wait on its link behind the store's
		// whole configuration, while VMs with twenty times the bandwidth don't watch.
		"larger links":                 {84, func(int) bool { return false }, false, 8, watchers.Target, watchers.Target},
		"few larger links":             {84, func(int) bool { return false }, false, 3, watchers.Target, 3},
		"those with larger links fail": {84, func(i int) bool { return i < 8 }, false, 8, watchers.Target, 0},
		"hundreds of VMs":              {195, func(int) bool { return false }, false, 0, watchers.Target, 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			fleet := newFleet(test.vms, test.large)
			now := start.Add(watchers.JoinPeriod)
			for range 20 { // rounds of beacons until nothing changes
				round(now, fleet, test.vms > 12, test.fails, !test.silent)
				now = now.Add(interval)
			}
			watching := count(fleet, func(_ int, v *fleetVM) bool { return v.watching })
			large := count(fleet, func(i int, v *fleetVM) bool { return v.watching && i < test.large })
			if diff := cmp.Diff([2]int{test.want, test.wantLarge}, [2]int{watching, large}); diff != "" {
				t.Errorf("VMs that watch, and of these with larger links (-want +got):\n%s", diff)
			}
		})
	}
}

// Guards against all VMs that watch at once, after they have started together and after those
// that watched have died.
func TestPlacesAreTakenByFew(t *testing.T) {
	fleet := newFleet(96, 0)
	most := 0
	dead := func(i int) bool { return fleet[i] == nil }
	for now := start; now.Before(start.Add(5 * time.Second)); now = now.Add(interval) {
		round(now, fleet, true, dead, true)
		most = max(most, count(fleet, func(_ int, v *fleetVM) bool { return v.watching }))
	}
	if most > 2*watchers.Target {
		t.Errorf("%d VMs watched at once after the start, want %d at the most", most, 2*watchers.Target)
	}
	var alive []*fleetVM
	for _, v := range fleet {
		if !v.watching {
			alive = append(alive, v)
		}
	}
	died, taken := start.Add(5*time.Second), time.Time{}
	most = 0
	for now := died; now.Before(died.Add(5 * time.Second)); now = now.Add(interval) {
		round(now, alive, true, func(int) bool { return false }, true)
		n := count(alive, func(_ int, v *fleetVM) bool { return v.watching })
		most = max(most, n)
		if taken.IsZero() && n > 0 {
			taken = now
		}
	}
	if most > 2*watchers.Target || taken.IsZero() || taken.Sub(died) > 2*time.Second {
		t.Errorf("after all that watched had died, %d watched at once, the first after %v; want %d and 2 s at the most", most, taken.Sub(died), 2*watchers.Target)
	}
}

// TestLearn checks what a VM takes over from reports: the latest about each other VM.
func TestLearn(t *testing.T) {
	report := func(stamp int64, stopped bool) watchers.Report {
		return watchers.Report{Name: "other", LinkMbps: 99, Stamp: stamp, Stopped: stopped}
	}
	old := report(5, false)
	old.AgeMS = 20_000
	foreign := make([]watchers.Report, 1000)
	for i := range foreign {
		foreign[i] = watchers.Report{Name: fmt.Sprint(i), Stamp: 1}
	}
	tests := map[string]struct {
		reports []watchers.Report
		want    bool
	}{
		"watches":              {[]watchers.Report{report(5, false)}, true},
		"has stopped":          {[]watchers.Report{report(5, false), report(6, true)}, false},
		"late report":          {[]watchers.Report{report(6, true), report(5, false)}, false},
		"watches again":        {[]watchers.Report{report(6, true), report(7, false)}, true},
		"too old":              {[]watchers.Report{old}, false},
		"about the VM itself":  {[]watchers.Report{{Name: "self", Stamp: 9}}, false},
		"without a name":       {[]watchers.Report{{Stamp: 9}}, false},
		"negative age":         {[]watchers.Report{{Name: "other", Stamp: 9, AgeMS: -1 << 60}}, true},
		"hundreds in one call": {foreign, true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			tracker := watchers.New(watchers.Options{Name: "self", Incarnation: 1, LinkMbps: 10, StartedAt: start})
			tracker.Learn(start, test.reports)
			if diff := cmp.Diff(test.want, tracker.Watched(start.Add(interval))); diff != "" {
				t.Errorf("a VM watches (-want +got):\n%s", diff)
			}
			if n := len(tracker.Reports(start, true, 0)); n > 8 {
				t.Errorf("%d reports in a message, want 8 at the most", n)
			}
		})
	}
}
