package experiment

import (
	"math"
	"slices"
	"time"
)

// Result has the counts of one experiment.
type Result struct {
	Deployment string `json:"deployment"`
	Pattern    string `json:"pattern"`
	Policy     string `json:"policy"`
	Seed       uint64 `json:"seed"`

	Requests int `json:"requests"`
	InTarget int `json:"in_target"`
	Late     int `json:"late"`
	// Refused counts requests that ended with a refusal, Failed those that broke or
	// timed out.
	Refused int `json:"refused"`
	Failed  int `json:"failed"`
	// RejectedAttempts counts the attempts that engines rejected.
	RejectedAttempts int `json:"turned_away"`
	// SharedTokens counts the tokens of shared parts in all runs. PrefillTokens counts
	// those that were computed, and RecomputedTokens those that were computed although
	// the part had been used within recomputeWindow. FetchedTokens counts the tokens
	// fetched from sources.
	SharedTokens     int `json:"shared_tokens"`
	PrefillTokens    int `json:"read_tokens"`
	RecomputedTokens int `json:"again_tokens"`
	FetchedTokens    int `json:"moved_tokens"`
	// Outdated counts the runs that ended on weights older than the desired version.
	Outdated int `json:"outdated"`
	// Utility is the sum over the responses, 1 for one within the target and on the
	// newest weights. The column "worth" of the table is its mean per request.
	Utility float64 `json:"worth"`
	// RolloutMS is the longest time from a change of the desired version until an
	// engine has loaded it.
	RolloutMS float64 `json:"rollout_ms"`

	firstTokenTimes []time.Duration
	// estimateErrors are the differences of the estimated and the observed times to the
	// first token, in ms.
	estimateErrors []float64
}

// InTargetShare returns the share of requests with a first token within the target.
func (r Result) InTargetShare() float64 { return share(r.InTarget, r.Requests) }

// MeanUtility returns the mean utility of a request.
func (r Result) MeanUtility() float64 { return r.Utility / max(1, float64(r.Requests)) }

// HitShare returns the share of shared tokens that were not computed.
func (r Result) HitShare() float64 { return 1 - share(r.PrefillTokens, r.SharedTokens) }

func share(n, total int) float64 {
	if total == 0 {
		return 0
	}
	return float64(n) / float64(total)
}

// FirstTokenQuantile returns the quantile q, from 0 to 1, of the time to the first
// token.
func (r Result) FirstTokenQuantile(q float64) time.Duration {
	if len(r.firstTokenTimes) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(r.firstTokenTimes))
	return sorted[min(len(sorted)-1, int(q*float64(len(sorted))))]
}

// MedianEstimateError returns the median of the absolute errors of the estimates, in
// ms.
func (r Result) MedianEstimateError() float64 {
	if len(r.estimateErrors) == 0 {
		return 0
	}
	all := make([]float64, 0, len(r.estimateErrors))
	for _, e := range r.estimateErrors {
		all = append(all, math.Abs(e))
	}
	slices.Sort(all)
	return all[len(all)/2]
}
