// Package discovery finds the other nodes of package node, from the settings and the
// platform's list of VMs, and the upstreams whose VMs are leaving according to that
// list. Nodes announce these to each other, so that only a few of them poll the list.
//
// # Usage
//
//	finder := discovery.NewFinder(discovery.Options{Now: time.Now, Lister: lister, Members: members, ...})
//	members.OnFact(finder.ApplyFact)
//	responded := finder.Join(ctx)
//	go finder.Run(ctx)
//
// A Finder is safe for concurrent use.
package discovery

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/hibiscuscove/hibiscuscove/internal/membership"
	"github.com/hibiscuscove/hibiscuscove/internal/peerrpc"
	"github.com/hibiscuscove/hibiscuscove/internal/upstream"
	"github.com/hibiscuscove/hibiscuscove/internal/vm"
	"github.com/hibiscuscove/hibiscuscove/internal/wait"
)

// factLeavingVM is the kind of facts about upstreams' VMs that are leaving.
const factLeavingVM = "leaving_vm"

const (
	vmListInterval = 2 * time.Second
	// minPeerBackoff and maxPeerBackoff limit the interval of retryPeers.
	minPeerBackoff = 200 * time.Millisecond
	maxPeerBackoff = 20 * time.Second
)

// Options sets up a Finder. All fields but Lister and Peers are required.
type Options struct {
	Now func() time.Time
	// Lister fetches the list of VMs. Without one there is no list.
	Lister vm.Lister
	// Peers are control addresses of other nodes. They may include Self.
	Peers []string
	// Self is this node's control address.
	Self      string
	Members   *membership.Table
	Agent     *membership.Agent
	Upstreams *upstream.Table
	// IsWatcher reports whether this node is one of those that poll the list.
	IsWatcher func() bool
}

// Finder finds nodes and leaving upstreams for one node.
type Finder struct {
	opts Options

	mu sync.Mutex
	// leavingVMs holds, by address, whether a VM is leaving, for each VM with a fact
	// of kind factLeavingVM.
	leavingVMs map[string]bool
}

// NewFinder returns a Finder.
func NewFinder(opts Options) *Finder {
	return &Finder{opts: opts, leavingVMs: make(map[string]bool)}
}

// Join contacts the nodes of the settings and of the list of VMs and merges their
// state. It returns how many responded.
func (f *Finder) Join(ctx context.Context) int {
	addresses := slices.Clone(f.opts.Peers)
	if f.opts.Lister != nil {
		if list, err := f.opts.Lister.List(ctx); err == nil {
			addresses = append(addresses, entryAddresses(list)...)
		}
	}
	addresses = slices.DeleteFunc(addresses, func(a string) bool { return a == f.opts.Self })
	slices.Sort(addresses)
	return f.opts.Agent.Join(ctx, slices.Compact(addresses))
}

// entryAddresses returns the addresses of the live entry VMs in a list.
func entryAddresses(list []vm.VM) []string {
	var addresses []string
	for _, v := range list {
		if v.Role == vm.RoleEntry && v.State == vm.StateLive {
			addresses = append(addresses, v.Address)
		}
	}
	return addresses
}

// Run polls the list of VMs and contacts nodes that are not reachable members, until
// ctx ends.
func (f *Finder) Run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { f.watchVMs(ctx) })
	wg.Go(func() { f.retryPeers(ctx) })
	wg.Wait()
}

// watchVMs polls the list of VMs while this node is a watcher, and gossips which
// upstreams' VMs are leaving.
func (f *Finder) watchVMs(ctx context.Context) {
	if f.opts.Lister == nil {
		return
	}
	for wait.For(ctx, vmListInterval) {
		if !f.opts.IsWatcher() {
			continue
		}
		list, err := f.opts.Lister.List(ctx)
		if err != nil {
			continue
		}
		for _, v := range list {
			if v.Role == vm.RoleUpstream {
				f.recordVM(v)
			}
		}
		f.joinUnreachableNode(ctx, list)
	}
}

// joinUnreachableNode contacts a node that is on the list but not a reachable
// member. A network partition that lasts longer than dead members are remembered
// would otherwise leave two separate fleets.
func (f *Finder) joinUnreachableNode(ctx context.Context, list []vm.VM) {
	if address, found := f.unreachableAddress(entryAddresses(list)); found {
		f.opts.Agent.Join(ctx, []string{address})
	}
}

// retryPeers contacts peers of the settings that are not reachable members: they
// may have started after this node. The interval doubles while none responds.
func (f *Finder) retryPeers(ctx context.Context) {
	for delay := minPeerBackoff; wait.For(ctx, delay); delay = min(2*delay, maxPeerBackoff) {
		address, found := f.unreachableAddress(f.opts.Peers)
		if found && f.opts.Agent.Join(ctx, []string{address}) > 0 {
			delay = minPeerBackoff
		}
	}
}

// unreachableAddress returns a random one of the control addresses that belong
// neither to this node nor to a reachable member.
func (f *Finder) unreachableAddress(addresses []string) (string, bool) {
	reachable := map[string]bool{f.opts.Self: true}
	for _, m := range f.opts.Members.Reachable() {
		reachable[m.GetControlAddress()] = true
	}
	unreachable := slices.DeleteFunc(slices.Clone(addresses), func(a string) bool { return reachable[a] })
	if len(unreachable) == 0 {
		return "", false
	}
	return unreachable[rand.IntN(len(unreachable))], true
}

// recordVM publishes a fact if a VM's leaving state has changed.
func (f *Finder) recordVM(v vm.VM) {
	f.mu.Lock()
	wasLeaving := f.leavingVMs[v.Address]
	f.mu.Unlock()
	if leaving := v.State == vm.StateLeaving; leaving != wasLeaving {
		f.opts.Members.SetFact(f.opts.Now(), factLeavingVM, v.Address, []byte(v.State), 0)
	}
}

// ApplyFact applies a fact about a VM that is leaving and ignores all others.
func (f *Finder) ApplyFact(fact *peerrpc.Fact) {
	if fact.GetKind() != factLeavingVM {
		return
	}
	f.mu.Lock()
	f.leavingVMs[fact.GetName()] = string(fact.GetValue()) == string(vm.StateLeaving)
	f.mu.Unlock()
	f.UpdateUpstreams()
}

// UpdateUpstreams passes the addresses of VMs that are leaving on to the table of
// upstreams. It has to be called when the table gets other upstreams.
func (f *Finder) UpdateUpstreams() {
	f.mu.Lock()
	leavingVMs := maps.Clone(f.leavingVMs)
	f.mu.Unlock()
	f.opts.Upstreams.SetLeaving(leavingVMs)
}
