// Package placement picks the upstream for a request to the router's own API.
// For host-and-path traffic, package roster does.
//
// The upstreams that cache a prefix, called workers here, are computed, not
// looked up: rendezvous hashing selects a set of workers for each level of the
// prefix. The set of a longer prefix is a subset of the set of the shorter one,
// so requests that share more text share fewer workers. All nodes with the same view compute the
// same sets.
//
// The cost of a worker is the number of tokens that it would have to compute,
// plus a cost of its load. A hot prefix therefore spreads without coordination:
// when its workers are busy, the next ones in the order cost less, and these
// are the same on every node.
//
// # Usage
//
//	picker := placement.NewPicker(placement.PickerOptions{})
//	candidate, found := picker.Pick(placement.Request{Chain: chain, Sizes: sizes}, candidates, excluded)
//
// A Picker is immutable and safe for concurrent use.
package placement

import (
	"github.com/hibiscuscove/hibiscuscove/internal/prefix"
	"github.com/hibiscuscove/hibiscuscove/internal/upstream"
)

const (
	defaultFirstShare = 0.15
	defaultNarrowing  = 0.5
	defaultMinWorkers = 1
	defaultQueueCost  = 1000
	defaultLoadCost   = 3000
)

// PickerOptions configures a Picker. Fields that are zero get their defaults.
type PickerOptions struct {
	// FirstShare is the share of a pool's workers that cache a first-level
	// prefix. The default is 0.15.
	FirstShare float64
	// Narrowing is the share of those workers that remains at each further
	// level. The default is 0.5.
	Narrowing float64
	// MinWorkers is the minimum number of workers of a level. The default is 1.
	MinWorkers int
	// QueueCost is the cost of one request that waits for its first token, in
	// tokens to compute. The default is 1,000.
	QueueCost float64
	// LoadCost is the cost of a worker with all slots in use, in tokens to
	// compute. The default is 3,000.
	LoadCost float64
}

// Request holds the prompt prefix of the request to place.
type Request struct {
	// Chain holds the digests of the prefix levels.
	Chain prefix.Chain
	// Sizes are the sizes of the levels in tokens, one for each digest of
	// Chain. A level's size does not include the levels before it.
	Sizes []int
}

// Picker picks upstreams by prefix and load.
type Picker struct {
	opts PickerOptions
}

// NewPicker returns a Picker.
func NewPicker(opts PickerOptions) *Picker {
	if opts.FirstShare <= 0 {
		opts.FirstShare = defaultFirstShare
	}
	if opts.Narrowing <= 0 {
		opts.Narrowing = defaultNarrowing
	}
	if opts.MinWorkers <= 0 {
		opts.MinWorkers = defaultMinWorkers
	}
	if opts.QueueCost <= 0 {
		opts.QueueCost = defaultQueueCost
	}
	if opts.LoadCost <= 0 {
		opts.LoadCost = defaultLoadCost
	}
	return &Picker{opts: opts}
}

// rankedCandidate is a candidate with its rendezvous weight at the current
// level.
type rankedCandidate struct {
	weight uint64
	index  int
	// missing is the estimated number of prefix tokens to compute.
	missing int
}

// Pick returns the candidate with the lowest cost for a request. Candidates for
// which excluded returns true are skipped. It returns false if no candidate is
// left.
func (p *Picker) Pick(r Request, candidates []upstream.Candidate, excluded func(upstream.Candidate) bool) (upstream.Candidate, bool) {
	order := make([]rankedCandidate, 0, len(candidates))
	for i := range candidates {
		if excluded == nil || !excluded(candidates[i]) {
			order = append(order, rankedCandidate{index: i})
		}
	}
	if len(order) == 0 {
		return upstream.Candidate{}, false
	}
	p.rankByPrefix(r, order, candidates)
	best := order[0]
	bestCost := p.cost(best, candidates)
	for _, o := range order[1:] {
		cost := p.cost(o, candidates)
		if cost < bestCost || cost == bestCost && o.before(best) {
			best, bestCost = o, cost
		}
	}
	return candidates[best.index], true
}

// cost returns the cost of a candidate in tokens to compute.
func (p *Picker) cost(o rankedCandidate, candidates []upstream.Candidate) float64 {
	c := &candidates[o.index]
	queue := p.opts.QueueCost * float64(c.Queued)
	load := p.opts.LoadCost * float64(c.Load) / float64(max(1, c.Slots))
	return float64(o.missing) + queue + load
}

// rankByPrefix narrows the candidates level by level to those that cache the
// prefix, and sets the missing tokens of the others. It reorders the candidates:
// those with the longest cached prefix come first.
func (p *Picker) rankByPrefix(r Request, order []rankedCandidate, candidates []upstream.Candidate) {
	width := float64(len(order)) * p.opts.FirstShare
	remaining := order
	for level := range r.Chain.Len() {
		setWeights(remaining, candidates, r.Chain.At(level))
		count := min(len(remaining), max(p.opts.MinWorkers, int(width+0.5)))
		partition(remaining, count)
		missing := r.tokensFrom(level)
		for i := count; i < len(remaining); i++ {
			remaining[i].missing = missing
		}
		remaining = remaining[:count]
		width *= p.opts.Narrowing
	}
}

// tokensFrom returns the number of tokens of a level and all later ones.
func (r Request) tokensFrom(level int) int {
	total := 0
	for _, size := range r.Sizes[min(level, len(r.Sizes)):] {
		total += size
	}
	return total
}

// setWeights sets the rendezvous weights for the digest of a level.
func setWeights(order []rankedCandidate, candidates []upstream.Candidate, digest uint64) {
	for i := range order {
		order[i].weight = prefix.Weight(digest, candidates[order[i].index].Hash())
	}
}

// before reports whether r precedes other in the order of a level.
func (r rankedCandidate) before(other rankedCandidate) bool {
	if r.weight != other.weight {
		return r.weight > other.weight
	}
	return r.index < other.index
}

// partition moves the first n candidates of the order to the front, in linear
// time (Hoare: Algorithm 65, Find, 1961). Neither side is sorted.
func partition(order []rankedCandidate, n int) {
	from, to := 0, len(order)-1
	for from < to {
		pivot := order[(from+to)/2]
		i, j := from, to
		for i <= j {
			for order[i].before(pivot) {
				i++
			}
			for pivot.before(order[j]) {
				j--
			}
			if i <= j {
				order[i], order[j] = order[j], order[i]
				i++
				j--
			}
		}
		switch {
		case n <= j:
			to = j
		case n >= i:
			from = i
		default:
			return
		}
	}
}
