package experiment

import (
	"fmt"
	"math"
	"math/rand/v2"
	"sort"
	"time"

	"github.com/hibiscuscove/hibiscuscove/internal/roster"
)

// prompts draws the prompts of one class.
type prompts struct {
	class Class
	rng   *rand.Rand
	parts [][]roster.Part
	// sums are the running sums of the popularity of each level's things.
	sums [][]float64
	own  int
}

func newPrompts(c Class, rng *rand.Rand) *prompts {
	p := &prompts{class: c, rng: rng}
	for level, l := range c.Shared {
		var parts []roster.Part
		var sums []float64
		sum := 0.0
		for i := range l.Things {
			parts = append(parts, roster.Part{ID: fmt.Sprintf("%s/%d/%d", c.Name, level, i), Tokens: draw(rng, l.Tokens)})
			sum += math.Pow(float64(i+1), -l.Skew)
			sums = append(sums, sum)
		}
		p.parts = append(p.parts, parts)
		p.sums = append(p.sums, sums)
	}
	return p
}

// prompt is one request's prompt.
type prompt struct {
	shared   []roster.Part
	own, out int
	ownID    string
}

// next draws a prompt. The outer parts follow from the innermost, as a subject
// always has the same standard. hot is how often the most asked subject is
// asked beyond its share.
func (p *prompts) next(hot float64) prompt {
	last := len(p.parts) - 1
	sums := p.sums[last]
	subject := sort.SearchFloat64s(sums, p.rng.Float64()*sums[len(sums)-1])
	if p.rng.Float64() < hot {
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
	p.own++
	return prompt{shared, draw(p.rng, p.class.Own), draw(p.rng, p.class.Out), fmt.Sprintf("%s/own/%d", p.class.Name, p.own)}
}

// wait draws the time to the next request.
func (p *prompts) wait(times float64) time.Duration {
	return time.Duration(p.rng.ExpFloat64() / (p.class.PerS * times) * float64(time.Second))
}

// draw draws a size of 1 or more.
func draw(rng *rand.Rand, s Size) int {
	return max(1, int(s.Mean*math.Exp(s.Spread*rng.NormFloat64()-s.Spread*s.Spread/2)))
}
