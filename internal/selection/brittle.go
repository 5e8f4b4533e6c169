package selection

import (
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/hibiscuscove/hibiscuscove/internal/admission"
	"github.com/hibiscuscove/hibiscuscove/internal/health"
	"github.com/hibiscuscove/hibiscuscove/internal/message"
	"github.com/hibiscuscove/hibiscuscove/internal/roster"
	"github.com/hibiscuscove/hibiscuscove/internal/verdict"
)

// noRoomRetryAfter is about the Retry-After of a request whose upstreams may have no room.
const noRoomRetryAfter = 200 * time.Millisecond

func placeOf(u roster.Upstream) health.Place {
	return health.Place{Service: u.Service, Incarnation: u.Incarnation(), Slots: u.Slots}
}

// observeBrittle records whether an upstream says that it is brittle, and its rejections.
func (s *Selector) observeBrittle(now time.Time, u roster.Upstream, head message.ResponseHead) {
	if head.BrittleProblem != "" {
		s.incCounter("brittle.unusable")
		return
	}
	if s.opts.Brittle.Observe(now, placeOf(u), head.Brittle) {
		s.incCounter("brittle.changed")
		s.opts.Log.Info().Str("upstream", u.ID).Str("incarnation", u.Incarnation()).Float64("per_second", head.Brittle).Msg("upstream brittle")
	}
	if head.NotRun && !head.Misdirected {
		s.opts.Brittle.RecordRejected(now, placeOf(u))
	}
}

// AcquireRoom takes room for a request at an upstream, if it is brittle. Without room the
// error has CodeNoRoom. The returned function gives the room back.
func (s *Selector) AcquireRoom(now time.Time, u roster.Upstream) (release func(), err error) {
	release, acquired := s.opts.Brittle.Acquire(now, placeOf(u))
	if !acquired {
		return nil, s.noRoomError(u)
	}
	return release, nil
}

// noRoomError returns the error for a request whose upstreams, like u, may have no room.
func (s *Selector) noRoomError(u roster.Upstream) *verdict.Error {
	return verdict.New(verdict.NotRun, http.StatusServiceUnavailable, CodeNoRoom, "the upstreams of the service may have no room and must not turn requests away").
		WithObject("upstream/"+u.ID, "").WithRetryAfter(admission.RetryAfter(noRoomRetryAfter, 0, rand.Int64N))
}
