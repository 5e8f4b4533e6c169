package node

import (
	"context"
	"encoding/json"
	"slices"
	"sync"
	"time"

	"github.com/hibiscuscove/hibiscuscove/internal/contract"
	"github.com/hibiscuscove/hibiscuscove/internal/health"
	"github.com/hibiscuscove/hibiscuscove/internal/peerrpc"
	"github.com/hibiscuscove/hibiscuscove/internal/publication"
	"github.com/hibiscuscove/hibiscuscove/internal/upstream"
	"github.com/hibiscuscove/hibiscuscove/internal/wait"
)

const (
	watchersPerDataCentre = 2
	gateInterval          = time.Second
	// capacityPerSlot is the number of admitted requests per slot of a pool.
	capacityPerSlot = 2
	peerTimeout     = time.Second
)

// runTasks joins the fleet, then runs the background tasks until ctx ends, each in a
// goroutine.
func (n *Node) runTasks(ctx context.Context) {
	quarantineLoaded := n.join(ctx)
	var wg sync.WaitGroup
	wg.Go(func() { n.agent.Run(ctx) })
	wg.Go(func() { n.watcher.Run(ctx) })
	wg.Go(func() { n.follower.Run(ctx) })
	wg.Go(func() { n.finder.Run(ctx) })
	wg.Go(func() { n.adjustGates(ctx) })
	wg.Go(func() { n.crashes.Run(ctx, quarantineLoaded) })
	wg.Wait()
}

// join contacts the nodes of the settings and of the VM list and merges their
// state. It loads the configuration from a node that has a newer one, or
// else from the platform. The node is ready afterwards, even if nothing responded.
// join reports whether the archived quarantine was loaded.
func (n *Node) join(ctx context.Context) (quarantineLoaded bool) {
	responded := n.finder.Join(ctx)
	n.follower.Start(ctx)
	loadCtx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	if err := n.crashes.Load(loadCtx); err != nil {
		n.log.Warn().Err(err).Msg("archived quarantine not loaded, trying again")
	} else {
		quarantineLoaded = true
	}
	n.ready.Store(true)
	if n.configuration.Generation() > 0 {
		n.members.MarkServing()
	}
	n.log.Info().Int("peers", responded).Uint64("generation", n.configuration.Generation()).Msg("node has joined")
	return quarantineLoaded
}

// applyConfiguration passes a new configuration on to the components that depend on
// it.
func (n *Node) applyConfiguration(s publication.State) {
	n.upstreams.SetCatalogue(s.Catalogue)
	n.quarantine.SetUpstreamCounts(upstreamCounts(s.Catalogue))
	n.members.SetGeneration(s.Document.Generation)
	n.finder.UpdateUpstreams()
	n.applyKnownHealth()
	if n.ready.Load() && !n.leaving.Load() {
		n.members.MarkServing()
	}
	n.log.Info().Uint64("generation", s.Document.Generation).Msg("configuration in force")
}

// upstreamCounts returns the number of upstreams in each data centre.
func upstreamCounts(c *contract.Catalogue) map[string]int {
	counts := make(map[string]int)
	for _, pool := range c.Pools() {
		for _, u := range pool.Upstreams {
			counts[u.DataCentre]++
		}
	}
	return counts
}

// applyKnownHealth applies the fleet's health facts to upstreams whose state is still
// unknown on this node.
func (n *Node) applyKnownHealth() {
	for _, s := range n.upstreams.Statuses() {
		if s.Report.State != upstream.StateUnknown {
			continue
		}
		if f, found := n.members.Fact(health.FactKind, s.Name); found {
			n.applyHealthFact(f)
		}
	}
}

// applyHealthFact applies a health report of another node and ignores facts of other
// kinds.
func (n *Node) applyHealthFact(f *peerrpc.Fact) {
	if f.GetKind() != health.FactKind {
		return
	}
	observation, err := health.DecodeObservation(f.GetValue())
	if err != nil || observation.Watcher == n.settings.Name {
		return
	}
	n.upstreams.Observe(n.opts.Now(), upstream.SourceFleet, f.GetName(), observation.Report)
}

// announceHealth gossips a change of an upstream's health.
func (n *Node) announceHealth(now time.Time, name string, observation health.Observation) {
	raw, err := json.Marshal(observation)
	if err != nil {
		return
	}
	n.members.SetFact(now, health.FactKind, name, raw, 0)
	n.log.Info().Str("upstream", name).Str("state", string(observation.Report.State)).Msg("upstream changed")
}

// servingNames returns the names of the serving nodes. They share the probing
// of upstreams.
func (n *Node) servingNames() []string {
	var names []string
	for _, m := range n.members.Serving() {
		names = append(names, m.GetName())
	}
	return names
}

// isWatcher reports whether this node is one of the watchersPerDataCentre nodes of
// its data centre that perform a task which calls the platform. Rendezvous hashing
// chooses them per task.
func (n *Node) isWatcher(task string) bool {
	var names []string
	for _, m := range n.members.Active() {
		if m.GetDataCentre() == n.settings.DataCentre {
			names = append(names, m.GetName())
		}
	}
	return slices.Contains(health.NewRanking(names).First(task, watchersPerDataCentre), n.settings.Name)
}

// adjustGates periodically sets each gate's capacity to capacityPerSlot times the
// slots of the pool's live upstreams.
func (n *Node) adjustGates(ctx context.Context) {
	for wait.For(ctx, gateInterval) {
		slots := make(map[string]int)
		for _, pool := range n.configuration.Current().Catalogue.Pools() {
			live := len(n.upstreams.Candidates(n.opts.Now(), pool.Name))
			slots[pool.Name] = live * pool.Slots
		}
		n.mu.Lock()
		for pool, g := range n.gates {
			g.SetCapacity(min(n.settings.MaxInFlight, capacityPerSlot*max(1, slots[pool])))
		}
		n.mu.Unlock()
	}
}

// announceSelf sends this node's own member state to every reachable member and
// waits for at most peerTimeout.
func (n *Node) announceSelf(ctx context.Context) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), peerTimeout)
	defer cancel()
	g := &peerrpc.Gossip{From: n.settings.Name, Members: []*peerrpc.Member{n.members.Self()}}
	n.members.ForEachPeer(func(m *peerrpc.Member) {
		_, _ = n.link.Exchange(ctx, m, g)
	})
}
