// Package weights records which versions of a model's weights operators have
// set as the desired ones and when, computes which older versions may no
// longer be used, and holds the signs that an engine is changing its weights.
//
// # Usage
//
//	history := weights.NewHistory()
//	history.Set(now, "m", 2)
//	oldest := history.OldestAllowed(now, "m", disruptions, limits)
//	loading = loading.WithAnnouncement(now, 2) // signs of one engine
//
// A History is not safe for concurrent use.
package weights

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Age is a desired version of a model's weights and the time in milliseconds
// since it was set.
type Age struct {
	Model   string `json:"model" cbor:"1,keyasint"`
	Version int64  `json:"version" cbor:"2,keyasint"`
	AgeMS   int64  `json:"age_ms" cbor:"3,keyasint"`
}

const (
	// maxEarlier limits the earlier versions remembered for each model.
	maxEarlier = 32
	// maxAges limits the versions of each model in Ages.
	maxAges = 12
	// settledAfter is the time before the newest version after which the order of earlier
	// ones no longer matters: all of them are past any limit.
	settledAfter = time.Minute
)

// History holds the desired versions of each model.
type History struct{ models map[string]desiredVersion }

// desiredVersion is a desired version and the time when it was set.
type desiredVersion struct {
	version int64
	since   time.Time
	// estimated reports that since is only an estimate, which is not sent to
	// peers.
	estimated bool
	// earlier are the previous desired versions, oldest first.
	earlier []desiredVersion
}

// NewHistory returns an empty History.
func NewHistory() *History { return &History{models: make(map[string]desiredVersion)} }

// Set records a version that was set as the desired one at the given time, and
// reports whether it is newer than all known ones. If the version is known, the
// earlier time is used.
func (h *History) Set(at time.Time, model string, version int64) bool {
	return h.set(model, desiredVersion{version: version, since: at})
}

// Assume records a desired version whose time of setting is only an estimate. A
// time passed to Set replaces it.
func (h *History) Assume(at time.Time, model string, version int64) bool {
	return h.set(model, desiredVersion{version: version, since: at, estimated: true})
}

func (h *History) set(model string, v desiredVersion) bool {
	old := h.models[model]
	if v.version > old.version {
		earlier := slices.Clone(old.earlier)
		if old.version > 0 {
			earlier = append(earlier, desiredVersion{version: old.version, since: old.since, estimated: old.estimated})
		}
		v.earlier = compact(earlier, maxEarlier, v.since)
		h.models[model] = v
		return true
	}
	if v.version == old.version {
		h.models[model] = old.correctedBy(v)
		return false
	}
	i, known := slices.BinarySearchFunc(old.earlier, v.version, func(e desiredVersion, version int64) int {
		return cmp.Compare(e.version, version)
	})
	switch {
	case known:
		old.earlier[i] = old.earlier[i].correctedBy(v)
	case v.version > 0:
		// A VM that has just started, or that did not reach the store, knows only the
		// newest version and receives the earlier ones from peers.
		old.earlier = compact(slices.Insert(slices.Clone(old.earlier), i, v), maxEarlier, old.since)
		h.models[model] = old
	}
	return false
}

// compact returns at most a number of the versions, which are in order. It replaces two that
// follow one another, those set closest together first, by the newer one with the time of
// the older one. So the time for which a version may be used becomes shorter, never longer.
func compact(list []desiredVersion, most int, newest time.Time) []desiredVersion {
	for len(list) > most {
		best, shortest := 0, time.Duration(math.MaxInt64)
		for i := range list[:len(list)-1] {
			gap := max(0, list[i+1].since.Sub(list[i].since))
			if newest.Sub(list[i+1].since) > settledAfter {
				gap = 0
			}
			if gap < shortest {
				best, shortest = i, gap
			}
		}
		older := list[best]
		list = slices.Delete(slices.Clone(list), best, best+1)
		if older.since.Before(list[best].since) {
			list[best].since, list[best].estimated = older.since, older.estimated
		}
	}
	return list
}

// correctedBy returns the version with the time of another record of it, if
// that time is exact and this one estimated, or if it is earlier.
func (v desiredVersion) correctedBy(other desiredVersion) desiredVersion {
	if !other.estimated && (v.estimated || other.since.Before(v.since)) {
		v.since, v.estimated = other.since, false
	}
	return v
}

// Newest returns the newest desired version of a model and when it was set, as
// far as known. It returns 0 if there is none.
func (h *History) Newest(model string) (version int64, since time.Time) {
	v := h.models[model]
	return v.version, v.since
}

// OldestAllowed returns the newest version that has been desired for longer
// than the limits allow, disruptions not counted. Older versions may not be
// used. It returns 0 if all may be used.
func (h *History) OldestAllowed(now time.Time, model string, d Disruptions, limits Limits) int64 {
	if limits.MaxSpan <= 0 {
		return 0
	}
	newest := h.models[model]
	if newest.version > 0 && d.exceeded(newest.since, now, limits) {
		return newest.version
	}
	for _, entry := range slices.Backward(newest.earlier) {
		if d.exceeded(entry.since, now, limits) {
			return entry.version
		}
	}
	return 0
}

// Ages returns the desired versions that limit the use of weights, with their ages: the
// newest one past its limit, see OldestAllowed, and all later ones. Versions with an
// estimated time are left out. Of many versions only some are returned, the newer ones of
// those set closest together, with an age that is too high rather than too low.
func (h *History) Ages(now time.Time, d Disruptions, limits Limits) []Age {
	var ages []Age
	for model, newest := range h.models {
		oldest := h.OldestAllowed(now, model, d, limits)
		var list []desiredVersion
		for _, v := range append(slices.Clone(newest.earlier), newest) {
			if !v.estimated && v.version >= oldest {
				list = append(list, v)
			}
		}
		if n := len(list); n > 0 {
			list = append(compact(list[:n-1], maxAges-1, list[n-1].since), list[n-1])
		}
		for _, v := range list {
			ages = append(ages, Age{model, v.version, now.Sub(v.since).Milliseconds()})
		}
	}
	return ages
}
