package selection

import (
	"context"
	"net/http"
	"time"

	"github.com/hibiscuscove/hibiscuscove/internal/dispatch"
	"github.com/hibiscuscove/hibiscuscove/internal/roster"
	"github.com/hibiscuscove/hibiscuscove/internal/verdict"
)

// chooseUnlimited is Choose while no upstream has announced a limit.
func (s *Selector) chooseUnlimited(ctx context.Context, now time.Time, r Request, query roster.Query) (roster.Choice, error) {
	if trial, started := s.pickTrial(now, r, query); started {
		return trial, s.checkChoice(now, r, trial, true)
	}
	lease := uint64(0)
	if s.opts.Dispatch.On(query.Service) && query.Build == nil {
		result := s.opts.Dispatch.Place(ctx, now, r.ID, r.Dispatch)
		lease = result.Lease
		switch result.Kind {
		case dispatch.Refusal:
			return roster.Choice{}, s.refuseDispatched(now, r, result)
		case dispatch.Placement:
			if choice, accepted := s.acceptPlacement(now, query, result); accepted {
				return choice, nil
			}
			s.opts.Dispatch.CountRejected()
			r.LogEvent(now).Str("upstream", result.Upstream).Str("dispatcher", result.Dispatcher).Msg("placement not used")
		}
	}
	choice, found := s.pickUntried(now, r, &query)
	choice.Lease = lease
	err := s.checkChoice(now, r, choice, found)
	if err != nil {
		s.opts.Dispatch.Drop(lease)
	}
	return choice, err
}

// acceptPlacement checks a placement by all that this VM knows, as it does with an upstream
// that it picks itself.
func (s *Selector) acceptPlacement(now time.Time, query roster.Query, result dispatch.Result) (roster.Choice, bool) {
	incarnation := roster.Upstream{ID: result.Upstream, Born: result.Born}.Incarnation()
	if s.opts.Ejections.InForce(now)[incarnation] {
		return roster.Choice{}, false
	}
	allow := query.Allow
	query.Allow = func(u roster.Upstream) bool {
		return u.ID == result.Upstream && u.Born == result.Born && (allow == nil || allow(u))
	}
	choice, found := s.pickAvailable(now, query)
	if !found || !choice.Healthy {
		return roster.Choice{}, false
	}
	choice.Lease, choice.Candidates, choice.FreeSlots, choice.Home = result.Lease, result.Candidates, result.FreeSlots, result.Home
	choice.CostMS, choice.WaitMS, choice.FirstTokenMS = float64(result.CostMS), float64(result.WaitMS), float64(result.FirstTokenMS)
	choice.MissingTokens = result.MissingTokens
	choice.Source, choice.SaveTo = roster.Upstream{}, ""
	store, stored := s.opts.Upstreams.Store()
	switch {
	case result.FromStore && stored:
		choice.Source = store
	case result.Source != "":
		choice.Source, _ = s.opts.Upstreams.Upstream(result.Source)
	}
	if result.Save && stored {
		choice.SaveTo = store.Address
	}
	return choice, true
}

// refuseDispatched returns the error for a request that a dispatcher refuses.
func (s *Selector) refuseDispatched(now time.Time, r Request, result dispatch.Result) error {
	retryAfter := time.Duration(result.RetryAfterMS) * time.Millisecond
	r.LogEvent(now).Str("dispatcher", result.Dispatcher).Str("reason", string(result.Reason)).Int("first_ms", result.FirstTokenMS).Int("limit_ms", result.LimitMS).
		Int64("target_ms", r.TargetLatency.Milliseconds()).Int("share_percent", result.SharePercent).Int("memory_tokens", result.MemoryTokens).
		Int("priority", r.Priority).Int("candidates", result.Candidates).Int("places", result.FreeSlots).Int64("retry_after_ms", retryAfter.Milliseconds()).Msg("refused by a dispatcher")
	code, text := CodeBusy, "no upstream can answer in time"
	if result.Reason == dispatch.OverShare {
		code, text = CodeScarce, "capacity is scarce, and other callers go first"
	}
	return verdict.New(verdict.NotRun, http.StatusServiceUnavailable, code, text).WithRetryAfter(retryAfter)
}
