package experiment

import (
	"time"

	"github.com/hibiscuscove/hibiscuscove/internal/capacity"
	"github.com/hibiscuscove/hibiscuscove/internal/rollout"
)

// Pattern is a load with the faults that happen under it.
type Pattern struct {
	Name, Description string
	apply             func(*fleet)
}

// Patterns returns the patterns by name. Their times are for an experiment of
// defaultDuration and scale with its length, except for those with rollouts.
func Patterns() map[string]Pattern {
	all := make(map[string]Pattern)
	for _, p := range []Pattern{
		{"steady", "the usual load", func(*fleet) {}},
		{"hot-prompt", "four in ten requests of a kind ask for one subject", func(f *fleet) {
			f.duringFault(10, func(on bool) { f.hotShare = choose(on, 0.4, 0) })
		}},
		{"quarter-silent", "a quarter of the engines goes dark for a third of the day", func(f *fleet) {
			f.loop.After(f.scaled(faultStart), func() { f.crash(4, f.scaled(12)) })
		}},
		{"rollouts-in-a-row", "new weights every 8 s, and engines crash meanwhile", func(f *fleet) {
			for i := range 3 {
				f.loop.After(time.Duration(4+8*i)*time.Second, func() { f.setDesired(int64(i) + 2) })
				f.loop.After(time.Duration(6+8*i)*time.Second, func() { f.crash(6, time.Second) })
			}
		}},
		{"crashes-in-a-row", "three in ten engines crash three times, beside a rollout", func(f *fleet) {
			f.loop.After(2*time.Second, func() { f.setDesired(2) })
			for i := range 3 {
				f.loop.After(time.Duration(4000+3500*i)*time.Millisecond, func() { f.crash(3, time.Second) })
			}
			f.loop.After(12*time.Second, func() { f.setDesired(3) })
		}},
		{"late-orders-in-a-crunch", "crashes in a row while a third of the VMs is cut off and half of the orders get no answer", func(f *fleet) {
			f.loadFactor, f.lostOrders = 1.1, true
			f.loop.After(time.Second, func() { f.partition(3, true) })
			f.loop.After(13*time.Second, func() { f.partition(3, false) })
			f.loop.After(20*time.Second, func() { f.lostOrders = false })
			f.loop.After(2*time.Second, func() { f.setDesired(2) })
			for i := range 3 {
				f.loop.After(time.Duration(4000+3500*i)*time.Millisecond, func() { f.crash(3, time.Second) })
			}
			f.loop.After(12*time.Second, func() { f.setDesired(3) })
			f.loop.After(24*time.Second, func() { f.setDesired(4) })
		}},
		{"burst-with-repeats", "twice the load for a while, and callers that repeat at once", func(f *fleet) {
			f.duringFault(6, func(on bool) { f.loadFactor, f.impatient = choose(on, 2.0, 1), on })
		}},
		{"third-cut-off", "a third of the VMs hears no other VM for a third of the day", func(f *fleet) {
			f.duringFault(10, func(on bool) { f.partition(3, on) })
		}},
		{"store-away-in-a-drain", "the store of kept prompts is lost while engines leave", func(f *fleet) {
			f.duringFault(5, func(on bool) { f.store.SetUp(!on) })
			f.loop.After(f.scaled(9), func() { f.drain(6) })
		}},
		{"rolling-restart", "the VMs restart one after the other", func(f *fleet) {
			for i := range f.vms {
				f.loop.After(f.scaled(4+20*float64(i)/float64(len(f.vms))), func() { f.restart(f.vms[i]) })
			}
		}},
		{"slow-links", "kept memory moves at a twentieth of its speed for a third of the day", func(f *fleet) {
			f.duringFault(10, func(on bool) {
				for _, e := range f.engines {
					e.SetLinkSlowdown(choose(on, 20.0, 1))
				}
			})
		}},
		{"uneven-engines", "engines have 0.7, 0.7 and 1.7 times the usual speed", func(f *fleet) {
			f.unevenEngines()
		}},
		{"engine-slows-down", "one engine in nine becomes 2.5 times slower for a third of the day", func(f *fleet) {
			f.duringFault(10, func(on bool) {
				for i, e := range f.engines {
					if i%9 == 0 {
						e.setSlowdown(choose(on, 2.5, 1))
					}
				}
			})
		}},
	} {
		all[p.Name] = p
	}
	return all
}

// defaultDuration is the default of Options.Duration.
const defaultDuration = 30 * time.Second

// scaled converts seconds of an experiment of defaultDuration to the time in this
// one.
func (f *fleet) scaled(seconds float64) time.Duration {
	return time.Duration(seconds / defaultDuration.Seconds() * float64(f.opts.Duration))
}

func choose[T any](condition bool, a, b T) T {
	if condition {
		return a
	}
	return b
}

// faultStart is the start of temporary faults, in seconds before scaling. The caches
// are filled by then.
const faultStart = 8

// duringFault calls set(true) at faultStart and set(false) the given number of
// seconds later, both scaled.
func (f *fleet) duringFault(seconds float64, set func(on bool)) {
	f.loop.After(f.scaled(faultStart), func() { set(true) })
	f.loop.After(f.scaled(faultStart+seconds), func() { set(false) })
}

// crash crashes one in n engines without notice. Each restarts under a new ID after
// the down time.
func (f *fleet) crash(n int, down time.Duration) {
	for _, i := range f.rng.Perm(len(f.engines))[:len(f.engines)/n] {
		e := f.engines[i]
		e.Crash(down, func() {
			// VMs receive the new ID with the list of upstreams.
			oldID := e.upstream.ID
			e.upstream.ID += "+"
			e.upstream.Version = e.Version()
			f.publishEntry(e)
			for _, v := range f.vms {
				f.loop.After(time.Duration(f.rng.Int64N(int64(listLag))), func() { v.table.Remove(f.loop.Now(), oldID, false) })
			}
		})
	}
}

// publishEntry sends an engine's entry in the list of upstreams to all VMs.
func (f *fleet) publishEntry(e *engine) {
	u := e.upstream
	for _, v := range f.vms {
		f.loop.After(listLag/2+time.Duration(f.rng.Int64N(int64(listLag))), func() { v.table.Put(f.loop.Now(), u) })
	}
}

// partition cuts one in n VMs off from the other VMs, or reconnects them.
func (f *fleet) partition(n int, on bool) {
	for i, v := range f.vms {
		if i%n == 0 {
			v.partitioned = on
		}
	}
}

// drain sets one in n engines to leaving.
func (f *fleet) drain(n int) {
	for i, e := range f.engines {
		if i%n == 0 {
			e.upstream.Leaving = true
			f.publishEntry(e)
		}
	}
}

// restart restarts a VM, which then knows only the list of upstreams and the
// desired version.
func (f *fleet) restart(v *vm) {
	const startTime = 700 * time.Millisecond
	v.up = false
	f.loop.After(startTime, func() {
		v.book, v.process = capacity.NewBook(), v.process+1
		v.table, v.up, v.recentlySent, v.storeEpoch, v.nextStoreEvent = f.newTable(v), true, nil, 0, 0
	})
}

// uncertaintyInterval is the time until an order without a response is sent again.
const uncertaintyInterval = 1300 * time.Millisecond

// setDesired changes the desired version of the weights. One VM then rolls it out to
// all engines.
func (f *fleet) setDesired(version int64) {
	f.desiredVersion, f.desiredAt = version, f.loop.Now()
	for _, v := range f.vms {
		f.loop.After(time.Duration(f.rng.Int64N(int64(listLag))), func() { v.table.SetDesired(f.loop.Now(), model, version) })
	}
	f.loop.After(listLag, func() { f.rolloutTick(version, make(map[*engine]time.Time), make(map[*engine]bool)) })
}

// rolloutTick runs one tick of the rollout on the leading VM. announcedAt maps an
// engine to the time of its first announcement. loading has the engines to which an
// order was sent.
func (f *fleet) rolloutTick(version int64, announcedAt map[*engine]time.Time, loading map[*engine]bool) {
	if f.desiredVersion != version {
		return // a newer version is being rolled out
	}
	now, leader := f.loop.Now(), f.vms[0].table
	maxLoading, maxChanging := rollout.MaxLoading(len(f.engines)), rollout.MaxChanging(len(f.engines))
	totalLoad := leader.TotalLoad(now)
	outdated := 0
	for _, e := range f.engines {
		if e.Version() >= version {
			delete(announcedAt, e)
			delete(loading, e)
			continue
		}
		outdated++
		since, announced := announcedAt[e]
		if !announced && len(announcedAt) < maxChanging && e.Up() {
			announcedAt[e] = now
			announced, since = true, now
		}
		if !announced {
			continue
		}
		leader.RecordAnnouncement(now, e.upstream.ID, version)
		age := now.Sub(since)
		if loading[e] || age < rollout.AnnounceLead || age < rollout.DrainTimeout && totalLoad[e.upstream.ID].Requests > 0 || len(loading) >= maxLoading {
			continue
		}
		loading[e] = true
		f.loadWeights(e, version, loading)
	}
	if outdated > 0 {
		f.loop.After(rollout.TickInterval, func() { f.rolloutTick(version, announcedAt, loading) })
	}
}

// loadWeights orders an engine to load weights and removes it from loading when
// the rollout receives a report of the new version.
func (f *fleet) loadWeights(e *engine, version int64, loading map[*engine]bool) {
	if f.lostOrders && f.rng.IntN(2) == 0 {
		// The order was lost. Without a response it is sent again.
		f.loop.After(uncertaintyInterval, func() { f.loadWeights(e, version, loading) })
		return
	}
	e.LoadWeights(version, func() {
		f.result.RolloutMS = max(f.result.RolloutMS, float64(f.loop.Now().Sub(f.desiredAt))/float64(time.Millisecond))
		e.upstream.Version = version
		f.loop.After(time.Duration(f.rng.Int64N(int64(rollout.ReportInterval))), func() {
			delete(loading, e)
			f.vms[0].table.ObserveVersion(f.loop.Now(), e.upstream.ID, e.upstream.Born, version)
		})
		f.publishEntry(e)
	})
}
