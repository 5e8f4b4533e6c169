package experiment

import (
	"time"

	"github.com/hibiscuscove/hibiscuscove/internal/rollout"
)

// Pattern is a load and what goes wrong beside it.
type Pattern struct {
	Name, Description string
	play              func(*fleet)
}

// Patterns returns the patterns by name. Their times are those of a day of
// usualLength and shrink with shorter ones; those of rollouts don't.
func Patterns() map[string]Pattern {
	all := make(map[string]Pattern)
	for _, p := range []Pattern{
		{"steady", "the usual load", func(*fleet) {}},
		{"hot-prompt", "four in ten requests of a kind ask for one subject", func(f *fleet) {
			f.during(10, func(on bool) { f.hot = choose(on, 0.4, 0) })
		}},
		{"quarter-silent", "a quarter of the engines goes dark for a third of the day", func(f *fleet) {
			f.loop.After(f.scaled(troubleAt), func() { f.crash(4, f.scaled(12)) })
		}},
		{"rollouts-in-a-row", "new weights every 8 s, and engines crash meanwhile", func(f *fleet) {
			for i := range 3 {
				f.loop.After(time.Duration(4+8*i)*time.Second, func() { f.name(int64(i) + 2) })
				f.loop.After(time.Duration(6+8*i)*time.Second, func() { f.crash(6, time.Second) })
			}
		}},
		{"crashes-in-a-row", "three in ten engines crash three times, beside a rollout", func(f *fleet) {
			f.loop.After(2*time.Second, func() { f.name(2) })
			for i := range 3 {
				f.loop.After(time.Duration(4000+3500*i)*time.Millisecond, func() { f.crash(3, time.Second) })
			}
			f.loop.After(12*time.Second, func() { f.name(3) })
		}},
		{"late-orders-in-a-crunch", "crashes in a row while a third of the VMs is cut off and half of the orders get no answer", func(f *fleet) {
			f.load, f.lateOrders = 1.1, true
			f.loop.After(time.Second, func() { f.cut(3, true) })
			f.loop.After(13*time.Second, func() { f.cut(3, false) })
			f.loop.After(20*time.Second, func() { f.lateOrders = false })
			f.loop.After(2*time.Second, func() { f.name(2) })
			for i := range 3 {
				f.loop.After(time.Duration(4000+3500*i)*time.Millisecond, func() { f.crash(3, time.Second) })
			}
			f.loop.After(12*time.Second, func() { f.name(3) })
			f.loop.After(24*time.Second, func() { f.name(4) })
		}},
		{"burst-with-repeats", "twice the load for a while, and callers that repeat at once", func(f *fleet) {
			f.during(6, func(on bool) { f.load, f.impatient = choose(on, 2.0, 1), on })
		}},
		{"third-cut-off", "a third of the VMs hears no other VM for a third of the day", func(f *fleet) {
			f.during(10, func(on bool) { f.cut(3, on) })
		}},
		{"store-away-in-a-drain", "the store of kept prompts is lost while engines leave", func(f *fleet) {
			f.during(5, func(on bool) { f.store.SetUp(!on) })
			f.loop.After(f.scaled(9), func() { f.drain(6) })
		}},
		{"rolling-restart", "the VMs restart one after the other", func(f *fleet) {
			for i := range f.vms {
				f.loop.After(f.scaled(4+20*float64(i)/float64(len(f.vms))), func() { f.restart(f.vms[i]) })
			}
		}},
		{"slow-links", "kept memory moves at a twentieth of its speed for a third of the day", func(f *fleet) {
			f.during(10, func(on bool) {
				for _, e := range f.engines {
					e.SlowLink(choose(on, 20.0, 1))
				}
			})
		}},
	} {
		all[p.Name] = p
	}
	return all
}

// usualLength is how long traffic lasts if nothing else is asked for.
const usualLength = 30 * time.Second

// scaled is a time of the usual day in this one.
func (f *fleet) scaled(seconds float64) time.Duration {
	return time.Duration(seconds / usualLength.Seconds() * float64(f.opts.Duration))
}

func choose[T any](first bool, a, b T) T {
	if first {
		return a
	}
	return b
}

// troubleAt is when what lasts for a while begins, in seconds of the usual day:
// prompts are kept by then.
const troubleAt = 8

// during switches something on and, so many seconds of the usual day later, off.
func (f *fleet) during(seconds float64, set func(on bool)) {
	f.loop.After(f.scaled(troubleAt), func() { set(true) })
	f.loop.After(f.scaled(troubleAt+seconds), func() { set(false) })
}

// crash takes one in n engines away, in silence.
func (f *fleet) crash(n int, down time.Duration) {
	for _, i := range f.rng.Perm(len(f.engines))[:len(f.engines)/n] {
		e := f.engines[i]
		e.Crash(down, func() {
			// It comes back under another ID, which the list tells.
			gone := e.upstream.ID
			e.upstream.ID += "+"
			e.upstream.Version = e.Version()
			f.list(e)
			for _, v := range f.vms {
				f.loop.After(time.Duration(f.rng.Int64N(int64(listLag))), func() { v.table.Remove(f.loop.Now(), gone, false) })
			}
		})
	}
}

// list lets all VMs hear an engine's entry.
func (f *fleet) list(e *engine) {
	u := e.upstream
	for _, v := range f.vms {
		f.loop.After(listLag/2+time.Duration(f.rng.Int64N(int64(listLag))), func() { v.table.Put(f.loop.Now(), u) })
	}
}

// cut keeps one in n VMs from hearing others, or lets them hear again.
func (f *fleet) cut(n int, on bool) {
	for i, v := range f.vms {
		if i%n == 0 {
			v.cut = on
		}
	}
}

// drain lets one in n engines leave.
func (f *fleet) drain(n int) {
	for i, e := range f.engines {
		if i%n == 0 {
			e.upstream.Leaving = true
			f.list(e)
		}
	}
}

// restart replaces what a VM knows by what it can list.
func (f *fleet) restart(v *vm) {
	const startTime = 700 * time.Millisecond
	v.up = false
	f.loop.After(startTime, func() {
		v.table, v.up, v.rounds, v.storeSeen, v.storeNext = f.newTable(v.dc), true, nil, 0, 0
	})
}

// doubtPeriod is how long an order without an answer is left alone.
const doubtPeriod = 1300 * time.Millisecond

// name names new weights, which one VM then brings to all engines.
func (f *fleet) name(version int64) {
	f.version, f.namedAt = version, f.loop.Now()
	for _, v := range f.vms {
		f.loop.After(time.Duration(f.rng.Int64N(int64(listLag))), func() { v.table.SetDesired(f.loop.Now(), model, version) })
	}
	f.loop.After(listLag, func() { f.rollout(version, make(map[*engine]time.Time), make(map[*engine]bool)) })
}

// rollout is one look of the VM that gives the orders.
func (f *fleet) rollout(version int64, chosen map[*engine]time.Time, loading map[*engine]bool) {
	if f.version != version {
		return // a newer version is on its way
	}
	now, leader := f.loop.Now(), f.vms[0].table
	loads, prepared := rollout.MaxLoading(len(f.engines)), rollout.MaxChanging(len(f.engines))
	load := leader.TotalLoad(now)
	behind := 0
	for _, e := range f.engines {
		if e.Version() >= version {
			delete(chosen, e)
			delete(loading, e)
			continue
		}
		behind++
		since, picked := chosen[e]
		if !picked && len(chosen) < prepared && e.Up() {
			chosen[e] = now
			picked, since = true, now
		}
		if !picked {
			continue
		}
		leader.RecordAnnouncement(now, e.upstream.ID, version)
		age := now.Sub(since)
		if loading[e] || age < rollout.AnnounceLead || age < rollout.DrainTimeout && load[e.upstream.ID].Requests > 0 || len(loading) >= loads {
			continue
		}
		loading[e] = true
		f.loadWeights(e, version, loading)
	}
	if behind > 0 {
		f.loop.After(rollout.Tick, func() { f.rollout(version, chosen, loading) })
	}
}

func (f *fleet) loadWeights(e *engine, version int64, loading map[*engine]bool) {
	if f.lateOrders && f.rng.IntN(2) == 0 {
		// The order is in doubt, and given again when it is thought lost.
		f.loop.After(doubtPeriod, func() { f.loadWeights(e, version, loading) })
		return
	}
	e.Load(version, func() {
		f.result.RolloutMS = max(f.result.RolloutMS, float64(f.loop.Now().Sub(f.namedAt))/float64(time.Millisecond))
		e.upstream.Version = version
		f.loop.After(time.Duration(f.rng.Int64N(int64(rollout.ReportInterval))), func() {
			delete(loading, e)
			f.vms[0].table.ObserveVersion(f.loop.Now(), e.upstream.ID, e.upstream.Born, version)
		})
		f.list(e)
	})
}
