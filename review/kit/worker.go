package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// workerOptions configures a worker.
type workerOptions struct {
	id, service, ip, zone, health string
	slots                         int
	// model is empty for a plain service, whose requests take work.
	model string
	work  time.Duration
	// events and pause describe the streams of an engine, load the time for new weights.
	events      int
	pause, load time.Duration
}

// worker is a stand-in for a worker, as PROTOCOL.md describes it.
type worker struct {
	workerOptions
	lab     *lab
	address string
	born    int64
	server  *http.Server
	stop    context.CancelFunc

	mu       sync.Mutex
	active   int
	version  int64
	sequence int64
	ordered  bool
	state    string
	silent   bool
}

func (l *lab) startWorker(o workerOptions) *worker {
	listener, err := net.Listen("tcp", o.ip+":0")
	if err != nil {
		l.cannot("worker %s: %v", o.id, err)
	}
	w := &worker{workerOptions: o, lab: l, address: listener.Addr().String(), born: time.Now().UnixMilli(), version: 1, state: "ready"}
	w.server = &http.Server{Handler: w}
	go func() { _ = w.server.Serve(listener) }()
	ctx, cancel := context.WithCancel(context.Background())
	w.stop = cancel
	w.beat()
	go func() {
		for {
			select {
			case <-ctx.Done():
				return
			case <-time.After(1200 * time.Millisecond):
				w.beat()
			}
		}
	}()
	return w
}

// beat writes the worker's entry.
func (w *worker) beat() {
	w.mu.Lock()
	spec := map[string]any{
		"backend": w.service, "address": w.address, "zone": w.zone, "version": "v1", "slots": w.slots, "state": w.state,
		"cold_remaining_ms": 0, "sequence": time.Now().UnixMilli(), "born": w.born,
	}
	if w.model != "" {
		spec["stage"] = "colocated"
		spec["models"] = []any{map[string]any{"name": w.model, "version": w.version, "adapters": []any{}}}
	}
	w.mu.Unlock()
	w.lab.store.put("servers", w.id, spec)
}

// ServeHTTP implements http.Handler.
func (w *worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != w.id {
		rw.Header().Set("Instance-Id", w.id)
		rw.Header().Set("Not-Executed", "1")
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch r.URL.Path {
	case w.health:
		rw.Header().Set("Instance-Id", w.id)
	case "/api/report":
		w.report(rw)
	case "/api/order":
		w.order(rw, r)
	case "/api/kv-events":
		waitMS, _ := strconv.Atoi(r.Header.Get("Wait-Ms"))
		select {
		case <-r.Context().Done():
			return
		case <-time.After(time.Duration(min(waitMS, 1000)) * time.Millisecond):
		}
		reply(rw, http.StatusOK, map[string]any{"epoch": w.born, "born": w.born, "next_token": 1, "lost": false, "events": []any{}})
	default:
		w.serve(rw, r)
	}
}

func (w *worker) report(rw http.ResponseWriter) {
	w.mu.Lock()
	defer w.mu.Unlock()
	reply(rw, http.StatusOK, map[string]any{
		"stage": "colocated", "models": []any{map[string]any{"name": w.model, "version": w.version, "adapters": []any{}}}, "busy": w.ordered, "sequence": w.sequence,
		"queued": 0, "active": w.active, "kv_used": 0, "kv_total": 90_000, "handles": 0, "born": w.born,
	})
}

// order takes an order in the mode "queue": runs finish first.
func (w *worker) order(rw http.ResponseWriter, r *http.Request) {
	var o struct {
		Op, Model, Mode, Holder string
		Version, Fence          int64
		Expected                *int64
	}
	if json.NewDecoder(r.Body).Decode(&o) != nil || o.Op != "version" || o.Holder == "" || o.Fence == 0 || o.Version > w.lab.namedVersion() {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	status := http.StatusAccepted
	switch {
	case w.ordered || o.Expected != nil && *o.Expected != w.sequence:
		status = http.StatusConflict
	case o.Version == w.version:
		status = http.StatusOK
	default:
		w.ordered = true
		w.sequence++
		go w.carryOut(o.Version)
	}
	w.lab.record("order   %s version %d of %s fence %d: %d", w.id, o.Version, o.Holder, o.Fence, status)
	rw.WriteHeader(status)
}

func (w *worker) carryOut(version int64) {
	for {
		w.mu.Lock()
		active := w.active
		w.mu.Unlock()
		if active == 0 {
			break
		}
		time.Sleep(5 * time.Millisecond)
	}
	// New weights take longer while more than two workers load them.
	n := w.lab.loading.Add(1)
	time.Sleep(w.load * time.Duration(max(2, n)) / 2)
	w.lab.loading.Add(-1)
	w.mu.Lock()
	w.version, w.ordered = version, false
	w.mu.Unlock()
	w.lab.record("weights %s has version %d", w.id, version)
	w.beat()
}

// serve runs a request.
func (w *worker) serve(rw http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Request-Attempt-Id")
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	rw.Header().Set("Request-Attempt-Id", id)
	w.mu.Lock()
	version := w.version
	if w.model != "" {
		rw.Header().Set("Weight-Versions", strconv.FormatInt(version, 10))
	}
	status := 0
	expected := r.Header.Get("Expect-Version")
	switch {
	case id == "":
		status = http.StatusBadRequest
	case w.ordered || w.active >= w.slots:
		status = http.StatusServiceUnavailable
	case expected != "" && expected != strconv.FormatInt(version, 10):
		status = http.StatusMisdirectedRequest
	}
	if status != 0 {
		w.mu.Unlock()
		rw.Header().Set("Not-Executed", "1")
		rw.WriteHeader(status)
		return
	}
	w.active++
	w.mu.Unlock()
	defer func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.active--
	}()
	w.lab.recordRun(run{id: id, worker: w.id, version: version, at: time.Now(), tenant: r.Header.Get("Tenant"), target: r.Method + " " + r.RequestURI, body: string(body)})
	rw.Header().Set("Response-Signature", "sig."+w.id+"."+id)
	if w.model == "" {
		select {
		case <-time.After(w.work):
		case <-r.Context().Done():
			return
		}
		text := "answer to " + id + "\n"
		rw.Header().Set("Content-Length", strconv.Itoa(len(text)))
		_, _ = io.WriteString(rw, text)
		return
	}
	rw.Header().Set("Content-Type", "text/event-stream")
	controller := http.NewResponseController(rw)
	for i := 1; i <= w.events; i++ {
		select {
		case <-time.After(w.pause):
		case <-r.Context().Done():
			return
		}
		if _, err := fmt.Fprintf(rw, "id: %d\ndata: %s\n\n", i, id); err != nil {
			return
		}
		_ = controller.Flush()
	}
}
