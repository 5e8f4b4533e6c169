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
	defaultHeartbeatInterval = time.Second
	defaultProbeTimeout      = 300 * time.Millisecond
	defaultPushInterval      = 50 * time.Millisecond
	syncTimeout              = 2 * time.Second
	// relayCount is how many nodes are asked to send a heartbeat to a node that
	// does not respond.
	relayCount = 2
	// pushCount is how many random nodes get new updates at once.
	pushCount = 4
	// syncEvery, deadEvery and repairEvery are numbers of heartbeats. With every
	// syncEvery-th the full state is exchanged too, and with every deadEvery-th a
	// dead member is contacted. Two repairs are at least repairEvery heartbeats
	// apart.
	syncEvery   = 60
	deadEvery   = 5
	repairEvery = 3
)

// Transport carries messages between nodes. Its implementations are safe for
// concurrent use.
type Transport interface {
	// Exchange sends a heartbeat and returns the response.
	Exchange(ctx context.Context, to *peerrpc.Member, g *peerrpc.Gossip) (*peerrpc.Gossip, error)
	// Relay asks via to send a heartbeat to the member with the name target, and
	// returns whether the target responded.
	Relay(ctx context.Context, via *peerrpc.Member, target string) (bool, error)
	// Synchronize exchanges the full state with the node at the control address,
	// or its members only.
	Synchronize(ctx context.Context, controlAddress string, g *peerrpc.Gossip, membersOnly bool) (*peerrpc.Gossip, error)
}

// AgentOptions sets up an Agent. Now is required.
type AgentOptions struct {
	Now func() time.Time
	// HeartbeatInterval is the time between two heartbeats. The default is 1 s.
	HeartbeatInterval time.Duration
	// ProbeTimeout limits the time for a heartbeat's response. The default is
	// 300 ms.
	ProbeTimeout time.Duration
	// PushInterval is the minimum time between two pushes of new updates. The
	// default is 50 ms.
	PushInterval time.Duration
	// OnGeneration, if it is set, is called when a node has a newer configuration.
	OnGeneration func(from *peerrpc.Member, generation uint64)
}

// Agent sends and handles the heartbeats of one node. It is safe for concurrent use.
type Agent struct {
	table     *Table
	transport Transport
	opts      AgentOptions
}

// NewAgent returns an Agent for the table.
func NewAgent(table *Table, transport Transport, opts AgentOptions) *Agent {
	if opts.HeartbeatInterval <= 0 {
		opts.HeartbeatInterval = defaultHeartbeatInterval
	}
	if opts.ProbeTimeout <= 0 {
		opts.ProbeTimeout = defaultProbeTimeout
	}
	if opts.PushInterval <= 0 {
		opts.PushInterval = defaultPushInterval
	}
	return &Agent{table: table, transport: transport, opts: opts}
}

// Join fetches the full state from nodes at the addresses, in random order, until
// three have responded. It returns how many did.
func (a *Agent) Join(ctx context.Context, controlAddresses []string) int {
	const enoughResponses = 3
	responded := 0
	for _, i := range rand.Perm(len(controlAddresses)) {
		if responded == enoughResponses || ctx.Err() != nil {
			break
		}
		if a.synchronize(ctx, controlAddresses[i], syncTimeout, a.table.MergeWithoutSpread) {
			responded++
		}
	}
	return responded
}

// repairMembers exchanges all members with a node that knows other members.
func (a *Agent) repairMembers(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, syncTimeout)
	defer cancel()
	if reply, err := a.transport.Synchronize(ctx, address, a.table.AllMembers(), true); err == nil {
		a.table.MergeWithoutSpread(a.opts.Now(), reply)
	}
}

// synchronize exchanges the full state with a node and passes the response to
// merge. It reports whether the node responded.
func (a *Agent) synchronize(ctx context.Context, address string, timeout time.Duration, merge func(time.Time, *peerrpc.Gossip)) bool {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	reply, err := a.transport.Synchronize(ctx, address, a.table.FullState(), false)
	if err != nil {
		return false
	}
	merge(a.opts.Now(), reply)
	a.checkGeneration(reply)
	return true
}

// Run sends heartbeats and pushes new updates until ctx ends.
func (a *Agent) Run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { a.heartbeatLoop(ctx) })
	wg.Go(func() { a.pushLoop(ctx) })
	wg.Wait()
}

// heartbeatLoop sends heartbeats, with 10 % jitter either way, until ctx ends.
func (a *Agent) heartbeatLoop(ctx context.Context) {
	nextRepair := 0
	for round := 1; ; round++ {
		jitter := time.Duration(rand.Int64N(int64(a.opts.HeartbeatInterval) / 5))
		if !wait.For(ctx, a.opts.HeartbeatInterval-a.opts.HeartbeatInterval/10+jitter) {
			return
		}
		a.table.Expire(a.opts.Now())
		if round%deadEvery == 0 {
			a.contactDead(ctx)
		}
		target, found := a.table.NextProbe()
		if !found {
			continue
		}
		if a.probeBoth(ctx, target) && round >= nextRepair {
			a.repairMembers(ctx, target.GetControlAddress())
			nextRepair = round + repairEvery
		}
		if round%syncEvery == 0 {
			a.synchronize(ctx, target.GetControlAddress(), syncTimeout, a.table.Merge)
		}
	}
}

// probeBoth sends a heartbeat to the target and one to this node's successor, so
// that each member gets a heartbeat in every interval. It reports whether the
// target knows other members than this node.
func (a *Agent) probeBoth(ctx context.Context, target *peerrpc.Member) (differs bool) {
	var wg sync.WaitGroup
	if next, found := a.table.successor(dead); found && next.GetName() != target.GetName() {
		wg.Go(func() { a.probe(ctx, next) })
	}
	differs = a.probe(ctx, target)
	wg.Wait()
	return differs
}

// contactDead synchronizes with one dead member. After a network partition each
// side considers the other dead, and neither would send a heartbeat again.
func (a *Agent) contactDead(ctx context.Context) {
	if m, found := a.table.randomDead(); found {
		a.synchronize(ctx, m.GetControlAddress(), a.opts.ProbeTimeout, a.table.Merge)
	}
}

// probe sends a heartbeat and reports whether the target knows other members
// than this node.
func (a *Agent) probe(ctx context.Context, target *peerrpc.Member) (differs bool) {
	reply, err := a.exchange(ctx, target)
	if err == nil {
		a.table.MarkReachable(target.GetName())
		return a.table.MembersDiffer(reply)
	}
	if !a.probeByRelay(ctx, target.GetName()) && ctx.Err() == nil {
		a.table.MarkUnreachable(a.opts.Now(), target.GetName())
	}
	return false
}

// exchange sends a heartbeat and merges the response.
func (a *Agent) exchange(ctx context.Context, to *peerrpc.Member) (*peerrpc.Gossip, error) {
	ctx, cancel := context.WithTimeout(ctx, a.opts.ProbeTimeout)
	defer cancel()
	g := a.table.NextGossip()
	g.To = to.GetName()
	reply, err := a.transport.Exchange(ctx, to, g)
	if err != nil {
		return nil, err
	}
	a.mergeReceived(reply)
	return reply, nil
}

// probeByRelay asks other nodes to send a heartbeat to the target, and reports
// whether one of them got a response.
func (a *Agent) probeByRelay(ctx context.Context, target string) bool {
	ctx, cancel := context.WithTimeout(ctx, a.opts.ProbeTimeout+a.opts.ProbeTimeout/3)
	defer cancel()
	helpers := a.table.RandomMembers(relayCount, target)
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

// pushLoop pushes new updates to a few members as soon as there are any, until
// ctx ends.
func (a *Agent) pushLoop(ctx context.Context) {
	pushed := uint64(0)
	for wait.For(ctx, a.opts.PushInterval) {
		changes := a.table.ChangeCount()
		if changes == pushed {
			continue
		}
		pushed = changes
		a.Push(ctx, pushCount)
	}
}

// Push sends the queued updates to this node's successor and to n random
// members, all in parallel. Updates would reach every node by the successors
// alone; the random members make it fast.
func (a *Agent) Push(ctx context.Context, n int) {
	targets := a.table.RandomMembers(n, "")
	if next, found := a.table.successor(suspect, dead); found && !slices.Contains(targets, next) {
		targets = append(targets, next)
	}
	var wg sync.WaitGroup
	for _, m := range targets {
		wg.Go(func() { _, _ = a.exchange(ctx, m) })
	}
	wg.Wait()
}

// HandleExchange merges a heartbeat of another node and returns the response.
func (a *Agent) HandleExchange(g *peerrpc.Gossip) *peerrpc.Gossip {
	a.mergeReceived(g)
	return a.table.NextGossip()
}

// HandleSynchronize merges the state of a node that joins or knows other
// members, and returns this node's.
func (a *Agent) HandleSynchronize(g *peerrpc.Gossip, membersOnly bool) *peerrpc.Gossip {
	a.mergeReceived(g)
	if membersOnly {
		return a.table.AllMembers()
	}
	return a.table.FullState()
}

// HandleRelay sends a heartbeat to the target for another node, and reports
// whether the target responded.
func (a *Agent) HandleRelay(ctx context.Context, target string) bool {
	for _, m := range a.table.Reachable() {
		if m.GetName() == target {
			_, err := a.exchange(ctx, m)
			return err == nil
		}
	}
	return false
}

// mergeReceived merges a received message and checks its generation.
func (a *Agent) mergeReceived(g *peerrpc.Gossip) {
	a.table.Merge(a.opts.Now(), g)
	a.checkGeneration(g)
}

// checkGeneration calls OnGeneration if the sender has a newer configuration and
// is a known member that is not dead.
func (a *Agent) checkGeneration(g *peerrpc.Gossip) {
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
