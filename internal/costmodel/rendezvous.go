package costmodel

import (
	"cmp"
	"math"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hibiscuscove/hibiscuscove/internal/promptcache"
)

// This file chooses an engine when the VM has only a partial view of the fleet.
// The VM then cannot know to which engine the others sent a prompt, and the
// engines' caches are too small for a copy of each prompt in every data centre.
// All VMs therefore compute the home of a prompt by rendezvous hashing, and the
// same order of other engines for when the home is busy. Every engine gets its
// share of the prompts, whatever the version of its weights. Otherwise the first
// engines with a new version would be overloaded by VMs that do not see each
// other's requests.

const (
	// rendezvousCandidates is the number of engines, the home included, that
	// are considered for a prompt before any other.
	rendezvousCandidates = 4
	// rendezvousHomeMissShare is the share of a prompt's shared tokens that its
	// home is assumed not to have cached, since the home evicts parts now and
	// then.
	rendezvousHomeMissShare = 0.25
	// warmUpTime is how long an engine needs until it has cached most of its
	// prompts, after a start or a change of weights.
	warmUpTime = 4 * time.Second
	// rankPenaltyMS is added for each rank after the home, so that VMs prefer
	// the other engines in the same order.
	rankPenaltyMS = 15
)

// Hash returns the hash of an upstream's ID for Candidate.IDHash.
func Hash(id string) uint64 { return xxhash.Sum64String(id) }

// rendezvousWeight returns the candidate's rank for the home of a prompt with this key,
// the largest of which is the home. With a Weight of w it is as if the largest of w ranks
// counted, so the candidate is the home of w times as many prompts. Ranks of candidates
// without a Weight do not depend on the others.
func (c *Candidate) rendezvousWeight(key uint64) uint64 {
	x := c.uniformWeight(key)
	if c.Weight <= 0 || c.Weight == 1 {
		return x
	}
	const span = 1 << 64
	weighted := math.Pow((float64(x)+0.5)/span, 1/c.Weight) * span
	if weighted >= span {
		return math.MaxUint64
	}
	return uint64(weighted)
}

// uniformWeight mixes the hashes of the prompt and the upstream with the finalizer of
// SplitMix64.
func (c *Candidate) uniformWeight(key uint64) uint64 {
	x := key ^ c.IDHash
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// key returns the hash of the innermost shared part, which determines the prompt's
// home.
func (p Prompt) key() uint64 { return xxhash.Sum64String(p.Parts[len(p.Parts)-1].ID) }

// homeOf returns the prompt's home: the pickable candidate chosen by rendezvous
// hashing of the innermost shared part. VMs without any other information choose the
// same one. It returns nil if there is none or no part is shared.
func homeOf(candidates []Candidate, p Prompt) *Candidate {
	if len(p.Parts) == 0 {
		return nil
	}
	key := p.key()
	var home *Candidate
	for i := range candidates {
		c := &candidates[i]
		if !c.Pickable {
			continue
		}
		c.rank = c.rendezvousWeight(key)
		if home == nil || cmp.Or(cmp.Compare(c.rank, home.rank), strings.Compare(c.ID, home.ID)) > 0 {
			home = c
		}
	}
	return home
}

// chooseByRank returns the prompt's home among the pickable candidates, or another one
// if the home is busy. Cached parts may be fetched from all candidates.
func (m Model) chooseByRank(now time.Time, candidates []Candidate, p Prompt) Choice {
	key := p.key()
	byRank := func(a, b *Candidate) int { return cmp.Compare(b.rank, a.rank) }
	ranked := make([]*Candidate, 0, rendezvousCandidates+1)
	sources := make(map[promptcache.Generation]*rendezvousSources)
	for i := range candidates {
		c := &candidates[i]
		c.rank = c.rendezvousWeight(key)
		s := sources[c.Generation]
		if s == nil {
			s = &rendezvousSources{stored: m.storeSource(c.Generation, p.Parts)}
			sources[c.Generation] = s
		}
		if c.Avoided || c.EntryExpired {
			continue
		}
		// An engine that is about to change its weights can still serve as a
		// source.
		s.add(c, byRank)
		if c.Loading || !c.Pickable {
			continue
		}
		if rank, _ := slices.BinarySearchFunc(ranked, c, byRank); rank < rendezvousCandidates {
			ranked = slices.Insert(ranked, rank, c)
			ranked = ranked[:min(rendezvousCandidates, len(ranked))]
		}
	}
	best := Choice{}
	for rank, c := range ranked {
		best = best.betterOf(m.choiceByRank(now, c, p, rank, sources[c.Generation]))
	}
	// The remaining engines would have to recompute more. They are considered
	// only if even the best candidate is unhealthy or full.
	if !best.Healthy || best.FreeSlots <= 0 {
		for i := range candidates {
			if c := &candidates[i]; c.Pickable && !slices.Contains(ranked, c) {
				best = best.betterOf(m.choiceByRank(now, c, p, rendezvousCandidates, sources[c.Generation]))
			}
		}
	}
	return best
}

// rendezvousSources holds the engines and the store that most likely have a
// prompt cached for one generation.
type rendezvousSources struct {
	// first and second are the highest ranked engines for the prompt.
	first, second *Candidate
	// stored is the prompt store, with the tokens of the prompt that it has.
	stored source
}

// add makes c one of the two engines if it ranks high enough.
func (s *rendezvousSources) add(c *Candidate, byRank func(a, b *Candidate) int) {
	switch {
	case s.first == nil || byRank(c, s.first) < 0:
		s.first, s.second = c, s.first
	case s.second == nil || byRank(c, s.second) < 0:
		s.second = c
	}
}

// without returns the higher ranked of the two engines that is not c, or nil.
func (s *rendezvousSources) without(c *Candidate) *Candidate {
	if s.first == c {
		return s.second
	}
	return s.first
}

// choiceByRank returns the choice of an engine with its cost. The rank is 0 for the
// prompt's home.
func (m Model) choiceByRank(now time.Time, c *Candidate, p Prompt, rank int, sources *rendezvousSources) Choice {
	choice, faultsMS := m.baseChoice(c)
	shared := p.sharedTokens()
	missing := float64(shared)
	choice.Home = rank == 0
	if choice.Home {
		missing *= rendezvousHomeMissShare
	}
	other := sources.without(c)
	switch {
	case sources.stored.tokens > 0 && sources.first == c:
		choice.setSource(sources.stored)
	case other != nil:
		choice.setSource(source{candidate: other})
	}
	choice.Save = m.StoredTokens != nil && sources.stored.tokens < shared
	toCompute := missing
	switch {
	case choice.Home && sources.first == c:
		// Only the home can have the prompt cached, and the home may still be
		// warming up.
		toCompute = max(toCompute, float64(shared)*(1-float64(now.Sub(c.FirstSeen))/float64(warmUpTime)))
	case choice.hasSource():
		// A fetched prompt need not be recomputed, but its copy evicts other
		// parts from the cache.
		toCompute = rendezvousHomeMissShare * float64(shared)
		choice.CostMS += m.Policy.FetchMS
	}
	choice.MissingTokens = int(toCompute) + p.UnsharedTokens
	choice.WaitMS = m.waitMS(c, float64(c.Load.WaitingTokens)+toCompute+float64(p.UnsharedTokens))
	// Under overload, recomputing delays all requests, so shared tokens weigh
	// more and prompts stay on their home.
	weighted := m.Policy.SharedWeight * m.Slowdown.Factor() * missing
	choice.CostMS += (float64(c.Load.WaitingTokens)+weighted+float64(p.UnsharedTokens))/m.Policy.PrefillTokensPerMS/c.speed() + rankPenaltyMS*float64(rank)
	choice.CostMS += m.contentionCost(&choice, c, p, shared) + faultsMS
	return choice
}
