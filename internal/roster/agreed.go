package roster

import (
	"cmp"
	"slices"
	"time"
)

// In a sparse fleet no VM knows what the others have sent where, and the
// engines' memory is too small for a copy of each prompt in every data centre.
// So all VMs agree on where a prompt lies: each has a home by rendezvous
// hashing, and a few engines to go to when the home is busy or away.

const (
	// homes is how many engines a prompt may go to before any other.
	homes = 4
	// agreedHomeShare is the part of a prompt's shared parts that its home is
	// thought to lack: they yield to others now and then.
	agreedHomeShare = 0.25
	// rankMS makes VMs agree on the order of the engines beside the home.
	rankMS = 15
	// agreedWaitMS is the wait for a first token over which any engine will do.
	agreedWaitMS = 300
)

// pickAgreed returns the prompt's home, or where it goes when that is busy.
func (t *Table) pickAgreed(now time.Time, list []*member, q Query) Choice {
	key := promptKey(q)
	ranked := make([]*member, 0, homes+1)
	for _, m := range list {
		i, _ := slices.BinarySearchFunc(ranked, m, func(a, b *member) int { return cmp.Compare(b.rank(key), a.rank(key)) })
		if i < homes {
			ranked = slices.Insert(ranked, i, m)
			ranked = ranked[:min(homes, len(ranked))]
		}
	}
	best := Choice{}
	for i, m := range ranked {
		best = best.or(t.agreedCost(now, m, q, i, ranked))
	}
	if !best.Fit || best.Places <= 0 || best.WaitMS > agreedWaitMS {
		for _, m := range list {
			if !slices.Contains(ranked, m) {
				best = best.or(t.agreedCost(now, m, q, homes, ranked))
			}
		}
	}
	best.Candidates = len(list)
	return best
}

// agreedCost is the cost of an engine of a rank for the prompt, 0 for its home.
func (t *Table) agreedCost(now time.Time, m *member, q Query, rank int, ranked []*member) Choice {
	p := t.opts.Policy
	load := t.total(m)
	c, faults := t.base(now, m, load)
	shared := 0
	for _, part := range q.Parts {
		shared += part.Tokens
	}
	lacks := float64(shared)
	if rank == 0 {
		lacks *= agreedHomeShare
	}
	c.Source = t.agreedSource(now, m, q, ranked)
	if t.store != nil && t.store.up && t.storeSource(now, m.upstream.Version, q.Parts).tokens < shared {
		c.Save = t.store.upstream.Address
	}
	reads := lacks
	if c.Source.ID != "" {
		// What is fetched need not be read, but its copy takes the place of others.
		reads *= agreedHomeShare
		c.CostMS += p.FetchMS
	}
	c.MissingTokens = int(reads) + q.OwnTokens
	c.WaitMS = (float64(load.WaitingTokens) + reads + float64(q.OwnTokens)) / p.ReadTokensPerMS
	c.CostMS += (float64(load.WaitingTokens)+p.SharedWeight*lacks+float64(q.OwnTokens))/p.ReadTokensPerMS + rankMS*float64(rank)
	c.CostMS += t.crowdCost(now, &c, m, load, q, shared) + faults
	return c
}

// agreedSource is the first of the prompt's engines beside m that has the same
// weights, or the store where that is known to have the prompt.
func (t *Table) agreedSource(now time.Time, m *member, q Query, ranked []*member) Upstream {
	if m == ranked[0] {
		if s := t.storeSource(now, m.upstream.Version, q.Parts); s.tokens > 0 {
			return s.upstream
		}
	}
	for _, r := range ranked {
		if r != m && r.upstream.Version == m.upstream.Version && !t.avoids(now, r) && !r.isLoading(now) && r.lapsed.IsZero() {
			return r.upstream
		}
	}
	return Upstream{}
}
