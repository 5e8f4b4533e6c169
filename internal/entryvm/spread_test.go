package entryvm_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"github.com/hibiscuscove/hibiscuscove/internal/beacon"
	"github.com/hibiscuscove/hibiscuscove/internal/entryvm"
	"github.com/hibiscuscove/hibiscuscove/internal/registry"
	"github.com/hibiscuscove/hibiscuscove/internal/roster"
	"github.com/hibiscuscove/hibiscuscove/internal/standin"
	"github.com/hibiscuscove/hibiscuscove/internal/watchers"
)

const (
	beaconInterval = 150 * time.Millisecond
	// missedBeacons is the number of missing beacons after which a VM counts as dead.
	missedBeacons = 8
	// fetchTime is that of a download from a peer, after the grace for the VM's own watch.
	fetchGrace, fetchTime = 150 * time.Millisecond, 20 * time.Millisecond
	dataCentres           = 3
)

// noSink ignores what a follower passes on.
type noSink struct{}

func (noSink) Replace(time.Time, registry.Page[string], bool) {}
func (noSink) Apply(time.Time, registry.Page[string], bool)   {}

// spreadVM is a VM that follows one collection, as an entry VM does, in virtual time.
type spreadVM struct {
	name     string
	number   int
	fleet    []*spreadVM
	store    *standin.SilentStore
	follower *registry.Follower[string]
	targets  beacon.RoundRobin[*spreadVM]

	watchers *watchers.Tracker

	mu       sync.Mutex
	peers    map[string]*beacon.Peer
	fetching bool
}

// newSpreadVM returns a VM that starts now. All VMs of its fleet must be set before it runs.
func newSpreadVM(number int, writes []time.Time) *spreadVM {
	v := &spreadVM{
		name: fmt.Sprint("vm", number), number: number, peers: make(map[string]*beacon.Peer),
		store: &standin.SilentStore{Now: time.Now, Writes: writes},
	}
	v.watchers = watchers.New(watchers.Options{Name: v.name, Incarnation: 1, LinkMbps: 1000, StartedAt: time.Now()})
	large := func() bool { return len(v.fleet) > roster.MaxFullViewVMs }
	v.follower = registry.NewFollower(registry.Options[string]{
		Name: "test", Feed: v.store, Sink: noSink{}, Now: time.Now, ShouldWatch: v.shouldWatch, Log: zerolog.Nop(),
		MaxSilence:      func() time.Duration { return entryvm.MaxStoreSilence(3*time.Second, len(v.fleet)) },
		CollectInterval: func() time.Duration { return entryvm.CollectInterval(large()) },
	})
	return v
}

// alive returns the VMs whose beacons have arrived lately.
func (v *spreadVM) alive(now time.Time) []*beacon.Peer {
	v.mu.Lock()
	defer v.mu.Unlock()
	rounds := max(1, len(v.fleet)/(dataCentres*4))
	var list []*beacon.Peer
	for _, p := range v.peers {
		if now.Sub(p.ReceivedAt) < time.Duration(rounds*missedBeacons)*beaconInterval {
			list = append(list, p)
		}
	}
	return list
}

func (v *spreadVM) shouldWatch(now time.Time) bool {
	fleet := watchers.Fleet{Large: len(v.fleet) > roster.MaxFullViewVMs}
	for _, p := range v.alive(now) {
		fleet.Peers = append(fleet.Peers, watchers.VM{Name: p.Name, LinkMbps: 1000})
	}
	return v.watchers.Decide(now, fleet)
}

func (v *spreadVM) run(ctx context.Context, rng *rand.Rand) {
	var near, far []*spreadVM
	for _, o := range v.fleet {
		switch {
		case o == v:
		case o.number%dataCentres == v.number%dataCentres:
			near = append(near, o)
		default:
			far = append(far, o)
		}
	}
	for ctx.Err() == nil {
		time.Sleep(beaconInterval)
		now := time.Now()
		m := beacon.Message{
			Name: v.name, State: beacon.Serving, LinkMbps: 1000, Watchers: v.watchers.Reports(now, v.follower.Healthy() && v.shouldWatch(now), 0),
			Revisions: beacon.NewRevisions(v.follower.LastChange(), registry.Position{}, registry.Position{}),
		}
		targets := append(near, far...)
		if len(targets) > 12 {
			targets = v.targets.Next(near, far, rng.Shuffle)
		}
		for _, o := range targets {
			o.receive(ctx, v, m)
		}
	}
}

// receive takes a beacon, and fetches the state of its sender if that is newer.
func (v *spreadVM) receive(ctx context.Context, from *spreadVM, m beacon.Message) {
	theirs, _, _ := m.Revisions.Positions()
	v.watchers.Learn(time.Now(), m.Watchers)
	v.mu.Lock()
	v.peers[m.Name] = &beacon.Peer{Message: m, ReceivedAt: time.Now()}
	fetch := !v.fetching && v.follower.Position().Before(theirs)
	v.fetching = v.fetching || fetch
	v.mu.Unlock()
	if !fetch {
		return
	}
	go func() {
		time.Sleep(fetchGrace)
		if own := v.follower.Position(); own.Before(theirs) && ctx.Err() == nil {
			time.Sleep(fetchTime)
			v.follower.Offer(time.Now(), from.follower.Snapshot(own))
		}
		v.mu.Lock()
		defer v.mu.Unlock()
		v.fetching = false
	}()
}

// spreadCase is a fleet and what happens to the store.
type spreadCase struct {
	vms    int
	outage time.Duration
	// watchers cuts off only the VMs that watch, for good.
	watchers bool
	limit    time.Duration
}

// Guards against changes that reach the VMs of a fleet late: after an outage of the store
// that loses all calls under way, and when the connections of all VMs that watch fall silent.
func TestChangesReachAllVMsInTime(t *testing.T) {
	const (
		contact = 3 * time.Second
		// apply is the time from the confirmation of a change until it must be in force.
		apply = 2 * time.Second
		// applyInLargeFleet is the same in the deployment of 195 VMs.
		applyInLargeFleet = 4 * time.Second
		calm              = 12 * time.Second
		plays             = 4
	)
	tests := map[string]spreadCase{
		"8 VMs, silent connections":     {8, 0, false, contact},
		"8 VMs, outage":                 {8, 8 * time.Second, false, contact},
		"24 VMs, outage":                {24, 8 * time.Second, false, contact},
		"84 VMs, silent connections":    {84, 0, false, contact},
		"84 VMs, short outage":          {84, time.Second, false, contact},
		"84 VMs, long outage":           {84, 20 * time.Second, false, contact},
		"84 VMs, watchers are cut off":  {84, 0, true, apply},
		"195 VMs, short outage":         {195, time.Second, false, contact},
		"195 VMs, watchers are cut off": {195, 0, true, applyInLargeFleet},
	}
	if vms, err := strconv.Atoi(os.Getenv("SPREAD_VMS")); err == nil {
		tests[fmt.Sprint(vms, " VMs, outage")] = spreadCase{vms, 8 * time.Second, false, contact}
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			longest := time.Duration(0)
			for play := range plays {
				if play > 0 && test.vms > 100 {
					break // one takes as long as four of the others
				}
				synctest.Test(t, func(t *testing.T) {
					longest = max(longest, spreadDelay(t, test.vms, test.outage, test.watchers, calm+time.Duration(play)*333*time.Millisecond, rand.New(rand.NewPCG(1, uint64(play)))))
				})
			}
			t.Logf("last VM after %v", longest)
			if longest > test.limit {
				t.Errorf("the last VM has the change after %v, want %v at the most", longest, test.limit)
			}
		})
	}
}

// Guards against a store that all VMs of a large fleet call again and again after they have
// started at once, while upstreams start as well.
func TestMassStartCallsTheStoreLittle(t *testing.T) {
	const period = 12 * time.Second
	for _, n := range []int{84, 195} {
		t.Run(fmt.Sprint(n, " VMs"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				start := time.Now()
				var writes []time.Time
				for i := range 100 { // upstreams register and warm up
					writes = append(writes, start.Add(time.Duration(i)*40*time.Millisecond))
				}
				writes = append(writes, start.Add(period-3*time.Second))
				ctx, cancel := context.WithCancel(t.Context())
				var wg sync.WaitGroup
				fleet := make([]*spreadVM, n)
				for i := range fleet {
					fleet[i] = newSpreadVM(i, writes)
				}
				for i, v := range fleet {
					v.fleet = fleet
					wg.Go(func() { v.run(ctx, rand.New(rand.NewPCG(1, uint64(i)))) })
					wg.Go(func() { v.follower.Run(ctx) })
				}
				time.Sleep(period)
				calls := int64(0)
				for _, v := range fleet {
					calls += v.store.Calls.Load()
					if v.follower.Revision() < uint64(len(writes)) {
						t.Errorf("%s has revision %d after %v, want %d", v.name, v.follower.Revision(), period, len(writes))
					}
				}
				cancel()
				wg.Wait()
				time.Sleep(time.Second) // downloads under way end
				// Two calls for each start, and those of a few VMs that watch.
				limit := int64(2*n) + watchers.Target*int64(period/entryvm.CollectInterval(true))
				t.Logf("%d calls", calls)
				if calls > limit {
					t.Errorf("%d VMs made %d calls in %v, want %d at the most", n, calls, period, limit)
				}
			})
		})
	}
}

// spreadDelay returns the time after the store's return, or after the first of five changes
// if the VMs that watch are cut off, until the last VM in touch has all of them.
func spreadDelay(t *testing.T, n int, outage time.Duration, watchersCut bool, calm time.Duration, rng *rand.Rand) time.Duration {
	t.Helper()
	start := time.Now()
	silentAt := start.Add(calm)
	backAt := silentAt.Add(outage)
	writes := []time.Time{start}
	for i := range 5 {
		writes = append(writes, backAt.Add(time.Duration(i)*43*time.Millisecond))
	}
	ctx, cancel := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	defer wg.Wait()
	defer cancel()
	fleet := make([]*spreadVM, n)
	for i := range fleet {
		v := newSpreadVM(i, writes)
		if !watchersCut {
			v.store.Silence(silentAt, backAt)
		}
		fleet[i] = v
	}
	for _, v := range fleet {
		v.fleet = fleet
		seed := rng.Uint64()
		wg.Go(func() { v.run(ctx, rand.New(rand.NewPCG(seed, 1))) })
		wg.Go(func() { v.follower.Run(ctx) })
	}
	time.Sleep(time.Until(silentAt) - time.Millisecond)
	cut := make(map[*spreadVM]bool)
	if watchersCut {
		for _, v := range fleet {
			if v.shouldWatch(time.Now()) {
				cut[v] = true
				v.store.Silence(silentAt, silentAt.Add(time.Hour))
			}
		}
	}
	time.Sleep(time.Until(backAt))
	last := uint64(len(writes))
	for time.Since(backAt) < 20*time.Second {
		all := true
		for _, v := range fleet {
			all = all && (cut[v] || v.follower.Revision() >= last)
		}
		if all {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	delay := time.Since(backAt)
	cancel()
	time.Sleep(time.Second) // downloads under way end
	return delay
}
