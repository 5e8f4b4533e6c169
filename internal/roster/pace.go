package roster

import "time"

const (
	// paceWeight is the part of each observation in the mean.
	paceWeight = 1.0 / 32
	// paceMost bounds what one observation counts.
	paceMost = 8
	// paceLeastMS is the shortest wait that tells anything.
	paceLeastMS = 20
)

// pace is by how much first tokens took longer than estimated, as a moving mean.
type pace struct{ mean float64 }

// times is the correction, 1 or more.
func (p pace) times() float64 { return max(1, p.mean) }

// with returns the pace after a first token that came at a time after its
// request was sent, of which start passes at an idle engine.
func (p pace) with(took time.Duration, startMS, waitMS float64) pace {
	if waitMS < paceLeastMS {
		return p
	}
	ratio := (float64(took)/float64(time.Millisecond) - startMS) / waitMS
	p.mean += paceWeight * (min(paceMost, max(0, ratio)) - p.mean)
	return p
}
