package main

import (
	"sync"
	"time"
)

const (
	namedVersions = 9
	namedEvery    = 2500 * time.Millisecond
	// loadsAtOnce is how many workers load in loadTime each. More of them share that.
	loadsAtOnce = 3
)

// takeLoad returns how long a load takes that begins now, beside those under way.
func (f *fleet) takeLoad() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.loads++
	return time.Duration(float64(loadTime) * max(1, float64(f.loads)/loadsAtOnce))
}

func (f *fleet) endLoad() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.loads--
}

// playVersions names versions in quick succession, or a single one without the disruption.
func (f *fleet) playVersions() int {
	f.shareLoads = true
	for range workerCount {
		f.startWorker(service)
	}
	f.awaitReady()
	time.Sleep(contact + 2*time.Second)
	stop := make(chan struct{})
	var done sync.WaitGroup
	var sent, served int
	f.sendOrdinary(stop, &done, &sent, &served)
	time.Sleep(time.Second)
	first := time.Now()
	for i := range namedVersions {
		time.Sleep(time.Until(first.Add(time.Duration(i) * namedEvery)))
		f.note("version %d named", i+2)
		f.store.put("versions", model, map[string]any{"model": model, "version": i + 2})
		if !f.trouble {
			break
		}
	}
	time.Sleep(time.Until(first.Add(judgedAfter + 500*time.Millisecond)))
	old := 0
	f.mu.Lock()
	workers := append([]*worker(nil), f.workers...)
	f.mu.Unlock()
	for _, w := range workers {
		w.mu.Lock()
		version, orders := w.version, w.orders
		w.mu.Unlock()
		f.note("worker %s has version %d and got %d orders", w.id, version, orders)
		if version < 2 {
			old++
		}
	}
	close(stop)
	done.Wait()
	f.note("%d ordinary requests, %d served; %d of %d workers have an older version than 2, %v after it was named", sent, served, old, len(workers), judgedAfter)
	if served == 0 {
		fail("no ordinary request is served")
	}
	if old > 1 && 10*old > len(workers) {
		f.note("VERSION broken")
		return 1
	}
	f.note("VERSION held")
	return 0
}
