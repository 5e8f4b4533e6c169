package dispatch

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"github.com/hibiscuscove/hibiscuscove/internal/roster"
)

const (
	// callTimeout limits a call to a dispatcher, and callPart the part of the request's
	// target that it may take. A request must be sent or refused within an eighth of the target.
	callTimeout    = 40 * time.Millisecond
	callPart       = 10
	minCallTimeout = 15 * time.Millisecond
	// secondCallPart is the part of the target within which the first call must have been
	// answered for a second group to be asked. Both calls together take an eighth at most.
	secondCallPart = 40
	// A dispatcher that did not reply maxFailures times in a row is avoided for avoidTime.
	maxFailures = 2
	avoidTime   = time.Second
	// histogramSamples is the number of values in the sample of call times.
	histogramSamples = 1028
)

// The reasons of fall-backs: why a VM decides by itself.
const (
	fallbackNoDispatcher = "no_dispatcher"
	fallbackTimeout      = "timeout"
	fallbackUnknown      = "unknown"
	fallbackError        = "error"
	fallbackRejected     = "rejected"
)

// AgentOptions configures an Agent. All fields but Log are required.
type AgentOptions struct {
	// Name is the name of this VM.
	Name string
	// Process is greater than that of the VM's processes before, in milliseconds.
	Process int64
	Now     func() time.Time
	// Board decides for the groups that this VM dispatches.
	Board *Board
	// Call and Notify send direct messages to other VMs.
	Call   func(ctx context.Context, peer, kind string, body []byte) ([]byte, error)
	Notify func(peer, kind string, body []byte) error
	// On reports whether the requests of a service are to be placed by dispatchers. It must
	// not block.
	On      func(service string) bool
	Metrics metrics.Registry
	Log     zerolog.Logger
}

// Agent is a VM's part in the dispatching of requests.
type Agent struct {
	opts AgentOptions

	mu          sync.Mutex
	dispatchers []Dispatcher
	services    map[string]*topology
	// failures holds what is known of dispatchers that did not reply, by name.
	failures map[string]failure
	leases   map[uint64]*Lease
	lastID   uint64
	// chosen holds the last dispatcher of each group, for the log and the dump.
	chosen map[chosenKey]string
}

// topology is how the upstreams of a service form groups.
type topology struct {
	engine   bool
	groups   int
	idHashes []uint64
	// hashOf holds the hashes by the upstreams' IDs.
	hashOf map[string]uint64
}

// failure counts the calls in a row that a dispatcher did not reply to.
type failure struct {
	count int
	until time.Time
}

type chosenKey struct {
	service string
	group   int
}

// NewAgent returns an Agent.
func NewAgent(opts AgentOptions) *Agent {
	// Leases of an earlier process of this VM may still be open.
	const idsPerMillisecond = 1 << 20
	return &Agent{
		opts: opts, services: make(map[string]*topology), failures: make(map[string]failure), leases: make(map[uint64]*Lease),
		lastID: uint64(opts.Process) * idsPerMillisecond, chosen: make(map[chosenKey]string),
	}
}

// Lease is a request of this VM that a dispatcher counts.
type Lease struct {
	agent   *Agent
	id      uint64
	request Request
	// dispatcher is the VM that has the lease, "" for none.
	dispatcher string
	// proposed is the incarnation that the dispatcher named, if any.
	proposed string
	born     int64
	// placed is what a new dispatcher is told of the lease. Its Upstream is empty until the
	// request has been sent.
	placed   Placed
	sentAt   time.Time
	deadline time.Time
}

// Result is what became of a request to a dispatcher.
type Result struct {
	Reply
	// Lease is the ID for Sent or Drop, 0 if the service's requests are not dispatched.
	Lease uint64
	// Dispatcher is the VM that replied, and Fallback why none did, "" if one did.
	Dispatcher string
	Fallback   string
}

// On reports whether the requests of a service are placed by dispatchers.
func (a *Agent) On(service string) bool { return a != nil && a.opts.On(service) }

// Sync replaces the services with their upstreams and the VMs that dispatch. It tells new
// dispatchers of the open leases.
func (a *Agent) Sync(now time.Time, services []Service, dispatchers []Dispatcher) {
	a.opts.Board.Sync(now, services)
	a.mu.Lock()
	a.dispatchers = dispatchers
	listed := make(map[string]bool, len(services))
	for _, s := range services {
		listed[s.Name] = true
		t := a.services[s.Name]
		if t == nil {
			t = &topology{}
			a.services[s.Name] = t
		}
		t.update(s)
	}
	for name := range a.services {
		if !listed[name] {
			delete(a.services, name)
		}
	}
	moved := a.moveLeases(now)
	metrics.GetOrRegisterGauge("dispatch.leases", a.opts.Metrics).Update(int64(len(a.leases)))
	a.mu.Unlock()
	for _, m := range moved {
		m.send(a)
	}
}

// update sets the topology to that of a service.
func (t *topology) update(s Service) {
	t.engine = s.Engine
	t.idHashes, t.hashOf = t.idHashes[:0], make(map[string]uint64, len(s.Members))
	for _, m := range s.Members {
		t.idHashes = append(t.idHashes, m.State.IDHash)
		t.hashOf[m.Upstream.ID] = m.State.IDHash
	}
	t.groups = 1
	if s.Engine {
		t.groups = NextGroups(t.groups, len(s.Members))
	}
}

// dispatcher returns the dispatcher of a group. The caller holds the lock.
func (a *Agent) dispatcher(now time.Time, service string, group int) string {
	return Choose(a.dispatchers, service, group, func(name string) bool { return a.failures[name].until.After(now) })
}

// moved is a lease that another dispatcher gets.
type moved struct {
	from, to string
	placed   Placed
}

// send tells both dispatchers.
func (m moved) send(a *Agent) {
	if m.from != "" {
		a.progress(m.from, Progress{ID: m.placed.Request.ID, Ended: true})
	}
	if m.to != "" {
		a.announce(m.to, m.placed)
	}
}

// moveLeases moves the leases of sent requests to the present dispatchers of their groups,
// and forgets those whose time is over. The caller holds the lock.
func (a *Agent) moveLeases(now time.Time) []moved {
	present := make(map[chosenKey]string)
	for name, t := range a.services {
		if !a.opts.On(name) {
			continue
		}
		for group := range t.groups {
			key := chosenKey{name, group}
			present[key] = a.dispatcher(now, name, group)
			if before := a.chosen[key]; before != present[key] {
				a.opts.Log.Info().Str("service", name).Int("group", group).Int("groups", t.groups).Str("dispatcher", present[key]).Str("before", before).Int("candidates", len(a.dispatchers)).Msg("dispatcher chosen")
			}
		}
	}
	a.chosen = present
	var list []moved
	for id, l := range a.leases {
		if now.After(l.deadline) {
			delete(a.leases, id)
			continue
		}
		t := a.services[l.request.Service]
		if t == nil || l.placed.Upstream == "" {
			continue
		}
		q := &l.placed.Request
		q.Group, q.Groups = t.groupOf(l.placed.Upstream), t.groups
		q.TimeLeftMS = int(l.deadline.Sub(now) / time.Millisecond)
		if to := present[chosenKey{q.Service, q.Group}]; to != "" && to != l.dispatcher {
			list = append(list, moved{l.dispatcher, to, l.placed})
			l.dispatcher = to
		}
	}
	if len(list) > 0 {
		a.count("dispatch.leases_moved", int64(len(list)))
	}
	slices.SortFunc(list, func(x, y moved) int { return cmp.Compare(x.placed.Request.ID, y.placed.Request.ID) })
	return list
}

// groupOf returns the group of an upstream.
func (t *topology) groupOf(id string) int { return GroupOf(t.hashOf[id], t.groups) }

// Place asks the dispatcher of the request's group to place it. requestID is the caller's
// ID of the request. Unless the Kind of the result is Placement or Refusal, the VM decides by
// itself. Sent or Drop must be called with the Lease of a result that has one.
func (a *Agent) Place(ctx context.Context, now time.Time, requestID string, q Request) Result {
	if !a.On(q.Service) {
		return Result{}
	}
	a.mu.Lock()
	t := a.services[q.Service]
	if t == nil {
		a.mu.Unlock()
		return a.counted(Result{Fallback: fallbackNoDispatcher})
	}
	home, next := homeGroups(t.idHashes, t.groups, requestID, q.Parts)
	q.Groups = t.groups
	a.mu.Unlock()
	result := a.askGroup(ctx, now, q, home)
	if result.Kind != Refusal || next == home {
		return a.counted(result)
	}
	// The group may be busy by chance, or a prompt may be asked for by many, while others
	// are idle. The times for the request to be sent leave room for a second call if the
	// first one was quick.
	again := a.opts.Now()
	if again.Sub(now) > q.Target()/secondCallPart {
		return a.counted(result)
	}
	q.Again = true
	if other := a.askGroup(ctx, again, q, next); other.Kind == Placement {
		a.count("dispatch.second_group", 1)
		return a.counted(other)
	} else if other.Lease != 0 {
		a.Drop(other.Lease)
	}
	return a.counted(result)
}

// askGroup asks the dispatcher of a group to place a request.
func (a *Agent) askGroup(ctx context.Context, now time.Time, q Request, group int) Result {
	a.mu.Lock()
	a.lastID++
	q.ID, q.Group = a.lastID, group
	l := &Lease{agent: a, id: q.ID, request: q, dispatcher: a.dispatcher(now, q.Service, group), deadline: now.Add(milliseconds(q.TimeLeftMS))}
	a.leases[l.id] = l
	to := l.dispatcher
	a.mu.Unlock()
	result := Result{Lease: q.ID, Dispatcher: to}
	if to == "" {
		result.Fallback = fallbackNoDispatcher
		return result
	}
	reply, err := a.ask(ctx, to, q)
	switch {
	case errors.Is(err, context.DeadlineExceeded):
		result.Fallback = fallbackTimeout
	case err != nil:
		a.opts.Log.Debug().Str("dispatcher", to).Err(err).Msg("dispatcher not asked")
		result.Fallback = fallbackError
	case reply.Kind == Placement:
		a.mu.Lock()
		l.proposed, l.born = reply.Upstream, reply.Born
		a.mu.Unlock()
		result.Reply = reply
	case reply.Kind == Refusal:
		a.forget(q.ID)
		result.Reply, result.Lease = reply, 0
	default:
		result.Fallback = fallbackUnknown
	}
	return result
}

// counted counts a result and returns it.
func (a *Agent) counted(r Result) Result {
	switch {
	case r.Fallback != "":
		a.count("dispatch.fallback."+r.Fallback, 1)
	case r.Kind == Refusal:
		a.count("dispatch.refused."+string(r.Reason), 1)
	default:
		a.count("dispatch.placed", 1)
	}
	return r
}

// ask sends a request to a dispatcher, which may be this VM.
func (a *Agent) ask(ctx context.Context, to string, q Request) (Reply, error) {
	if to == a.opts.Name {
		a.count("dispatch.local", 1)
		return a.opts.Board.Place(a.opts.Now(), a.opts.Name, q), nil
	}
	raw, err := pack(q)
	if err != nil {
		return Reply{}, err
	}
	timeout := callTimeout
	if q.TargetMS > 0 {
		timeout = max(minCallTimeout, min(timeout, q.Target()/callPart))
	}
	callCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	start := a.opts.Now()
	raw, err = a.opts.Call(callCtx, to, KindPlace, raw)
	now := a.opts.Now()
	metrics.GetOrRegisterHistogram("dispatch.call_us", a.opts.Metrics, metrics.NewUniformSample(histogramSamples)).Update(now.Sub(start).Microseconds())
	if ctx.Err() == nil {
		a.recordCall(now, to, err)
	}
	if err != nil {
		return Reply{}, err
	}
	var reply Reply
	err = unpack(raw, &reply)
	return reply, err
}

// recordCall records whether a dispatcher has replied.
func (a *Agent) recordCall(now time.Time, to string, err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if err == nil {
		delete(a.failures, to)
		return
	}
	f := a.failures[to]
	f.count++
	if f.count >= maxFailures {
		f = failure{until: now.Add(avoidTime)}
		a.count("dispatch.avoided", 1)
		a.opts.Log.Info().Str("dispatcher", to).Err(err).Msg("dispatcher avoided")
	}
	a.failures[to] = f
}

// Sent reports that a request was sent to an upstream. id is the Lease of the result of
// Place, or 0 if that was not called. missingTokens is the estimated number of prompt tokens to
// compute. It returns nil if the requests of the service are not dispatched.
func (a *Agent) Sent(now time.Time, id uint64, u roster.Upstream, missingTokens int, q Request) *Lease {
	if a == nil || id == 0 && !a.On(q.Service) {
		return nil
	}
	a.mu.Lock()
	t, l := a.services[q.Service], a.leases[id]
	if l == nil {
		a.lastID++
		q.ID = a.lastID
		l = &Lease{agent: a, id: q.ID, request: q, deadline: now.Add(milliseconds(q.TimeLeftMS))}
		a.leases[l.id] = l
	}
	l.sentAt = now
	l.placed = Placed{Request: l.request, Upstream: u.ID, Born: u.Born, MissingTokens: missingTokens}
	p := &l.placed.Request
	p.Exclude = nil
	if t == nil || l.proposed == u.ID && l.born == u.Born {
		a.mu.Unlock()
		return l // without a topology, Sync tells the dispatcher
	}
	p.Group, p.Groups = t.groupOf(u.ID), t.groups
	m := moved{from: l.dispatcher, to: a.dispatcher(now, q.Service, p.Group), placed: l.placed}
	if m.from == m.to {
		m.from = "" // the announcement replaces its lease
	}
	l.dispatcher = m.to
	a.mu.Unlock()
	a.count("dispatch.announced", 1)
	m.send(a)
	return l
}

// Drop reports that a request for which Place gave a lease was not sent. An ID of 0 is
// ignored.
func (a *Agent) Drop(id uint64) {
	if l := a.forget(id); l != nil && l.dispatcher != "" {
		a.progress(l.dispatcher, Progress{ID: id, Ended: true})
	}
}

// CountRejected counts a placement that the VM's own checks reject.
func (a *Agent) CountRejected() { a.count("dispatch.fallback."+fallbackRejected, 1) }

// forget removes a lease and returns it, nil if there is none.
func (a *Agent) forget(id uint64) *Lease {
	if a == nil || id == 0 {
		return nil
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	l := a.leases[id]
	delete(a.leases, id)
	return l
}

// FirstToken reports the first token of the response. Only the first call has an effect.
func (l *Lease) FirstToken(now time.Time) {
	if l == nil {
		return
	}
	l.agent.mu.Lock()
	begun := l.placed.Begun
	l.placed.Begun = true
	to := l.dispatcher
	l.agent.mu.Unlock()
	if !begun {
		l.agent.progress(to, Progress{ID: l.id, Begun: true, FirstTokenMS: int(now.Sub(l.sentAt) / time.Millisecond)})
	}
}

// Rejected reports that the upstream has turned the request away. It ends the lease.
func (l *Lease) Rejected() { l.finish(true) }

// End reports that the upstream no longer has the request. It may be called more than once.
func (l *Lease) End() { l.finish(false) }

func (l *Lease) finish(rejected bool) {
	if l == nil || l.agent.forget(l.id) == nil {
		return
	}
	l.agent.mu.Lock()
	to := l.dispatcher
	l.agent.mu.Unlock()
	l.agent.progress(to, Progress{ID: l.id, Ended: true, Rejected: rejected})
}

// progress reports the progress of a lease to a dispatcher.
func (a *Agent) progress(to string, p Progress) {
	if to == a.opts.Name {
		a.opts.Board.Progress(a.opts.Now(), a.opts.Name, p)
		return
	}
	a.notify(to, KindProgress, p)
}

// announce reports a sent request to a dispatcher.
func (a *Agent) announce(to string, p Placed) {
	if to == a.opts.Name {
		a.opts.Board.Placed(a.opts.Now(), a.opts.Name, p)
		return
	}
	a.notify(to, KindPlaced, p)
}

// notify sends a notice. A lost one costs a lease that is missing or expires late.
func (a *Agent) notify(to, kind string, m any) {
	if to == "" {
		return
	}
	raw, err := pack(m)
	if err == nil {
		err = a.opts.Notify(to, kind, raw)
	}
	if err != nil {
		a.count("dispatch.unsent", 1)
		a.opts.Log.Debug().Str("dispatcher", to).Str("kind", kind).Err(err).Msg("notice not sent")
	}
}

// HandlePlace handles a call of another VM and returns the reply.
func (a *Agent) HandlePlace(now time.Time, from string, body []byte) []byte {
	var q Request
	if err := unpack(body, &q); err != nil {
		a.count("dispatch.unusable", 1)
		return nil
	}
	reply := a.opts.Board.Place(now, from, q)
	raw, err := pack(reply)
	if err != nil {
		a.count("dispatch.unusable", 1)
		return nil
	}
	switch reply.Kind {
	case Placement:
		a.count("dispatch.served.placed", 1)
	case Refusal:
		a.count("dispatch.served.refused."+string(reply.Reason), 1)
	default:
		a.count("dispatch.served.unknown", 1)
	}
	return raw
}

// HandlePlaced handles the notice of another VM that it has sent a request.
func (a *Agent) HandlePlaced(now time.Time, from string, body []byte) []byte {
	var p Placed
	if err := unpack(body, &p); err != nil {
		a.count("dispatch.unusable", 1)
		return nil
	}
	a.opts.Board.Placed(now, from, p)
	return nil
}

// HandleProgress handles the notice of another VM on one of its requests.
func (a *Agent) HandleProgress(now time.Time, from string, body []byte) []byte {
	var p Progress
	if err := unpack(body, &p); err != nil {
		a.count("dispatch.unusable", 1)
		return nil
	}
	a.opts.Board.Progress(now, from, p)
	return nil
}

func (a *Agent) count(name string, n int64) {
	metrics.GetOrRegisterCounter(name, a.opts.Metrics).Inc(n)
}
