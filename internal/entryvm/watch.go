package entryvm

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hibiscuscove/hibiscuscove/internal/beacon"
	"github.com/hibiscuscove/hibiscuscove/internal/roster"
)

// shouldWatch reports whether this VM should watch the store.
func (v *VM) shouldWatch(now time.Time) bool {
	if now.Sub(v.startedAt) < joinPeriod {
		return false
	}
	return ShouldWatch(now, v.settings.Name, int(v.settings.LinkMbps), ignoreEarlierWatchers(v.beacon.Alive(now), v.upstreamFollower.Position().Era))
}

// ignoreEarlierWatchers returns the peers, of which those that follow an earlier era
// than this VM do not count as watching. A VM of an older build tells no era.
func ignoreEarlierWatchers(peers []*beacon.Peer, era uint64) []*beacon.Peer {
	if era == 0 {
		return peers
	}
	list := make([]*beacon.Peer, len(peers))
	for i, p := range peers {
		list[i] = p
		if p.Watching && p.Revisions.UpstreamsEra < era {
			passive := *p
			passive.Watching = false
			list[i] = &passive
		}
	}
	return list
}

// ShouldWatch reports whether a VM should watch the store, given the bandwidth of its
// link in Mbit/s and the peers whose beacons it has received. In a fleet of up to
// roster.MaxFullViewVMs VMs all watch. In a larger one a VM watches if fewer than
// targetWatchers of the VMs that precede it do, or if no beacon of a watching VM has
// arrived within watcherTimeout. VMs with larger links precede others, and those with
// equal links are in rendezvous order. Leaving VMs don't count.
func ShouldWatch(now time.Time, name string, linkMbps int, peers []*beacon.Peer) bool {
	if len(peers)+1 <= roster.MaxFullViewVMs {
		return true
	}
	preceding, recent := 0, 0
	ownHash := xxhash.Sum64String("watch/" + name)
	for _, p := range peers {
		if !p.Watching || p.State == beacon.Leaving {
			continue // VMs whose calls to the store fail don't announce Watching
		}
		if p.LinkMbps > linkMbps || p.LinkMbps == linkMbps && xxhash.Sum64String("watch/"+p.Name) < ownHash {
			preceding++
		}
		if now.Sub(p.ReceivedAt) < watcherTimeout {
			recent++
		}
	}
	return preceding < targetWatchers || recent == 0
}

// followShare returns the share of VMs, 0 to 1, that follow the cache events of
// an upstream. In a fleet of up to targetFollowers VMs all do. With a partial view
// requests go to the upstream chosen by rendezvous hashing, and only the prompt store
// is followed, not engines. Nothing is followed before joinPeriod has passed, since
// the size of the fleet is not known yet.
func (v *VM) followShare(u roster.Upstream) float64 {
	if u.Model != "" && v.upstreams.PartialView() || v.opts.Now().Sub(v.startedAt) < joinPeriod {
		return 0
	}
	vms := len(v.beacon.Alive(v.opts.Now())) + 1
	return min(1, targetFollowers/float64(vms))
}

// largeFleetSilence is maxStoreSilence in a large fleet: when the connections of the few
// VMs that watch fall silent, the others still need the time to notice that, to watch
// instead, and to pass on what they learn.
const largeFleetSilence = 1100 * time.Millisecond

func (v *VM) maxStoreSilence() time.Duration {
	return MaxStoreSilence(milliseconds(v.settings.ContactMS), len(v.beacon.Alive(v.opts.Now()))+1)
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
	if len(v.beacon.Alive(v.opts.Now()))+1 <= roster.MaxFullViewVMs {
		return 0
	}
	return largeFleetCollectInterval
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
