// Package reachability holds what a VM has seen of the connections to an upstream, and
// for how long the upstream is avoided after failed ones.
//
// # Usage
//
//	var state reachability.State
//	state = state.WithFailure(now)
//	avoided := state.Avoided(now)
//	state = state.WithResponse(now)
package reachability

import "time"

const (
	// minAvoidPeriod and maxAvoidPeriod limit how long an upstream is avoided
	// after failed connections.
	minAvoidPeriod = 700 * time.Millisecond
	maxAvoidPeriod = 5 * time.Second
	// maxFailures is the number of failed connections at which the doubled
	// period has passed maxAvoidPeriod.
	maxFailures = 4
)

// State is the reachability of one incarnation. It is immutable. The zero value is of
// an upstream that nothing has been sent to.
type State struct {
	// avoidUntil is when the upstream stops being avoided.
	avoidUntil time.Time
	// failures counts the failed connections since the last response, up to
	// maxFailures.
	failures int
	// lastResponse is when the upstream last responded.
	lastResponse time.Time
}

// WithFailure returns the state after a failed connection. The upstream is avoided
// for a period that doubles with each failure, up to a maximum. Failures while it is
// avoided do not count.
func (s State) WithFailure(now time.Time) State {
	if !s.Avoided(now) {
		s.avoidUntil = now.Add(min(maxAvoidPeriod, minAvoidPeriod<<s.failures))
		s.failures = min(s.failures+1, maxFailures)
	}
	return s
}

// WithSilence returns the state after a request to which the upstream has sent nothing
// since a time. It counts as a failed connection unless the upstream has responded to
// another request in between.
func (s State) WithSilence(now, since time.Time) State {
	if s.lastResponse.After(since) {
		return s
	}
	return s.WithFailure(now)
}

// WithMismatch returns the state after a different upstream has responded at the
// address. The upstream is avoided for the maximum period.
func (s State) WithMismatch(now time.Time) State {
	s.avoidUntil = now.Add(maxAvoidPeriod)
	return s
}

// WithResponse returns the state after a response, with which the upstream is no
// longer avoided.
func (s State) WithResponse(now time.Time) State { return State{lastResponse: now} }

// Avoided reports whether the upstream is avoided.
func (s State) Avoided(now time.Time) bool { return s.avoidUntil.After(now) }

// RespondedWithin reports whether the upstream has responded within the last d.
func (s State) RespondedWithin(now time.Time, d time.Duration) bool {
	return !s.lastResponse.IsZero() && now.Sub(s.lastResponse) < d
}
