package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// loadTime is how long new weights take a worker.
	loadTime = 1900 * time.Millisecond
	// lateBy is when an order without an answer is carried out, of the 2 to 12 s that the
	// pages name.
	lateBy = 11500 * time.Millisecond
	// lateOrders is the number of orders without an answer. They are every second one of the
	// first ones, the share that the site file names.
	lateOrders = 2
	// downFor is how long the crashed workers are away.
	downFor = 1500 * time.Millisecond
	// judgedAfter is 1.5 times version_ms.
	judgedAfter = 22500 * time.Millisecond
	newest      = 3
)

// order is the body of POST /api/order.
type order struct {
	Op       string `json:"op"`
	Model    string `json:"model"`
	Version  int    `json:"version"`
	Holder   string `json:"holder"`
	Fence    uint64 `json:"fence"`
	Expected *int   `json:"expected"`
}

// takeOrder carries out an order or declines it, and returns the status.
func (w *worker) takeOrder(o order) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case o.Op != "version" || o.Model != model || o.Holder == "" || o.Fence == 0:
		return http.StatusBadRequest
	case w.busy || o.Expected != nil && *o.Expected != w.orders:
		return http.StatusConflict
	case o.Version == w.version:
		return http.StatusOK
	}
	w.orders++
	w.busy = true
	takes := loadTime
	if w.f.shareLoads {
		takes = w.f.takeLoad()
	}
	time.AfterFunc(takes, func() {
		if w.f.shareLoads {
			w.f.endLoad()
		}
		w.mu.Lock()
		if w.stopped {
			w.mu.Unlock()
			return
		}
		w.version, w.busy = o.Version, false
		w.mu.Unlock()
		w.f.note("worker %s has version %d", w.id, o.Version)
		w.beat()
	})
	return http.StatusAccepted
}

// serveOrder answers an order, or leaves it unanswered and carries it out late.
func (w *worker) serveOrder(rw http.ResponseWriter, r *http.Request) {
	if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != w.id {
		rw.Header().Set("Instance-Id", w.id)
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	var o order
	if json.NewDecoder(r.Body).Decode(&o) != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	if w.f.isLate() {
		w.f.note("order of %s to %s, version %d, expected %d: no answer", o.Holder, w.id, o.Version, *o.Expected)
		w.f.mu.Lock()
		w.f.lateTo = append(w.f.lateTo, w.id)
		w.f.mu.Unlock()
		time.AfterFunc(lateBy, func() {
			now := w.f.bootOf(w.id)
			w.f.note("the late order to %s, version %d, expected %d, is carried out: %d", w.id, o.Version, *o.Expected, now.takeOrder(o))
		})
		<-r.Context().Done()
		return
	}
	status := w.takeOrder(o)
	w.f.note("order of %s to %s, version %d, expected %d: %d", o.Holder, w.id, o.Version, *o.Expected, status)
	reply(rw, status, struct{}{})
}

// isLate reports whether the next order gets no answer: in playLateOrder every second one,
// until there are enough.
func (f *fleet) isLate() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.ordersSeen++
	return f.trouble && !f.shareLoads && f.ordersSeen%2 == 1 && len(f.lateTo) < lateOrders
}

// bootOf returns the present boot of a worker.
func (f *fleet) bootOf(id string) *worker {
	f.mu.Lock()
	defer f.mu.Unlock()
	var last *worker
	for _, w := range f.workers {
		if w.id == id {
			last = w
		}
	}
	return last
}

// restart crashes a worker, which starts again under the same ID at the same address. It has
// the version that it had, and its counts start anew.
func (w *worker) restart() {
	address := w.address()
	w.mu.Lock()
	w.stopped = true
	version, sequence := w.version, w.sequence
	w.mu.Unlock()
	close(w.ended)
	_ = w.server.Close()
	w.f.note("worker %s crashes at version %d", w.id, version)
	time.Sleep(downFor)
	l, err := net.Listen("tcp", address)
	if err != nil {
		fail("the address of %s: %v", w.id, err)
	}
	w.f.serveWorker(&worker{id: w.id, service: w.service, f: w.f, listener: l.(*net.TCPListener), born: time.Now().UnixMilli(), ended: make(chan struct{}), sequence: sequence, version: version})
	w.f.note("worker %s is back at version %d", w.id, version)
}

// playLateOrder names two versions in quick succession. Orders for the first one are left
// unanswered by two workers, which get the second one, crash and start again under their IDs
// before they carry those out.
func (f *fleet) playLateOrder() int {
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
	f.note("version 2 named")
	f.store.put("versions", model, map[string]any{"model": model, "version": 2})
	await := func(what string, most time.Duration, holds func() bool) {
		for end := time.Now().Add(most); !holds(); time.Sleep(5 * time.Millisecond) {
			if time.Now().After(end) {
				fail("%s: not within %v", what, most)
			}
		}
	}
	if f.trouble {
		await("late orders", 5*time.Second, func() bool {
			f.mu.Lock()
			defer f.mu.Unlock()
			return len(f.lateTo) == lateOrders
		})
	} else {
		time.Sleep(time.Second)
	}
	f.note("version 3 named")
	f.store.put("versions", model, map[string]any{"model": model, "version": newest})
	var crashed []string
	if f.trouble {
		f.mu.Lock()
		crashed = append(crashed, f.lateTo...)
		f.mu.Unlock()
	} else {
		for _, w := range f.workers[:lateOrders] {
			crashed = append(crashed, w.id)
		}
	}
	versionOf := func(id string) int {
		w := f.bootOf(id)
		w.mu.Lock()
		defer w.mu.Unlock()
		return w.version
	}
	for _, id := range crashed {
		await("version 3 at "+id, 25*time.Second, func() bool { return versionOf(id) == newest })
	}
	if f.trouble {
		var restarts sync.WaitGroup
		for _, id := range crashed {
			restarts.Go(f.bootOf(id).restart)
		}
		restarts.Wait()
		time.Sleep(lateBy + loadTime)
	} else {
		time.Sleep(8 * time.Second)
	}
	time.Sleep(judgedAfter + 2*time.Second)
	close(stop)
	done.Wait()
	old := 0
	f.mu.Lock()
	boots := make(map[string]*worker)
	for _, w := range f.workers {
		boots[w.id] = w
	}
	f.mu.Unlock()
	for id := range boots {
		if v := versionOf(id); v < newest {
			old++
			w := f.bootOf(id)
			w.mu.Lock()
			f.note("worker %s still has version %d; it has turned away %d requests for version %d and run %d since it is back", id, v, w.turnedAway, newest, w.ran)
			w.mu.Unlock()
		}
	}
	f.note("%d ordinary requests, %d served; %d of %d workers have an older version", sent, served, old, len(boots))
	if served == 0 {
		fail("no ordinary request is served")
	}
	if old > 1 && 10*old > len(boots) {
		f.note("VERSION broken")
		return 1
	}
	f.note("VERSION held")
	return 0
}
