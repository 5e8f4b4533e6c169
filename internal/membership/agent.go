package membership

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/hibiscuscove/hibiscuscove/internal/peerrpc"
	"github.com/hibiscuscove/hibiscuscove/internal/wait"
)

const (
	defaultPeriod       = time.Second
	defaultProbeTimeout = 300 * time.Millisecond
	defaultPushPeriod   = 50 * time.Millisecond
	syncTimeout         = 2 * time.Second
	relayCount          = 2
	pushCount           = 4
	// syncEvery and deadEvery are numbers of heartbeats.
	syncEvery   = 60
	deadEvery   = 5
	repairEvery = 3
)

// Transport carries messages between nodes. Its implementations are safe for
// concurrent use.
type Transport interface {
	// Exchange sends a heartbeat and returns the answer to it.
	Exchange(ctx context.Context, to *peerrpc.Member, g *peerrpc.Gossip) (*peerrpc.Gossip, error)
	// Relay asks via to send a heartbeat to the member named target.
	Relay(ctx context.Context, via *peerrpc.Member, target string) (bool, error)
	// Synchronize exchanges all that is known with the node at the control
	// address, or all members only.
	Synchronize(ctx context.Context, controlAddress string, g *peerrpc.Gossip, membersOnly bool) (*peerrpc.Gossip, error)
}

// AgentOptions sets up an Agent. Now is required.
type AgentOptions struct {
	Now func() time.Time
	// Period is the time between two heartbeats. The default is 1 s.
	Period time.Duration
	// ProbeTimeout bounds a heartbeat. The default is 300 ms.
	ProbeTimeout time.Duration
	// PushPeriod is the least time between two pushes of news. The default is 50 ms.
	PushPeriod time.Duration
	// OnGeneration is called when a node has a newer configuration.
	OnGeneration func(from *peerrpc.Member, generation uint64)
}

// Agent runs the membership of one node.
type Agent struct {
	table     *Table
	transport Transport
	opts      AgentOptions
}

// NewAgent returns an Agent for the table.
func NewAgent(table *Table, transport Transport, opts AgentOptions) *Agent {
	if opts.Period <= 0 {
		opts.Period = defaultPeriod
	}
	if opts.ProbeTimeout <= 0 {
		opts.ProbeTimeout = defaultProbeTimeout
	}
	if opts.PushPeriod <= 0 {
		opts.PushPeriod = defaultPushPeriod
	}
	return &Agent{table: table, transport: transport, opts: opts}
}

// Join learns all that the nodes at the addresses know, from the first few that answer.
// It returns how many did.
func (a *Agent) Join(ctx context.Context, controlAddresses []string) int {
	const enough = 3
	answered := 0
	for _, i := range rand.Perm(len(controlAddresses)) {
		if answered == enough || ctx.Err() != nil {
			break
		}
		if a.synchronize(ctx, controlAddresses[i], syncTimeout, a.table.Learn) {
			answered++
		}
	}
	return answered
}

// repair exchanges all members with a node that knows others.
func (a *Agent) repair(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, syncTimeout)
	defer cancel()
	if reply, err := a.transport.Synchronize(ctx, address, a.table.AllMembers(), true); err == nil {
		a.table.Learn(a.opts.Now(), reply)
	}
}

// synchronize exchanges all that is known with a node and merges its answer.
func (a *Agent) synchronize(ctx context.Context, address string, timeout time.Duration, merge func(time.Time, *peerrpc.Gossip)) bool {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	reply, err := a.transport.Synchronize(ctx, address, a.table.Everything(), false)
	if err != nil {
		return false
	}
	merge(a.opts.Now(), reply)
	a.noteGeneration(reply)
	return true
}

// Run sends heartbeats and news until ctx ends.
func (a *Agent) Run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { a.heartbeats(ctx) })
	wg.Go(func() { a.pushes(ctx) })
	wg.Wait()
}

func (a *Agent) heartbeats(ctx context.Context) {
	nextRepair := 0
	for round := 1; ; round++ {
		jitter := time.Duration(rand.Int64N(int64(a.opts.Period) / 5))
		if !wait.For(ctx, a.opts.Period-a.opts.Period/10+jitter) {
			return
		}
		a.table.Expire(a.opts.Now())
		if round%deadEvery == 0 {
			a.tryDead(ctx)
		}
		target, found := a.table.NextProbe()
		if !found {
			continue
		}
		if a.probeBoth(ctx, target) && round >= nextRepair {
			a.repair(ctx, target.GetControlAddress())
			nextRepair = round + repairEvery
		}
		if round%syncEvery == 0 {
			a.synchronize(ctx, target.GetControlAddress(), syncTimeout, a.table.Merge)
		}
	}
}

// probeBoth sends a heartbeat to the target and one to this node's successor,
// so that each member is tried in every period, and reports whether the target
// knows other members than this node.
func (a *Agent) probeBoth(ctx context.Context, target *peerrpc.Member) (differs bool) {
	var wg sync.WaitGroup
	if next, found := a.table.successor(dead); found && next.GetName() != target.GetName() {
		wg.Go(func() { a.probe(ctx, next) })
	}
	differs = a.probe(ctx, target)
	wg.Wait()
	return differs
}

// tryDead calls one dead member: after a cut both sides hold the other for
// dead, and neither would send it a heartbeat again.
func (a *Agent) tryDead(ctx context.Context) {
	if m, found := a.table.randomDead(); found {
		a.synchronize(ctx, m.GetControlAddress(), a.opts.ProbeTimeout, a.table.Merge)
	}
}

// probe sends a heartbeat and reports whether the target knows other members
// than this node.
func (a *Agent) probe(ctx context.Context, target *peerrpc.Member) (differs bool) {
	reply, err := a.exchange(ctx, target)
	if err == nil {
		a.table.Reached(target.GetName())
		return a.table.Differs(reply)
	}
	if !a.relayed(ctx, target.GetName()) && ctx.Err() == nil {
		a.table.Unreachable(a.opts.Now(), target.GetName())
	}
	return false
}

func (a *Agent) exchange(ctx context.Context, to *peerrpc.Member) (*peerrpc.Gossip, error) {
	ctx, cancel := context.WithTimeout(ctx, a.opts.ProbeTimeout)
	defer cancel()
	g := a.table.Outgoing()
	g.To = to.GetName()
	reply, err := a.transport.Exchange(ctx, to, g)
	if err != nil {
		return nil, err
	}
	a.receive(reply)
	return reply, nil
}

func (a *Agent) relayed(ctx context.Context, target string) bool {
	ctx, cancel := context.WithTimeout(ctx, a.opts.ProbeTimeout+a.opts.ProbeTimeout/3)
	defer cancel()
	helpers := a.table.Random(relayCount, target)
	reached := make(chan bool, len(helpers))
	for _, via := range helpers {
		go func() {
			ok, err := a.transport.Relay(ctx, via, target)
			reached <- ok && err == nil
		}()
	}
	for range helpers {
		if <-reached {
			return true
		}
	}
	return false
}

// pushes tells news to a few random members as soon as there are any.
func (a *Agent) pushes(ctx context.Context) {
	told := uint64(0)
	for wait.For(ctx, a.opts.PushPeriod) {
		changes := a.table.Changes()
		if changes == told {
			continue
		}
		told = changes
		a.Push(ctx, pushCount)
	}
}

// Push sends the news to this node's successor and to n random members at
// once. The successors alone would carry them to every node in the end; the
// random ones make it quick.
func (a *Agent) Push(ctx context.Context, n int) {
	targets := a.table.Random(n, "")
	if next, found := a.table.successor(suspect, dead); found && !slices.Contains(targets, next) {
		targets = append(targets, next)
	}
	var wg sync.WaitGroup
	for _, m := range targets {
		wg.Go(func() { _, _ = a.exchange(ctx, m) })
	}
	wg.Wait()
}

// HandleExchange answers a heartbeat of another node.
func (a *Agent) HandleExchange(g *peerrpc.Gossip) *peerrpc.Gossip {
	a.receive(g)
	return a.table.Outgoing()
}

// HandleSynchronize answers a node that joins or that knows other members.
func (a *Agent) HandleSynchronize(g *peerrpc.Gossip, membersOnly bool) *peerrpc.Gossip {
	a.receive(g)
	if membersOnly {
		return a.table.AllMembers()
	}
	return a.table.Everything()
}

// HandleRelay sends a heartbeat for another node.
func (a *Agent) HandleRelay(ctx context.Context, target string) bool {
	for _, m := range a.table.Reachable() {
		if m.GetName() == target {
			_, err := a.exchange(ctx, m)
			return err == nil
		}
	}
	return false
}

func (a *Agent) receive(g *peerrpc.Gossip) {
	a.table.Merge(a.opts.Now(), g)
	a.noteGeneration(g)
}

func (a *Agent) noteGeneration(g *peerrpc.Gossip) {
	if a.opts.OnGeneration == nil || g.GetConfigurationGeneration() <= a.table.Generation() {
		return
	}
	for _, m := range a.table.Reachable() {
		if m.GetName() == g.GetFrom() {
			a.opts.OnGeneration(m, g.GetConfigurationGeneration())
			return
		}
	}
}
