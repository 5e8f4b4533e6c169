package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	heartbeat    = 1200 * time.Millisecond
	events       = 6
	eventGap     = 5 * time.Millisecond
	prefillDelay = 10 * time.Millisecond
)

// made says which request made a part that an engine keeps.
type made struct {
	Request, Tenant string
	At              time.Time
	tokens          int
}

// use is the use of a kept part by another request.
type use struct {
	Engine, Salt, Part string
	Maker              made
	User, Tenant       string
	At                 time.Time
}

// engine is a stand-in for a model worker. It keeps parts by salt, ID and model, and finds
// them only under the same salt, if all parts before are kept too.
type engine struct {
	id, service, address, zone, model string
	version, born                     int64
	rec                               *recorder
	store                             *store

	mu       sync.Mutex
	kept     map[string]made
	events   []any
	sequence int
	active   int
	changed  chan struct{}
	// ran holds the IDs of the requests that were run.
	ran []string
}

// ids returns the IDs of the requests that were run.
func (e *engine) ids() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]string(nil), e.ran...)
}

func startEngine(id, service, ip, zone, model string, st *store, rec *recorder) (*engine, error) {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return nil, err
	}
	e := &engine{id: id, service: service, address: l.Addr().String(), zone: zone, model: model, version: 1, born: time.Now().UnixMilli(),
		rec: rec, store: st, kept: make(map[string]made), changed: make(chan struct{})}
	go func() { _ = http.Serve(l, e) }() // ends with the process
	go e.beat()
	return e, nil
}

// beat writes the engine's entry.
func (e *engine) beat() {
	for n := 1; ; n++ {
		e.store.put("servers", e.id, map[string]any{
			"backend": e.service, "address": e.address, "zone": e.zone, "version": "v1", "slots": 128, "state": "ready", "cold_remaining_ms": 0,
			"stage": "colocated", "models": []any{map[string]any{"name": e.model, "version": e.version, "adapters": []any{}}}, "sequence": n, "born": e.born,
		})
		time.Sleep(heartbeat)
	}
}

// ServeHTTP implements http.Handler.
func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/healthz":
		w.Header().Set("Instance-Id", e.id)
		return
	case "/api/report":
		e.mu.Lock()
		defer e.mu.Unlock()
		reply(w, http.StatusOK, map[string]any{"stage": "colocated", "models": []any{map[string]any{"name": e.model, "version": e.version, "adapters": []any{}}},
			"busy": false, "sequence": e.sequence, "queued": 0, "active": e.active, "kv_used": 0, "kv_total": 143148, "handles": 0, "born": e.born})
		return
	case "/api/kv-events":
		e.serveEvents(w, r)
		return
	case "/api/kv-list", "/api/order":
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.serveRequest(w, r)
}

// serveEvents returns the events of kept parts after a number.
func (e *engine) serveEvents(w http.ResponseWriter, r *http.Request) {
	since, _ := strconv.Atoi(r.URL.Query().Get("since"))
	waitMS, _ := strconv.Atoi(r.Header.Get("Wait-Ms"))
	end := time.After(time.Duration(min(waitMS, 1000)) * time.Millisecond)
	for timedOut := false; ; {
		e.mu.Lock()
		next := len(e.events)
		list := append([]any{}, e.events[min(since, next):]...)
		changed := e.changed
		e.mu.Unlock()
		if len(list) > 0 || timedOut {
			w.Header().Set("Instance-Id", e.id)
			reply(w, http.StatusOK, map[string]any{"epoch": e.born, "born": e.born, "next_token": next, "lost": false, "events": list})
			return
		}
		select {
		case <-changed:
		case <-end:
			timedOut = true
		case <-r.Context().Done():
			return
		}
	}
}

// part is a part of a prompt.
type part struct {
	id     string
	tokens int
}

func parseParts(text string) []part {
	var list []part
	for entry := range strings.SplitSeq(text, ",") {
		id, tokens, _ := strings.Cut(entry, ":")
		n, _ := strconv.Atoi(tokens)
		list = append(list, part{id, n})
	}
	return list
}

// serveRequest runs a request and streams its events.
func (e *engine) serveRequest(w http.ResponseWriter, r *http.Request) {
	id, tenant := r.Header.Get("Request-Attempt-Id"), r.Header.Get("Tenant")
	if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != e.id {
		w.Header().Set("Instance-Id", e.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if expected := r.Header.Get("Expect-Version"); expected != "" && expected != strconv.FormatInt(e.version, 10) {
		w.Header().Set("Weight-Versions", strconv.FormatInt(e.version, 10))
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	salt := r.Header.Get("Cache-Salt")
	e.readPrompt(id, tenant, salt, parseParts(r.Header.Get("Prompt-Prefix")))
	time.Sleep(prefillDelay)
	h := w.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Request-Attempt-Id", id)
	h.Set("Response-Signature", "sig-"+e.id+"-"+id)
	h.Set("Weight-Versions", strconv.FormatInt(e.version, 10))
	w.WriteHeader(http.StatusOK)
	for i := range events {
		_, _ = fmt.Fprintf(w, "id: %d\ndata: %s %d\n\n", i+1, id, i+1)
		_ = http.NewResponseController(w).Flush()
		time.Sleep(eventGap)
	}
}

// readPrompt uses the parts that are kept from the beginning of the prompt on, and keeps
// those that it has to read.
func (e *engine) readPrompt(id, tenant, salt string, parts []part) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.ran = append(e.ran, id)
	now := time.Now()
	prefix, kept := "", true
	for _, p := range parts {
		prefix += p.id + ","
		key := salt + "|" + e.model + "|" + prefix
		if m, found := e.kept[key]; kept && found {
			if m.Request != id {
				e.rec.use(use{Engine: e.id, Salt: salt, Part: p.id, Maker: m, User: id, Tenant: tenant, At: now})
			}
			continue
		}
		kept = false
		e.kept[key] = made{Request: id, Tenant: tenant, At: now, tokens: p.tokens}
		raw, _ := json.Marshal([]any{len(e.events) + 1, "+", salt, p.id, p.tokens, e.model}) // it can be encoded
		e.events = append(e.events, json.RawMessage(raw))
	}
	close(e.changed)
	e.changed = make(chan struct{})
	e.rec.logf("%s ran %s of tenant %s under salt %q", e.id, id, tenant, salt)
}
