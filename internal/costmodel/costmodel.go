// Package costmodel estimates when each upstream of a service would send the first
// token for a prompt, and chooses the one with the lowest cost.
//
// # Usage
//
//	model := costmodel.Model{Policy: costmodel.Policy{}.WithDefaults()}
//	candidates := []costmodel.Candidate{{ID: "i-1", IDHash: costmodel.Hash("i-1"), Cached: cached, Pickable: true}}
//	choice, found := model.Choose(now, candidates, costmodel.Prompt{Model: "m", Parts: parts})
//	next := slowdown.With(elapsed, model.Policy.IdleFirstTokenMS, choice.WaitMS)
//
// A Model holds no state between calls. Costs are in milliseconds.
package costmodel

import (
	"cmp"
	"strings"
	"time"

	"github.com/hibiscuscove/hibiscuscove/internal/peerload"
	"github.com/hibiscuscove/hibiscuscove/internal/promptcache"
)

// Penalties for faults, in milliseconds. Each usually ranks an upstream behind
// all those without the fault.
const (
	overConcurrentPenaltyMS = 200
	fullPenaltyMS           = 400
	versionExpiredPenaltyMS = 1_000
	entryExpiredPenaltyMS   = 5_000
	avoidedPenaltyMS        = 20_000
	loadingPenaltyMS        = 50_000
)

// maxAdmissionTokens is the longest missing part of a prompt that counts in
// full in FirstTokenMS, in tokens. Usual long prompts, most of whose shared
// parts are cached, do not exceed it.
const maxAdmissionTokens = 4_500

// homeMissShare is the share of a prompt's shared tokens that its home is
// assumed to miss when nothing is known about them.
const homeMissShare = 0.3

// Candidate is the state of an upstream at the time of a choice.
type Candidate struct {
	ID string
	// IDHash is the Hash of the ID.
	IDHash uint64
	// Pickable reports whether the candidate may be chosen. The others are only
	// sources of cached parts.
	Pickable bool
	// Local reports whether the upstream is in the data centre of this VM.
	Local bool
	Slots int
	// Speed is the learnt speed against the other upstreams of the service, by which waits
	// are divided. Weight is the share of the prompts that have their home here, against
	// that of the others. For both 0 means 1.
	Speed, Weight float64
	// Concurrent is the learnt number of requests up to which a plain upstream does not
	// slow down, or 0 if it is unknown.
	Concurrent int
	// Generation is the generation of the parts in Cached, which must not be nil.
	Generation promptcache.Generation
	Cached     *promptcache.Estimate
	// CacheTokens is the cache size in tokens, or 0 if it is unknown.
	CacheTokens int
	// Load is the load of all VMs. OwnRequests are the requests of this VM in it.
	Load        peerload.Load
	OwnRequests int
	// Avoided, Loading and EntryExpired are the faults that make the upstream a
	// last resort.
	Avoided, Loading, EntryExpired bool
	// Outdated reports that a newer version of the weights is desired, and
	// VersionExpired that the time for which the old one may be used is over.
	Outdated, VersionExpired bool
	// InterferenceMS is a cost for what prefill and the streams that run there do to each
	// other.
	InterferenceMS float64
	// FirstSeen is when the incarnation or its present weights were first seen.
	FirstSeen time.Time
	// rank is the candidate's weight for the home of the prompt in chooseByRank.
	rank uint64
}

func (c *Candidate) healthy() bool { return !c.Avoided && !c.Loading && !c.EntryExpired }

// Prompt describes the request for which an upstream is chosen.
type Prompt struct {
	// Model is empty for a request to a plain service, which has no prompt.
	Model string
	// Parts are the shared parts of the prompt, outermost first.
	Parts []promptcache.Part
	// UnsharedTokens is the number of the prompt's other tokens. OutputTokens
	// is the maximum number of output tokens.
	UnsharedTokens, OutputTokens int
}

// sharedTokens returns the number of tokens in the shared parts.
func (p Prompt) sharedTokens() int {
	shared := 0
	for _, part := range p.Parts {
		shared += part.Tokens
	}
	return shared
}

// Choice is the chosen candidate and the estimates behind the choice.
type Choice struct {
	// ID is the ID of the chosen candidate.
	ID string
	// CostMS is the cost by which the candidate was chosen.
	CostMS float64
	// WaitMS is the estimated prefill time of the waiting prompts and this one, at the
	// learnt speed.
	WaitMS float64
	// FirstTokenMS is the estimated time to the first token: WaitMS, scaled by
	// the slowdown, plus the time on an idle engine. Of a long prompt only
	// maxAdmissionTokens count.
	FirstTokenMS float64
	// MissingTokens is the estimated number of prompt tokens to compute.
	MissingTokens int
	// FreeSlots is the number of further requests that the upstream has slots
	// for. It is negative if the upstream has more requests than slots.
	FreeSlots int
	// SourceID is the ID of the candidate to fetch cached parts from, or empty.
	// FromStore reports that they are to be fetched from the prompt store instead.
	SourceID  string
	FromStore bool
	// Save reports whether the prompt store should get the parts that the upstream
	// computes.
	Save bool
	// Home reports whether the upstream is the prompt's home.
	Home bool
	// Healthy is false if the upstream is a last resort.
	Healthy bool
	// idle reports that no known prompt waits on the upstream.
	idle bool
	// speed is the learnt speed of the candidate.
	speed float64
	// tie orders plain upstreams of equal cost.
	tie uint64
}

// hasSource reports whether the choice names a source of cached parts.
func (c Choice) hasSource() bool { return c.FromStore || c.SourceID != "" }

// betterOf returns the choice with the lower cost. Plain upstreams of equal cost are
// ordered by tie, so that they share the work, engines by ID.
func (c Choice) betterOf(d Choice) Choice {
	if c.ID == "" || cmp.Or(cmp.Compare(d.CostMS, c.CostMS), cmp.Compare(d.tie, c.tie), strings.Compare(d.ID, c.ID)) < 0 {
		return d
	}
	return c
}

// Model holds what a choice depends on beside the candidates and the prompt.
type Model struct {
	// Policy must have its defaults, see Policy.WithDefaults.
	Policy   Policy
	Slowdown Slowdown
	// PartialView reports that the fleet is too large for this VM to know where the
	// others send prompts, so that prompts are placed by rendezvous hashing.
	PartialView bool
	// CopiesEvict reports that the engines' memory has no room for copies of most prompts,
	// so that a fetched part costs as much as a recomputed one: it evicts another one.
	CopiesEvict bool
	// TieKey orders plain upstreams of equal cost. It differs between choices and VMs.
	TieKey uint64
	// StoredTokens returns how many leading tokens of the parts the prompt store has
	// in a generation. It is nil if there is no store or it does not respond.
	StoredTokens func(promptcache.Generation, []promptcache.Part) int
}

// Choose returns the pickable candidate with the lowest cost. It returns false if
// there is none.
func (m Model) Choose(now time.Time, candidates []Candidate, p Prompt) (Choice, bool) {
	var best Choice
	if m.PartialView && len(p.Parts) > 0 && m.Policy.Rule == ByPrompt {
		best = m.chooseByRank(now, candidates, p)
	} else {
		best = m.chooseByCost(now, candidates, p)
	}
	if best.ID == "" {
		return Choice{}, false
	}
	excessMS := float64(max(0, best.MissingTokens-maxAdmissionTokens)) / m.Policy.PrefillTokensPerMS / best.speed
	factor := m.Slowdown.Factor()
	if best.idle {
		// An idle engine has no queue, however late first tokens came
		// elsewhere. The first token of a request sent to it shows when an
		// overload is over.
		factor = 1
	}
	best.FirstTokenMS = m.Policy.IdleFirstTokenMS + factor*(best.WaitMS-excessMS)
	return best, true
}

// chooseByCost compares the costs of the pickable candidates. Cached parts may be
// fetched from all.
func (m Model) chooseByCost(now time.Time, candidates []Candidate, p Prompt) Choice {
	home := homeOf(candidates, p)
	sources := m.sources(now, candidates, p.Parts)
	best := Choice{}
	for i := range candidates {
		if c := &candidates[i]; c.Pickable {
			best = best.betterOf(m.choiceByCost(c, p, c == home, sources))
		}
	}
	return best
}

// choiceByCost returns the choice of a candidate with its cost, for chooseByCost.
func (m Model) choiceByCost(c *Candidate, p Prompt, home bool, sources map[promptcache.Generation]source) Choice {
	choice, faultsMS := m.baseChoice(c)
	choice.Home = home
	if p.Model != "" {
		choice.CostMS += m.engineCost(&choice, c, p, home, sources[c.Generation])
	} else {
		choice.CostMS += m.Policy.PlainMS * c.plainRequests()
		choice.tie = c.uniformWeight(m.TieKey)
		if c.Concurrent > 0 && c.Load.Requests >= c.Concurrent {
			faultsMS += overConcurrentPenaltyMS
		}
	}
	choice.CostMS += faultsMS
	return choice
}

// speed returns Speed with its default.
func (c *Candidate) speed() float64 {
	if c.Speed <= 0 {
		return 1
	}
	return c.Speed
}

// plainRequests returns the number of requests that a plain upstream of usual speed would
// have if it took as long for a further one as this upstream.
func (c *Candidate) plainRequests() float64 {
	return float64(c.Load.Requests+1)/c.speed() - 1
}

// baseChoice returns a choice with the costs that do not depend on the prompt,
// and the penalties of the upstream's faults separately.
func (m Model) baseChoice(c *Candidate) (choice Choice, faultsMS float64) {
	choice = Choice{ID: c.ID, FreeSlots: c.Slots - c.Load.Requests, Healthy: c.healthy(), idle: c.Load.WaitingTokens == 0, speed: c.speed()}
	choice.CostMS += c.InterferenceMS
	if !c.Local {
		choice.CostMS += m.Policy.DistanceMS
	}
	if choice.FreeSlots <= 0 {
		faultsMS += fullPenaltyMS * (1 - float64(choice.FreeSlots)/float64(max(1, c.Slots)))
	}
	for _, fault := range []struct {
		present bool
		cost    float64
	}{
		{c.EntryExpired, entryExpiredPenaltyMS},
		{c.Avoided, avoidedPenaltyMS},
		{c.Loading, loadingPenaltyMS},
	} {
		if fault.present {
			faultsMS += fault.cost
		}
	}
	return choice, faultsMS
}

// engineCost returns the cost of an engine until the first token: the prefill
// of the waiting prompts, then of the missing part of this prompt. It sets the
// estimates of the choice.
func (m Model) engineCost(choice *Choice, c *Candidate, p Prompt, home bool, from source) float64 {
	shared := p.sharedTokens()
	missing := float64(shared - c.Cached.CachedTokens(p.Parts))
	copied := missing
	fetchMS := 0.0
	switch {
	case from.candidate != c && from.tokens > shared-int(missing):
		missing = float64(shared - from.tokens)
		choice.setSource(from)
		fetchMS = m.Policy.FetchMS
	case home && missing == float64(shared):
		missing *= homeMissShare
	}
	if !m.CopiesEvict || home {
		copied = missing
	}
	choice.Save = m.StoredTokens != nil && missing > 0
	choice.MissingTokens = int(missing) + p.UnsharedTokens
	choice.WaitMS = m.waitMS(c, float64(c.Load.WaitingTokens)+missing+float64(p.UnsharedTokens))
	switch m.Policy.Rule {
	case ByRandom:
		return float64(c.uniformWeight(m.TieKey) >> randomCostShift)
	case ByLoad:
		return m.Policy.RunningMS * float64(c.Load.Requests)
	case ByHash:
		if home {
			return 0
		}
		return fullPenaltyMS
	}
	cost := fetchMS + (float64(c.Load.WaitingTokens)+m.Policy.SharedWeight*copied+float64(p.UnsharedTokens))/m.Policy.PrefillTokensPerMS/c.speed()
	return cost + m.contentionCost(choice, c, p, shared)
}

// waitMS returns the time to prefill tokens at a candidate.
func (m Model) waitMS(c *Candidate, tokens float64) float64 {
	return tokens / m.Policy.PrefillTokensPerMS / c.speed()
}

// contentionCost returns the cost of the requests running on the engine, of
// outdated weights and of a full cache. A full cache also adds to choice.WaitMS.
func (m Model) contentionCost(choice *Choice, c *Candidate, p Prompt, shared int) float64 {
	cost := m.Policy.RunningMS * float64(c.Load.Requests)
	if c.Outdated {
		cost += m.Policy.OutdatedMS
	}
	if c.VersionExpired {
		cost += versionExpiredPenaltyMS
	}
	if need := c.Load.Tokens + shared + p.UnsharedTokens + p.OutputTokens; c.CacheTokens > 0 && need > c.CacheTokens {
		penaltyMS := fullPenaltyMS * float64(need) / float64(c.CacheTokens)
		cost += penaltyMS
		choice.WaitMS += penaltyMS
	}
	return cost
}
