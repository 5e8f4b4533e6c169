// Package enginemodel simulates an inference engine in virtual time: batched
// steps, chunked prefill beside the decoding of other requests, a prompt cache
// in blocks with least-recently-used eviction, and weights that take time to
// load. The default figures are from the users' documentation.
//
// Tests and routing experiments use it. The roster doesn't call it: it has a
// simpler estimate of the time to the first token, see costmodel.Policy.
//
// # Usage
//
//	e := enginemodel.New(loop, &loading, enginemodel.Options{Slots: 48, CacheTokens: 116_169})
//	accepted := e.Offer(&enginemodel.Request{
//		Parts: parts, Unshared: unshared, OutputTokens: 10,
//		OnPrefill: prefill, OnFirstToken: firstToken, OnFinish: finish, OnBroken: broken,
//	})
//
// An Engine must be used only in the goroutine of its loop.
package enginemodel

import (
	"cmp"
	"slices"
	"time"

	"github.com/hibiscuscove/hibiscuscove/internal/virtualtime"
)

// Options set the capacity and speed of an engine. Zero fields get the figures
// of the engines in the deployment "association" of package experiment.
type Options struct {
	// Slots is the maximum number of running requests, MaxQueue the number that may
	// wait beside them.
	Slots, MaxQueue int
	// CacheTokens is the KV memory that running requests and cached parts share.
	// BlockTokens is the unit of eviction, ChunkTokens the prefill limit of a step.
	CacheTokens, BlockTokens, ChunkTokens int
	// StepMS is the fixed time of a step. Each running request adds StepMSPerRequest.
	StepMS, StepMSPerRequest float64
	// PrefillTokensPerMS is the prefill speed without attention.
	PrefillTokensPerMS float64
	// AttentionMSPerMPairs is the time per million pairs of tokens in prefill: each
	// token attends to all tokens before it.
	AttentionMSPerMPairs float64
	// Slowdown is the factor on the time of each step.
	Slowdown float64
	// FirstTokenMS is the time from the step that computes a token until the caller
	// of the engine is notified of it.
	FirstTokenMS float64
	// LinkTokensPerMS is the transfer rate of cached prompts.
	LinkTokensPerMS float64
	// LoadTime is how long loading new weights takes. When more than FullSpeedLoads
	// engines load at the same time, all take proportionally longer.
	LoadTime       time.Duration
	FullSpeedLoads int
}

func (o Options) withDefaults() Options {
	for _, f := range []struct {
		field *int
		value int
	}{{&o.Slots, 48}, {&o.MaxQueue, 144}, {&o.CacheTokens, 116_169}, {&o.BlockTokens, 16}, {&o.ChunkTokens, 2_048}, {&o.FullSpeedLoads, 3}} {
		if *f.field == 0 {
			*f.field = f.value
		}
	}
	for _, f := range []struct {
		field *float64
		value float64
	}{{&o.StepMS, 4.84}, {&o.StepMSPerRequest, 0.0725}, {&o.PrefillTokensPerMS, 74.8}, {&o.FirstTokenMS, 70}, {&o.AttentionMSPerMPairs, 0.232}, {&o.Slowdown, 1}, {&o.LinkTokensPerMS, 2_630}} {
		if *f.field == 0 {
			*f.field = f.value
		}
	}
	if o.LoadTime == 0 {
		o.LoadTime = 1900 * time.Millisecond
	}
	return o
}

// Source is an engine or a prompt store from which cached parts can be fetched.
type Source interface {
	cacheAndLink() (c *promptCache, l *link, up bool)
}

// Request is one run of a request on an engine.
type Request struct {
	// Parts are the shared parts of the prompt, outermost first.
	Parts []Part
	// Unshared is the last part of the prompt, which no other request shares.
	Unshared     Part
	OutputTokens int
	// Priority orders waiting requests, the lowest number first.
	Priority int
	// Version is the required version of the weights. Zero accepts any.
	Version int64
	// Source is where missing parts are fetched from. It may be nil.
	Source Source
	// SourceRemote is set when the source is in another data centre.
	SourceRemote bool
	// SaveTo is the store that receives the prompt after prefill. It may be nil.
	SaveTo *Store
	// OnPrefill is called for each shared part with the number of its tokens that must
	// be computed. It may be nil.
	OnPrefill func(p Part, tokens int)
	// OnFirstToken and OnFinish are called after the first and the last output token,
	// OnBroken when the request ends early. They must not be nil.
	OnFirstToken, OnFinish, OnBroken func()
	// OnToken is called after each step that gives an output token. It may be nil.
	OnToken func()

	// prefillLeft is the number of tokens still to compute before the first token.
	prefillLeft int
	// readyAt is when cached parts have been fetched and prefill can start.
	readyAt time.Time
	// decoded is the number of output tokens so far. It exceeds OutputTokens when the
	// request has finished.
	decoded int
}

// totalTokens returns the tokens of the prompt and the output together.
func (r *Request) totalTokens() int {
	sum := r.Unshared.Tokens + r.OutputTokens
	for _, p := range r.Parts {
		sum += p.Tokens
	}
	return sum
}

// LoadingCounter counts the engines that are loading weights. The zero value is ready
// to use.
type LoadingCounter struct{ active int }

// Engine is a simulated engine.
type Engine struct {
	loop    *virtualtime.Loop
	opts    Options
	loading *LoadingCounter
	cache   *promptCache
	link    link
	waiting []*Request
	running []*Request
	// reserved is the memory for the unshared parts and the outputs of running
	// requests, in tokens.
	reserved int
	// version is the version of the loaded weights. target is newer while a load
	// waits or runs.
	version int64
	target  int64
	down    bool
	// stepping is set while a step is scheduled.
	stepping bool
	// incarnation increases with each crash, which cancels what was scheduled before.
	incarnation int
	// FetchedTokens is the number of tokens fetched from sources.
	FetchedTokens int
}

// New returns an idle engine. Engines that share a LoadingCounter slow one another down
// while they load weights.
func New(loop *virtualtime.Loop, loading *LoadingCounter, opts Options) *Engine {
	opts = opts.withDefaults()
	return &Engine{
		loop: loop, opts: opts, loading: loading, version: 1, target: 1,
		cache: newPromptCache(opts.CacheTokens, opts.BlockTokens), link: link{tokensPerMS: opts.LinkTokensPerMS},
	}
}

// Version returns the version of the weights that are loaded.
func (e *Engine) Version() int64 { return e.version }

// Up reports whether the engine is running.
func (e *Engine) Up() bool { return !e.down }

// SetSlowdown changes Options.Slowdown from the next step on.
func (e *Engine) SetSlowdown(factor float64) { e.opts.Slowdown = factor }

// Requests returns the number of waiting and running requests.
func (e *Engine) Requests() int { return len(e.waiting) + len(e.running) }

// DrainEvents returns the changes to the prompt cache since the last call.
func (e *Engine) DrainEvents() []Event { return e.cache.drainEvents() }

// Offer queues a request and reports whether the engine accepted it. The engine
// rejects it when it is down, full, or waiting to load or loading weights, has other
// weights than r.Version, or has less memory than the request needs.
func (e *Engine) Offer(r *Request) bool {
	if e.down || e.target != e.version || r.Version != 0 && r.Version != e.version || len(e.running)+len(e.waiting) >= e.opts.Slots+e.opts.MaxQueue {
		return false
	}
	if total := r.totalTokens(); total > e.opts.CacheTokens {
		return false
	}
	e.waiting = append(e.waiting, r)
	slices.SortStableFunc(e.waiting, func(a, b *Request) int { return cmp.Compare(a.Priority, b.Priority) })
	e.step()
	return true
}

// idlePollInterval is the interval at which LoadWeights checks for running requests.
const idlePollInterval = 10 * time.Millisecond

// LoadWeights loads newer weights and calls done when they are in use. Running requests
// finish first, waiting ones break, and the prompt cache is cleared. LoadWeights does
// nothing if the engine is down, or has or is loading this version or a newer one. A crash
// cancels the load, and done is not called.
func (e *Engine) LoadWeights(version int64, done func()) {
	if e.down || version <= e.target {
		return
	}
	e.target = version
	waiting := e.waiting
	e.waiting = nil
	for _, r := range waiting {
		r.OnBroken()
	}
	incarnation := e.incarnation
	var loadWhenIdle func()
	loadWhenIdle = func() {
		switch {
		case incarnation != e.incarnation:
		case len(e.running) > 0:
			e.loop.After(idlePollInterval, loadWhenIdle)
		default:
			e.startLoading(version, done)
		}
	}
	loadWhenIdle()
}

// startLoading loads weights into an engine without running requests.
func (e *Engine) startLoading(version int64, done func()) {
	e.loading.active++
	duration := e.opts.LoadTime
	if active := e.loading.active; active > e.opts.FullSpeedLoads {
		duration = duration * time.Duration(active) / time.Duration(e.opts.FullSpeedLoads)
	}
	incarnation := e.incarnation
	e.loop.After(duration, func() {
		e.loading.active--
		if incarnation != e.incarnation {
			return
		}
		e.cache.clear()
		e.version = version
		done()
	})
}

// Crash breaks all requests. After the given down time the engine is up again with
// an empty cache, and onRestart is called.
func (e *Engine) Crash(down time.Duration, onRestart func()) {
	e.incarnation++
	broken := append(e.running, e.waiting...)
	e.running, e.waiting, e.reserved, e.stepping, e.down = nil, nil, 0, false, true
	e.cache.clear()
	e.target = e.version
	for _, r := range broken {
		r.OnBroken()
	}
	e.loop.After(down, func() {
		e.down = false
		onRestart()
	})
}

// step admits waiting requests and schedules the next step if any request is running.
func (e *Engine) step() {
	if e.stepping || e.down {
		return
	}
	e.admit()
	if len(e.running) == 0 {
		return
	}
	e.stepping = true
	budget := e.opts.ChunkTokens
	prefill := make([]int, len(e.running))
	ms := e.opts.StepMS + e.opts.StepMSPerRequest*float64(len(e.running))
	for i, r := range e.running {
		if r.prefillLeft > 0 && !r.readyAt.After(e.loop.Now()) {
			prefill[i] = min(r.prefillLeft, budget)
			budget -= prefill[i]
			pairs := float64(prefill[i]) * float64(r.totalTokens()-r.prefillLeft)
			ms += float64(prefill[i])/e.opts.PrefillTokensPerMS + pairs/1e6*e.opts.AttentionMSPerMPairs
		}
	}
	ms *= e.opts.Slowdown
	batch, incarnation := slices.Clone(e.running), e.incarnation
	e.loop.After(milliseconds(ms), func() {
		if incarnation != e.incarnation {
			return
		}
		e.stepping = false
		for i, r := range batch {
			e.advance(r, prefill[i])
		}
		e.running = slices.DeleteFunc(e.running, func(r *Request) bool { return r.decoded > r.OutputTokens })
		e.step()
	})
}

// advance applies one step to a request: prefill of some tokens, or one output
// token.
func (e *Engine) advance(r *Request, prefilled int) {
	if r.prefillLeft > 0 {
		r.prefillLeft -= prefilled
		if r.prefillLeft > 0 || prefilled == 0 {
			return
		}
		e.finishPrefill(r)
		e.loop.After(milliseconds(e.opts.FirstTokenMS), r.OnFirstToken)
		r.decoded = 1
		r.notifyToken()
		return
	}
	r.decoded++
	r.notifyToken()
	if r.decoded <= r.OutputTokens {
		return
	}
	e.reserved -= r.Unshared.Tokens + r.OutputTokens
	e.cache.addUsers(r.Parts, -1)
	e.cache.insert(r.Unshared)
	e.cache.evict(e.opts.CacheTokens - e.reserved)
	e.loop.After(milliseconds(e.opts.FirstTokenMS), r.OnFinish)
}

func (r *Request) notifyToken() {
	if r.OnToken != nil && r.decoded <= r.OutputTokens {
		r.OnToken()
	}
}

// finishPrefill caches the shared parts, keeps them from eviction while the request
// runs, and saves the prompt to the store.
func (e *Engine) finishPrefill(r *Request) {
	for _, p := range r.Parts {
		e.cache.insert(p)
		if r.SaveTo != nil {
			r.SaveTo.save(p)
		}
	}
	if r.SaveTo != nil {
		r.SaveTo.save(r.Unshared)
	}
	e.cache.addUsers(r.Parts, 1)
	e.cache.evict(e.opts.CacheTokens - e.reserved)
}

// admit starts waiting requests while there are free slots and enough memory.
func (e *Engine) admit() {
	for len(e.waiting) > 0 && len(e.running) < e.opts.Slots {
		r := e.waiting[0]
		shared := 0
		for _, p := range r.Parts {
			shared += p.Tokens
		}
		cached := e.cache.cachedTokens(r.Parts)
		need := r.Unshared.Tokens + r.OutputTokens
		e.cache.touch(r.Parts)
		if !e.cache.evict(e.opts.CacheTokens-e.reserved-need-(shared-cached)) && len(e.running) > 0 {
			return
		}
		// The eviction may have removed parts of this prompt.
		cached = e.cache.cachedTokens(r.Parts)
		e.waiting = e.waiting[1:]
		e.reserved += need
		r.readyAt = e.loop.Now()
		missing := shared - cached
		if missing > 0 && r.Source != nil {
			missing = e.fetch(r, cached, missing)
		}
		e.reportPrefill(r, shared-missing)
		r.prefillLeft = missing + r.Unshared.Tokens
		e.running = append(e.running, r)
	}
}

// reportPrefill calls OnPrefill for each shared part.
// cached is the number of tokens that need no prefill.
func (e *Engine) reportPrefill(r *Request, cached int) {
	for _, p := range r.Parts {
		found := min(cached, p.Tokens)
		cached -= found
		if r.OnPrefill != nil {
			r.OnPrefill(p, p.Tokens-found)
		}
	}
}

const (
	// cacheMissMS is the delay of a fetch that finds nothing, and sourceDownMS the delay
	// of one from a source that is down.
	cacheMissMS  = 1
	sourceDownMS = 300
	// maxTransferWait limits the time until a transfer ends, which includes the wait
	// for earlier transfers. Beyond it the tokens are computed.
	maxTransferWait = 2 * time.Second
	// remoteFactor is the factor on the transfer time between data centres.
	remoteFactor = 2
)

// fetch transfers the tokens that the source has cached beyond those of this
// engine. cached is the number of tokens cached here, and missing the number to get.
// It sets r.readyAt and returns the number of tokens still missing.
func (e *Engine) fetch(r *Request, cached, missing int) int {
	sourceCache, sourceLink, up := r.Source.cacheAndLink()
	now := e.loop.Now()
	if !up {
		r.readyAt = now.Add(milliseconds(sourceDownMS))
		return missing
	}
	sourceCache.touch(r.Parts)
	found := min(sourceCache.cachedTokens(r.Parts)-cached, missing)
	if found <= 0 {
		r.readyAt = now.Add(milliseconds(cacheMissMS))
		return missing
	}
	factor := 1.0
	if r.SourceRemote {
		factor = remoteFactor
	}
	end := sourceLink.schedule(now, found, factor)
	if ownEnd := e.link.schedule(now, found, factor); ownEnd.After(end) {
		end = ownEnd
	}
	if end.Sub(now) > maxTransferWait {
		return missing
	}
	r.readyAt = end
	e.FetchedTokens += found
	return missing - found
}

func (e *Engine) cacheAndLink() (*promptCache, *link, bool) { return e.cache, &e.link, !e.down }

func (s *Store) cacheAndLink() (*promptCache, *link, bool) { return s.cache, &s.link, s.up }

// link is a network link that runs one transfer after the other.
type link struct {
	tokensPerMS float64
	freeAt      time.Time
}

// schedule queues a transfer and returns its end. factor multiplies its duration.
func (l *link) schedule(now time.Time, tokens int, factor float64) time.Time {
	if l.freeAt.Before(now) {
		l.freeAt = now
	}
	l.freeAt = l.freeAt.Add(milliseconds(factor * float64(tokens) / l.tokensPerMS))
	return l.freeAt
}

func milliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

// SetLinkSlowdown divides the transfer rate to and from the engine by a factor.
func (e *Engine) SetLinkSlowdown(factor float64) {
	e.link.tokensPerMS = e.opts.LinkTokensPerMS / factor
}
