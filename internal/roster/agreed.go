package roster

import (
	"cmp"
	"slices"
	"time"
)

// In a sparse fleet no VM knows what the others have sent where, and the
// engines' memory is too small for a copy of each prompt in every data centre.
// So all VMs agree on where a prompt lies: it has a home by rendezvous hashing,
// and others to go to when the home is busy. Every engine has its share of the
// prompts, whatever its weights, so that those which are the first to get new
// ones are not overrun by VMs that don't see one another's requests.

const (
	// homes is how many engines a prompt may go to before any other.
	homes = 4
	// agreedHomeShare is the part of a prompt's shared parts that its home is
	// thought to lack: they yield to others now and then.
	agreedHomeShare = 0.25
	// warmUp is how long an engine needs until it has most of its prompts, after
	// a start or with new weights.
	warmUp = 4 * time.Second
	// rankMS makes VMs agree on the order of the engines beside the home.
	rankMS = 15
)

// pickAgreed returns the prompt's home, or where it goes when that is busy.
func (t *Table) pickAgreed(now time.Time, list []*member, q Query) Choice {
	key := promptKey(q)
	byRank := func(a, b *member) int { return cmp.Compare(b.rank(key), a.rank(key)) }
	ranked := make([]*member, 0, homes+1)
	sources := make(map[int64]*agreedSources)
	for _, m := range list {
		s := sources[m.upstream.Version]
		if s == nil {
			s = &agreedSources{stored: t.storeSource(now, m.upstream.Version, q.Parts)}
			sources[m.upstream.Version] = s
		}
		if t.avoids(now, m) || !m.lapsed.IsZero() {
			continue
		}
		// One that is about to change its weights still has what it had.
		s.add(m, byRank)
		if m.isLoading(now) {
			continue
		}
		if i, _ := slices.BinarySearchFunc(ranked, m, byRank); i < homes {
			ranked = slices.Insert(ranked, i, m)
			ranked = ranked[:min(homes, len(ranked))]
		}
	}
	best := Choice{}
	for rank, m := range ranked {
		best = best.or(t.agreedCost(now, m, q, rank, sources[m.upstream.Version]))
	}
	// Others would only have more to read.
	if !best.Healthy || best.FreeSlots <= 0 {
		for _, m := range list {
			if !slices.Contains(ranked, m) {
				best = best.or(t.agreedCost(now, m, q, homes, sources[m.upstream.Version]))
			}
		}
	}
	return best
}

// agreedSources is where a prompt most likely lies for engines of one version.
type agreedSources struct {
	// first and second are the engines that come first for the prompt.
	first, second *member
	// stored is what the store of kept prompts has of it.
	stored source
}

func (s *agreedSources) add(m *member, byRank func(a, b *member) int) {
	switch {
	case s.first == nil || byRank(m, s.first) < 0:
		s.first, s.second = m, s.first
	case s.second == nil || byRank(m, s.second) < 0:
		s.second = m
	}
}

// without returns the first of the two engines that is not m, or nil.
func (s *agreedSources) without(m *member) *member {
	if s.first == m {
		return s.second
	}
	return s.first
}

// agreedCost is the cost of an engine of a rank for the prompt, 0 for its home.
func (t *Table) agreedCost(now time.Time, m *member, q Query, rank int, sources *agreedSources) Choice {
	p := t.opts.Policy
	load := t.total(m)
	c, faults := t.base(now, m, load)
	shared := 0
	for _, part := range q.Parts {
		shared += part.Tokens
	}
	lacks := float64(shared)
	c.Home = rank == 0
	if c.Home {
		lacks *= agreedHomeShare
	}
	other := sources.without(m)
	switch {
	case sources.stored.tokens > 0 && sources.first == m:
		c.Source = sources.stored.upstream
	case other != nil:
		c.Source = other.upstream
	}
	if t.store != nil && t.store.up && sources.stored.tokens < shared {
		c.SaveTo = t.store.upstream.Address
	}
	reads := lacks
	switch {
	case c.Home && sources.first == m:
		// None but the home can have the prompt, and it may be new.
		reads = max(reads, float64(shared)*(1-float64(now.Sub(m.since))/float64(warmUp)))
	case c.Source.ID != "":
		// What is fetched need not be read, but its copy takes the place of others.
		reads = agreedHomeShare * float64(shared)
		c.CostMS += p.FetchMS
	}
	c.MissingTokens = int(reads) + q.UnsharedTokens
	c.WaitMS = (float64(load.WaitingTokens) + reads + float64(q.UnsharedTokens)) / p.ReadTokensPerMS
	// In a crunch what is read anew makes all wait, so prompts stay where they are.
	reading := p.SharedWeight * t.pace.times() * lacks
	c.CostMS += (float64(load.WaitingTokens)+reading+float64(q.UnsharedTokens))/p.ReadTokensPerMS + rankMS*float64(rank)
	c.CostMS += t.crowdCost(now, &c, m, load, q, shared) + faults
	return c
}
