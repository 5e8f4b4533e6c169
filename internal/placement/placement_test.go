package placement_test

import (
	"container/list"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/hibiscuscove/hibiscuscove/internal/contract"
	"github.com/hibiscuscove/hibiscuscove/internal/placement"
	"github.com/hibiscuscove/hibiscuscove/internal/prefix"
	"github.com/hibiscuscove/hibiscuscove/internal/upstream"
)

// profile is the size of a deployment and its traffic. Prompt prefixes nest in
// three levels. standards, members and lots are the numbers of different texts
// at each level; standard, member, lot and question are sizes of texts. Times
// are in seconds, sizes and the cache in tokens.
type profile struct {
	workers, organisations                  int
	standards, members, lots                int
	standard, member, lot, question         int
	requests                                int
	rate, prefillRate, tokenTime, hotPeriod float64
	outputTokens, slots, cache              int
}

var profiles = map[string]profile{
	"association": {
		workers: 20, organisations: 8, standards: 3, members: 6, lots: 10,
		standard: 6000, member: 1500, lot: 1000, question: 200,
		requests: 12000, rate: 36, prefillRate: 12000, tokenTime: 0.02, hotPeriod: 60,
		outputTokens: 100, slots: 16, cache: 60000,
	},
	"plegado": {
		workers: 12, organisations: 8, standards: 2, members: 4, lots: 12,
		standard: 9000, member: 2500, lot: 800, question: 150,
		requests: 12000, rate: 20, prefillRate: 12000, tokenTime: 0.02, hotPeriod: 45,
		outputTokens: 80, slots: 16, cache: 80000,
	},
}

const (
	nodes          = 9
	reportInterval = 0.5 // seconds
	traceSeed      = 20261204
	hotShare       = 0.6 // share of requests for a hot prefix
)

// arrival is one request of a trace. It arrives at a time in seconds at a node.
type arrival struct {
	at       float64
	node     int
	chain    prefix.Chain
	sizes    []int
	question int
}

// newTrace generates requests whose prefixes nest in three levels. A few
// prefixes are hot, and the hot ones change abruptly.
func newTrace(p profile) []arrival {
	rng := rand.New(rand.NewPCG(traceSeed, uint64(p.workers)))
	var trace []arrival
	at := 0.0
	hot := [3]int{}
	nextShift := 0.0
	for range p.requests {
		at += rng.ExpFloat64() / p.rate
		if at >= nextShift {
			hot = [3]int{rng.IntN(p.standards), rng.IntN(p.members), rng.IntN(p.lots)}
			nextShift = at + p.hotPeriod
		}
		organisation := int(float64(p.organisations) * math.Pow(rng.Float64(), 2))
		s, m, l := rng.IntN(p.standards), rng.IntN(p.members), rng.IntN(p.lots)
		if rng.Float64() < hotShare {
			organisation, s, m = organisation%2, hot[0], hot[1]
			if rng.Float64() < hotShare {
				l = hot[2]
			}
		}
		salt := prefix.Salt{Organisation: fmt.Sprint(organisation), Model: "m", WeightsVersion: "v"}
		levels := [][]byte{fmt.Append(nil, "s", s), fmt.Append(nil, "m", m), fmt.Append(nil, "l", l)}
		trace = append(trace, arrival{
			at: at, node: rng.IntN(nodes), chain: prefix.NewChain(salt, levels),
			sizes: []int{p.standard, p.member, p.lot}, question: p.question,
		})
	}
	return trace
}

// worker simulates an engine: an LRU cache of prefix levels, one prefill at a
// time, and slots for responses.
type worker struct {
	p               profile
	order           *list.List
	cached          map[uint64]*list.Element
	usedTokens      int
	prefillFreeAt   float64
	slots           []float64
	finishTimes     []float64
	firstTokenTimes []float64
	downUntil       float64
	busy            float64
}

// block is the cached text of one prefix level.
type block struct {
	digest uint64
	size   int
}

func newWorker(p profile) *worker {
	return &worker{p: p, order: list.New(), cached: make(map[uint64]*list.Element), slots: make([]float64, p.slots)}
}

// crash clears the cache and makes the worker unavailable for a second.
func (w *worker) crash(now float64) {
	w.order.Init()
	clear(w.cached)
	w.usedTokens = 0
	w.downUntil = now + 1
}

// missing returns the number of tokens that the worker would have to compute.
func (w *worker) missing(a arrival) int {
	for i := len(a.sizes) - 1; i >= 0; i-- {
		if w.cached[a.chain.At(i)] != nil {
			return sum(a.sizes[i+1:]) + a.question
		}
	}
	return sum(a.sizes) + a.question
}

func sum(list []int) int {
	total := 0
	for _, n := range list {
		total += n
	}
	return total
}

// cachePrefix adds the levels of a prefix to the cache and evicts the oldest
// levels if the cache is full.
func (w *worker) cachePrefix(a arrival) {
	for i := range a.sizes {
		digest := a.chain.At(i)
		if e := w.cached[digest]; e != nil {
			w.order.MoveToFront(e)
			continue
		}
		w.cached[digest] = w.order.PushFront(block{digest, a.sizes[i]})
		w.usedTokens += a.sizes[i]
	}
	for w.usedTokens > w.p.cache {
		oldest := w.order.Back()
		b := w.order.Remove(oldest).(block)
		delete(w.cached, b.digest)
		w.usedTokens -= b.size
	}
}

// wait returns the time until the first token if the request were sent to the
// worker on its arrival.
func (w *worker) wait(a arrival) float64 {
	start := max(a.at, slices.Min(w.slots), w.prefillFreeAt)
	return start - a.at + float64(w.missing(a))/w.p.prefillRate
}

// process adds a request to the worker. It returns the time until the first
// token and the number of computed tokens.
func (w *worker) process(a arrival) (firstToken float64, missing int) {
	missing = w.missing(a)
	firstToken = w.wait(a)
	w.busy += float64(missing) / w.p.prefillRate
	w.prefillFreeAt = a.at + firstToken
	slot := 0
	for i := range w.slots {
		if w.slots[i] < w.slots[slot] {
			slot = i
		}
	}
	w.slots[slot] = w.prefillFreeAt + float64(w.p.outputTokens)*w.p.tokenTime
	w.finishTimes = append(w.finishTimes, w.slots[slot])
	w.firstTokenTimes = append(w.firstTokenTimes, w.prefillFreeAt)
	w.cachePrefix(a)
	return firstToken, missing
}

// queued returns the number of requests that wait for their first token.
func (w *worker) queued(now float64) int {
	w.firstTokenTimes = laterThan(w.firstTokenTimes, now)
	return len(w.firstTokenTimes)
}

// laterThan removes the times that have passed.
func laterThan(times []float64, now float64) []float64 {
	return slices.DeleteFunc(times, func(f float64) bool { return f <= now })
}

// load returns the number of unfinished requests.
func (w *worker) load(now float64) int {
	w.finishTimes = laterThan(w.finishTimes, now)
	return len(w.finishTimes)
}

// policy picks a worker by name. Only the oracle uses the state of the workers.
type policy func(a arrival, view []upstream.Candidate, workers []*worker) string

// policies returns constructors of the compared policies by name.
func policies() map[string]func() policy {
	return map[string]func() policy{
		"random": func() policy {
			rng := rand.New(rand.NewPCG(traceSeed, 1))
			return func(_ arrival, view []upstream.Candidate, _ []*worker) string { return view[rng.IntN(len(view))].Name }
		},
		"round_robin": func() policy {
			next := make([]int, nodes)
			return func(a arrival, view []upstream.Candidate, _ []*worker) string {
				next[a.node]++
				return view[(next[a.node]+a.node)%len(view)].Name
			}
		},
		"least_loaded": func() policy {
			rng := rand.New(rand.NewPCG(traceSeed, 2))
			return func(_ arrival, view []upstream.Candidate, _ []*worker) string {
				first := rng.IntN(len(view))
				best := view[first]
				for i := range view {
					if c := view[(first+i)%len(view)]; c.Load < best.Load {
						best = c
					}
				}
				return best.Name
			}
		},
		"hash_whole": func() policy { return hashLevel(2) },
		"hash_first": func() policy { return hashLevel(0) },
		"ours":       func() policy { return pickerPolicy(placement.PickerOptions{}) },
		"oracle": func() policy {
			return func(a arrival, view []upstream.Candidate, workers []*worker) string {
				best, bestWait := 0, math.Inf(1)
				for i, c := range view {
					if wait := workers[workerIndex(c.Name)].wait(a); wait < bestWait {
						best, bestWait = i, wait
					}
				}
				return view[best].Name
			}
		},
	}
}

// pickerPolicy returns a policy that uses a placement.Picker.
func pickerPolicy(opts placement.PickerOptions) policy {
	picker := placement.NewPicker(opts)
	return func(a arrival, view []upstream.Candidate, _ []*worker) string {
		c, _ := picker.Pick(placement.Request{Chain: a.chain, Sizes: a.sizes}, view, nil)
		return c.Name
	}
}

// hashLevel returns a policy that picks by the digest of one prefix level only.
func hashLevel(level int) policy {
	return func(a arrival, view []upstream.Candidate, _ []*worker) string {
		best, weight := 0, uint64(0)
		for i, c := range view {
			if w := prefix.Weight(a.chain.At(level), prefix.Hash(c.Name)); w >= weight {
				best, weight = i, w
			}
		}
		return view[best].Name
	}
}

func workerName(i int) string { return fmt.Sprintf("worker-%02d", i) }

func workerIndex(name string) int {
	var i int
	_, _ = fmt.Sscanf(name, "worker-%d", &i)
	return i
}

// result holds the metrics of a policy on a trace.
type result struct {
	// p50 and p99 are times to the first token in milliseconds.
	hitRate, p50, p99, spread float64
	// wasted is the number of tokens computed although another worker had them
	// cached.
	wasted int
}

// ownRequests are the times of the first tokens and of the ends of a node's own
// requests on a worker.
type ownRequests struct {
	firstTokenTimes, finishTimes []float64
}

// after returns the requests without the times that have passed.
func (o ownRequests) after(now float64) ownRequests {
	return ownRequests{laterThan(o.firstTokenTimes, now), laterThan(o.finishTimes, now)}
}

// simulate runs a trace under a policy. The loads of the workers are reported
// with a delay, and each node adds its own requests. Halfway one node restarts
// and loses the record of its requests, and one worker crashes.
func simulate(p profile, trace []arrival, pick policy) result {
	workers := make([]*worker, p.workers)
	for i := range workers {
		workers[i] = newWorker(p)
	}
	own := make([][]ownRequests, nodes)
	for i := range own {
		own[i] = make([]ownRequests, p.workers)
	}
	reported := make([]upstream.Candidate, p.workers)
	nextReport := 0.0
	var times []float64
	var r result
	prefixTokens, hits := 0, 0
	for n, a := range trace {
		for ; a.at >= nextReport; nextReport += reportInterval {
			for i, w := range workers {
				reported[i] = upstream.Candidate{Load: w.load(nextReport), Queued: w.queued(nextReport)}
			}
		}
		if n == len(trace)/2 {
			workers[3].crash(a.at)
			own[0] = make([]ownRequests, p.workers)
		}
		var view []upstream.Candidate
		for i, w := range workers {
			mine := own[a.node][i].after(a.at)
			own[a.node][i] = mine
			if a.at >= w.downUntil {
				view = append(view, upstream.Candidate{
					Upstream: contract.Upstream{Name: workerName(i)},
					Load:     max(reported[i].Load, len(mine.finishTimes)),
					Queued:   max(reported[i].Queued, len(mine.firstTokenTimes)),
					Slots:    p.slots,
				})
			}
		}
		i := workerIndex(pick(a, view, workers))
		minMissing := math.MaxInt
		for _, w := range workers {
			minMissing = min(minMissing, w.missing(a))
		}
		firstToken, missing := workers[i].process(a)
		mine := &own[a.node][i]
		mine.firstTokenTimes = append(mine.firstTokenTimes, a.at+firstToken)
		mine.finishTimes = append(mine.finishTimes, a.at+firstToken+float64(p.outputTokens)*p.tokenTime)
		r.wasted += missing - minMissing
		prefixTokens += sum(a.sizes)
		hits += sum(a.sizes) + a.question - missing
		times = append(times, firstToken)
	}
	slices.Sort(times)
	r.hitRate = float64(hits) / float64(prefixTokens)
	r.p50 = times[len(times)/2] * 1e3
	r.p99 = times[len(times)*99/100] * 1e3
	r.spread = loadSpread(workers)
	return r
}

// loadSpread returns the ratio of the busiest worker's prefill time to the mean.
func loadSpread(workers []*worker) float64 {
	maximum, total := 0.0, 0.0
	for _, w := range workers {
		maximum = max(maximum, w.busy)
		total += w.busy
	}
	return maximum / (total / float64(len(workers)))
}

// BenchmarkPlacement runs the same trace under each policy.
func BenchmarkPlacement(b *testing.B) {
	for _, name := range []string{"association", "plegado"} {
		trace := newTrace(profiles[name])
		for _, pol := range []string{"random", "round_robin", "least_loaded", "hash_whole", "hash_first", "ours", "oracle"} {
			b.Run(name+"/"+pol, func(b *testing.B) {
				var r result
				for b.Loop() {
					r = simulate(profiles[name], trace, policies()[pol]())
				}
				b.ReportMetric(100*r.hitRate, "hit_rate")
				b.ReportMetric(r.p50, "ttft_p50_ms")
				b.ReportMetric(r.p99, "ttft_p99_ms")
				b.ReportMetric(float64(r.wasted), "wasted_tokens")
				b.ReportMetric(r.spread, "load_spread")
			})
		}
	}
}
