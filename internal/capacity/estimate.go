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
	// bucketTime and bucketCount make up the last 12 s, in which changes are noticed. The
	// ring has more buckets, for observations between two calls of Refresh.
	bucketTime  = 500 * time.Millisecond
	bucketCount = 24
	ringSize    = 32
	// recentBuckets are those of the last 3 s.
	recentBuckets = 6
	// usualSamples is the number of observations at its usual mean by which the mean of a
	// service in one bucket is steadied: with few observations it would follow each of them.
	usualSamples = 20
	// firstSpread is the standard deviation of the logarithm of one observation that a
	// service starts with, and minSpread and maxSpread bound what is measured. A single
	// upstream differs with firstSpread at least. loadSpread is that between engines of equal
	// speed, some of which have more popular prompts than others. In covesim, means of 10 and
	// of 70 observations deviate by 0.33 and 0.18.
	firstSpread = 1.1
	minSpread   = 0.4
	maxSpread   = 2
	loadSpread  = 0.15
	// spreadWeight is the weight of one measurement of the spread in its moving mean, and
	// minSpreadUpstreams the number of upstreams that one takes.
	spreadWeight       = 0.05
	minSpreadUpstreams = 8
	// minDeviations is the number of standard deviations that make a difference, and
	// keptDeviations that of one that was. In a service that is not uneven a difference has
	// an effect from aloneDeviations on: of 140 engines of equal speed, one to three reach
	// minDeviations at times. changeDeviations is that of the last seconds from what was
	// before, since a change only shortens the memory.
	minDeviations    = 3.2
	keptDeviations   = 1.5
	aloneDeviations  = 4
	changeDeviations = 3.5
	// minRatio is the dead band: smaller differences have no effect. A difference that has
	// an effect keeps it down to keptRatio.
	minRatio  = 1.5
	keptRatio = 1.3
	// keptTime is how long a difference has its effect after it has become smaller.
	keptTime = 3 * time.Second
	// changeRatio is the least change by which earlier observations are forgotten.
	changeRatio = 1.5
	// minChangeSamples is the number of observations that make a change.
	minChangeSamples = 6
	// minSamples is the number of observations without which nothing is significant.
	minSamples = 12
	// priorSamples is the number of observations at the mean of its service that an
	// upstream starts with.
	priorSamples = 1
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
	// A weight changes only with minWeightSamples observations, or with hardly any since
	// the upstream gets none, and weightDelay after the difference was found or ended.
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

func (s sums) minus(t sums) sums { return s.plus(t.times(-1)) }

// ratio returns how much longer the observed waits are than expected, or 1 without any.
func (s sums) ratio() float64 {
	if s.expected <= 0 || s.observed <= 0 {
		return 1
	}
	return s.observed / s.expected
}

// drawn returns the ratio of s together with n observations of a ratio.
func (s sums) drawn(n, ratio float64) float64 {
	if s.n <= 0 {
		return ratio
	}
	mean := s.expected / s.n
	return s.plus(sums{n, n * mean, n * mean * ratio}).ratio()
}

// decayed returns what is left of s after n further observations.
func (s sums) decayed(n float64) sums { return s.times(math.Exp2(-n / halfLifeSamples)) }

// ring holds observations by the time at which they were made.
type ring struct {
	buckets [ringSize]sums
	// newest is the number of the newest bucket.
	newest int64
}

// bucket returns the number of the present bucket. Numbers never fall, and steps of the wall
// clock do not change them.
func (b *Book) bucket(now time.Time) int64 {
	if b.origin.IsZero() {
		b.origin = now
	}
	b.newest = max(b.newest, ringSize+int64(now.Sub(b.origin)/bucketTime))
	return b.newest
}

// at returns the bucket with a number, which must be among the last ringSize.
func (r *ring) at(number int64) *sums { return &r.buckets[(number%ringSize+ringSize)%ringSize] }

// rotate makes the present bucket the newest one.
func (r *ring) rotate(current int64) {
	for n := max(r.newest+1, current-ringSize+1); n <= current; n++ {
		*r.at(n) = sums{}
	}
	r.newest = max(r.newest, current)
}

// estimate is the observations of one incarnation.
type estimate struct {
	recent ring
	// before holds the observations that have left the window, and all is those that count.
	// In both the expected waits are multiplied by the ratio of the service at their time,
	// so that what slows all upstreams alike cancels out.
	before, all sums
	lastAt      time.Time
	// fresh is the number of observations since the last change was found. Those by which it
	// was found deviate more than others.
	fresh float64
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

func (e *estimate) add(now time.Time, bucket int64, s sums) {
	e.recent.rotate(bucket)
	b := e.recent.at(e.recent.newest)
	*b = b.plus(s)
	e.fresh += s.n
	e.lastAt = now
}

// means are the ratios of a service by bucket.
type means struct {
	total ring
	// before holds the observations of all upstreams that have left the window. usual is
	// the ratio of all that count, and now that of the last 3 s.
	before     sums
	usual, now float64
	ratios     [ringSize]float64
}

// update computes the ratios from the observations of all upstreams.
func (m *means) update(last int64, list []*entry) {
	oldest := last - bucketCount + 1
	for n := last - ringSize + 1; n <= last; n++ {
		*m.total.at(n) = sums{}
	}
	for _, e := range list {
		e.estimate.recent.rotate(last)
		for n := last - ringSize + 1; n <= last; n++ {
			b := m.total.at(n)
			*b = b.plus(*e.estimate.recent.at(n))
		}
	}
	all, recent := m.before, sums{}
	for n := last - ringSize + 1; n <= last; n++ {
		all = all.plus(*m.total.at(n))
		if n > last-recentBuckets {
			recent = recent.plus(*m.total.at(n))
		}
		if n < oldest {
			// refresh of each upstream moves these out of the window.
			m.before = m.before.times(math.Exp2(-m.total.at(n).n / halfLifeSamples / float64(len(list)))).plus(*m.total.at(n))
		}
	}
	m.usual = all.ratio()
	m.now = recent.drawn(usualSamples, m.usual)
	for n := last - ringSize + 1; n <= last; n++ {
		m.ratios[(n%ringSize+ringSize)%ringSize] = m.total.at(n).drawn(usualSamples, m.usual)
	}
}

// at returns the ratio in the bucket with a number.
func (m *means) at(number int64) float64 { return m.ratios[(number%ringSize+ringSize)%ringSize] }

// refresh updates the observations that count. If a change is found, those from before it
// do not. deviation is that of the last 3 s from what was before in units of the spread, for
// measuring that.
func (e *estimate) refresh(last int64, m *means, spread float64) (deviation float64, measured bool) {
	for n := last - ringSize + 1; n <= last-bucketCount; n++ {
		if b := e.recent.at(n); b.n > 0 {
			e.before = e.before.decayed(b.n).plus(b.relativeTo(m.at(n)))
			*b = sums{}
		}
	}
	var window [bucketCount + 1]sums // the last i buckets
	for i := range int64(bucketCount) {
		b := *e.recent.at(last - i)
		window[i+1] = window[i].plus(b.relativeTo(m.at(last - i)))
	}
	whole := window[bucketCount]
	e.all = e.before.decayed(whole.n).plus(whole)
	most, change := 0.0, 0
	for i, w := range window {
		rest := e.all.minus(w)
		if w.n < minChangeSamples || rest.n < minChangeSamples {
			continue
		}
		ratio := w.ratio() / rest.ratio()
		changed := ratio >= changeRatio || ratio <= 1/changeRatio
		if !changed && i != recentBuckets {
			continue
		}
		z := math.Abs(math.Log(ratio)) / math.Sqrt(1/w.n+1/rest.n)
		if i == recentBuckets {
			deviation, measured = z, true
		}
		if changed && z > most {
			most, change = z, i
		}
	}
	if most >= changeDeviations*spread {
		e.before, e.all, e.fresh = sums{}, window[change], 0
		for i := change; i < bucketCount; i++ {
			*e.recent.at(last - int64(i)) = sums{}
		}
	}
	return deviation, measured
}

// relativeTo returns s with the expected waits multiplied by a ratio.
func (s sums) relativeTo(ratio float64) sums { return sums{s.n, s.expected * ratio, s.observed} }

// deviations returns how many standard deviations a difference of logarithms between
// upstreams is, with n observations of a spread.
func deviations(d, n, spread float64) float64 {
	return math.Abs(d) / math.Sqrt(spread*spread/n+loadSpread*loadSpread)
}

// agedSamples returns the number of observations that count, given their age.
func (e *estimate) agedSamples(now time.Time) float64 {
	idle := now.Sub(e.lastAt) - ageGrace
	if idle <= 0 {
		return e.all.n
	}
	return min(maxAgedSamples, e.all.n) * math.Exp2(-float64(idle)/float64(ageHalfLife))
}

// compare updates whether a difference from the median, given as a logarithm, is one.
func (e *estimate) compare(now time.Time, d, spread float64) {
	n := e.agedSamples(now)
	least, deviationsNeeded := math.Log(minRatio), minDeviations
	if e.differs {
		least, deviationsNeeded = math.Log(keptRatio), keptDeviations
	}
	differs := math.Abs(d) >= least && deviations(d, n, spread) >= deviationsNeeded && (e.differs || n >= minSamples)
	if differs {
		e.heldAt = now
	}
	e.differs = differs || e.differs && now.Sub(e.heldAt) < keptTime
}

// decide updates whether the difference has an effect, and the weight.
func (e *estimate) decide(now time.Time, d, spread float64, uneven bool) {
	n := e.agedSamples(now)
	significant := e.differs && (uneven || e.significant || deviations(d, min(n, e.fresh), spread) >= aloneDeviations)
	if significant != e.significant {
		e.significant, e.since = significant, now
	}
	if !significant {
		d = 0
	}
	steps := d / math.Log(weightStep)
	ready := (n >= minWeightSamples || n < 1) && now.Sub(e.since) >= weightDelay
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
			s = &service{spread: firstSpread}
			b.services[name] = s
		}
		if s.compare(now, b.bucket(now), list) {
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
func (s *service) compare(now time.Time, bucket int64, list []*entry) bool {
	s.means.update(bucket, list)
	var certain, spreads []float64
	for _, e := range list {
		if deviation, measured := e.estimate.refresh(bucket, &s.means, s.spread); measured {
			spreads = append(spreads, deviation)
		}
		e.ratio = e.estimate.all.drawn(priorSamples, 1)
		if e.estimate.all.n >= minSamples {
			certain = append(certain, e.ratio)
		}
	}
	if len(spreads) >= minSpreadUpstreams {
		// Half of the deviations of a normal distribution are below 0.6745.
		spread := min(maxSpread, max(minSpread, median(spreads)/0.6745))
		s.spread += spreadWeight * (spread - s.spread)
	}
	middle := median(certain)
	for _, e := range list {
		e.difference = 0
		// Without a second upstream there is nothing to compare with.
		if len(certain) >= unevenMin && e.estimate.all.n > 0 {
			e.difference = math.Log(middle / e.ratio)
		}
		e.estimate.compare(now, e.difference, s.spread)
	}
	return s.refreshUneven(now, list)
}

// decide computes the figures of a service's upstreams.
func (s *service) decide(now time.Time, list []*entry) []Change {
	var changes []Change
	for _, e := range list {
		e.estimate.decide(now, e.difference, max(firstSpread, s.spread), s.uneven)
		old := e.figure
		e.figure = e.newFigure(now, s.means.now)
		if old.Slow != e.figure.Slow || old.Fast != e.figure.Fast || old.Weight != e.figure.Weight {
			changes = append(changes, Change{Figure: e.figure})
		}
	}
	return changes
}

// newFigure returns the figure for the last comparison. ratio is that of the service now.
func (e *entry) newFigure(now time.Time, ratio float64) Figure {
	f := neutralFigure(e.upstream)
	n := e.estimate.agedSamples(now)
	f.Factor, f.Measured, f.Samples, f.Confidence = 1/(e.ratio*ratio), math.Exp(e.difference), n, n/(n+priorSamples)
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
