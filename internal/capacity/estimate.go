package capacity

import (
	"math"
	"slices"
	"time"
)

const (
	// halfLifeSamples is the number of observations after which earlier ones count half.
	// With it about 100 count, whose mean is off by a tenth.
	halfLifeSamples = 70
	// bucketTime and bucketCount make up the last 12 s, in which changes are noticed. At the
	// 4 requests a second that an engine gets, the shortest window of 3 s holds 12
	// observations, the fewest that tell a change by a factor of 2.5 from noise.
	bucketTime  = 500 * time.Millisecond
	bucketCount = 24
	// sampleSpread is the standard deviation of the logarithm of one observation, and
	// loadSpread that between engines of equal speed, some of which have more popular
	// prompts than others. In covesim, means of 10 and of 70 observations deviate by 0.33
	// and 0.18.
	sampleSpread = 1.1
	loadSpread   = 0.15
	// minDeviations is the number of standard deviations that make a difference, and
	// keptDeviations that of one that was. In a service that is not uneven a difference has
	// an effect from aloneDeviations on: of 140 engines of equal speed, one to three reach
	// minDeviations at times. changeDeviations is that of the last seconds from what was
	// before, since a change only shortens the memory.
	minDeviations    = 3.2
	keptDeviations   = 1.5
	aloneDeviations  = 4
	changeDeviations = 2.8
	// minRatio is the dead band: smaller differences have no effect. A difference that has
	// an effect keeps it down to keptRatio.
	minRatio  = 1.5
	keptRatio = 1.3
	// keptTime is how long a difference has its effect after it has become smaller.
	keptTime = 3 * time.Second
	// changeRatio is the least change by which earlier observations are forgotten.
	changeRatio = 1.5
	// minSamples is the number of observations without which nothing is significant.
	minSamples = 12
	// priorSamples is the number of observations at the mean of its service that an
	// upstream starts with.
	priorSamples = 2
	// maxFactor limits how far the effect of a figure is from 1.
	maxFactor = 4
	// Observations count less when no further one has come for ageGrace, half after each
	// further ageHalfLife: an upstream that gets no requests since it was slow is tried
	// again.
	ageGrace    = 4 * time.Second
	ageHalfLife = 4 * time.Second
	// maxAgedSamples limits the observations that count then.
	maxAgedSamples = 50

	// weightStep is the ratio of two weights. A weight changes when the speed is
	// weightHysteresis steps from it, so that VMs with slightly different figures agree,
	// and at most once in weightInterval.
	weightStep       = 1.5
	weightHysteresis = 0.75
	weightInterval   = 5 * time.Second
	maxWeightSteps   = 3
	// A weight leaves 1 only after minWeightSamples observations and weightDelay.
	minWeightSamples = 30
	weightDelay      = 3 * time.Second

	// A service is uneven if unevenPart of its upstreams differ by unevenRatio, and
	// unevenMin of them, and for unevenHold after that.
	unevenPart  = 0.1
	unevenMin   = 2
	unevenRatio = 1.5
	unevenHold  = 10 * time.Second
)

// sums are observations that decay.
type sums struct{ n, expected, observed float64 }

func (s sums) plus(t sums) sums {
	return sums{s.n + t.n, s.expected + t.expected, s.observed + t.observed}
}

func (s sums) times(f float64) sums { return sums{s.n * f, s.expected * f, s.observed * f} }

// ratio returns how much longer the observed waits are than expected.
func (s sums) ratio() float64 { return s.observed / s.expected }

// drawn returns the ratio of s together with a prior of the given number of observations
// of the mean.
func (s sums) drawn(mean sums, prior float64) float64 {
	if mean.n <= 0 {
		return 1
	}
	return s.plus(mean.times(prior / mean.n)).ratio()
}

// estimate is the observations of one incarnation.
type estimate struct {
	// long holds about 100 observations, buckets those of the last 12 s by time.
	long    sums
	buckets [bucketCount]sums
	// bucket is the number of the newest bucket since the epoch.
	bucket int64
	lastAt time.Time
	// differs is set while there is a difference from the median, and heldAt is when there
	// last was.
	differs bool
	heldAt  time.Time
	// significant is set while the difference has an effect, since since.
	significant bool
	since       time.Time
	// step is the weight in steps, which last changed at stepAt.
	step   int
	stepAt time.Time
}

// rotate clears the buckets that are older than the window.
func (e *estimate) rotate(now time.Time) {
	current := now.UnixNano() / int64(bucketTime)
	if current <= e.bucket {
		return
	}
	for i := max(e.bucket+1, current-bucketCount+1); i <= current; i++ {
		e.buckets[i%bucketCount] = sums{}
	}
	e.bucket = current
}

func (e *estimate) add(now time.Time, s sums) {
	e.rotate(now)
	i := e.bucket % bucketCount
	e.buckets[i] = e.buckets[i].plus(s)
	e.long = e.long.times(math.Exp2(-s.n / halfLifeSamples)).plus(s)
	e.lastAt = now
}

// windows are the numbers of buckets, of the last 3, 6 and 12 s, in which changes are
// noticed.
var windows = [...]int{6, 12, bucketCount}

// recent returns the observations in each of the windows.
func (e *estimate) recent(now time.Time) [len(windows)]sums {
	e.rotate(now)
	var result [len(windows)]sums
	var s sums
	done := 0
	for w, count := range windows {
		for ; done < count; done++ {
			s = s.plus(e.buckets[(e.bucket-int64(done)+bucketCount)%bucketCount])
		}
		result[w] = s
	}
	return result
}

// followChange forgets all but a window if that differs from what was before. The means are
// those of the service, by which a change of all its upstreams cancels out.
func (e *estimate) followChange(recent, recentMean [len(windows)]sums, longMean sums) {
	for w, s := range recent {
		if s.n < minSamples/2 {
			continue
		}
		// The first of the window's observations count less in long than the last.
		before := e.long.plus(s.times(-math.Exp2(-s.n / 2 / halfLifeSamples)))
		if before.n < minSamples || before.expected <= 0 || before.observed <= 0 {
			continue
		}
		d := math.Abs(math.Log(s.ratio() / recentMean[w].ratio() / before.ratio() * longMean.ratio()))
		if d >= math.Log(changeRatio) && d >= changeDeviations*sampleSpread*math.Sqrt(1/s.n+1/before.n) {
			e.long = s
			return
		}
	}
}

// deviations returns how many standard deviations a difference of logarithms is, with n
// observations.
func deviations(d, n float64) float64 {
	return math.Abs(d) / math.Sqrt(sampleSpread*sampleSpread/n+loadSpread*loadSpread)
}

// agedSamples returns the number of observations that count, given their age.
func (e *estimate) agedSamples(now time.Time) float64 {
	idle := now.Sub(e.lastAt) - ageGrace
	if idle <= 0 {
		return e.long.n
	}
	return min(maxAgedSamples, e.long.n) * math.Exp2(-float64(idle)/float64(ageHalfLife))
}

// compare updates whether a difference from the median, given as a logarithm, is one.
func (e *estimate) compare(now time.Time, d float64) {
	n := e.agedSamples(now)
	least, deviationsNeeded := math.Log(minRatio), minDeviations
	if e.differs {
		least, deviationsNeeded = math.Log(keptRatio), keptDeviations
	}
	differs := math.Abs(d) >= least && deviations(d, n) >= deviationsNeeded && (e.differs || n >= minSamples)
	if differs {
		e.heldAt = now
	}
	e.differs = differs || e.differs && now.Sub(e.heldAt) < keptTime
}

// decide updates whether the difference has an effect, and the weight.
func (e *estimate) decide(now time.Time, d float64, uneven bool) {
	n := e.agedSamples(now)
	significant := e.differs && (uneven || e.significant || deviations(d, n) >= aloneDeviations)
	if significant != e.significant {
		e.significant, e.since = significant, now
	}
	if !significant {
		d = 0
	}
	steps := d / math.Log(weightStep)
	ready := e.step != 0 || n >= minWeightSamples && now.Sub(e.since) >= weightDelay
	if ready && math.Abs(steps-float64(e.step)) > weightHysteresis && now.Sub(e.stepAt) >= weightInterval {
		e.step = min(maxWeightSteps, max(-maxWeightSteps, int(math.Round(steps))))
		e.stepAt = now
	}
}

// Refresh computes the figures from the observations and returns what has changed. Until
// the next call figures stay as they are.
func (b *Book) Refresh(now time.Time) []Change {
	b.mu.Lock()
	defer b.mu.Unlock()
	var changes []Change
	byService := make(map[string][]*entry)
	var names []string
	for _, e := range b.entries {
		name := e.upstream.Service
		if byService[name] == nil {
			names = append(names, name)
		}
		byService[name] = append(byService[name], e)
	}
	slices.Sort(names)
	for _, name := range names {
		list := byService[name]
		s := b.services[name]
		if s == nil {
			s = &service{}
			b.services[name] = s
		}
		if s.compare(now, list) {
			changes = append(changes, Change{Service: name, Uneven: s.uneven})
		}
		changes = append(changes, s.decide(now, list)...)
		applyConcurrent(now, list)
	}
	for name := range b.services {
		if byService[name] == nil {
			delete(b.services, name)
		}
	}
	return changes
}

// compare compares the upstreams of a service with one another and updates whether it is
// uneven. It reports whether that has changed.
func (s *service) compare(now time.Time, list []*entry) bool {
	recent := make([][len(windows)]sums, len(list))
	var recentMean [len(windows)]sums
	var longMean sums
	for i, e := range list {
		recent[i] = e.estimate.recent(now)
		for w, x := range recent[i] {
			recentMean[w] = recentMean[w].plus(x)
		}
		longMean = longMean.plus(e.estimate.long)
	}
	s.ratio = 1
	if longMean.n > 0 {
		s.ratio = longMean.ratio()
	}
	var certain []float64
	for i, e := range list {
		e.estimate.followChange(recent[i], recentMean, longMean)
		e.ratio = e.estimate.long.drawn(longMean, priorSamples)
		if e.estimate.long.n >= minSamples {
			certain = append(certain, e.ratio)
		}
	}
	middle := median(certain)
	for _, e := range list {
		e.difference = 0
		// Without a second upstream there is nothing to compare with.
		if len(certain) >= unevenMin && e.estimate.long.n > 0 {
			e.difference = math.Log(middle / e.ratio)
		}
		e.estimate.compare(now, e.difference)
	}
	return s.refreshUneven(now, list)
}

// decide computes the figures of a service's upstreams.
func (s *service) decide(now time.Time, list []*entry) []Change {
	var changes []Change
	for _, e := range list {
		e.estimate.decide(now, e.difference, s.uneven)
		old := e.figure
		e.figure = e.newFigure(now)
		if old.Slow != e.figure.Slow || old.Fast != e.figure.Fast || old.Weight != e.figure.Weight {
			changes = append(changes, Change{Figure: e.figure})
		}
	}
	return changes
}

// newFigure returns the figure for the last comparison.
func (e *entry) newFigure(now time.Time) Figure {
	f := neutralFigure(e.upstream)
	n := e.estimate.agedSamples(now)
	f.Factor, f.Measured, f.Samples, f.Confidence = 1/e.ratio, math.Exp(e.difference), n, n/(n+priorSamples)
	if !e.estimate.lastAt.IsZero() {
		f.AgeMS = now.Sub(e.estimate.lastAt).Milliseconds()
	}
	f.Weight = math.Pow(weightStep, float64(e.estimate.step))
	f.Concurrent = e.figure.Concurrent
	if e.estimate.significant {
		f.Relative = min(maxFactor, max(1.0/maxFactor, f.Measured))
		f.Slow, f.Fast = e.difference < 0, e.difference > 0
	}
	return f
}

// median returns the median of the ratios, 1 without any.
func median(ratios []float64) float64 {
	if len(ratios) == 0 {
		return 1
	}
	sorted := slices.Sorted(slices.Values(ratios))
	middle := len(sorted) / 2
	if len(sorted)%2 == 1 {
		return sorted[middle]
	}
	return (sorted[middle-1] + sorted[middle]) / 2
}

// refreshUneven updates whether a service is uneven and reports whether that has changed.
func (s *service) refreshUneven(now time.Time, list []*entry) bool {
	differing := 0
	for _, e := range list {
		if e.estimate.differs && math.Abs(e.difference) >= math.Log(unevenRatio) {
			differing++
		}
	}
	if differing >= unevenMin && float64(differing) >= unevenPart*float64(len(list)) {
		s.differsAt = now
	}
	uneven := !s.differsAt.IsZero() && now.Sub(s.differsAt) < unevenHold
	changed := uneven != s.uneven
	s.uneven = uneven
	return changed
}
