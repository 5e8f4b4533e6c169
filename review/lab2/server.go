//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// heartbeat is the interval at which a server writes its entry.
	heartbeat = 1200 * time.Millisecond
	// loadTime is how long a model worker takes for new weights.
	loadTime = 1900 * time.Millisecond
	// lateBy is how long after its arrival a late order is carried out.
	lateBy = 7 * time.Second
)

// server is a stand-in of a model worker or of a plain service's worker.
type server struct {
	lab     *lab
	id      string
	service string
	model   string
	address string
	slots   int
	born    int64
	// handle answers the requests of consumers that the server runs.
	handle func(s *server, w http.ResponseWriter, r *http.Request)
	// slowness is by how much the server's work takes longer, in per cent.
	slowness atomic.Int64

	mu       sync.Mutex
	version  int64
	active   int
	busy     bool
	sequence int64
	beats    int64
	closed   bool
	http     *http.Server
}

// startServer starts a server and registers it.
func (l *lab) startServer(id, service, model string, slots int, handle func(*server, http.ResponseWriter, *http.Request)) *server {
	s := &server{lab: l, id: id, service: service, model: model, slots: slots, born: time.Now().UnixMilli(), handle: handle, version: 1}
	s.slowness.Store(100)
	listener := l.listen()
	s.address = listener.Addr().String()
	s.http = &http.Server{Handler: s}
	go func() { _ = s.http.Serve(listener) }()
	s.beat()
	go func() {
		for range time.Tick(heartbeat) {
			if !s.beat() {
				return
			}
		}
	}()
	return s
}

// beat writes the server's entry. It reports whether the server still runs.
func (s *server) beat() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	s.beats++
	entry := map[string]any{
		"backend": s.service, "address": s.address, "zone": "a", "version": "v1", "slots": s.slots, "state": "ready", "cold_remaining_ms": 0,
		"sequence": s.beats, "born": s.born,
	}
	if s.model != "" {
		entry["stage"] = "colocated"
		entry["models"] = []any{map[string]any{"name": s.model, "version": s.version, "adapters": []any{}}}
	}
	s.lab.store.put("servers", s.id, entry)
	return true
}

// work sleeps for the time that a piece of work takes at the server's present speed. It
// reports whether the caller is still there.
func (s *server) work(r *http.Request, d time.Duration) bool {
	select {
	case <-time.After(d * time.Duration(s.slowness.Load()) / 100):
		return true
	case <-r.Context().Done():
		return false
	}
}

// ServeHTTP implements http.Handler.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Request-Attempt-Id")
	if id != "" {
		w.Header().Set("Request-Attempt-Id", id)
	}
	if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != s.id {
		w.Header().Set("Instance-Id", s.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch r.URL.Path {
	case "/api/report":
		s.report(w)
	case "/api/order":
		s.order(w, r)
	case "/api/kv-events":
		waitMS, _ := strconv.Atoi(r.Header.Get("Wait-Ms"))
		s.work(r, time.Duration(waitMS)*time.Millisecond)
		respond(w, http.StatusOK, map[string]any{"epoch": s.born, "born": s.born, "next_token": 1, "lost": false, "events": []any{}})
	case "/healthz":
		w.Header().Set("Instance-Id", s.id)
	default:
		s.run(w, r, id)
	}
}

func (s *server) report(w http.ResponseWriter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	respond(w, http.StatusOK, map[string]any{
		"stage": "colocated", "models": []any{map[string]any{"name": s.model, "version": s.version, "adapters": []any{}}},
		"busy": s.busy, "sequence": s.sequence, "queued": 0, "active": 0, "kv_used": 0, "kv_total": 100000, "handles": 0, "born": s.born,
	})
}

// order is the body of an order.
type order struct {
	Version  int64  `json:"version"`
	Holder   string `json:"holder"`
	Fence    int64  `json:"fence"`
	Expected *int64 `json:"expected"`
}

// order takes an order for new weights. While orders are late, every second one gets no
// answer and is carried out later.
func (s *server) order(w http.ResponseWriter, r *http.Request) {
	var o order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil || o.Holder == "" || o.Fence == 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if s.lab.lateOrders.Load() && s.lab.orderCount.Add(1)%2 == 0 {
		s.lab.record("order to %s: version %d of %s, epoch %d: no answer, carried out %v later", s.id, o.Version, o.Holder, o.Fence, lateBy)
		time.AfterFunc(lateBy, func() { s.carryOut(o) })
		<-r.Context().Done()
		return
	}
	status := s.carryOut(o)
	s.lab.record("order to %s: version %d of %s, epoch %d: answer %d", s.id, o.Version, o.Holder, o.Fence, status)
	w.WriteHeader(status)
}

// carryOut begins to load weights as an order says, and returns the answer to it. Requests
// that run end first.
func (s *server) carryOut(o order) (status int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case o.Version <= s.version:
		return http.StatusOK
	case s.busy || o.Expected != nil && *o.Expected != s.sequence:
		return http.StatusConflict
	}
	s.sequence++
	s.busy = true
	go func() {
		for s.activeRuns() > 0 {
			time.Sleep(5 * time.Millisecond)
		}
		time.Sleep(loadTime)
		s.mu.Lock()
		s.version, s.busy = o.Version, false
		s.mu.Unlock()
		s.lab.record("%s has version %d", s.id, o.Version)
		s.beat()
	}()
	return http.StatusAccepted
}

func (s *server) activeRuns() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.active
}

// run runs a consumer's request, unless the server can't.
func (s *server) run(w http.ResponseWriter, r *http.Request, id string) {
	s.mu.Lock()
	version, busy := s.version, s.busy
	s.active++
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		s.active--
		s.mu.Unlock()
	}()
	expected := r.Header.Get("Expect-Version")
	switch {
	case id == "":
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	case s.model != "" && expected != "" && expected != strconv.FormatInt(version, 10):
		w.Header().Set("Weight-Versions", strconv.FormatInt(version, 10))
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	case busy:
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return // the request did not arrive whole, and does not run
	}
	s.lab.record("%s begins %s %s of tenant %q, version %d", s.id, id, r.URL.Path, r.Header.Get("Tenant"), version)
	s.lab.ran(run{id: id, server: s.id, version: version, at: time.Now()})
	w.Header().Set("Response-Signature", "sig."+id)
	if s.model != "" {
		w.Header().Set("Weight-Versions", strconv.FormatInt(version, 10))
	}
	s.handle(s, w, r)
}

// eventText returns an event of the stream that answers a request.
func eventText(id string, n int) string { return fmt.Sprintf("id: %d\ndata: %s part %d\n\n", n, id, n) }

// stream returns a handler that answers with a number of events, one in each interval.
func stream(events int, interval time.Duration) func(*server, http.ResponseWriter, *http.Request) {
	return func(s *server, w http.ResponseWriter, r *http.Request) {
		id := r.Header.Get("Request-Attempt-Id")
		first, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
		w.Header().Set("Content-Type", "text/event-stream")
		for n := first + 1; n <= events; n++ {
			if !s.work(r, interval) {
				s.lab.record("%s stops work on %s before event %d: its channel was closed", s.id, id, n)
				return
			}
			if _, err := io.WriteString(w, eventText(id, n)); err != nil {
				return
			}
			_ = http.NewResponseController(w).Flush() // the next write fails
		}
		s.lab.record("%s has sent the last event of %s", s.id, id)
	}
}

// listen opens a listener on a free port of the lab's address.
func (l *lab) listen() net.Listener {
	listener, err := net.Listen("tcp", l.ip+":0")
	if err != nil {
		l.fail("listen: %v", err)
	}
	return listener
}
