package suspect

import (
	"slices"
	"strings"
	"time"
)

// Limits on the choice among the requests that may be the trial of a blocked part.
const (
	// maxCandidates limits the sets of parts that are remembered.
	maxCandidates = 32
	// candidatePeriod is how long a set of parts is expected to come again, and
	// maxDeferral how long a request that may be a trial waits for a better one at most.
	// Each VM after the first in the order of trials adds trialRankDelay to both, so that
	// VMs don't end their wait at one moment.
	candidatePeriod = 2 * time.Second
	maxDeferral     = 3 * time.Second
	// countPeriod is the length of each of the two periods over which refused requests are
	// counted. A part is usual beside a blocked one if at least one in usualShare of the
	// refused requests with that has it, and these are at least minCount.
	countPeriod = 3 * time.Second
	usualShare  = 2
	minCount    = 10
)

// candidates holds which requests were refused lately because of a blocked part: those of
// which one can be the next trial. The zero value is empty.
type candidates struct {
	// sets holds sets of parts, the latest last.
	sets []candidate
	// counts and previous count refused requests by part, since countedFrom and in the
	// period before.
	counts, previous map[string]int
	countedFrom      time.Time
}

// candidate is the set of parts of refused requests.
type candidate struct {
	key    string
	parts  []string
	seenAt time.Time
}

// add records a refused request.
func (c *candidates) add(now time.Time, parts []string) {
	key := strings.Join(parts, " ")
	c.sets = slices.DeleteFunc(c.sets, func(set candidate) bool {
		return set.key == key || now.Sub(set.seenAt) > candidatePeriod+maxDeferral
	})
	if len(c.sets) >= maxCandidates {
		c.sets = slices.Delete(c.sets, 0, 1)
	}
	c.sets = append(c.sets, candidate{key: key, parts: slices.Clone(parts), seenAt: now})
	if age := now.Sub(c.countedFrom); age >= countPeriod || c.counts == nil {
		if c.previous = c.counts; age >= 2*countPeriod {
			c.previous = nil
		}
		c.counts, c.countedFrom = make(map[string]int), now
	}
	for _, part := range parts {
		if _, counted := c.counts[part]; counted || len(c.counts) < maxRecent {
			c.counts[part]++
		}
	}
}

// count returns how often a part was in refused requests.
func (c *candidates) count(part string) int { return c.counts[part] + c.previous[part] }

// areUsual reports whether some parts are all usual beside one that was in a number of
// refused requests.
func (c *candidates) areUsual(parts []string, requests int) bool {
	return requests >= minCount && !slices.ContainsFunc(parts, func(part string) bool { return usualShare*c.count(part) < requests })
}

// betterExpected reports whether a request that may be the trial of its blocked parts
// should leave this to another one, which shares a blocked part with it, has come a short
// time ago and is less likely to crash an upstream because of its other parts. own is what
// is known against the request itself, and rankDelay the delay of this VM in the order of
// trials. The caller holds the lock.
func (t *Tracker) betterExpected(now time.Time, own Evidence, parts []string, blocked []Finding, rankDelay time.Duration) bool {
	for _, set := range t.candidates.sets {
		if now.Sub(set.seenAt) > candidatePeriod+rankDelay || !t.mayBeTried(now.Add(maxDeferral), set.parts) {
			continue
		}
		shared := 0
		for _, f := range blocked {
			if slices.Contains(set.parts, f.Fingerprint) {
				shared = max(shared, t.candidates.count(f.Fingerprint))
			}
		}
		if shared == 0 {
			continue
		}
		others, rest := without(set.parts, parts), without(parts, set.parts)
		suspicion, restSuspicion := t.suspicion(now, others, shared), t.suspicion(now, rest, shared)
		if own.Broken > 0 {
			restSuspicion = max(restSuspicion, 1)
		}
		if suspicion < restSuspicion ||
			suspicion == restSuspicion && t.candidates.areUsual(others, shared) && !t.candidates.areUsual(rest, shared) {
			return true
		}
	}
	return false
}

// mayBeTried reports whether a request with some parts may be a trial at a time at the VM
// that is the first in the order. The caller holds the lock.
func (t *Tracker) mayBeTried(at time.Time, parts []string) bool {
	return !slices.ContainsFunc(parts, func(part string) bool {
		e := t.evidence(at, part)
		return (e.Blocked() || e.Held()) && t.nextTrial(part, e.isUncertain()).After(at)
	})
}

// suspicion returns how much speaks against the worst of some parts, -1 if there are none,
// beside a blocked part that was in a number of refused requests. The crashes of one burst
// may have one cause that is not the part, and count as none. Those of a usual part count
// only after a trial: they can't be told from those of the blocked one, and only a trial of
// both frees most requests. The caller holds the lock.
func (t *Tracker) suspicion(now time.Time, parts []string, requests int) int {
	worst := -1
	for _, part := range parts {
		e := t.evidence(now, part)
		if e.Trials == 0 && t.candidates.areUsual([]string{part}, requests) {
			e.LikelyBursts = 0
		}
		worst = max(worst, e.LikelyBursts-1, 0)
	}
	return worst
}

// without returns the elements of a list that are not in another one.
func without(list, other []string) []string {
	return slices.DeleteFunc(slices.Clone(list), func(s string) bool { return slices.Contains(other, s) })
}
