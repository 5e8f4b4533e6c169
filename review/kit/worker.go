package main

import (
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"
)

// workerOptions configures a worker of a plain service.
type workerOptions struct {
	id, service, ip, zone, health string
	slots                         int
	// work is the time that a request takes.
	work time.Duration
}

// worker is a stand-in for a worker of a plain service, as PROTOCOL.md describes it.
type worker struct {
	workerOptions
	lab     *lab
	address string
	born    int64
	places  chan struct{}
}

func (l *lab) startWorker(o workerOptions) {
	listener, err := net.Listen("tcp", o.ip+":0")
	if err != nil {
		l.cannot("worker %s: %v", o.id, err)
	}
	w := &worker{workerOptions: o, lab: l, address: listener.Addr().String(), born: time.Now().UnixMilli(), places: make(chan struct{}, o.slots)}
	go func() { _ = http.Serve(listener, w) }()
	w.beat()
	go func() {
		for range time.Tick(1200 * time.Millisecond) {
			w.beat()
		}
	}()
}

// beat writes the worker's entry.
func (w *worker) beat() {
	w.lab.store.put("servers", w.id, map[string]any{
		"backend": w.service, "address": w.address, "zone": w.zone, "version": "v1", "slots": w.slots, "state": "ready",
		"cold_remaining_ms": 0, "sequence": time.Now().UnixMilli(), "born": w.born,
	})
}

// ServeHTTP implements http.Handler.
func (w *worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != w.id {
		rw.Header().Set("Instance-Id", w.id)
		rw.Header().Set("Not-Executed", "1")
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if r.URL.Path == w.health {
		rw.Header().Set("Instance-Id", w.id)
		return
	}
	id := r.Header.Get("Request-Attempt-Id")
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	rw.Header().Set("Request-Attempt-Id", id)
	select {
	case w.places <- struct{}{}:
		defer func() { <-w.places }()
	default:
		rw.Header().Set("Not-Executed", "1")
		rw.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.lab.record("run     %s at %s: %s %s", id, w.id, r.Method, r.RequestURI)
	if !wait(r.Context(), w.work) {
		return
	}
	text := "answer to " + id + "\n"
	rw.Header().Set("Response-Signature", "sig."+w.id+"."+id)
	rw.Header().Set("Content-Length", strconv.Itoa(len(text)))
	_, _ = io.WriteString(rw, text)
}

// wait waits for d and reports whether it did so before ctx was done.
func wait(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}
