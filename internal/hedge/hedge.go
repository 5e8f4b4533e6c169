// Package hedge decides whether a request gets a further attempt on another
// upstream: after one that has failed, or beside one whose upstream is silent.
// Silence is no proof that an upstream has failed. So the attempt under way goes on,
// and ends only when another one has taken its place.
//
// # Usage
//
//	state := hedge.State{Route: route, Runs: runs, Open: 1, TimeLeft: left}
//	if o := state.BesideObstacle(); o != hedge.None {
//		// Keep waiting; o tells why nothing else can be done.
//	}
//
// All functions are pure.
package hedge

import (
	"time"

	"github.com/hibiscuscove/hibiscuscove/internal/routing"
)

// Obstacle is the reason why a request gets no further attempt.
type Obstacle string

// The obstacles.
const (
	None Obstacle = ""
	// Deadline is that the request's time is over, or too short to be of use.
	Deadline Obstacle = "deadline"
	// NoUpstream is that no upstream may take the request now.
	NoUpstream Obstacle = "no_upstream"
	// Unreachable is that the upstream that should take it can't be reached.
	Unreachable Obstacle = "unreachable"
	// Tries is that too many upstreams could not be reached or rejected the request.
	Tries Obstacle = "tries"
	// Route is that the request must not be repeated.
	Route    Obstacle = "route"
	Attempts Obstacle = "attempts"
	Budget   Obstacle = "retry_budget"
	// Crashes is that the request may crash upstreams.
	Crashes Obstacle = "crashes_upstreams"
	// Caller is that the caller takes no more of the answer.
	Caller Obstacle = "caller"
	// Stopping is that the VM ends before the request can.
	Stopping Obstacle = "stopping"
)

const (
	// minResponseTimeout, minFirstEventTimeout and minEventGapTimeout are the minimum
	// times without data before a request is also sent elsewhere. Sound engines may be
	// silent for a second or so.
	minResponseTimeout   = 150 * time.Millisecond
	minFirstEventTimeout = 1400 * time.Millisecond
	minEventGapTimeout   = 1400 * time.Millisecond
	// firstEventFactor and eventGapFactor are the same times as multiples of the
	// route's target latency and target gap. The longer time counts.
	firstEventFactor = 2
	eventGapFactor   = 3
)

// SilenceTimeout returns how long an upstream may send nothing before its request is
// also sent elsewhere. begun is set once an event of a stream has arrived.
func SilenceTimeout(r routing.Route, begun bool) time.Duration {
	switch {
	case r.Kind != routing.Streaming:
		return max(minResponseTimeout, r.TargetLatency)
	case begun:
		return max(minEventGapTimeout, eventGapFactor*r.TargetEventGap)
	default:
		return max(minFirstEventTimeout, firstEventFactor*r.TargetLatency)
	}
}

// State is the state of a request with respect to further attempts.
type State struct {
	Route routing.Route
	// Runs counts the ended attempts that may have run, Open those under way.
	Runs, Open int
	// HeadSent is set once the head of a stream was sent to the caller, and
	// AfterEvent once the caller has an event that has an ID.
	HeadSent, AfterEvent bool
	// Blocked is set if the request may crash upstreams.
	Blocked bool
	// TimeLeft is the time until the request's deadline.
	TimeLeft time.Duration
}

// RunObstacle returns why the request may not run once more. A stream whose head was
// sent can only continue after a known event of a resumable route.
func (s State) RunObstacle() Obstacle {
	switch {
	case s.TimeLeft <= 0:
		return Deadline
	case s.Blocked:
		return Crashes
	case !s.Route.Repeatable() || s.HeadSent && (!s.Route.Resumable || !s.AfterEvent):
		return Route
	case s.Runs+s.Open >= s.Route.MaxAttempts:
		return Attempts
	}
	return None
}

// BesideObstacle returns why the request may not also be sent to another upstream
// while one is silent. It must pay for the time that is left.
func (s State) BesideObstacle() Obstacle {
	if o := s.RunObstacle(); o != None {
		return o
	}
	if s.TimeLeft < s.Route.TargetLatency {
		return Deadline
	}
	return None
}
