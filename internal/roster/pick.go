package roster

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Policy weighs the upstreams of a service. Costs are in milliseconds until
// the first token. The zero value stands for the defaults.
type Policy struct {
	// ReadTokensPerMS is how fast an engine reads a prompt.
	ReadTokensPerMS float64
	// SharedWeight multiplies the cost of reading shared parts anew, which
	// others pay for as well.
	SharedWeight float64
	// FetchMS is the cost of fetching kept memory from another engine.
	FetchMS float64
	// DistanceMS is added for an upstream in another data centre.
	DistanceMS float64
	// RunningMS is added for each request that runs there.
	RunningMS float64
	// OutdatedMS is added for an engine with older weights than named.
	OutdatedMS float64
	// PlainMS is added for each request on a plain service.
	PlainMS float64
}

func (p Policy) withDefaults() Policy {
	set := func(field *float64, value float64) {
		if *field == 0 {
			*field = value
		}
	}
	set(&p.ReadTokensPerMS, 75)
	set(&p.SharedWeight, 3)
	set(&p.FetchMS, 20)
	set(&p.DistanceMS, 10)
	set(&p.RunningMS, 3)
	set(&p.OutdatedMS, 100)
	set(&p.PlainMS, 20)
	return p
}

// Costs that put an upstream behind all that lack the fault, in milliseconds.
const (
	fullMS    = 400
	expiredMS = 1_000
	lapsedMS  = 5_000
	avoidedMS = 20_000
	loadingMS = 50_000
)

// homeShare is the part of a prompt's unknown shared parts that its home is
// thought to lack.
const homeShare = 0.3

// Query asks for an upstream.
type Query struct {
	Service string
	// Parts are the shared parts of the prompt, outermost first.
	Parts []Part
	// OwnTokens are the prompt's other tokens, OutputTokens the most that come out.
	OwnTokens, OutputTokens int
	Model                   string
	// Without names the upstreams that have been tried.
	Without []string
}

// Choice is an upstream and why it was picked.
type Choice struct {
	Upstream Upstream
	// CostMS is the estimate that decided, in milliseconds.
	CostMS float64
	// WaitMS is the estimate of the time until the first token.
	WaitMS float64
	// MissingTokens are the tokens that it is thought to have to read.
	MissingTokens int
	// Places says how many requests fit beside those that are there.
	Places int
	// Candidates is how many upstreams were weighed.
	Candidates int
	// Source is the engine to fetch kept memory from. Its ID is empty if there
	// is none that has more than the upstream.
	Source Upstream
	// Save is the store's address if it should get what the upstream reads anew.
	Save string
	// Fit is false if the upstream is a last resort: avoided, lapsed or loading.
	Fit bool
}

// Pick returns the upstream where the request costs least.
func (t *Table) Pick(now time.Time, q Query) (Choice, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []*member
	floor := t.named[q.Model].floor(now, t.disturbed, t.opts.VersionLimits)
	for _, m := range t.members {
		u := m.upstream
		if u.Service != q.Service || u.Leaving || u.Version < floor || slices.Contains(q.Without, u.ID) {
			continue
		}
		list = append(list, m)
	}
	if len(list) == 0 {
		return Choice{}, false
	}
	home := t.home(list, q)
	sources := t.sources(now, list, q.Parts)
	best := Choice{}
	for _, m := range list {
		c := t.cost(now, m, q, m == home, sources)
		if best.Candidates == 0 || c.CostMS < best.CostMS ||
			c.CostMS == best.CostMS && strings.Compare(c.Upstream.ID, best.Upstream.ID) < 0 {
			best = c
			best.Candidates = len(list)
		}
	}
	return best, true
}

// home returns the upstream that the prompt's innermost shared part belongs to
// by rendezvous hashing, so that VMs that know nothing agree.
func (t *Table) home(list []*member, q Query) *member {
	if len(q.Parts) == 0 {
		return nil
	}
	key := q.Parts[len(q.Parts)-1].ID
	return slices.MaxFunc(list, func(a, b *member) int {
		return cmp.Or(cmp.Compare(rank(key, a), rank(key, b)), strings.Compare(a.upstream.ID, b.upstream.ID))
	})
}

func rank(key string, m *member) uint64 { return xxhash.Sum64String(key + "/" + m.upstream.ID) }

func (t *Table) cost(now time.Time, m *member, q Query, home bool, sources map[int64]source) Choice {
	p := t.opts.Policy
	u := m.upstream
	load := m.total(now)
	c := Choice{Upstream: u, Places: u.Slots - load.Requests, Fit: true}
	if u.DataCentre != t.opts.DataCentre {
		c.CostMS += t.distanceX * p.DistanceMS
	}
	if q.Model != "" {
		c.CostMS += t.engineCost(now, &c, m, load, q, home, sources[u.Version])
	} else {
		c.CostMS += p.PlainMS * float64(load.Requests)
	}
	if c.Places <= 0 {
		c.CostMS += fullMS * (1 - float64(c.Places)/float64(max(1, u.Slots)))
	}
	for _, fault := range []struct {
		is   bool
		cost float64
	}{
		{!m.lapsed.IsZero(), lapsedMS},
		{m.avoid.After(now), avoidedMS},
		{m.isLoading(now), loadingMS},
	} {
		if fault.is {
			c.CostMS += fault.cost
			c.Fit = false
		}
	}
	return c
}

// engineCost estimates when the first token comes: what waits there is read
// first, then what the engine lacks of the prompt.
func (t *Table) engineCost(now time.Time, c *Choice, m *member, load Load, q Query, home bool, from source) float64 {
	p := t.opts.Policy
	shared := 0
	for _, part := range q.Parts {
		shared += part.Tokens
	}
	missing := float64(shared - m.kept.have(q.Parts))
	fetch := 0.0
	switch {
	case from.member != m && from.tokens > shared-int(missing):
		missing = float64(shared - from.tokens)
		c.Source = from.upstream
		fetch = p.FetchMS
	case home && missing == float64(shared):
		missing *= homeShare
	}
	if t.store != nil && t.store.up && missing > 0 {
		c.Save = t.store.upstream.Address
	}
	c.MissingTokens = int(missing) + q.OwnTokens
	c.WaitMS = (float64(load.WaitingTokens) + missing + float64(q.OwnTokens)) / p.ReadTokensPerMS
	cost := fetch + (float64(load.WaitingTokens)+p.SharedWeight*missing+float64(q.OwnTokens))/p.ReadTokensPerMS
	cost += p.RunningMS * float64(load.Requests)
	if named := t.named[m.upstream.Model]; m.upstream.Version < named.version {
		cost += p.OutdatedMS
		if now.Sub(named.since) > t.opts.VersionLimits.Span {
			cost += expiredMS
		}
	}
	capacity := t.caches[m.upstream.Service]
	if need := load.Tokens + shared + q.OwnTokens + q.OutputTokens; capacity > 0 && need > capacity {
		full := fullMS * float64(need) / float64(capacity)
		cost += full
		c.WaitMS += full
	}
	return cost
}

// source is where the most of a prompt is kept: an engine, or the store, which
// has no member.
type source struct {
	member   *member
	upstream Upstream
	tokens   int
}

// readyAfter is how long after they were sent parts are counted on as read.
const readyAfter = 150 * time.Millisecond

// sources returns the best source of each version of the weights. The store is
// taken where no engine has as much.
func (t *Table) sources(now time.Time, list []*member, parts []Part) map[int64]source {
	best := make(map[int64]source)
	if len(parts) == 0 {
		return best
	}
	for _, m := range list {
		version := m.upstream.Version
		known, seen := best[version]
		if !seen {
			known = t.storeSource(now, version, parts)
			best[version] = known
		}
		if m.avoid.After(now) || m.isLoading(now) || !m.lapsed.IsZero() {
			continue
		}
		if tokens := m.kept.ready(now, parts); tokens > 0 && tokens >= known.tokens {
			best[version] = source{m, m.upstream, tokens}
		}
	}
	return best
}

func (t *Table) storeSource(now time.Time, version int64, parts []Part) source {
	if t.store == nil || !t.store.up {
		return source{}
	}
	return source{upstream: t.store.upstream, tokens: t.store.kept.ready(now, stored(version, parts))}
}
