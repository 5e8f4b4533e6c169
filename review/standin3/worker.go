package main

import (
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"strconv"
	"sync"
	"syscall"
	"time"
)

// Figures of the sheet of the site sccia-cove and of the page about service discovery.
const (
	heartbeat = 1200 * time.Millisecond
	// expiry is the silence after which the store removes an entry.
	expiry = 3 * heartbeat
	slots  = 48
	model  = "daka510000"
)

// worker is one boot of a model worker, with an address of its own.
type worker struct {
	id, service string
	f           *fleet
	listener    *net.TCPListener
	server      *http.Server
	born        int64
	ended       chan struct{}

	mu       sync.Mutex
	sequence int
	dark     bool
	beatAt   time.Time
	// version is that of the weights, orders the number of orders taken by this boot.
	version, orders int
	busy, stopped   bool
	turnedAway, ran int
}

// startWorker starts a boot with a new ID and registers it.
func (f *fleet) startWorker(service string) *worker {
	l, err := net.Listen("tcp", "127.84.2.1:0")
	if err != nil {
		fail("no address for a worker: %v", err)
	}
	f.mu.Lock()
	f.boots++
	id := fmt.Sprintf("i-%04x", 0xa000+f.boots)
	f.mu.Unlock()
	return f.serveWorker(&worker{id: id, service: service, f: f, listener: l.(*net.TCPListener), born: time.Now().UnixMilli(), ended: make(chan struct{}), version: 1})
}

// serveWorker serves and registers a boot.
func (f *fleet) serveWorker(w *worker) *worker {
	f.mu.Lock()
	f.workers = append(f.workers, w)
	f.mu.Unlock()
	mux := http.NewServeMux()
	mux.HandleFunc("GET /api/kv-events", w.events)
	mux.HandleFunc("GET /api/report", w.report)
	mux.HandleFunc("POST /api/order", w.serveOrder)
	mux.HandleFunc("GET /healthz", func(rw http.ResponseWriter, _ *http.Request) { rw.Header().Set("Instance-Id", w.id) })
	mux.HandleFunc("POST /", w.run)
	w.server = &http.Server{Handler: mux, ErrorLog: log.New(io.Discard, "", 0)}
	go func() { _ = w.server.Serve(w.listener) }()
	w.beat()
	go w.beatOn()
	return w
}

func (w *worker) address() string { return w.listener.Addr().String() }

func (w *worker) isDark() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.dark
}

// beat writes the entry.
func (w *worker) beat() {
	w.mu.Lock()
	w.sequence++
	sequence, version := w.sequence, w.version
	w.beatAt = time.Now()
	w.mu.Unlock()
	w.f.store.put("servers", w.id, map[string]any{
		"backend": w.service, "address": w.address(), "zone": "durban-a", "version": "v1", "slots": slots, "state": "ready", "cold_remaining_ms": 0,
		"stage": "colocated", "models": []any{map[string]any{"name": model, "version": version, "adapters": []any{}}}, "sequence": sequence, "born": w.born,
	})
}

// beatOn writes the entry once per heartbeat until the worker is dark. The store removes the
// entry after three heartbeats of silence.
func (w *worker) beatOn() {
	ticker := time.NewTicker(heartbeat)
	defer ticker.Stop()
	for {
		select {
		case <-w.ended:
			return
		case <-ticker.C:
		}
		if w.isDark() {
			break
		}
		w.beat()
	}
	w.mu.Lock()
	at := w.beatAt
	w.mu.Unlock()
	time.Sleep(time.Until(at.Add(expiry)))
	w.f.store.remove("servers", w.id)
	w.f.note("the store has removed the entry of %s", w.id)
}

// crash lets the worker fall silent, as one whose machine has lost power: what is open carries
// nothing more, and what is new gets no answer. It is back after some seconds as a new boot.
func (w *worker) crash() bool {
	w.mu.Lock()
	if w.dark {
		w.mu.Unlock()
		return false
	}
	w.dark = true
	w.mu.Unlock()
	raw, err := w.listener.SyscallConn()
	if err == nil {
		// With its queue of new connections full, the system drops further ones.
		_ = raw.Control(func(fd uintptr) { _ = syscall.Listen(int(fd), 0) })
	}
	_ = w.listener.SetDeadline(time.Unix(1, 0)) // no more are accepted
	for range 3 {
		if c, err := net.DialTimeout("tcp", w.address(), 20*time.Millisecond); err == nil {
			defer func() { _ = c.Close() }()
		}
	}
	time.AfterFunc(w.f.backAfter, func() {
		_ = w.server.Close()
		_ = w.listener.Close()
		w.f.startWorker(w.service)
	})
	return true
}

// hang waits while the worker is dark. It reports whether the worker was.
func (w *worker) hang(r *http.Request) bool {
	if !w.isDark() {
		return false
	}
	<-r.Context().Done()
	return true
}

func (w *worker) events(rw http.ResponseWriter, r *http.Request) {
	wait, _ := strconv.Atoi(r.Header.Get("Wait-Ms"))
	select {
	case <-time.After(time.Duration(min(wait, 1000)) * time.Millisecond):
	case <-r.Context().Done():
	}
	if w.hang(r) {
		return
	}
	rw.Header().Set("Instance-Id", w.id)
	reply(rw, http.StatusOK, map[string]any{"epoch": w.born, "born": w.born, "next_token": 1, "lost": false, "events": []any{}})
}

func (w *worker) report(rw http.ResponseWriter, r *http.Request) {
	if w.hang(r) {
		return
	}
	w.mu.Lock()
	version, orders, busy := w.version, w.orders, w.busy
	w.mu.Unlock()
	reply(rw, http.StatusOK, map[string]any{
		"stage": "colocated", "models": []any{map[string]any{"name": model, "version": version, "adapters": []any{}}}, "busy": busy, "sequence": orders, "born": w.born,
		"queued": 0, "active": 0, "kv_used": 0, "kv_total": 116169, "handles": 0,
	})
}

// run answers a request with a stream, unless that crashes the worker.
func (w *worker) run(rw http.ResponseWriter, r *http.Request) {
	if w.hang(r) {
		return
	}
	if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != w.id {
		rw.Header().Set("Instance-Id", w.id)
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	id := r.Header.Get("Request-Attempt-Id")
	crashing := string(body) == crashingBody
	if crashing {
		w.f.recordArrival(w, id)
	}
	w.mu.Lock()
	version, busy := w.version, w.busy
	other := r.Header.Get("Expect-Version") != "" && r.Header.Get("Expect-Version") != strconv.Itoa(version)
	if other && !busy {
		w.turnedAway++
	} else if !busy {
		w.ran++
	}
	w.mu.Unlock()
	switch {
	case busy:
		rw.Header().Set("Not-Executed", "1")
		rw.Header().Set("Request-Attempt-Id", id)
		rw.WriteHeader(http.StatusServiceUnavailable)
		return
	case other:
		rw.Header().Set("Instance-Id", w.id)
		rw.Header().Set("Request-Attempt-Id", id)
		rw.Header().Set("Weight-Versions", strconv.Itoa(version))
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	time.Sleep(20 * time.Millisecond) // until it begins to run
	if crashing && w.f.trouble {
		if w.crash() {
			w.f.recordCrash(w, id)
		}
		<-r.Context().Done()
		return
	}
	h := rw.Header()
	h.Set("Request-Attempt-Id", id)
	h.Set("Response-Signature", "stand-in."+w.id)
	h.Set("Weight-Versions", strconv.Itoa(version))
	h.Set("Content-Type", "text/event-stream")
	for i := 1; i <= 8; i++ {
		if w.hang(r) {
			return
		}
		if _, err := fmt.Fprintf(rw, "id: %d\ndata: piece %d of %s\n\n", i, i, id); err != nil {
			return
		}
		_ = http.NewResponseController(rw).Flush()
		time.Sleep(15 * time.Millisecond)
	}
}
