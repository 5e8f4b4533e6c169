package costmodel

import "time"

const (
	// slowdownWeight is the weight of one observation in the moving mean.
	slowdownWeight = 1.0 / 32
	// maxSlowdownRatio limits the influence of one observation.
	maxSlowdownRatio = 8
	// minSlowdownWaitMS is the shortest estimated wait that is used as an
	// observation. Shorter ones say too little about the slowdown.
	minSlowdownWaitMS = 20
)

// Slowdown is the ratio of the measured to the estimated wait for first tokens,
// as a moving mean. It is immutable. The zero value has seen no first token.
type Slowdown struct{ mean float64 }

// Factor returns the correction of an estimated wait, 1 or more.
func (s Slowdown) Factor() float64 { return max(1, s.mean) }

// With returns the slowdown updated by one first token that came elapsed
// after its request was sent. idleMS is the time to the first token on an idle
// engine, waitMS the estimated wait.
func (s Slowdown) With(elapsed time.Duration, idleMS, waitMS float64) Slowdown {
	if waitMS < minSlowdownWaitMS {
		return s
	}
	ratio := (float64(elapsed)/float64(time.Millisecond) - idleMS) / waitMS
	s.mean += slowdownWeight * (min(maxSlowdownRatio, max(0, ratio)) - s.mean)
	return s
}
