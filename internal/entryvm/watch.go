package entryvm

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hibiscuscove/hibiscuscove/internal/beacon"
	"github.com/hibiscuscove/hibiscuscove/internal/roster"
)

// watches reports whether this VM watches the store.
func (v *VM) watches(now time.Time) bool {
	if now.Sub(v.started) < meetPeriod {
		return false
	}
	return Watches(now, v.settings.Name, v.beacon.Alive(now))
}

// Watches reports whether a VM watches the store: all do in a small fleet. In a
// larger one a VM does unless enough others do that come before it by
// rendezvous hashing, or if it has heard of none lately.
func Watches(now time.Time, name string, peers []*beacon.Peer) bool {
	if len(peers)+1 <= roster.MaxFullViewVMs {
		return true
	}
	before, lately := 0, 0
	own := xxhash.Sum64String("watch/" + name)
	for _, p := range peers {
		if !p.Watching || p.State == beacon.Leaving {
			continue // also one whose calls to the store fail
		}
		if xxhash.Sum64String("watch/"+p.Name) < own {
			before++
		}
		if now.Sub(p.ReceivedAt) < watcherSilence {
			lately++
		}
	}
	return before < fleetWatchers || lately == 0
}

// followShare returns the share of VMs that follow an engine's events: all in a
// small fleet. In a sparse one prompts go by agreement, and only the store of
// kept prompts is followed.
func (v *VM) followShare(u roster.Upstream) float64 {
	if u.Model != "" && v.upstreams.PartialView() || v.opts.Now().Sub(v.started) < meetPeriod {
		return 0
	}
	vms := len(v.beacon.Alive(v.opts.Now())) + 1
	return min(1, maxFollowers/float64(vms))
}

// healthy reports whether this VM's calls to the store work.
func (v *VM) healthy() bool {
	return v.configurations.Healthy() && v.upstreamFeed.Healthy() && v.versions.Healthy()
}

// upstreamRest is how long a watcher lets changes of upstreams gather. In a
// large fleet many change at once, and each answer of a watch costs a call.
func (v *VM) upstreamRest() time.Duration {
	if len(v.beacon.Alive(v.opts.Now()))+1 <= roster.MaxFullViewVMs {
		return 0
	}
	return gatherPeriod
}

func (v *VM) revisions() beacon.Revisions {
	return beacon.Revisions{
		Configuration: v.configurations.Revision(), Upstreams: v.upstreamFeed.Revision(), Versions: v.versions.Revision(),
	}
}

// changedAt returns the revisions of the last changes that this VM knows.
func (v *VM) changedAt() beacon.Revisions {
	return beacon.Revisions{
		Configuration: v.configurations.LastChangeRevision(), Upstreams: v.upstreamFeed.LastChangeRevision(), Versions: v.versions.LastChangeRevision(),
	}
}
