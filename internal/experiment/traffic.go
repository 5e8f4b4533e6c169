package experiment

import (
	"fmt"
	"math"
	"math/rand/v2"
	"sort"
	"time"

	"github.com/hibiscuscove/hibiscuscove/internal/roster"
)

// promptSource draws the prompts of one class of requests.
type promptSource struct {
	class Class
	rng   *rand.Rand
	// parts are the shared parts of each level.
	parts [][]roster.Part
	// cumulative has the running sums of the popularity of the parts of each level.
	cumulative [][]float64
	// drawn counts the prompts. It numbers their unshared parts.
	drawn int
}

func newPromptSource(c Class, rng *rand.Rand) *promptSource {
	p := &promptSource{class: c, rng: rng}
	for level, l := range c.Shared {
		var parts []roster.Part
		var sums []float64
		sum := 0.0
		for i := range l.Parts {
			parts = append(parts, roster.Part{ID: fmt.Sprintf("%s/%d/%d", c.Name, level, i), Tokens: drawSize(rng, l.Tokens)})
			sum += math.Pow(float64(i+1), -l.Skew)
			sums = append(sums, sum)
		}
		p.parts = append(p.parts, parts)
		p.cumulative = append(p.cumulative, sums)
	}
	return p
}

// prompt is the prompt of one request with the length of its response.
type prompt struct {
	shared                       []roster.Part
	unsharedTokens, outputTokens int
	unsharedID                   string
}

// next draws a prompt. The innermost part determines the outer ones, because all
// prompts on a subject begin with the same text. hotShare is the share of prompts
// that use the most popular innermost part in addition to its usual share.
func (p *promptSource) next(hotShare float64) prompt {
	last := len(p.parts) - 1
	sums := p.cumulative[last]
	subject := sort.SearchFloat64s(sums, p.rng.Float64()*sums[len(sums)-1])
	if p.rng.Float64() < hotShare {
		subject = 0
	}
	var shared []roster.Part
	for level, parts := range p.parts {
		i := subject
		if level < last {
			i = subject % len(parts)
		}
		shared = append(shared, parts[i])
	}
	p.drawn++
	return prompt{shared, drawSize(p.rng, p.class.Unshared), drawSize(p.rng, p.class.Output), fmt.Sprintf("%s/own/%d", p.class.Name, p.drawn)}
}

// interarrival draws the time until the next request. factor multiplies the rate.
func (p *promptSource) interarrival(factor float64) time.Duration {
	return time.Duration(p.rng.ExpFloat64() / (p.class.RequestsPerS * factor) * float64(time.Second))
}

// drawSize draws a size of at least 1.
func drawSize(rng *rand.Rand, s Size) int {
	return max(1, int(s.Mean*math.Exp(s.Spread*rng.NormFloat64()-s.Spread*s.Spread/2)))
}
