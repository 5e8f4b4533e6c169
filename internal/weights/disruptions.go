package weights

import "time"

// Limits limit the use of weights after a newer version became the desired one.
// The zero value sets no limit.
type Limits struct {
	// MaxSpan is the longest undisrupted interval for which older weights may
	// be used. Zero sets no limit at all.
	MaxSpan time.Duration
	// MaxTotal is the maximum sum of such intervals, short ones not counted.
	// Zero sets no limit on it.
	MaxTotal time.Duration
}

const (
	// minInterval is the shortest undisrupted interval that counts towards the
	// total.
	minInterval = 2 * time.Second
	// mergeGap is longer than the time between two records of a disruption that
	// lasts, so that they are one.
	mergeGap = time.Second
	// maxDisruptions limits the disruptions remembered.
	maxDisruptions = 64
)

// interval is a period in which the platform was disrupted.
type interval struct{ from, to time.Time }

// Disruptions are the periods in which the platform was observed to be
// disrupted, oldest first. They are immutable.
type Disruptions []interval

// With returns the disruptions extended by one that lasts from a time until now.
func (d Disruptions) With(from, now time.Time) Disruptions {
	if n := len(d); n > 0 && from.Sub(d[n-1].to) < mergeGap {
		extended := append(Disruptions(nil), d...)
		extended[n-1].to = now
		return extended
	}
	return append(append(Disruptions(nil), d[max(0, len(d)-maxDisruptions+1):]...), interval{from, now})
}

// Older returns the disruptions after a suspension in which the clock stood still.
func (d Disruptions) Older(by time.Duration) Disruptions {
	aged := make(Disruptions, len(d))
	for i, s := range d {
		aged[i] = interval{s.from.Add(-by), s.to.Add(-by)}
	}
	return aged
}

// exceeded reports whether the time from since to now, disruptions not counted,
// is over the limits.
func (d Disruptions) exceeded(since, now time.Time, limits Limits) bool {
	var total time.Duration
	over := func(undisrupted time.Duration) bool {
		if undisrupted >= minInterval {
			total += undisrupted
		}
		return undisrupted > limits.MaxSpan || limits.MaxTotal > 0 && total > limits.MaxTotal
	}
	from := since
	for _, s := range d {
		if s.to.Before(from) {
			continue
		}
		if over(s.from.Sub(from)) {
			return true
		}
		from = s.to
	}
	return over(now.Sub(from))
}
