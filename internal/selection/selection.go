// Package selection chooses the upstream of an attempt of host-and-path traffic: by cost
// among those that take requests, and within what upstreams have announced, which are
// limits, that they leave, and that they want nothing for a while. It learns that from
// the heads of responses. Upstreams whose responses break are ejected.
//
// # Usage
//
//	selector := selection.New(selection.Options{Upstreams: table, Limits: limits, ...})
//	choice, err := selector.Choose(ctx, now, selection.Request{Query: query, ...})
//	... connect to choice.Upstream
//	if reason := selector.Withhold(later, now, choice.Upstream); reason != "" { ... }
//	... send, and of the response
//	selector.ObserveAvailability(now, u, status, head)
//	selector.ObserveLimit(now, u, head, sentAt)
//	selector.ObserveOutcome(now, u, fingerprint, health.Sound)
//
// A Selector is safe for concurrent use.
package selection

import (
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"github.com/hibiscuscove/hibiscuscove/internal/dispatch"
	"github.com/hibiscuscove/hibiscuscove/internal/health"
	"github.com/hibiscuscove/hibiscuscove/internal/permit"
	"github.com/hibiscuscove/hibiscuscove/internal/roster"
)

// Codes of the errors for requests that get no upstream.
const (
	CodeNoUpstream = "no_upstream"
	// CodeBusy is the code of a request that no engine would serve in time.
	CodeBusy = "busy"
	// CodeLimited is the code of a request whose upstreams are all at their limits.
	CodeLimited = "upstream_limited"
	// CodeLeaving is the code of a request whose upstreams have all left.
	CodeLeaving = "upstreams_leaving"
	// CodeNoRoom is the code of a request whose upstreams are brittle and may have no room.
	CodeNoRoom = "upstreams_full"
	// CodeScarce is the code of a request that a dispatcher refuses, since others go first.
	CodeScarce = "capacity_scarce"
	// CodeBackingOff is the code of a request for which all upstreams are backed off from.
	CodeBackingOff = "upstreams_backing_off"
)

// Options configures a Selector. All fields but Dispatch and Log are required.
type Options struct {
	Upstreams *roster.Table
	Limits    *permit.Agent
	Drains    *health.Drains
	Backoffs  *health.Backoffs
	Ejections *health.Ejections
	Brittle   *health.Brittle
	// Dispatch has requests placed by dispatchers. Nil means that this VM picks by itself.
	Dispatch *dispatch.Agent
	Metrics  metrics.Registry
	Log      zerolog.Logger
}

// Selector chooses upstreams.
type Selector struct {
	opts Options
}

// New returns a Selector.
func New(opts Options) *Selector { return &Selector{opts: opts} }

// Request is a request that needs an upstream for its next attempt.
type Request struct {
	// Query describes the request. It excludes the upstreams that were attempted.
	Query roster.Query
	// Organisation and Priority, 0 for the most urgent requests, are those of its permits.
	Organisation string
	Priority     int
	// Retry is set after an attempt, also after one that can't have run.
	Retry bool
	// New is set if it is to get its first token within TargetLatency.
	New           bool
	TargetLatency time.Duration
	// Repeatable is set for a first attempt that may be followed by another one if the
	// upstream breaks it off.
	Repeatable bool
	// TimeLeft is the time until the caller's deadline, or zero if it gave none.
	TimeLeft time.Duration
	// ID is the caller's ID of the request, and Dispatch describes it to dispatchers.
	ID       string
	Dispatch dispatch.Request
	// Reattempt is called if all upstreams were attempted and any may be attempted
	// again. It is nil if the request may have run.
	Reattempt func()
	// LogEvent starts a log line about the request.
	LogEvent func(now time.Time) *zerolog.Event
}

func (s *Selector) incCounter(name string) {
	metrics.GetOrRegisterCounter(name, s.opts.Metrics).Inc(1)
}
