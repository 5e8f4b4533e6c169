package route_test

import (
	"container/list"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/hibiscuscove/hibiscuscove/internal/contract"
	"github.com/hibiscuscove/hibiscuscove/internal/prefix"
	"github.com/hibiscuscove/hibiscuscove/internal/route"
	"github.com/hibiscuscove/hibiscuscove/internal/upstream"
)

// profile is the size of a deployment and its traffic. Times are in seconds.
type profile struct {
	workers, organisations            int
	standards, members, lots          int
	standard, member, lot, question   int
	requests                          int
	rate, prefill, tokenTime, hotTime float64
	answer, slots, cache              int
}

var profiles = map[string]profile{
	"association": {
		workers: 20, organisations: 8, standards: 3, members: 6, lots: 10,
		standard: 6000, member: 1500, lot: 1000, question: 200,
		requests: 12000, rate: 36, prefill: 12000, tokenTime: 0.02, hotTime: 60,
		answer: 100, slots: 16, cache: 60000,
	},
	"plegado": {
		workers: 12, organisations: 8, standards: 2, members: 4, lots: 12,
		standard: 9000, member: 2500, lot: 800, question: 150,
		requests: 12000, rate: 20, prefill: 12000, tokenTime: 0.02, hotTime: 45,
		answer: 80, slots: 16, cache: 80000,
	},
}

const (
	nodes       = 9
	reportEvery = 0.5
	traceSeed   = 20261204
	burst       = 0.6
)

// arrival is one request of a trace.
type arrival struct {
	at       float64
	node     int
	chain    prefix.Chain
	sizes    []int
	question int
}

// newTrace draws requests whose prefixes nest in three levels. A few are very
// hot, and the hot ones change without warning.
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
			nextShift = at + p.hotTime
		}
		organisation := int(float64(p.organisations) * math.Pow(rng.Float64(), 2))
		s, m, l := rng.IntN(p.standards), rng.IntN(p.members), rng.IntN(p.lots)
		if rng.Float64() < burst {
			organisation, s, m = organisation%2, hot[0], hot[1]
			if rng.Float64() < burst {
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

// worker is a tiny fake of an engine: a cache of prefix levels that evicts the
// least recently used, one prefill at a time, and slots for answers.
type worker struct {
	p           profile
	order       *list.List
	cached      map[uint64]*list.Element
	used        int
	prefillFree float64
	slots       []float64
	finishes    []float64
	firsts      []float64
	downUntil   float64
	busy        float64
}

type block struct {
	digest uint64
	size   int
}

func newWorker(p profile) *worker {
	return &worker{p: p, order: list.New(), cached: make(map[uint64]*list.Element), slots: make([]float64, p.slots)}
}

func (w *worker) crash(now float64) {
	w.order.Init()
	clear(w.cached)
	w.used = 0
	w.downUntil = now + 1
}

// missing returns the tokens that the worker would have to compute.
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

func (w *worker) keep(a arrival) {
	for i := range a.sizes {
		digest := a.chain.At(i)
		if e := w.cached[digest]; e != nil {
			w.order.MoveToFront(e)
			continue
		}
		w.cached[digest] = w.order.PushFront(block{digest, a.sizes[i]})
		w.used += a.sizes[i]
	}
	for w.used > w.p.cache {
		oldest := w.order.Back()
		b := w.order.Remove(oldest).(block)
		delete(w.cached, b.digest)
		w.used -= b.size
	}
}

// wait returns how long a request would wait for its first token.
func (w *worker) wait(a arrival) float64 {
	begin := max(a.at, slices.Min(w.slots), w.prefillFree)
	return begin - a.at + float64(w.missing(a))/w.p.prefill
}

func (w *worker) serve(a arrival) (firstToken float64, missing int) {
	missing = w.missing(a)
	firstToken = w.wait(a)
	w.busy += float64(missing) / w.p.prefill
	w.prefillFree = a.at + firstToken
	slot := 0
	for i := range w.slots {
		if w.slots[i] < w.slots[slot] {
			slot = i
		}
	}
	w.slots[slot] = w.prefillFree + float64(w.p.answer)*w.p.tokenTime
	w.finishes = append(w.finishes, w.slots[slot])
	w.firsts = append(w.firsts, w.prefillFree)
	w.keep(a)
	return firstToken, missing
}

func (w *worker) queued(now float64) int {
	w.firsts = after(w.firsts, now)
	return len(w.firsts)
}

// after leaves out the times that have passed.
func after(times []float64, now float64) []float64 {
	return slices.DeleteFunc(times, func(f float64) bool { return f <= now })
}

func (w *worker) load(now float64) int {
	w.finishes = after(w.finishes, now)
	return len(w.finishes)
}

// policy picks a worker. Only the oracle looks at the workers themselves.
type policy func(a arrival, view []upstream.Candidate, workers []*worker) string

func policies() map[string]func() policy {
	return map[string]func() policy{
		"random": func() policy {
			rng := rand.New(rand.NewPCG(traceSeed, 1))
			return func(_ arrival, view []upstream.Candidate, _ []*worker) string { return view[rng.IntN(len(view))].Name }
		},
		"round_robin": func() policy {
			turn := make([]int, nodes)
			return func(a arrival, view []upstream.Candidate, _ []*worker) string {
				turn[a.node]++
				return view[(turn[a.node]+a.node)%len(view)].Name
			}
		},
		"least_loaded": func() policy {
			rng := rand.New(rand.NewPCG(traceSeed, 2))
			return func(_ arrival, view []upstream.Candidate, _ []*worker) string {
				from := rng.IntN(len(view))
				best := view[from]
				for i := range view {
					if c := view[(from+i)%len(view)]; c.Load < best.Load {
						best = c
					}
				}
				return best.Name
			}
		},
		"hash_whole": func() policy { return hashLevel(2) },
		"hash_first": func() policy { return hashLevel(0) },
		"ours":       func() policy { return ours(route.PickerOptions{}) },
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

func ours(opts route.PickerOptions) policy {
	picker := route.NewPicker(opts)
	return func(a arrival, view []upstream.Candidate, _ []*worker) string {
		c, _ := picker.Pick(route.Request{Chain: a.chain, Sizes: a.sizes}, view, nil)
		return c.Name
	}
}

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

// result is what a policy reached on a trace.
type result struct {
	hitRate, p50, p99, spread float64
	wasted                    int
}

// ownRequests is what a node knows of its own requests on a worker.
type ownRequests struct {
	firsts, finishes []float64
}

func (o ownRequests) at(now float64) ownRequests {
	return ownRequests{after(o.firsts, now), after(o.finishes, now)}
}

// run plays a trace. Loads are reported with a lag; each node adds its own
// requests, which a restart in the middle makes it forget. One worker crashes.
func run(p profile, trace []arrival, pick policy) result {
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
		for ; a.at >= nextReport; nextReport += reportEvery {
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
			mine := own[a.node][i].at(a.at)
			own[a.node][i] = mine
			if a.at >= w.downUntil {
				view = append(view, upstream.Candidate{
					Upstream: contract.Upstream{Name: workerName(i)},
					Load:     max(reported[i].Load, len(mine.finishes)),
					Queued:   max(reported[i].Queued, len(mine.firsts)),
					Slots:    p.slots,
				})
			}
		}
		i := workerIndex(pick(a, view, workers))
		anywhere := math.MaxInt
		for _, w := range workers {
			anywhere = min(anywhere, w.missing(a))
		}
		firstToken, missing := workers[i].serve(a)
		mine := &own[a.node][i]
		mine.firsts = append(mine.firsts, a.at+firstToken)
		mine.finishes = append(mine.finishes, a.at+firstToken+float64(p.answer)*p.tokenTime)
		r.wasted += missing - anywhere
		prefixTokens += sum(a.sizes)
		hits += sum(a.sizes) + a.question - missing
		times = append(times, firstToken)
	}
	slices.Sort(times)
	r.hitRate = float64(hits) / float64(prefixTokens)
	r.p50 = times[len(times)/2] * 1e3
	r.p99 = times[len(times)*99/100] * 1e3
	r.spread = spreadOf(workers)
	return r
}

func spreadOf(workers []*worker) float64 {
	most, total := 0.0, 0.0
	for _, w := range workers {
		most = max(most, w.busy)
		total += w.busy
	}
	return most / (total / float64(len(workers)))
}

// BenchmarkPlacement plays the same trace under each policy.
func BenchmarkPlacement(b *testing.B) {
	for _, name := range []string{"association", "plegado"} {
		trace := newTrace(profiles[name])
		for _, pol := range []string{"random", "round_robin", "least_loaded", "hash_whole", "hash_first", "ours", "oracle"} {
			b.Run(name+"/"+pol, func(b *testing.B) {
				var r result
				for b.Loop() {
					r = run(profiles[name], trace, policies()[pol]())
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
