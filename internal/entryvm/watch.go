package entryvm

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hibiscuscove/hibiscuscove/internal/beacon"
	"github.com/hibiscuscove/hibiscuscove/internal/roster"
)

// watches reports whether this VM watches the store: all do in a small fleet,
// the first few by rendezvous hashing in a larger one, and those that hear of
// none that does.
func (v *VM) watches(now time.Time) bool {
	if now.Sub(v.started) < meetPeriod {
		return false
	}
	peers := v.beacon.Alive(now)
	if len(peers)+1 <= allWatch {
		return true
	}
	before, watching := 0, 0
	own := xxhash.Sum64String("watch/" + v.settings.Name)
	for _, p := range peers {
		if p.State == beacon.Leaving {
			continue
		}
		if xxhash.Sum64String("watch/"+p.Name) < own {
			before++
		}
		if p.Watching && now.Sub(p.Heard) < watcherSilence {
			watching++
		}
	}
	return before < fleetWatchers || watching == 0
}

// followShare returns the share of VMs that follow an engine's events, so that
// each engine has a few followers: all VMs in a small fleet, some of its own
// data centre in a larger one. A store of kept prompts belongs to all.
func (v *VM) followShare(u roster.Upstream) float64 {
	if v.opts.Now().Sub(v.started) < meetPeriod {
		return 0
	}
	peers := v.beacon.Alive(v.opts.Now())
	if len(peers) < maxFollowers {
		return 1
	}
	if u.Model == "" {
		return maxFollowers / float64(len(peers)+1)
	}
	if u.DataCentre != v.settings.DataCentre {
		return 0
	}
	local := 1
	for _, p := range peers {
		if p.DataCentre == v.settings.DataCentre {
			local++
		}
	}
	return maxLocalFollowers / float64(local)
}

// healthy reports whether this VM's calls to the store work.
func (v *VM) healthy() bool {
	return v.configurations.Healthy() && v.upstreamFeed.Healthy() && v.versions.Healthy()
}

// upstreamRest is how long a watcher lets changes of upstreams gather. In a
// large fleet many change at once, and each answer of a watch costs a call.
func (v *VM) upstreamRest() time.Duration {
	if len(v.beacon.Alive(v.opts.Now()))+1 <= allWatch {
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
		Configuration: v.configurations.Changed(), Upstreams: v.upstreamFeed.Changed(), Versions: v.versions.Changed(),
	}
}
