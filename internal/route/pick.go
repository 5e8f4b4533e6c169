// Package route picks the upstream of a request.
//
// Where a prefix lives is computed, not looked up: rendezvous hashing gives
// each level of the prefix a set of workers, and the set of a longer prefix is
// taken from the set of the shorter one, so that requests that share more text
// share fewer workers. Every node with the same view computes the same sets.
//
// A pick weighs what a worker would have to compute anew against how busy it
// is. A hot prefix therefore widens by itself: once its workers are busy, the
// next ones in the order are cheaper, the same ones on every node.
//
// # Usage
//
//	picker := route.NewPicker(route.PickerOptions{})
//	candidate, found := picker.Pick(route.Request{Chain: chain, Sizes: sizes}, candidates, excluded)
//
// A Picker is immutable and safe for concurrent use.
package route

import (
	"github.com/hibiscuscove/hibiscuscove/internal/prefix"
	"github.com/hibiscuscove/hibiscuscove/internal/upstream"
)

const (
	defaultFirstShare   = 0.15
	defaultNarrowing    = 0.5
	defaultLeastWorkers = 1
	defaultQueueCost    = 1000
	defaultLoadCost     = 3000
)

// PickerOptions sets up a Picker. The zero value works.
type PickerOptions struct {
	// FirstShare is the share of a pool's workers that keep a first-level
	// prefix. The default is 0.15.
	FirstShare float64
	// Narrowing is the share of those kept by each further level. The default is 0.5.
	Narrowing float64
	// LeastWorkers is the least number of workers a level keeps. The default is 1.
	LeastWorkers int
	// QueueCost is how many tokens to compute weigh as much as one request that
	// waits for its first token. The default is 1,000.
	QueueCost float64
	// LoadCost is how many tokens to compute weigh as much as a worker all of
	// whose slots are taken. The default is 3,000.
	LoadCost float64
}

// Request is what a pick depends on.
type Request struct {
	// Chain is the digests of the prefix levels.
	Chain prefix.Chain
	// Sizes are the levels' own sizes in tokens, one for each of Chain.
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
	if opts.LeastWorkers <= 0 {
		opts.LeastWorkers = defaultLeastWorkers
	}
	if opts.QueueCost <= 0 {
		opts.QueueCost = defaultQueueCost
	}
	if opts.LoadCost <= 0 {
		opts.LoadCost = defaultLoadCost
	}
	return &Picker{opts: opts}
}

// ranked is a candidate on its way through the levels.
type ranked struct {
	weight uint64
	at     int
	// missing is the number of tokens that the candidate is expected to compute.
	missing int
}

// Pick returns the candidate for a request. Candidates for which excluded
// returns true are passed over. It returns false if no candidate is left.
func (p *Picker) Pick(r Request, candidates []upstream.Candidate, excluded func(upstream.Candidate) bool) (upstream.Candidate, bool) {
	order := make([]ranked, 0, len(candidates))
	for i := range candidates {
		if excluded == nil || !excluded(candidates[i]) {
			order = append(order, ranked{at: i})
		}
	}
	if len(order) == 0 {
		return upstream.Candidate{}, false
	}
	p.place(r, order, candidates)
	best := order[0]
	bestCost := p.cost(best, candidates)
	for _, o := range order[1:] {
		cost := p.cost(o, candidates)
		if cost < bestCost || cost == bestCost && o.before(best) {
			best, bestCost = o, cost
		}
	}
	return candidates[best.at], true
}

// cost weighs the tokens to compute and the load, in tokens.
func (p *Picker) cost(o ranked, candidates []upstream.Candidate) float64 {
	c := &candidates[o.at]
	queue := p.opts.QueueCost * float64(c.Queued)
	load := p.opts.LoadCost * float64(c.Load) / float64(max(1, c.Slots))
	return float64(o.missing) + queue + load
}

// place parts the candidates by the levels of the prefix, those that keep the
// most of it first, and sets what each is expected to miss.
func (p *Picker) place(r Request, order []ranked, candidates []upstream.Candidate) {
	width := float64(len(order)) * p.opts.FirstShare
	kept := order
	for level := range r.Chain.Len() {
		weigh(kept, candidates, r.Chain.At(level))
		keep := min(len(kept), max(p.opts.LeastWorkers, int(width+0.5)))
		partition(kept, keep)
		missing := r.sizeFrom(level)
		for i := keep; i < len(kept); i++ {
			kept[i].missing = missing
		}
		kept = kept[:keep]
		width *= p.opts.Narrowing
	}
}

// sizeFrom returns the tokens of a level and all after it.
func (r Request) sizeFrom(level int) int {
	total := 0
	for _, size := range r.Sizes[min(level, len(r.Sizes)):] {
		total += size
	}
	return total
}

func weigh(order []ranked, candidates []upstream.Candidate, digest uint64) {
	for i := range order {
		order[i].weight = prefix.Weight(digest, candidates[order[i].at].Hash())
	}
}

// before reports whether a comes before b in a level's order.
func (r ranked) before(other ranked) bool {
	if r.weight != other.weight {
		return r.weight > other.weight
	}
	return r.at < other.at
}

// partition moves the first n of the order to the front, in linear time
// (Hoare: Algorithm 65, Find, 1961). What is on either side has no order.
func partition(order []ranked, n int) {
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
