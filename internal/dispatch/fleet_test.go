package dispatch_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/hibiscuscove/hibiscuscove/internal/admission"
	"github.com/hibiscuscove/hibiscuscove/internal/costmodel"
	"github.com/hibiscuscove/hibiscuscove/internal/dispatch"
	"github.com/hibiscuscove/hibiscuscove/internal/enginemodel"
	"github.com/hibiscuscove/hibiscuscove/internal/promptcache"
	"github.com/hibiscuscove/hibiscuscove/internal/roster"
	"github.com/hibiscuscove/hibiscuscove/internal/virtualtime"
)

// The simulated fleet: engines of the catch-up deployment, so many that its usual load is
// close to their capacity, and VMs that know only a part of one another's load.
const (
	simEngines   = 44
	simVMs       = 74
	beaconEvery  = 150 * time.Millisecond
	beaconFanOut = 12
	syncEvery    = 200 * time.Millisecond
	hop          = 2 * time.Millisecond
	callTimeout  = 40 * time.Millisecond
	warmUp       = 2 * time.Second
)

// simVM is a simulated VM.
type simVM struct {
	name    string
	table   *roster.Table
	agent   *dispatch.Agent
	metrics metrics.Registry
	// down VMs have crashed, cut ones get and send no datagrams.
	down, cut bool
}

// demand is the load of a scenario at a time since the start.
type demand struct {
	// factor multiplies the usual rates. longFactor and shortFactor multiply those of one kind.
	factor, longFactor, shortFactor float64
	// hot is the part of the long requests that ask for one prompt, flood by how much the
	// load of one organisation is multiplied, and impatient the part of the callers that
	// repeat refused requests three times at once.
	hot, flood, impatient float64
}

// tally counts the requests of a kind or an organisation: those of callers, those with a
// response, with one in time, and refusals.
type tally struct{ requests, served, inTime, refused int }

func (c tally) servedPart() float64 { return float64(c.served) / float64(max(1, c.requests)) }

// fleet is a simulated fleet.
type fleet struct {
	loop    *virtualtime.Loop
	rng     *rand.Rand
	engines []*enginemodel.Engine
	entries []roster.Upstream
	loading enginemodel.LoadingCounter
	vms     []*simVM
	demand  func(at time.Duration) demand
	// dispatched is set if the VMs use dispatchers.
	dispatched    bool
	members       []roster.Candidate
	organisations int
	requests      int
	// perKind holds the tallies of long and short requests, perOrganisation and perSecond those of
	// both. bySize holds those of long requests of the largest tenth and of all others.
	perKind         map[string]*tally
	perOrganisation map[int]*tally
	perSecond       map[int]*tally
	bySize          map[bool]*tally
	rejected        int
	// startedAt is when all VMs were started again, or zero.
	startedAt time.Time
}

// newFleet returns a fleet under a load that starts now.
func newFleet(dispatched bool, organisations int, load func(at time.Duration) demand) *fleet {
	f := &fleet{
		loop: virtualtime.New(start), rng: rand.New(rand.NewPCG(7, 7)), demand: load, dispatched: dispatched, organisations: organisations,
		perKind: make(map[string]*tally), perOrganisation: make(map[int]*tally), perSecond: make(map[int]*tally), bySize: make(map[bool]*tally),
	}
	for i := range simEngines {
		f.engines = append(f.engines, enginemodel.New(f.loop, &f.loading, enginemodel.Options{Slots: 12, MaxQueue: 36, CacheTokens: 91_925, PrefillTokensPerMS: 51.1, StepMS: 5.09}))
		f.entries = append(f.entries, roster.Upstream{ID: fmt.Sprintf("e%03d", i), Service: "lm", Slots: 12, Born: 1, Model: "m", Version: 1, DataCentre: string(rune('a' + i%3))})
	}
	for i := range simVMs {
		v := &simVM{name: fmt.Sprintf("vm%02d", i), metrics: metrics.NewRegistry()}
		f.vms = append(f.vms, v)
		f.start(v, i)
		offset := time.Duration(i) * time.Millisecond
		f.loop.After(offset, func() { f.loop.Every(syncEvery, func() { f.sync(v) }) })
		f.loop.After(offset, func() { f.loop.Every(beaconEvery, func() { f.sendLoads(v) }) })
	}
	for _, kind := range []string{"long", "short"} {
		f.arrive(kind)
	}
	return f
}

// restartAll starts all VMs anew during a load spike. They know no dispatchers for 2 s.
func (f *fleet) restartAll() {
	for i, v := range f.vms {
		f.start(v, i)
	}
	f.demand = func(at time.Duration) demand {
		d := usual
		if d.factor = 0.8; at < failureAt+2*time.Second {
			d.factor *= 1.7
		}
		return d
	}
	f.startedAt = f.loop.Now()
}

// start starts the process of a VM.
func (f *fleet) start(v *simVM, i int) {
	policy := costmodel.Policy{PrefillTokensPerMS: 51.1}
	v.table = roster.New(roster.Options{DataCentre: string(rune('a' + i%3)), Policy: policy, Seed: uint64(i)})
	v.table.SetCacheTokens("lm", 91_925)
	v.table.SetFleetSize(simVMs)
	v.table.Replace(start, f.entries, false)
	v.agent = dispatch.NewAgent(dispatch.AgentOptions{
		Name: v.name, Process: f.loop.Now().UnixMilli(), Now: f.loop.Now, Board: dispatch.NewBoard(dispatch.BoardOptions{Policy: policy}),
		Call: func(_ context.Context, peer, _ string, body []byte) ([]byte, error) {
			p := f.vmNamed(peer)
			if v.cut || p.cut || p.down {
				return nil, context.DeadlineExceeded
			}
			if reply := p.agent.HandlePlace(f.loop.Now(), v.name, body); reply != nil {
				return reply, nil
			}
			return nil, errors.New("no reply")
		},
		Notify: func(peer, kind string, body []byte) error {
			p := f.vmNamed(peer)
			f.loop.After(hop, func() {
				switch {
				case v.cut || p.cut || p.down:
				case kind == dispatch.KindPlaced:
					p.agent.HandlePlaced(f.loop.Now(), v.name, body)
				default:
					p.agent.HandleProgress(f.loop.Now(), v.name, body)
				}
			})
			return nil
		},
		On: func(string) bool { return f.dispatched }, Metrics: v.metrics,
	})
}

func (f *fleet) vmNamed(name string) *simVM {
	for _, v := range f.vms {
		if v.name == name {
			return v
		}
	}
	panic("no VM " + name)
}

// sync gives a VM the services and the VMs that dispatch, without those that are down. Those
// that are cut off stay in the list.
func (f *fleet) sync(v *simVM) {
	if v.down || !f.dispatched || f.loop.Now().Sub(f.startedAt) < 2*time.Second {
		return
	}
	var list []dispatch.Dispatcher
	for _, p := range f.vms {
		if !p.down {
			list = append(list, dispatch.Dispatcher{Name: p.name, LinkMbps: 10})
		}
	}
	now := f.loop.Now()
	if f.members == nil {
		f.members = v.table.Candidates(now, "lm")
	}
	v.agent.Sync(now, []dispatch.Service{{Name: "lm", Engine: true, CacheTokens: 91_925, Members: f.members}}, list)
}

func (f *fleet) sendLoads(v *simVM) {
	if v.down || v.cut {
		return
	}
	loads := v.table.OwnLoad()
	for range beaconFanOut {
		if p := f.vms[f.rng.IntN(len(f.vms))]; p != v && !p.down && !p.cut {
			f.loop.After(hop, func() { p.table.SetPeerState(f.loop.Now(), v.name, roster.PeerState{Loads: loads}) })
		}
	}
}

// simRequest is a request of a caller, over its attempts.
type simRequest struct {
	kind         string
	organisation int
	prompt       []promptcache.Part
	unshared     int
	output       int
	priority     int
	target       time.Duration
	timeout      time.Duration
	sentAt       time.Time
	number       int
	repeats      int
	impatient    bool
	done         bool
}

// arrive schedules the next request of a kind.
func (f *fleet) arrive(kind string) {
	d := f.demand(f.loop.Now().Sub(start))
	rate := map[string]float64{"long": 243 * d.longFactor, "short": 272 * d.shortFactor}[kind] * d.factor
	flooded := 1 + (max(1, d.flood)-1)/float64(f.organisations)
	f.loop.After(time.Duration(f.rng.ExpFloat64()/max(1, rate*flooded)*float64(time.Second)), func() {
		f.arrive(kind)
		q := &simRequest{kind: kind, sentAt: f.loop.Now(), number: f.requests, impatient: f.rng.Float64() < d.impatient}
		if q.organisation = f.rng.IntN(f.organisations); f.rng.Float64()*flooded < flooded-1 {
			q.organisation = 0
		}
		f.requests++
		if kind == "long" {
			inner := int(400 * f.rng.Float64() * f.rng.Float64() * f.rng.Float64())
			if f.rng.Float64() < d.hot {
				inner = 399
			}
			q.prompt = []promptcache.Part{{ID: fmt.Sprint("outer", inner%40), Tokens: 2_500}, {ID: fmt.Sprint("inner", inner), Tokens: 3_800}}
			q.unshared, q.output, q.priority, q.target, q.timeout = int(2_890*(0.5+f.rng.ExpFloat64()/2)), 9, 2, 1_200*time.Millisecond, 5*time.Second
		} else {
			q.prompt = []promptcache.Part{{ID: fmt.Sprint("small", f.rng.IntN(50)), Tokens: 198}}
			q.unshared, q.output, q.target, q.timeout = int(628*(0.5+f.rng.ExpFloat64()/2)), 49, 400*time.Millisecond, 15*time.Second
		}
		f.count(q, func(c *tally) { c.requests++ })
		f.attempt(q)
	})
}

// count changes the tallies of a request, if the caches were filled when it was sent.
func (f *fleet) count(q *simRequest, change func(c *tally)) {
	at := q.sentAt.Sub(start)
	if at < warmUp {
		return
	}
	change(tallyOf(f.perKind, q.kind))
	change(tallyOf(f.perOrganisation, q.organisation))
	change(tallyOf(f.perSecond, int(at/time.Second)))
	if q.kind == "long" {
		change(tallyOf(f.bySize, q.unshared > 4_770)) // the largest tenth
	}
}

func tallyOf[K comparable](all map[K]*tally, key K) *tally {
	if all[key] == nil {
		all[key] = &tally{}
	}
	return all[key]
}

// attempt sends a request of a caller to a random VM.
func (f *fleet) attempt(q *simRequest) {
	v := f.vms[f.rng.IntN(len(f.vms))]
	for v.down {
		v = f.vms[f.rng.IntN(len(f.vms))]
	}
	f.place(v, q, nil)
}

// place chooses the engine of an attempt as package selection does.
func (f *fleet) place(v *simVM, q *simRequest, attempted []string) {
	now := f.loop.Now()
	left := q.timeout - now.Sub(q.sentAt)
	query := roster.Query{Service: "lm", Model: "m", Parts: q.prompt, UnsharedTokens: q.unshared, OutputTokens: q.output, Exclude: attempted}
	request := dispatch.Request{
		Service: "lm", Model: "m", Parts: q.prompt, UnsharedTokens: q.unshared, OutputTokens: q.output, BodyBytes: 4 * q.unshared, Priority: q.priority,
		Organisation: fmt.Sprint("o", q.organisation), TargetMS: int(q.target.Milliseconds()), TimeLeftMS: int(left.Milliseconds()), TimeoutMS: int(q.timeout.Milliseconds()),
		New: len(attempted) == 0, Exclude: attempted, DataCentre: "a",
	}
	result := v.agent.Place(context.Background(), now, fmt.Sprint("r", q.number), request)
	if result.Kind == dispatch.Refusal {
		f.refuse(q, time.Duration(result.RetryAfterMS)*time.Millisecond)
		return
	}
	delay := 2 * hop
	if result.Fallback == "timeout" {
		delay = callTimeout
	}
	f.loop.After(delay, func() {
		choice := roster.Choice{Lease: result.Lease, WaitMS: float64(result.WaitMS), MissingTokens: result.MissingTokens}
		if result.Kind == dispatch.Placement {
			choice.Upstream, _ = v.table.Upstream(result.Upstream)
		} else {
			var found bool
			if choice, found = v.table.Pick(f.loop.Now(), query); !found {
				return
			}
			if wait, late := admission.Late(choice.FirstToken(), q.target); late && len(attempted) == 0 {
				v.agent.Drop(result.Lease)
				f.refuse(q, admission.RetryAfter(wait, left, f.rng.Int64N))
				return
			}
		}
		f.send(v, q, choice, result.Lease, request, attempted)
	})
}

// send sends an attempt to the engine of a choice.
func (f *fleet) send(v *simVM, q *simRequest, choice roster.Choice, leaseID uint64, request dispatch.Request, attempted []string) {
	now := f.loop.Now()
	u := choice.Upstream
	inFlight := v.table.Start(now, u, roster.Load{Requests: 1, WaitingTokens: choice.MissingTokens, Tokens: q.unshared + q.output + 6_300}, q.prompt, q.unshared+q.output)
	lease := v.agent.Sent(now, leaseID, u, choice.MissingTokens, request)
	var engine *enginemodel.Engine
	for i, e := range f.entries {
		if e.ID == u.ID {
			engine = f.engines[i]
		}
	}
	parts := make([]enginemodel.Part, len(q.prompt))
	for i, p := range q.prompt {
		parts[i] = enginemodel.Part(p)
	}
	end := func() {
		inFlight.Finish()
		lease.End()
	}
	accepted := engine.Offer(&enginemodel.Request{
		Parts: parts, Unshared: enginemodel.Part{ID: fmt.Sprint("own", q.number), Tokens: q.unshared}, OutputTokens: q.output, Priority: q.priority, Version: 1,
		OnFirstToken: func() {
			at := f.loop.Now()
			inFlight.FirstToken(at, choice.WaitMS)
			lease.FirstToken(at)
			took := at.Sub(q.sentAt)
			if q.done || took > q.timeout {
				return
			}
			q.done = true
			f.count(q, func(c *tally) {
				c.served++
				if took <= q.target {
					c.inTime++
				}
			})
		},
		OnFinish: end, OnBroken: end,
	})
	if !accepted {
		f.rejected++
		inFlight.Finish()
		lease.Rejected()
		v.table.SetLoading(now, u.ID)
		if attempted = append(attempted[:len(attempted):len(attempted)], u.ID); len(attempted) <= 3 {
			f.place(v, q, attempted)
		}
	}
}

// refuse lets the caller of a refused request come back: once, at the time that it was told
// if that is within a third of the time it has left, or three times at once.
func (f *fleet) refuse(q *simRequest, retryAfter time.Duration) {
	f.count(q, func(c *tally) { c.refused++ })
	q.repeats++
	left := q.timeout - f.loop.Now().Sub(q.sentAt)
	switch {
	case q.impatient && q.repeats <= 3:
		f.loop.After(2*hop, func() { f.attempt(q) })
	case !q.impatient && q.repeats == 1 && retryAfter <= left/3:
		f.loop.After(retryAfter, func() { f.attempt(q) })
	}
}

// run runs the fleet for a time.
func (f *fleet) run(d time.Duration) *fleet {
	f.loop.Run(f.loop.Now().Add(d))
	return f
}

// total returns the sum over all kinds.
func (f *fleet) total() tally {
	var sum tally
	for _, c := range f.perKind {
		sum.requests += c.requests
		sum.served += c.served
		sum.inTime += c.inTime
		sum.refused += c.refused
	}
	return sum
}

// fallbacks returns how often VMs decided by themselves, by reason.
func (f *fleet) fallbacks(reason string) int64 {
	sum := int64(0)
	for _, v := range f.vms {
		sum += metrics.GetOrRegisterCounter("dispatch.fallback."+reason, v.metrics).Count()
	}
	return sum
}
