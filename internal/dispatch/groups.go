package dispatch

import (
	"math"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/hibiscuscove/hibiscuscove/internal/costmodel"
	"github.com/hibiscuscove/hibiscuscove/internal/promptcache"
)

const (
	// groupSize is the number of upstreams of a group. Fewer would leave little choice, more
	// would need more of a dispatcher's processor time.
	groupSize = 16
	// groupHysteresis is how far the number of upstreams, in groups, must be from the number
	// of groups for that to change, so that an upstream more or less moves no group.
	groupHysteresis = 0.75
)

// NextGroups returns the number of groups of a service with that many engines, given the
// number before, which is 0 at first.
func NextGroups(before, engines int) int {
	wanted := float64(engines) / groupSize
	if before > 0 && math.Abs(wanted-float64(before)) <= groupHysteresis {
		return before
	}
	return max(1, int(math.Round(wanted)))
}

// GroupOf returns the group of the upstream with the given costmodel.Hash of its ID.
func GroupOf(idHash uint64, groups int) int { return int(idHash % uint64(max(1, groups))) }

// homeGroups returns the group of the home of a request, the upstream that rendezvous hashing
// chooses by the innermost shared part, or by the request's ID if no part is shared, and the
// next group in that order, which is the same one if there is no other.
func homeGroups(idHashes []uint64, groups int, requestID string, parts []promptcache.Part) (first, second int) {
	if groups <= 1 {
		return 0, 0
	}
	key := xxhash.Sum64String(requestID)
	if len(parts) > 0 {
		key = costmodel.PromptKey(parts)
	}
	weights := make([]uint64, groups)
	for _, h := range idHashes {
		group := GroupOf(h, groups)
		weights[group] = max(weights[group], costmodel.Weight(key, h))
	}
	for group, w := range weights {
		if w > weights[first] {
			first = group
		}
	}
	second = (first + 1) % groups
	for group, w := range weights {
		if group != first && w > weights[second] {
			second = group
		}
	}
	return first, second
}

// Dispatcher is a VM that dispatches.
type Dispatcher struct {
	Name     string
	LinkMbps int
}

// Choose returns the dispatcher of a group by rendezvous hashing, in which a VM's weight is
// the bandwidth of its link, or "" if all are avoided.
func Choose(candidates []Dispatcher, service string, group int, avoided func(name string) bool) string {
	best, name := 0.0, ""
	key := xxhash.Sum64String(service + "/" + strconv.Itoa(group))
	for _, c := range candidates {
		if avoided != nil && avoided(c.Name) {
			continue
		}
		// The maximum of these scores falls to a candidate with a probability proportional
		// to its weight.
		draw := (float64(costmodel.Weight(key, xxhash.Sum64String(c.Name))>>11) + 0.5) / (1 << 53)
		score := float64(max(1, c.LinkMbps)) / -math.Log(draw)
		if name == "" || score > best || score == best && c.Name > name {
			best, name = score, c.Name
		}
	}
	return name
}
