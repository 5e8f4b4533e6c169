// Package enginemodel is a model of a model engine, in virtual time: requests
// in steps, prompts read in chunks between the tokens of others, memory in
// blocks that yields by last use, weights that take time to load. Its figures
// are those of the users' pages.
//
// It serves tests and experiments on where requests go, and the estimate of
// the first token that the pick uses.
//
// # Usage
//
//	e := enginemodel.New(loop, enginemodel.Options{Slots: 48, MemoryTokens: 116_169})
//	taken := e.Offer(&enginemodel.Request{Parts: parts, OwnTokens: 2_890, OutputTokens: 10, First: first, End: end})
//
// An Engine is for the goroutine of its loop.
package enginemodel

import (
	"cmp"
	"slices"
	"time"

	"github.com/hibiscuscove/hibiscuscove/internal/virtualtime"
)

// Options are an engine's figures. The zero value stands for those of the
// association's engines.
type Options struct {
	Slots, Queue int
	// MemoryTokens is the memory of running requests and of kept parts.
	MemoryTokens, BlockTokens, ChunkTokens int
	// StepMS is the least time of a step, StepRequestMS what each running request adds.
	StepMS, StepRequestMS float64
	ReadTokensPerMS       float64
	// PairsMSPerM is what a million pairs of tokens add: each token read looks at
	// those before it.
	PairsMSPerM float64
	// Slower multiplies the time of each step.
	Slower float64
	// FirstMS passes between a prompt's last chunk and its first token.
	FirstMS float64
	// LinkTokensPerMS is how fast kept memory moves.
	LinkTokensPerMS float64
	// Load is how long new weights take, while at most LoadsAtOnce engines load.
	Load        time.Duration
	LoadsAtOnce int
}

func (o Options) withDefaults() Options {
	for _, f := range []struct {
		field *int
		value int
	}{{&o.Slots, 48}, {&o.Queue, 144}, {&o.MemoryTokens, 116_169}, {&o.BlockTokens, 16}, {&o.ChunkTokens, 2_048}, {&o.LoadsAtOnce, 3}} {
		if *f.field == 0 {
			*f.field = f.value
		}
	}
	for _, f := range []struct {
		field *float64
		value float64
	}{{&o.StepMS, 4.84}, {&o.StepRequestMS, 0.0725}, {&o.ReadTokensPerMS, 74.8}, {&o.FirstMS, 70}, {&o.PairsMSPerM, 0.232}, {&o.Slower, 1}, {&o.LinkTokensPerMS, 2_630}} {
		if *f.field == 0 {
			*f.field = f.value
		}
	}
	if o.Load == 0 {
		o.Load = 1900 * time.Millisecond
	}
	return o
}

// Source is where kept memory is fetched from: an engine or a store.
type Source interface {
	keptMemory() (k *kept, l *link, up bool)
}

// Request is one run.
type Request struct {
	// Parts are the shared parts of the prompt, outermost first.
	Parts []Part
	// Own is the prompt's last part, which no other request shares.
	Own          Part
	OutputTokens int
	Priority     int
	Version      int64
	Source       Source
	// Far says that the source is in another data centre.
	Far  bool
	Save *Store
	// Read hears how many tokens of each shared part must be read.
	Read func(p Part, tokens int)
	// First, End and BrokeOff hear of the first token and of the end.
	First, End, BrokeOff func()

	left    int
	ready   time.Time
	decoded int
}

// tokens are all that the request takes.
func (r *Request) tokens() int {
	sum := r.Own.Tokens + r.OutputTokens
	for _, p := range r.Parts {
		sum += p.Tokens
	}
	return sum
}

// Loads counts the engines that load weights at the same time.
type Loads struct{ now int }

// Engine is one engine.
type Engine struct {
	loop    *virtualtime.Loop
	opts    Options
	loads   *Loads
	kept    *kept
	link    link
	waiting []*Request
	running []*Request
	// private are the tokens of running requests that are not kept parts.
	private  int
	version  int64
	target   int64
	down     bool
	stepping bool
	life     int
	// Moved are the tokens that were fetched.
	Moved int
}

// New returns an idle engine. Engines that slow one another's loads share loads.
func New(loop *virtualtime.Loop, loads *Loads, opts Options) *Engine {
	opts = opts.withDefaults()
	return &Engine{
		loop: loop, opts: opts, loads: loads, version: 1, target: 1,
		kept: newKept(opts.MemoryTokens, opts.BlockTokens), link: link{tokensPerMS: opts.LinkTokensPerMS},
	}
}

// Version returns the weights that the engine has.
func (e *Engine) Version() int64 { return e.version }

// Up reports whether the engine answers.
func (e *Engine) Up() bool { return !e.down }

// Requests is how many requests the engine has.
func (e *Engine) Requests() int { return len(e.waiting) + len(e.running) }

// TakeEvents returns what has changed in its memory since the last call.
func (e *Engine) TakeEvents() []Event { return e.kept.takeEvents() }

// Offer gives the engine a request. It is turned away if the engine is full, is
// about to load weights, or has others than asked for.
func (e *Engine) Offer(r *Request) bool {
	if e.down || e.target != e.version || r.Version != 0 && r.Version != e.version || len(e.running)+len(e.waiting) >= e.opts.Slots+e.opts.Queue {
		return false
	}
	if total := r.tokens(); total > e.opts.MemoryTokens {
		return false
	}
	e.waiting = append(e.waiting, r)
	slices.SortStableFunc(e.waiting, func(a, b *Request) int { return cmp.Compare(a.Priority, b.Priority) })
	e.step()
	return true
}

// Load brings the engine to other weights. Runs finish first, what waits is
// turned away, kept memory is dropped.
func (e *Engine) Load(version int64, done func()) {
	if e.down || version <= e.target {
		return
	}
	e.target = version
	waiting := e.waiting
	e.waiting = nil
	for _, r := range waiting {
		r.BrokeOff()
	}
	life := e.life
	var check func()
	check = func() {
		switch {
		case life != e.life:
		case len(e.running) > 0:
			e.loop.After(10*time.Millisecond, check)
		default:
			e.load(version, done)
		}
	}
	check()
}

func (e *Engine) load(version int64, done func()) {
	e.loads.now++
	took := e.opts.Load
	if over := e.loads.now; over > e.opts.LoadsAtOnce {
		took = took * time.Duration(over) / time.Duration(e.opts.LoadsAtOnce)
	}
	life := e.life
	e.loop.After(took, func() {
		e.loads.now--
		if life != e.life {
			return
		}
		e.kept.clear()
		e.version = version
		done()
	})
}

// Crash ends all runs; the engine is back, empty, after a time.
func (e *Engine) Crash(down time.Duration, back func()) {
	e.life++
	lost := append(e.running, e.waiting...)
	e.running, e.waiting, e.private, e.stepping, e.down = nil, nil, 0, false, true
	e.kept.clear()
	e.target = e.version
	for _, r := range lost {
		r.BrokeOff()
	}
	e.loop.After(down, func() {
		e.down = false
		back()
	})
}

// step admits what fits and plays one step, if there is anything to do.
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
	reads := make([]int, len(e.running))
	ms := e.opts.StepMS + e.opts.StepRequestMS*float64(len(e.running))
	for i, r := range e.running {
		if r.left > 0 && !r.ready.After(e.loop.Now()) {
			reads[i] = min(r.left, budget)
			budget -= reads[i]
			pairs := float64(reads[i]) * float64(r.tokens()-r.left)
			ms += float64(reads[i])/e.opts.ReadTokensPerMS + pairs/1e6*e.opts.PairsMSPerM
		}
	}
	ms *= e.opts.Slower
	batch, life := slices.Clone(e.running), e.life
	e.loop.After(milliseconds(ms), func() {
		if life != e.life {
			return
		}
		e.stepping = false
		for i, r := range batch {
			e.advance(r, reads[i])
		}
		e.running = slices.DeleteFunc(e.running, func(r *Request) bool { return r.decoded > r.OutputTokens })
		e.step()
	})
}

// advance plays one request's part of a step.
func (e *Engine) advance(r *Request, read int) {
	if r.left > 0 {
		r.left -= read
		if r.left > 0 || read == 0 {
			return
		}
		e.finishReading(r)
		e.loop.After(milliseconds(e.opts.FirstMS), r.First)
		r.decoded = 1
		return
	}
	r.decoded++
	if r.decoded <= r.OutputTokens {
		return
	}
	e.private -= r.Own.Tokens + r.OutputTokens
	e.kept.hold(r.Parts, -1)
	e.kept.put(r.Own)
	e.kept.shrink(e.opts.MemoryTokens - e.private)
	e.loop.After(milliseconds(e.opts.FirstMS), r.End)
}

func (e *Engine) finishReading(r *Request) {
	for _, p := range r.Parts {
		e.kept.put(p)
		if r.Save != nil {
			r.Save.save(p)
		}
	}
	if r.Save != nil {
		r.Save.save(r.Own)
	}
	e.kept.hold(r.Parts, 1)
	e.kept.shrink(e.opts.MemoryTokens - e.private)
}

// admit starts waiting requests while there are slots and memory.
func (e *Engine) admit() {
	for len(e.waiting) > 0 && len(e.running) < e.opts.Slots {
		r := e.waiting[0]
		shared := 0
		for _, p := range r.Parts {
			shared += p.Tokens
		}
		have := e.kept.have(r.Parts)
		need := r.Own.Tokens + r.OutputTokens
		e.kept.use(r.Parts)
		if !e.kept.shrink(e.opts.MemoryTokens-e.private-need-(shared-have)) && len(e.running) > 0 {
			return
		}
		// What yielded may have been of this prompt.
		have = e.kept.have(r.Parts)
		e.waiting = e.waiting[1:]
		e.private += need
		r.ready = e.loop.Now()
		missing := shared - have
		if missing > 0 && r.Source != nil {
			missing = e.fetch(r, have, missing)
		}
		e.note(r, shared-missing)
		r.left = missing + r.Own.Tokens
		e.running = append(e.running, r)
	}
}

// note tells which shared parts will be read.
func (e *Engine) note(r *Request, have int) {
	for _, p := range r.Parts {
		found := min(have, p.Tokens)
		have -= found
		if r.Read != nil {
			r.Read(p, p.Tokens-found)
		}
	}
}

const (
	missMS = 1
	deadMS = 300
	// longestQueue is how long a transfer may wait for others.
	longestQueue = 2 * time.Second
	farTimes     = 2
)

// fetch brings what the source has beyond this engine's, and returns what is
// still missing.
func (e *Engine) fetch(r *Request, have, missing int) int {
	from, l, up := r.Source.keptMemory()
	now := e.loop.Now()
	if !up {
		r.ready = now.Add(milliseconds(deadMS))
		return missing
	}
	from.use(r.Parts)
	found := min(from.have(r.Parts)-have, missing)
	if found <= 0 {
		r.ready = now.Add(milliseconds(missMS))
		return missing
	}
	times := 1.0
	if r.Far {
		times = farTimes
	}
	end := l.take(now, found, times)
	if own := e.link.take(now, found, times); own.After(end) {
		end = own
	}
	if end.Sub(now) > longestQueue {
		return missing
	}
	r.ready = end
	e.Moved += found
	return missing - found
}

func (e *Engine) keptMemory() (*kept, *link, bool) { return e.kept, &e.link, !e.down }

func (s *Store) keptMemory() (*kept, *link, bool) { return s.kept, &s.link, s.up }

// link moves kept memory, one transfer after the other.
type link struct {
	tokensPerMS float64
	free        time.Time
}

// take queues a transfer and returns its end.
func (l *link) take(now time.Time, tokens int, times float64) time.Time {
	if l.free.Before(now) {
		l.free = now
	}
	l.free = l.free.Add(milliseconds(times * float64(tokens) / l.tokensPerMS))
	return l.free
}

func milliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

// SlowLink divides the speed at which kept memory moves to and from the engine.
func (e *Engine) SlowLink(times float64) { e.link.tokensPerMS = e.opts.LinkTokensPerMS / times }
