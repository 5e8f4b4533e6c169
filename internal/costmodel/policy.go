package costmodel

// Rule is the rule by which Model.Choose selects a candidate.
type Rule string

// The rules. The others exist for comparison with ByPrompt.
const (
	// ByPrompt weighs the cached part of the prompt, the waiting work and the
	// distance.
	ByPrompt Rule = ""
	// ByLoad selects the engine with the fewest requests.
	ByLoad Rule = "load"
	// ByHash selects the prompt's home, see Choice.Home, even if it is full.
	ByHash Rule = "hash"
	// ByRandom selects an engine at random, by Model.TieKey.
	ByRandom Rule = "random"
)

// randomCostShift turns a hash into a cost of up to fullPenaltyMS for ByRandom.
const randomCostShift = 64 - 8

// Known reports whether the rule is one of the rules above.
func (r Rule) Known() bool { return r == ByPrompt || r == ByLoad || r == ByHash || r == ByRandom }

// Policy holds the weights of the costs of an upstream. Costs are in
// milliseconds until the first token. Fields that are zero get their defaults.
type Policy struct {
	Rule Rule `json:"rule"`
	// PrefillTokensPerMS is the prefill speed of an engine, in tokens per
	// millisecond.
	PrefillTokensPerMS float64 `json:"read_tokens_per_ms"`
	// SharedWeight multiplies the cost of recomputing shared parts, because
	// other requests pay for it too.
	SharedWeight float64 `json:"shared_weight"`
	// FetchMS is the cost of fetching cached parts from another engine.
	FetchMS float64 `json:"fetch_ms"`
	// DistanceMS is added for an upstream in another data centre.
	DistanceMS float64 `json:"distance_ms"`
	// RunningMS is added for each running request.
	RunningMS float64 `json:"running_ms"`
	// OutdatedMS is added for an engine with weights older than the desired
	// version.
	OutdatedMS float64 `json:"outdated_ms"`
	// PlainMS is added for each running request of a plain service.
	PlainMS float64 `json:"plain_ms"`
	// IdleFirstTokenMS is the time to the first token of a fully cached prompt
	// on an idle engine.
	IdleFirstTokenMS float64 `json:"start_ms"`
}

// WithDefaults returns the policy with defaults in place of zeros.
func (p Policy) WithDefaults() Policy {
	set := func(field *float64, value float64) {
		if *field == 0 {
			*field = value
		}
	}
	set(&p.PrefillTokensPerMS, 75)
	set(&p.SharedWeight, 3)
	set(&p.FetchMS, 20)
	set(&p.DistanceMS, 10)
	set(&p.RunningMS, 3)
	set(&p.OutdatedMS, 100)
	set(&p.PlainMS, 20)
	set(&p.IdleFirstTokenMS, 80)
	return p
}
