package experiment

import (
	"math"
	"slices"
	"time"
)

// Result is what callers and engines saw.
type Result struct {
	Deployment string `json:"deployment"`
	Pattern    string `json:"pattern"`
	Policy     string `json:"policy"`
	Seed       uint64 `json:"seed"`

	Requests int `json:"requests"`
	InTarget int `json:"in_target"`
	Late     int `json:"late"`
	// Refused are those that ended refused, Failed those that ran in vain.
	Refused int `json:"refused"`
	Failed  int `json:"failed"`
	// TurnedAway are the tries that engines turned away.
	TurnedAway int `json:"turned_away"`
	// SharedTokens are those of all prompts' shared parts that engines took;
	// of them ReadTokens were read, AgainTokens although they had been read and
	// used a short time before. MovedTokens were fetched.
	SharedTokens int `json:"shared_tokens"`
	ReadTokens   int `json:"read_tokens"`
	AgainTokens  int `json:"again_tokens"`
	MovedTokens  int `json:"moved_tokens"`
	// Outdated are the runs on weights that had been replaced.
	Outdated int `json:"outdated"`
	// Worth is the sum of what the answers are worth, 1 for one in time and on
	// the newest weights.
	Worth float64 `json:"worth"`
	// RolloutMS is the longest time from a version's naming until the last engine had it.
	RolloutMS float64 `json:"rollout_ms"`

	firsts []time.Duration
	// Errors are the estimates of the first token less what was seen, in ms.
	errors []float64
}

// InTargetShare is the share of requests answered within their target.
func (r Result) InTargetShare() float64 { return share(r.InTarget, r.Requests) }

// WorthShare is the mean worth of a request.
func (r Result) WorthShare() float64 { return r.Worth / max(1, float64(r.Requests)) }

// HitShare is the share of shared tokens that were not read.
func (r Result) HitShare() float64 { return 1 - share(r.ReadTokens, r.SharedTokens) }

func share(n, of int) float64 {
	if of == 0 {
		return 0
	}
	return float64(n) / float64(of)
}

// First returns a quantile of the time to the first token, 0 to 1.
func (r Result) First(q float64) time.Duration {
	if len(r.firsts) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(r.firsts))
	return sorted[min(len(sorted)-1, int(q*float64(len(sorted))))]
}

// EstimateError returns the median of the error of the estimates, without sign.
func (r Result) EstimateError() float64 {
	if len(r.errors) == 0 {
		return 0
	}
	all := make([]float64, 0, len(r.errors))
	for _, e := range r.errors {
		all = append(all, math.Abs(e))
	}
	slices.Sort(all)
	return all[len(all)/2]
}
