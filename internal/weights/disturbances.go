package weights

import "time"

// Limits bound the use of weights after newer ones have been named. The
// zero value sets no limit.
type Limits struct {
	// MaxSpan is the longest span without disturbance.
	MaxSpan time.Duration
	// MaxTotal is what such spans may add up to. Zero sets no limit.
	MaxTotal time.Duration
}

const (
	// leastSpan is the shortest span that counts for the total.
	leastSpan = 2 * time.Second
	// sameDisturbance is over the time between two looks at the platform.
	sameDisturbance = time.Second
	// maxDisturbances bounds those remembered.
	maxDisturbances = 64
)

// span is a time in which the platform was disturbed.
type span struct{ from, to time.Time }

// Disturbances are the times in which the platform was seen to be disturbed,
// oldest first. They are immutable.
type Disturbances []span

// With returns the disturbances with one at now.
func (d Disturbances) With(now time.Time) Disturbances {
	if n := len(d); n > 0 && now.Sub(d[n-1].to) < sameDisturbance {
		longer := append(Disturbances(nil), d...)
		longer[n-1].to = now
		return longer
	}
	return append(append(Disturbances(nil), d[max(0, len(d)-maxDisturbances+1):]...), span{now, now})
}

// exceeded reports whether the time from since to now, without disturbances, is
// over the limits.
func (d Disturbances) exceeded(since, now time.Time, limits Limits) bool {
	var total time.Duration
	over := func(calm time.Duration) bool {
		if calm >= leastSpan {
			total += calm
		}
		return calm > limits.MaxSpan || limits.MaxTotal > 0 && total > limits.MaxTotal
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
