package selection

import (
	"math"
	"time"

	"github.com/rs/zerolog"

	"github.com/hibiscuscove/hibiscuscove/internal/message"
	"github.com/hibiscuscove/hibiscuscove/internal/roster"
)

// ObserveLimit records the rate that a response announces. A rate that can't be
// decoded leaves the known one in force. sentAt is when the request was sent.
func (s *Selector) ObserveLimit(now time.Time, u roster.Upstream, head message.ResponseHead, sentAt time.Time) {
	if head.RateLimitProblem != "" {
		s.incCounter("limits.unusable")
		if s.opts.Limits.RecordProblem(u.Incarnation(), head.RateLimitProblem) {
			s.opts.Log.Warn().Str("upstream", u.ID).Str("problem", head.RateLimitProblem).Msg("limit of an upstream not usable")
		}
		return
	}
	if s.opts.Limits.Observe(now, u.Incarnation(), head.RateLimit, sentAt) {
		s.incCounter("limits.changed")
		s.opts.Log.Info().Str("upstream", u.ID).Str("incarnation", u.Incarnation()).Float64("rate", head.RateLimit).Msg("upstream limit changed")
	}
}

// LogLimit returns a function that adds the rate in force at an upstream to a log
// line, if there is one.
func (s *Selector) LogLimit(u roster.Upstream) func(*zerolog.Event) {
	return func(e *zerolog.Event) {
		if rate := s.opts.Limits.Rate(u.Incarnation()); !math.IsInf(rate, 1) {
			e.Float64("limit", rate)
		}
	}
}
