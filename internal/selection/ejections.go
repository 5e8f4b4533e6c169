package selection

import (
	"time"

	"github.com/hibiscuscove/hibiscuscove/internal/health"
	"github.com/hibiscuscove/hibiscuscove/internal/roster"
)

// ObserveOutcome records how an upstream has responded to a request, which is identified
// by the fingerprint of its content.
func (s *Selector) ObserveOutcome(now time.Time, u roster.Upstream, fingerprint string, outcome health.Outcome) {
	ejected, returned := s.opts.Ejections.Observe(now, u.Service, u.Incarnation(), fingerprint, outcome)
	switch {
	case ejected:
		s.incCounter("ejections.observed")
		s.opts.Log.Warn().Str("upstream", u.ID).Str("incarnation", u.Incarnation()).Msg("upstream ejected")
	case returned:
		s.incCounter("ejections.returned")
		s.opts.Log.Info().Str("upstream", u.ID).Str("incarnation", u.Incarnation()).Msg("upstream back")
	}
}

// pickTrial picks an ejected upstream if the request may show whether it is sound again.
func (s *Selector) pickTrial(now time.Time, r Request, query roster.Query) (roster.Choice, bool) {
	if r.Retry || s.opts.Ejections.InForce(now) == nil {
		return roster.Choice{}, false
	}
	allow := query.Allow
	query.Allow = func(u roster.Upstream) bool {
		return (allow == nil || allow(u)) && s.opts.Ejections.TrialDue(now, u.Incarnation(), r.Repeatable)
	}
	choice, found := s.pickAvailable(now, query)
	if !found || !choice.Healthy || choice.FreeSlots <= 0 || r.isLate(choice) ||
		!s.opts.Ejections.StartTrial(now, choice.Upstream.Incarnation(), r.Repeatable) {
		return roster.Choice{}, false
	}
	s.incCounter("ejections.trials")
	return choice, true
}
