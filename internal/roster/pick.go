package roster

import (
	"slices"
	"time"

	"github.com/hibiscuscove/hibiscuscove/internal/costmodel"
	"github.com/hibiscuscove/hibiscuscove/internal/peerload"
	"github.com/hibiscuscove/hibiscuscove/internal/promptcache"
)

// Query describes the request for which an upstream is needed.
type Query struct {
	Service string
	// Parts are the shared parts of the prompt, outermost first.
	Parts []Part
	// UnsharedTokens is the number of the prompt's other tokens. OutputTokens
	// is the maximum number of output tokens.
	UnsharedTokens, OutputTokens int
	Model                        string
	// Exclude lists the IDs of upstreams that have been attempted already.
	Exclude []string
	// Allow reports whether an upstream may be picked. Nil allows all.
	Allow func(Upstream) bool
	// Build restricts the pick to upstreams of this build, for a stream that one of
	// them began. Nil allows all. Upstreams of an unknown build are of no build.
	Build *string
}

// leavingHold is how long after this VM learned that an upstream leaves a begun stream
// may still be sent to it. It is shorter than the time for which leaving upstreams
// serve, since this VM may have learned late.
const leavingHold = time.Second

// hasBuild reports whether the upstream has the build that the query asks for.
func (q Query) hasBuild(u Upstream) bool {
	return q.Build == nil || u.Build != "" && u.Build == *q.Build
}

// Choice is the picked upstream and the estimates behind the pick.
type Choice struct {
	Upstream Upstream
	// CostMS is the cost by which the upstream was picked, in milliseconds.
	CostMS float64
	// WaitMS is the estimated prefill time of the waiting prompts and this one, at the
	// learnt speed of the upstream.
	WaitMS float64
	// FirstTokenMS is the estimated time to the first token: WaitMS, scaled by
	// the recent slowdown of first tokens, plus the time on an idle engine. Of
	// a long prompt only a limited number of missing tokens counts, so that it is admitted or
	// rejected by the queue it meets; the longest prompts would be late on any
	// engine.
	FirstTokenMS float64
	// MissingTokens is the estimated number of prompt tokens to compute.
	MissingTokens int
	// FreeSlots is the number of further requests that the upstream has slots
	// for. It is negative if the upstream has more requests than slots.
	FreeSlots int
	// Candidates is the number of upstreams considered.
	Candidates int
	// Source is the engine or store to fetch cached parts from. Its ID is empty
	// if none has more of the prompt than the upstream.
	Source Upstream
	// SaveTo is the address of the prompt store if it should get the parts that
	// the upstream computes, otherwise empty.
	SaveTo string
	// Home reports whether the upstream is the prompt's home: the upstream
	// chosen by rendezvous hashing, to which all VMs send the prompt if they can.
	Home bool
	// Healthy is false if the upstream is a last resort: avoided, with an
	// expired entry, or loading weights.
	Healthy bool
	// Lease is the lease that a dispatcher was asked for, see package dispatch, and 0 if none
	// was asked.
	Lease uint64
}

// FirstToken returns FirstTokenMS as a duration.
func (c Choice) FirstToken() time.Duration {
	return time.Duration(c.FirstTokenMS * float64(time.Millisecond))
}

// Pick returns the upstream with the lowest cost for the request. It returns
// false if no upstream is allowed. With Query.Build it picks an upstream that left
// less than leavingHold ago if there is no other one of that build.
func (t *Table) Pick(now time.Time, q Query) (Choice, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.peers.Expire(now)
	candidates, allowed := t.listCandidates(now, q)
	if allowed == 0 {
		return Choice{}, false
	}
	t.picks++
	model := costmodel.Model{
		Policy: t.opts.Policy, Slowdown: t.slowdown, PartialView: t.partialView, TieKey: t.opts.Seed + t.picks,
		StoredTokens: t.storedTokens(now),
	}
	prompt := costmodel.Prompt{Model: q.Model, Parts: q.Parts, UnsharedTokens: q.UnsharedTokens, OutputTokens: q.OutputTokens}
	best, found := model.Choose(now, candidates, prompt)
	if !found {
		return Choice{}, false
	}
	choice := Choice{
		Upstream: t.members[best.ID].upstream, CostMS: best.CostMS, WaitMS: best.WaitMS, FirstTokenMS: best.FirstTokenMS,
		MissingTokens: best.MissingTokens, FreeSlots: best.FreeSlots, Candidates: allowed, Home: best.Home, Healthy: best.Healthy,
	}
	if best.Save {
		choice.SaveTo = t.promptStore.upstream.Address
	}
	switch {
	case best.FromStore:
		choice.Source = t.promptStore.upstream
	case best.SourceID != "":
		choice.Source = t.members[best.SourceID].upstream
	}
	return choice, true
}

// listCandidates returns the upstreams that may serve the request or that cached parts
// may be fetched from, and the number of those that may serve it. The list is valid
// until the next call.
func (t *Table) listCandidates(now time.Time, q Query) ([]costmodel.Candidate, int) {
	list := t.candidates[:0]
	var leaving []costmodel.Candidate
	allowed := 0
	oldestAllowed := t.desired.OldestAllowed(now, q.Model, t.disruptions, t.opts.VersionLimits)
	for _, m := range t.members {
		u := m.upstream
		if u.Service != q.Service || u.Version < oldestAllowed || slices.Contains(q.Exclude, u.ID) {
			continue
		}
		pickable := q.hasBuild(u) && (q.Allow == nil || q.Allow(u))
		switch {
		case !u.Leaving:
			list = append(list, t.candidate(now, m, pickable))
			if pickable {
				allowed++
			}
		case pickable && q.Build != nil && within(now, m.leavingSince, leavingHold):
			leaving = append(leaving, t.candidate(now, m, true))
		}
	}
	if allowed == 0 {
		list, allowed = append(list, leaving...), len(leaving)
	}
	t.candidates = list
	return list, allowed
}

// candidate returns the present state of an upstream for the cost model.
func (t *Table) candidate(now time.Time, m *member, pickable bool) costmodel.Candidate {
	u := m.upstream
	newest, since := t.desired.Newest(now, u.Model)
	limit := t.opts.VersionLimits.MaxSpan
	return costmodel.Candidate{
		ID: u.ID, IDHash: m.idHash, Pickable: pickable, Local: u.DataCentre == t.opts.DataCentre, Slots: u.Slots,
		Speed: m.capacity.Speed, Weight: m.capacity.Weight, Concurrent: m.capacity.Concurrent,
		Generation: u.Generation(), Cached: m.cached, CacheTokens: t.cacheTokens[u.Service],
		Load: t.memberLoad(m), OwnRequests: m.ownLoad.Requests,
		Avoided: t.isAvoided(now, m), Loading: m.loading.Active(now), EntryExpired: !m.entryExpiredAt.IsZero(),
		Outdated: u.Version < newest, VersionExpired: u.Version < newest && limit > 0 && now.Sub(since) > limit,
		FirstSeen: m.firstSeen,
	}
}

// isAvoided reports whether the upstream could not be reached lately by this VM
// or by several peers. The reports of peers do not count if the
// upstream has responded to this VM within peerload.TTL.
func (t *Table) isAvoided(now time.Time, m *member) bool {
	return m.reach.Avoided(now) || t.peers.Unreachable(m.upstream.ID) && !m.reach.RespondedWithin(now, peerload.TTL)
}

// storedTokens returns what costmodel.Model.StoredTokens is to be.
func (t *Table) storedTokens(now time.Time) func(promptcache.Generation, []Part) int {
	if t.promptStore == nil || !t.promptStore.parts.Up() {
		return nil
	}
	return func(g promptcache.Generation, parts []Part) int {
		return t.promptStore.parts.ReadyTokens(now, g, parts)
	}
}
