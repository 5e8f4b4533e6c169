package roster

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Rule says what decides where a prompt goes.
type Rule string

// The rules. The last two are for comparison.
const (
	// ByPrompt weighs what is kept of the prompt, waiting work and distance.
	ByPrompt Rule = ""
	// ByLoad takes the engine with the fewest requests.
	ByLoad Rule = "load"
	// ByHash takes the home of the innermost shared part, full or not.
	ByHash Rule = "hash"
)

// Known reports whether the rule is one of those above.
func (r Rule) Known() bool { return r == ByPrompt || r == ByLoad || r == ByHash }

// Policy weighs the upstreams of a service. Costs are in milliseconds until
// the first token. The zero value stands for the defaults.
type Policy struct {
	Rule Rule `json:"rule"`
	// ReadTokensPerMS is how fast an engine reads a prompt.
	ReadTokensPerMS float64 `json:"read_tokens_per_ms"`
	// SharedWeight multiplies the cost of reading shared parts anew, which
	// others pay for as well.
	SharedWeight float64 `json:"shared_weight"`
	// FetchMS is the cost of fetching kept memory from another engine.
	FetchMS float64 `json:"fetch_ms"`
	// DistanceMS is added for an upstream in another data centre.
	DistanceMS float64 `json:"distance_ms"`
	// RunningMS is added for each request that runs there.
	RunningMS float64 `json:"running_ms"`
	// OutdatedMS is added for an engine with older weights than named.
	OutdatedMS float64 `json:"outdated_ms"`
	// PlainMS is added for each request on a plain service.
	PlainMS float64 `json:"plain_ms"`
	// StartMS is the time until the first token of a prompt that is kept, at an
	// idle engine.
	StartMS float64 `json:"start_ms"`
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
	set(&p.StartMS, 80)
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

// judgedTokens is the longest prompt that is judged by its whole length: the
// usual long one, most of whose shared parts are kept.
const judgedTokens = 4_500

// homeShare is the part of a prompt's unknown shared parts that its home is
// thought to lack.
const homeShare = 0.3

// Query asks for an upstream.
type Query struct {
	Service string
	// Parts are the shared parts of the prompt, outermost first.
	Parts []Part
	// UnsharedTokens are the prompt's other tokens, OutputTokens the most that come out.
	UnsharedTokens, OutputTokens int
	Model                        string
	// Exclude names the upstreams that have been tried.
	Exclude []string
}

// Choice is an upstream and why it was picked.
type Choice struct {
	Upstream Upstream
	// CostMS is the estimate that decided, in milliseconds.
	CostMS float64
	// WaitMS is how long it takes to read what waits there and the prompt.
	WaitMS float64
	// FirstTokenMS is the estimate of the time until the first token: WaitMS, as much
	// longer as first tokens took lately, and what passes at an idle engine. Long
	// prompts are judged as if they were as long as the usual one, by the queue
	// that they meet: the longest would be late anywhere.
	FirstTokenMS float64
	// MissingTokens are the tokens that it is thought to have to read.
	MissingTokens int
	// FreeSlots says how many requests fit beside those that are there.
	FreeSlots int
	// Candidates is how many upstreams were weighed.
	Candidates int
	// Source is the engine to fetch kept memory from. Its ID is empty if there
	// is none that has more than the upstream.
	Source Upstream
	// SaveTo is the store's address if it should get what the upstream reads anew.
	SaveTo string
	// Home says that all VMs send the prompt there if they can.
	Home bool
	// Healthy is false if the upstream is a last resort: avoided, lapsed or loading.
	Healthy bool
	// idle says that no prompt is known to wait there.
	idle bool
}

// Pick returns the upstream where the request costs least.
func (t *Table) Pick(now time.Time, q Query) (Choice, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []*member
	floor := t.named.Floor(now, q.Model, t.disturbed, t.opts.VersionLimits)
	for _, m := range t.members {
		u := m.upstream
		if u.Service != q.Service || u.Leaving || u.Version < floor || slices.Contains(q.Exclude, u.ID) {
			continue
		}
		list = append(list, m)
	}
	if len(list) == 0 {
		return Choice{}, false
	}
	t.peers.expire(now)
	var best Choice
	if t.sparse && len(q.Parts) > 0 && t.opts.Policy.Rule == ByPrompt {
		best = t.pickAgreed(now, list, q)
	} else {
		best = t.pickKnown(now, list, q)
	}
	best.Candidates = len(list)
	tooLong := float64(max(0, best.MissingTokens-judgedTokens)) / t.opts.Policy.ReadTokensPerMS
	times := t.pace.times()
	if best.idle {
		// It need not wait, whatever others had to; its first token tells of the end
		// of a crunch.
		times = 1
	}
	best.FirstTokenMS = t.opts.Policy.StartMS + times*(best.WaitMS-tooLong)
	return best, true
}

// pickKnown weighs all upstreams by what is known of them.
func (t *Table) pickKnown(now time.Time, list []*member, q Query) Choice {
	home := t.home(list, q)
	sources := t.sources(now, list, q.Parts)
	best := Choice{}
	for _, m := range list {
		best = best.or(t.cost(now, m, q, m == home, sources))
	}
	return best
}

// or returns the better one of two choices.
func (c Choice) or(d Choice) Choice {
	if c.Upstream.ID == "" || d.CostMS < c.CostMS || d.CostMS == c.CostMS && strings.Compare(d.Upstream.ID, c.Upstream.ID) < 0 {
		return d
	}
	return c
}

// home returns the upstream that the prompt's innermost shared part belongs to
// by rendezvous hashing, so that VMs that know nothing agree.
func (t *Table) home(list []*member, q Query) *member {
	if len(q.Parts) == 0 {
		return nil
	}
	key := promptKey(q)
	return slices.MaxFunc(list, func(a, b *member) int {
		return cmp.Or(cmp.Compare(a.rank(key), b.rank(key)), strings.Compare(a.upstream.ID, b.upstream.ID))
	})
}

// promptKey is the hash by which a prompt finds its home.
func promptKey(q Query) uint64 { return xxhash.Sum64String(q.Parts[len(q.Parts)-1].ID) }

// rank mixes two hashes; the steps are those of the finalizer of splitmix64.
func (m *member) rank(key uint64) uint64 {
	x := key ^ m.seed
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

func (t *Table) cost(now time.Time, m *member, q Query, home bool, sources map[int64]source) Choice {
	load := t.total(m)
	c, faults := t.base(now, m, load)
	c.Home = home
	if q.Model != "" {
		c.CostMS += t.engineCost(now, &c, m, load, q, home, sources[m.upstream.Version])
	} else {
		c.CostMS += t.opts.Policy.PlainMS * float64(load.Requests)
	}
	c.CostMS += faults
	return c
}

// base returns a choice with what does not depend on the prompt, and the cost
// of the upstream's faults.
func (t *Table) base(now time.Time, m *member, load Load) (c Choice, faultsMS float64) {
	u := m.upstream
	c = Choice{Upstream: u, FreeSlots: u.Slots - load.Requests, Healthy: true, idle: load.WaitingTokens == 0}
	if u.DataCentre != t.opts.DataCentre {
		c.CostMS += t.opts.Policy.DistanceMS
	}
	if c.FreeSlots <= 0 {
		faultsMS += fullMS * (1 - float64(c.FreeSlots)/float64(max(1, u.Slots)))
	}
	for _, fault := range []struct {
		is   bool
		cost float64
	}{
		{!m.lapsed.IsZero(), lapsedMS},
		{t.avoids(now, m), avoidedMS},
		{m.isLoading(now), loadingMS},
	} {
		if fault.is {
			faultsMS += fault.cost
			c.Healthy = false
		}
	}
	return c, faultsMS
}

// avoids reports whether the upstream could not be reached lately, by this VM
// or by several peers.
func (t *Table) avoids(now time.Time, m *member) bool {
	return m.avoid.After(now) || t.peers.avoided[m.upstream.ID] >= witnesses && !within(now, m.heard, newsLifetime)
}

// engineCost estimates when the first token comes: what waits there is read
// first, then what the engine lacks of the prompt.
func (t *Table) engineCost(now time.Time, c *Choice, m *member, load Load, q Query, home bool, from source) float64 {
	p := t.opts.Policy
	shared := 0
	for _, part := range q.Parts {
		shared += part.Tokens
	}
	missing := float64(shared - m.kept.Have(q.Parts))
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
		c.SaveTo = t.store.upstream.Address
	}
	c.MissingTokens = int(missing) + q.UnsharedTokens
	c.WaitMS = (float64(load.WaitingTokens) + missing + float64(q.UnsharedTokens)) / p.ReadTokensPerMS
	switch p.Rule {
	case ByLoad:
		return p.RunningMS * float64(load.Requests)
	case ByHash:
		if home {
			return 0
		}
		return fullMS
	}
	cost := fetch + (float64(load.WaitingTokens)+p.SharedWeight*missing+float64(q.UnsharedTokens))/p.ReadTokensPerMS
	return cost + t.crowdCost(now, c, m, load, q, shared)
}

// crowdCost is the cost of what runs at the engine, of its weights and of its memory.
func (t *Table) crowdCost(now time.Time, c *Choice, m *member, load Load, q Query, shared int) float64 {
	p := t.opts.Policy
	cost := p.RunningMS * float64(load.Requests)
	if newest, since := t.named.Newest(m.upstream.Model); m.upstream.Version < newest {
		cost += p.OutdatedMS
		if limit := t.opts.VersionLimits.MaxSpan; limit > 0 && now.Sub(since) > limit {
			cost += expiredMS
		}
	}
	capacity := t.caches[m.upstream.Service]
	if need := load.Tokens + shared + q.UnsharedTokens + q.OutputTokens; capacity > 0 && need > capacity {
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
		if t.avoids(now, m) || m.isLoading(now) || !m.lapsed.IsZero() {
			continue
		}
		if s := (source{m, m.upstream, m.kept.Ready(now, parts)}); s.tokens > 0 && t.better(s, known) {
			best[version] = s
		}
	}
	return best
}

// better reports whether a source has more than another one, or as much and
// less else to do.
func (t *Table) better(s, than source) bool {
	if s.tokens != than.tokens || than.member == nil {
		return s.tokens >= than.tokens
	}
	near := func(s source) int {
		if s.upstream.DataCentre == t.opts.DataCentre {
			return 1
		}
		return 0
	}
	return cmp.Or(cmp.Compare(near(s), near(than)), cmp.Compare(than.member.own.Requests, s.member.own.Requests),
		strings.Compare(than.upstream.ID, s.upstream.ID)) > 0
}

func (t *Table) storeSource(now time.Time, version int64, parts []Part) source {
	if t.store == nil || !t.store.up {
		return source{}
	}
	return source{upstream: t.store.upstream, tokens: t.store.kept.Ready(now, stored(version, parts))}
}
