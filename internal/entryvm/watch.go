package entryvm

import (
	"slices"
	"time"

	"github.com/hibiscuscove/hibiscuscove/internal/beacon"
	"github.com/hibiscuscove/hibiscuscove/internal/roster"
	"github.com/hibiscuscove/hibiscuscove/internal/watchers"
)

// settlePeriod is how long a VM that has started counts the VMs that the store lists as
// well, since it has not heard of all that run.
const settlePeriod = 4 * time.Second

// vms returns the number of VMs, as far as this one knows.
func (v *VM) vms(now time.Time) int {
	n := v.beacon.KnownCount()
	if now.Sub(v.startedAt) < settlePeriod {
		n = max(n, v.beacon.AddressCount())
	}
	return n
}

// inLargeFleet reports whether the fleet is too large for every VM to have a full view.
func (v *VM) inLargeFleet(now time.Time) bool { return v.vms(now) > roster.MaxFullViewVMs }

// shouldWatch reports whether this VM should watch the store.
func (v *VM) shouldWatch(now time.Time) bool {
	fleet := watchers.Fleet{Large: v.inLargeFleet(now), Era: v.upstreamFollower.Position().Era}
	if fleet.Large {
		for _, p := range v.beacon.Alive(now) {
			if p.State != beacon.Leaving {
				fleet.Peers = append(fleet.Peers, watchers.VM{Name: p.Name, LinkMbps: p.LinkMbps})
			}
		}
	}
	return v.watchers.Decide(now, fleet)
}

// watcherReports returns what this VM tells its peers of who watches the store.
func (v *VM) watcherReports(now time.Time, watching bool) []watchers.Report {
	if !v.inLargeFleet(now) {
		return nil
	}
	return v.watchers.Reports(now, watching, v.upstreamFollower.Position().Era)
}

// learnWatchers takes what a peer tells of who watches the store. A VM of an older build
// tells only whether it does itself.
func (v *VM) learnWatchers(now time.Time, m beacon.Message) {
	reports := m.Watchers
	if m.Watching && !slices.ContainsFunc(reports, func(r watchers.Report) bool { return r.Name == m.Name }) {
		stamp := m.Incarnation + int64(m.Sequence)*beacon.DefaultInterval.Milliseconds()
		reports = append(slices.Clone(reports), watchers.Report{Name: m.Name, LinkMbps: m.LinkMbps, Stamp: stamp, Era: m.Revisions.UpstreamsEra})
	}
	v.watchers.Learn(now, reports)
}

// followShare returns the share of VMs, 0 to 1, that follow the cache events of
// an upstream. In a fleet of up to targetFollowers VMs all do. With a partial view
// requests go to the upstream chosen by rendezvous hashing, and only the prompt store
// is followed, not engines. Nothing is followed before watchers.JoinPeriod has passed, since
// the size of the fleet is not known yet.
func (v *VM) followShare(u roster.Upstream) float64 {
	now := v.opts.Now()
	if u.Model != "" && (v.upstreams.PartialView() || v.inLargeFleet(now)) || now.Sub(v.startedAt) < watchers.JoinPeriod {
		return 0
	}
	return min(1, targetFollowers/float64(v.vms(now)))
}

// largeFleetSilence is maxStoreSilence in a large fleet: when the connections of the few
// VMs that watch fall silent, the others still need the time to notice that, to watch
// instead, and to pass on what they learn.
const largeFleetSilence = 1100 * time.Millisecond

func (v *VM) maxStoreSilence() time.Duration {
	return MaxStoreSilence(milliseconds(v.settings.ContactMS), v.vms(v.opts.Now()))
}

// MaxStoreSilence returns within what time a VM of a fleet notices that the store's answers
// no longer arrive. contact is the time after which it must have what it missed.
func MaxStoreSilence(contact time.Duration, vms int) time.Duration {
	if vms <= roster.MaxFullViewVMs {
		return contact
	}
	return min(contact, largeFleetSilence)
}

// storeHealthy reports whether this VM's calls to the store succeed.
func (v *VM) storeHealthy() bool {
	return v.configurationFollower.Healthy() && v.upstreamFollower.Healthy() && v.versionFollower.Healthy()
}

// upstreamCollectInterval returns how long changes of upstreams are collected
// between two watches. In a large fleet many change at once, and each response to a
// watch costs another call to the store.
func (v *VM) upstreamCollectInterval() time.Duration {
	return CollectInterval(v.inLargeFleet(v.opts.Now()))
}

// CollectInterval returns how long a VM that watches collects changes of upstreams, in a
// large fleet or another one.
func CollectInterval(large bool) time.Duration {
	if large {
		return largeFleetCollectInterval
	}
	return 0
}

// revisions returns the revision up to which this VM knows each collection.
func (v *VM) revisions() beacon.Revisions {
	return beacon.NewRevisions(v.configurationFollower.Position(), v.upstreamFollower.Position(), v.versionFollower.Position())
}

// lastChangeRevisions returns the revisions at which each collection last changed,
// as far as this VM knows.
func (v *VM) lastChangeRevisions() beacon.Revisions {
	return beacon.NewRevisions(v.configurationFollower.LastChange(), v.upstreamFollower.LastChange(), v.versionFollower.LastChange())
}
