package capacity

import (
	"math"
	"time"
)

const (
	// plainReferenceMS is the time that plain requests are compared with. It cancels out
	// between the upstreams of a service.
	plainReferenceMS = 100
	// maxLevels limits the numbers of requests in flight that are told apart. Larger ones
	// count as maxLevels.
	maxLevels = 16
	// levelHalfLife is the time after which the times of plain requests count half. A
	// number that is no longer reached is forgotten by it, and is tried again.
	levelHalfLife = 5 * time.Second
	// minLevelSamples is the number of requests without which the time at a number says
	// nothing, and minLevelSum that of those beyond a learnt number that keep it.
	minLevelSamples = 10
	minLevelSum     = 1
	// levelSpread is the assumed standard deviation of the logarithm of one time, and
	// levelDeviations the number of standard deviations that make a difference.
	levelSpread     = 1
	levelDeviations = 3
	// maxLevelRatio is the ratio of times up to which they count as constant.
	maxLevelRatio = 1.5
	// minConcurrentRatio is the least ratio between the learnt numbers of two upstreams
	// at which they take effect.
	minConcurrentRatio = 1.5
)

// level is the number and the summed times of requests that started with the same number
// in flight.
type level struct{ n, ms float64 }

// levels are the levels of one upstream, the first of them for one request in flight. They
// decay.
type levels struct {
	list []level
	at   time.Time
	// learnt is the number of requests up to which times are constant, 0 while unknown.
	learnt int
}

// decay lets the earlier requests count less.
func (l *levels) decay(now time.Time) {
	elapsed := now.Sub(l.at)
	l.at = now
	if len(l.list) == 0 || elapsed <= 0 {
		return
	}
	f := math.Exp2(-float64(elapsed) / float64(levelHalfLife))
	for i := range l.list {
		l.list[i].n *= f
		l.list[i].ms *= f
	}
}

func (l *levels) add(now time.Time, index int, n, ms float64) {
	l.decay(now)
	for len(l.list) <= index {
		l.list = append(l.list, level{})
	}
	l.list[index].n += n
	l.list[index].ms += ms
}

// refresh updates and returns the learnt number: the largest before the first at which
// requests take significantly longer than at the smallest numbers.
func (l *levels) refresh(now time.Time) int {
	l.decay(now)
	learnt := 0
	base := level{}
	for i, x := range l.list {
		if base.n >= minLevelSamples && x.n >= minLevelSamples {
			ratio := x.ms / x.n / (base.ms / base.n)
			if ratio >= maxLevelRatio && math.Log(ratio)*math.Sqrt(min(x.n, base.n)) >= levelDeviations*levelSpread {
				learnt = i
				break
			}
		}
		if base.n < minLevelSamples {
			base.n += x.n
			base.ms += x.ms
		}
	}
	if learnt == 0 && l.learnt > 0 {
		beyond := 0.0
		for _, x := range l.list[min(l.learnt, len(l.list)):] {
			beyond += x.n
		}
		if beyond >= minLevelSum && beyond < minLevelSamples {
			learnt = l.learnt
		}
	}
	l.learnt = learnt
	return learnt
}

// applyConcurrent sets the learnt numbers in the figures of a service's upstreams. They
// have no effect while all upstreams take about as many: least requests in flight is best
// then.
func applyConcurrent(now time.Time, list []*entry) {
	least, most := math.MaxInt, 0
	for _, e := range list {
		learnt := e.levels.refresh(now)
		if learnt == 0 {
			learnt = max(1, e.upstream.Slots)
		}
		least, most = min(least, learnt), max(most, learnt)
	}
	for _, e := range list {
		e.figure.Concurrent = 0
		if float64(most) >= minConcurrentRatio*float64(least) {
			e.figure.Concurrent = e.levels.learnt
		}
	}
}
