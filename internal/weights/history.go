// Package weights records which versions of a model's weights operators have
// set as the desired ones and when, computes which older versions may no
// longer be used, and holds the signs that an engine is changing its weights.
//
// The store does not say when a version was set. A VM that watches the store sees
// it at once. One that starts finds a version that was set at any time before. So a
// History keeps when a version was first seen, and how long before that it may have
// been set at most. The limits count from the earliest possible time: weights are
// refused too early rather than too late. VMs exchange both figures, and each keeps
// the earliest sighting and the least uncertainty of all.
//
// # Usage
//
//	history := weights.NewHistory()
//	settled := weights.SettledAt(startedAt, contact)
//	history.Expect(settled)
//	history.Listed()
//	history.Find(now, "m", 2, settled)  // found at the start
//	history.See(now, checkedAt, "m", 3) // not there at checkedAt
//	history.Merge(now, peer.Ages(now, disruptions, limits))
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

// Uncertainty is by how many milliseconds the time since a version was set may be shorter
// than its Age.
type Uncertainty struct {
	Model   string `json:"model" cbor:"1,keyasint"`
	Version int64  `json:"version" cbor:"2,keyasint"`
	MS      int64  `json:"ms" cbor:"3,keyasint"`
}

// Ages are desired versions as one VM knows them. An Age without an Uncertainty is exact, or
// of a build that knows no uncertainties.
type Ages struct {
	List      []Age
	Uncertain []Uncertainty
}

const (
	// maxEarlier limits the earlier versions remembered for each model.
	maxEarlier = 32
	// maxAges limits the versions of each model in Ages.
	maxAges = 12
	// settledAfter is the time before the newest version after which the order of earlier
	// ones no longer matters: all of them are past any limit.
	settledAfter = time.Minute
	// unknown is the uncertainty of a version that may have been set at any time. It is
	// longer than any limit.
	unknown = 24 * time.Hour
	// startMargin covers the start of a process before a VM's own start.
	startMargin = time.Second
)

// SettledAt returns until when a VM that has started may wait for what the store and peers
// know of versions. contact is the time after a start from which on the limits hold for a VM.
func SettledAt(startedAt time.Time, contact time.Duration) time.Time {
	return startedAt.Add(max(contact/2, contact-startMargin))
}

// History holds the desired versions of each model.
type History struct {
	models map[string]desiredVersion
	// expected is when the versions must have been listed, or zero.
	expected time.Time
}

// desiredVersion is a desired version and when it was set: at seen, or up to uncertainty
// before.
type desiredVersion struct {
	version     int64
	seen        time.Time
	uncertainty time.Duration
	// settled is until when the limits count from seen: peers may know more.
	settled time.Time
	// earlier are the previous desired versions, oldest first.
	earlier []desiredVersion
}

// since returns the time from which on the limits count.
func (v desiredVersion) since(now time.Time) time.Time {
	if now.Before(v.settled) {
		return v.seen
	}
	return v.seen.Add(-v.uncertainty)
}

// NewHistory returns an empty History.
func NewHistory() *History { return &History{models: make(map[string]desiredVersion)} }

// Expect lets no weights be used from a time on until Listed is called.
func (h *History) Expect(by time.Time) { h.expected = by }

// Listed records that the versions have been listed, also if there are none.
func (h *History) Listed() { h.expected = time.Time{} }

// Set records a version that was set as the desired one at the given time, and
// reports whether it is newer than all known ones. If the version is known, the
// earlier time is used, and what is not known of that time remains so.
func (h *History) Set(at time.Time, model string, version int64) bool {
	return h.See(at, at, model, version)
}

// See is Set for a version that was seen at the given time and set at any time between
// after and then.
func (h *History) See(at, after time.Time, model string, version int64) bool {
	v := desiredVersion{version: version, seen: at, uncertainty: max(0, at.Sub(after))}
	if known, found := h.find(model, version); found {
		v.uncertainty = known.uncertainty
	}
	return h.set(at, model, v)
}

// Find is Set for a version that was found at the given time and may have been set at any
// time before. From settled on the limits count as passed unless a peer has told its age.
func (h *History) Find(at time.Time, model string, version int64, settled time.Time) bool {
	return h.set(at, model, desiredVersion{version: version, seen: at, uncertainty: unknown, settled: settled})
}

// AddAge makes all versions older, after a suspension in which the clock stood still.
func (h *History) AddAge(by time.Duration) {
	for model, newest := range h.models {
		newest.seen = newest.seen.Add(-by)
		newest.earlier = slices.Clone(newest.earlier)
		for i := range newest.earlier {
			newest.earlier[i].seen = newest.earlier[i].seen.Add(-by)
		}
		h.models[model] = newest
	}
}

// Merge records the versions as a peer knows them. Those that are newer than the newest
// known one of the model are ignored.
func (h *History) Merge(now time.Time, ages Ages) {
	for _, age := range ages.List {
		if age.Version > h.models[age.Model].version {
			continue
		}
		v := desiredVersion{version: age.Version, uncertainty: ages.uncertainty(age)}
		v.seen = now.Add(v.uncertainty - time.Duration(age.AgeMS)*time.Millisecond)
		h.set(now, age.Model, v)
	}
}

// uncertainty returns the uncertainty of an age.
func (a Ages) uncertainty(of Age) time.Duration {
	for _, u := range a.Uncertain {
		if u.Model == of.Model && u.Version == of.Version {
			return time.Duration(max(0, u.MS)) * time.Millisecond
		}
	}
	return 0
}

// find returns what is known of a version.
func (h *History) find(model string, version int64) (desiredVersion, bool) {
	newest := h.models[model]
	for _, v := range append(slices.Clone(newest.earlier), newest) {
		if v.version == version {
			return v, true
		}
	}
	return desiredVersion{}, false
}

func (h *History) set(now time.Time, model string, v desiredVersion) bool {
	old := h.models[model]
	if v.version > old.version {
		earlier := slices.Clone(old.earlier)
		if old.version > 0 {
			old.earlier = nil
			earlier = append(earlier, old)
		}
		v.earlier = compact(now, earlier, maxEarlier, v.since(now))
		h.models[model] = v
		return true
	}
	if v.version == old.version {
		h.models[model] = old.mergedWith(v)
		return false
	}
	i, known := slices.BinarySearchFunc(old.earlier, v.version, func(e desiredVersion, version int64) int {
		return cmp.Compare(e.version, version)
	})
	switch {
	case known:
		old.earlier[i] = old.earlier[i].mergedWith(v)
	case v.version > 0:
		// A VM that has just started, or that did not reach the store, knows only the
		// newest version and receives the earlier ones from peers.
		old.earlier = compact(now, slices.Insert(slices.Clone(old.earlier), i, v), maxEarlier, old.since(now))
		h.models[model] = old
	}
	return false
}

// compact returns at most a number of the versions, which are in order. It replaces two that
// follow one another, those set closest together first, by the newer one with the time of
// the older one. So the time for which a version may be used becomes shorter, never longer.
func compact(now time.Time, list []desiredVersion, most int, newest time.Time) []desiredVersion {
	for len(list) > most {
		best, shortest := 0, time.Duration(math.MaxInt64)
		for i := range list[:len(list)-1] {
			gap := max(0, list[i+1].since(now).Sub(list[i].since(now)))
			if newest.Sub(list[i+1].since(now)) > settledAfter {
				gap = 0
			}
			if gap < shortest {
				best, shortest = i, gap
			}
		}
		older := list[best]
		list = slices.Delete(slices.Clone(list), best, best+1)
		if older.since(now).Before(list[best].since(now)) {
			older.version = list[best].version
			list[best] = older
		}
	}
	return list
}

// mergedWith returns the version with the earliest sighting and the least uncertainty of
// two records. Both hold together: one VM saw the version that early, and another one
// knows that it was not set much before it was seen.
func (v desiredVersion) mergedWith(other desiredVersion) desiredVersion {
	if other.seen.Before(v.seen) {
		v.seen = other.seen
	}
	v.uncertainty = min(v.uncertainty, other.uncertainty)
	return v
}

// Newest returns the newest desired version of a model and the time from which on the
// limits count. It returns 0 if there is none.
func (h *History) Newest(now time.Time, model string) (version int64, since time.Time) {
	v := h.models[model]
	return v.version, v.since(now)
}

// OldestAllowed returns the newest version that has been desired for longer
// than the limits allow, disruptions not counted. Older versions may not be
// used. It returns 0 if all may be used, and math.MaxInt64 if none may, since the versions
// have not been listed in time.
func (h *History) OldestAllowed(now time.Time, model string, d Disruptions, limits Limits) int64 {
	if limits.MaxSpan <= 0 || model == "" {
		return 0
	}
	if !h.expected.IsZero() && !now.Before(h.expected) {
		return math.MaxInt64
	}
	newest := h.models[model]
	if newest.version > 0 && d.exceeded(newest.since(now), now, limits) {
		return newest.version
	}
	for _, entry := range slices.Backward(newest.earlier) {
		if d.exceeded(entry.since(now), now, limits) {
			return entry.version
		}
	}
	return 0
}

// Ages returns the desired versions that limit the use of weights, with their ages: the
// newest one past its limit, see OldestAllowed, and all later ones. Of many versions only
// some are returned, the newer ones of those set closest together, with an age that is too
// high rather than too low.
func (h *History) Ages(now time.Time, d Disruptions, limits Limits) Ages {
	var ages Ages
	for model, newest := range h.models {
		oldest := h.OldestAllowed(now, model, d, limits)
		var list []desiredVersion
		for _, v := range append(slices.Clone(newest.earlier), newest) {
			if v.version >= oldest {
				list = append(list, v)
			}
		}
		if n := len(list); n > 0 {
			list = append(compact(now, list[:n-1], maxAges-1, list[n-1].since(now)), list[n-1])
		}
		for _, v := range list {
			ages.List = append(ages.List, Age{model, v.version, now.Sub(v.seen.Add(-v.uncertainty)).Milliseconds()})
			if ms := v.uncertainty.Milliseconds(); ms > 0 {
				ages.Uncertain = append(ages.Uncertain, Uncertainty{model, v.version, ms})
			}
		}
	}
	return ages
}
