package node

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/hibiscuscove/hibiscuscove/internal/contract"
	"github.com/hibiscuscove/hibiscuscove/internal/health"
	"github.com/hibiscuscove/hibiscuscove/internal/peerrpc"
	"github.com/hibiscuscove/hibiscuscove/internal/publication"
	"github.com/hibiscuscove/hibiscuscove/internal/quarantine"
	"github.com/hibiscuscove/hibiscuscove/internal/upstream"
	"github.com/hibiscuscove/hibiscuscove/internal/vm"
	"github.com/hibiscuscove/hibiscuscove/internal/wait"
)

// The kinds of facts that nodes spread, beside health.FactKind.
const (
	factLeavingVM = "leaving_vm"
	factDeath     = "death"
	factAbsolved  = "absolved"
)

const (
	watchersPerDataCentre = 2
	watchRetry            = 500 * time.Millisecond
	vmListPeriod          = 2 * time.Second
	seekPause             = 200 * time.Millisecond
	seekPauseMost         = 20 * time.Second
	gatePeriod            = time.Second
	capacityPerSlot       = 2
	fetchTimeout          = 5 * time.Second
	quarantineMemory      = time.Hour
	tellTimeout           = time.Second
	parallelTells         = 32
)

// duties runs the node's work in the background, a goroutine for each duty.
func (n *Node) duties(ctx context.Context) {
	n.join(ctx)
	var wg sync.WaitGroup
	wg.Go(func() { n.agent.Run(ctx) })
	wg.Go(func() { n.watcher.Run(ctx) })
	wg.Go(func() { n.watchConfiguration(ctx) })
	wg.Go(func() { n.fetchConfiguration(ctx) })
	wg.Go(func() { n.watchVMs(ctx) })
	wg.Go(func() { n.seekPeers(ctx) })
	wg.Go(func() { n.sizeGates(ctx) })
	wg.Wait()
}

// join learns from the other nodes first and from the platform second.
func (n *Node) join(ctx context.Context) {
	addresses := slices.Clone(n.settings.Peers)
	if n.opts.Lister != nil {
		if list, err := n.opts.Lister.List(ctx); err == nil {
			addresses = append(addresses, entryAddresses(list)...)
		}
	}
	addresses = slices.DeleteFunc(addresses, func(a string) bool { return a == n.settings.ControlAdvertise })
	slices.Sort(addresses)
	answered := n.agent.Join(ctx, slices.Compact(addresses))
	select {
	case order := <-n.fetch:
		n.fetchFrom(ctx, order)
	default:
	}
	if n.holder.Generation() == 0 {
		n.loadFromPlatform(ctx)
	}
	n.ready.Store(true)
	if n.holder.Generation() > 0 {
		n.members.MarkServing()
	}
	n.log.Info().Int("peers", answered).Uint64("generation", n.holder.Generation()).Msg("node has joined")
}

func entryAddresses(list []vm.VM) []string {
	var addresses []string
	for _, v := range list {
		if v.Role == vm.RoleEntry && v.State == vm.StateLive {
			addresses = append(addresses, v.Address)
		}
	}
	return addresses
}

func (n *Node) loadFromPlatform(ctx context.Context) {
	document, err := n.publisher.Load(ctx)
	if err != nil {
		n.log.Warn().Err(err).Msg("configuration not loaded")
		return
	}
	n.offer(document)
}

func (n *Node) offer(d contract.Document) {
	if _, err := n.holder.Offer(d); err != nil {
		n.log.Error().Err(err).Msg("configuration refused")
	}
}

// configured puts a new configuration to use in all parts.
func (n *Node) configured(s publication.State) {
	n.upstreams.SetCatalogue(s.Catalogue)
	n.quarantine.SetUpstreamCounts(sizes(s.Catalogue))
	n.members.SetGeneration(s.Document.Generation)
	n.markGone()
	n.recallHealth()
	if n.ready.Load() && !n.leaving.Load() {
		n.members.MarkServing()
	}
	n.log.Info().Uint64("generation", s.Document.Generation).Msg("configuration in force")
}

func sizes(c *contract.Catalogue) map[string]int {
	counts := make(map[string]int)
	for _, pool := range c.Pools() {
		for _, u := range pool.Upstreams {
			counts[u.DataCentre]++
		}
	}
	return counts
}

// recallHealth applies what the fleet knows to upstreams that are new here.
func (n *Node) recallHealth() {
	for _, s := range n.upstreams.Statuses() {
		if s.Report.State != upstream.StateUnknown {
			continue
		}
		if f, found := n.members.Fact(health.FactKind, s.Name); found {
			n.learnHealth(f)
		}
	}
}

// learn takes in a fact from another node or this one.
func (n *Node) learn(f *peerrpc.Fact) {
	switch f.GetKind() {
	case health.FactKind:
		n.learnHealth(f)
	case factLeavingVM:
		n.mu.Lock()
		n.gone[f.GetName()] = string(f.GetValue()) == string(vm.StateLeaving)
		n.mu.Unlock()
		n.markGone()
	case factDeath:
		n.learnDeath(f)
	case factAbsolved:
		n.quarantine.Clear(time.UnixMilli(int64(f.GetVersion())), f.GetName())
	}
}

func (n *Node) learnHealth(f *peerrpc.Fact) {
	news, err := health.DecodeNews(f.GetValue())
	if err != nil || news.Watcher == n.settings.Name {
		return
	}
	n.upstreams.Observe(n.opts.Now(), upstream.SourceFleet, f.GetName(), news.Report)
}

type deathFact struct {
	Fingerprint string           `json:"fingerprint"`
	Death       quarantine.Crash `json:"death"`
}

func (n *Node) learnDeath(f *peerrpc.Fact) {
	var d deathFact
	if err := json.Unmarshal(f.GetValue(), &d); err != nil {
		return
	}
	n.quarantine.AttributeCrash(n.opts.Now(), d.Fingerprint, d.Death)
}

func (n *Node) markGone() {
	n.mu.Lock()
	gone := make(map[string]bool, len(n.gone))
	for address, leaving := range n.gone {
		gone[address] = leaving
	}
	n.mu.Unlock()
	n.upstreams.SetGone(gone)
}

func (n *Node) spreadHealth(now time.Time, name string, news health.News) {
	raw, err := json.Marshal(news)
	if err != nil {
		return
	}
	n.members.SetFact(now, health.FactKind, name, raw, 0)
	n.log.Info().Str("upstream", name).Str("state", string(news.Report.State)).Msg("upstream changed")
}

// watchingMembers returns the names of the nodes that watch upstreams.
func (n *Node) watchingMembers() []string {
	var names []string
	for _, m := range n.members.Serving() {
		names = append(names, m.GetName())
	}
	return names
}

// chosen reports whether this node is one of the few of its data centre that
// do a duty towards the platform.
func (n *Node) chosen(duty string) bool {
	var names []string
	for _, m := range n.members.Active() {
		if m.GetDataCentre() == n.settings.DataCentre {
			names = append(names, m.GetName())
		}
	}
	return slices.Contains(health.NewRanking(names).First(duty, watchersPerDataCentre), n.settings.Name)
}

// watchConfiguration watches the head while this node is chosen to.
func (n *Node) watchConfiguration(ctx context.Context) {
	var version uint64
	for ctx.Err() == nil {
		if !n.chosen("configuration") {
			wait.For(ctx, watchRetry)
			continue
		}
		document, next, err := n.publisher.Await(ctx, version)
		if err != nil {
			wait.For(ctx, watchRetry)
			continue
		}
		if next > version {
			version = next
			n.offer(document)
		}
	}
}

// orderFetch asks the fetching duty for a newer configuration.
func (n *Node) orderFetch(from *peerrpc.Member, generation uint64) {
	select {
	case n.fetch <- fetchOrder{from: from, generation: generation}:
	default:
	}
}

func (n *Node) fetchConfiguration(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case order := <-n.fetch:
			n.fetchFrom(ctx, order)
		}
	}
}

// fetchFrom fetches what has changed, or the whole document if that fails.
func (n *Node) fetchFrom(ctx context.Context, order fetchOrder) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	for _, since := range []uint64{n.holder.Generation(), 0} {
		if order.generation <= n.holder.Generation() {
			return
		}
		reply, err := n.link.FetchConfiguration(ctx, order.from, since)
		if err != nil {
			n.log.Warn().Err(err).Str("from", order.from.GetName()).Msg("configuration not fetched")
			return
		}
		var delta contract.Delta
		if err := json.Unmarshal(reply.GetDocument(), &delta); err != nil {
			continue
		}
		if _, err := n.holder.OfferDelta(delta, reply.GetDigest()); err == nil {
			return
		}
	}
}

// watchVMs reads the list of VMs while this node is chosen to, and tells the
// others which are leaving.
func (n *Node) watchVMs(ctx context.Context) {
	if n.opts.Lister == nil {
		return
	}
	for wait.For(ctx, vmListPeriod) {
		if !n.chosen("vm_list") {
			continue
		}
		list, err := n.opts.Lister.List(ctx)
		if err != nil {
			continue
		}
		for _, v := range list {
			if v.Role == vm.RoleUpstream {
				n.noteVM(v)
			}
		}
		n.joinStrangers(ctx, list)
	}
}

// joinStrangers calls a node that is on the list but not known here: a cut
// that lasts longer than dead members are remembered leaves two fleets.
func (n *Node) joinStrangers(ctx context.Context, list []vm.VM) {
	if address, found := n.stranger(entryAddresses(list)); found {
		n.agent.Join(ctx, []string{address})
	}
}

// seekPeers calls the peers of the settings that are not known here, less and
// less often while none answers: they may have started after this node.
func (n *Node) seekPeers(ctx context.Context) {
	for pause := seekPause; wait.For(ctx, pause); pause = min(2*pause, seekPauseMost) {
		address, found := n.stranger(n.settings.Peers)
		if found && n.agent.Join(ctx, []string{address}) > 0 {
			pause = seekPause
		}
	}
}

// stranger returns one of the control addresses that no known member has.
func (n *Node) stranger(addresses []string) (string, bool) {
	known := map[string]bool{n.settings.ControlAdvertise: true}
	for _, m := range n.members.Reachable() {
		known[m.GetControlAddress()] = true
	}
	strangers := slices.DeleteFunc(slices.Clone(addresses), func(a string) bool { return known[a] })
	if len(strangers) == 0 {
		return "", false
	}
	return strangers[rand.IntN(len(strangers))], true
}

func (n *Node) noteVM(v vm.VM) {
	n.mu.Lock()
	before := n.gone[v.Address]
	n.mu.Unlock()
	if leaving := v.State == vm.StateLeaving; leaving != before {
		n.members.SetFact(n.opts.Now(), factLeavingVM, v.Address, []byte(v.State), 0)
	}
}

// sizeGates lets as many requests into a pool as its live upstreams can hold.
func (n *Node) sizeGates(ctx context.Context) {
	for wait.For(ctx, gatePeriod) {
		slots := make(map[string]int)
		for _, pool := range n.holder.Current().Catalogue.Pools() {
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

// tellAll sends the news to every member at once.
func (n *Node) tellAll(ctx context.Context) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), tellTimeout)
	defer cancel()
	g := &peerrpc.Gossip{From: n.settings.Name, Members: []*peerrpc.Member{n.members.Self()}}
	n.eachPeer(func(m *peerrpc.Member) {
		_, _ = n.link.Exchange(ctx, m, g)
	})
}

// eachPeer calls f for every other member, many at a time, and waits.
func (n *Node) eachPeer(f func(*peerrpc.Member)) {
	slots := make(chan struct{}, parallelTells)
	var wg sync.WaitGroup
	for _, m := range n.members.Reachable() {
		if m.GetName() == n.settings.Name {
			continue
		}
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			f(m)
		})
	}
	wg.Wait()
}
