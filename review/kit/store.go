package main

import (
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// object is an object of the platform's store.
type object struct {
	Metadata struct {
		Name       string   `json:"name"`
		Revision   uint64   `json:"revision"`
		Created    uint64   `json:"created"`
		Finalizers []string `json:"finalizers"`
		Deleting   bool     `json:"deleting"`
	} `json:"metadata"`
	Spec   json.RawMessage `json:"spec"`
	Status json.RawMessage `json:"status"`
}

type event struct {
	Deleted  bool   `json:"deleted"`
	Object   object `json:"object"`
	kind     string
	revision uint64
}

// store is a stand-in for the platform's store, as PROTOCOL.md describes it.
type store struct {
	mu       sync.Mutex
	revision uint64
	kinds    map[string]map[string]object
	history  []event
	changed  chan struct{}
}

func newStore() *store {
	return &store{revision: 100, kinds: make(map[string]map[string]object), changed: make(chan struct{})}
}

// put writes an object as the operator or a worker does, and returns when that was
// confirmed.
func (s *store) put(kind, name string, spec any) time.Time {
	raw, _ := json.Marshal(spec)
	s.mu.Lock()
	defer s.mu.Unlock()
	o := s.kinds[kind][name]
	o.Metadata.Name, o.Spec = name, raw
	s.write(kind, o)
	return time.Now()
}

// write stores an object. The caller holds the lock.
func (s *store) write(kind string, o object) object {
	if old, found := s.kinds[kind][o.Metadata.Name]; found && string(old.Spec) == string(o.Spec) {
		return old
	}
	s.revision++
	o.Metadata.Revision = s.revision
	if o.Metadata.Created == 0 {
		o.Metadata.Created = s.revision
	}
	if s.kinds[kind] == nil {
		s.kinds[kind] = make(map[string]object)
	}
	s.kinds[kind][o.Metadata.Name] = o
	s.record(event{Object: o, kind: kind, revision: s.revision})
	return o
}

func (s *store) record(e event) {
	s.history = append(s.history, e)
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	path, found := strings.CutPrefix(r.URL.Path, "/api/objects/")
	if !found {
		http.NotFound(w, r)
		return
	}
	kind, name, _ := strings.Cut(path, "/")
	name = strings.TrimSuffix(name, "/status")
	time.Sleep(4 * time.Millisecond)
	switch {
	case r.Method == http.MethodGet && name == "" && r.URL.Query().Has("watch"):
		s.watch(w, r, kind)
	case r.Method == http.MethodGet && name == "":
		s.list(w, r, kind)
	case r.Method == http.MethodGet:
		s.mu.Lock()
		o, found := s.kinds[kind][name]
		s.mu.Unlock()
		if !found {
			reply(w, http.StatusNotFound, struct{}{})
			return
		}
		reply(w, http.StatusOK, o)
	default:
		s.change(w, r, kind, name)
	}
}

func reply(w http.ResponseWriter, status int, body any) {
	raw, _ := json.Marshal(body)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(raw)))
	w.WriteHeader(status)
	_, _ = w.Write(raw)
}

func (s *store) list(w http.ResponseWriter, r *http.Request, kind string) {
	const page = 500
	s.mu.Lock()
	defer s.mu.Unlock()
	var names []string
	for name := range s.kinds[kind] {
		if name > r.URL.Query().Get("after") {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	items := []object{}
	for _, name := range names[:min(page, len(names))] {
		items = append(items, s.kinds[kind][name])
	}
	reply(w, http.StatusOK, map[string]any{"items": items, "has_more": len(names) > page, "store_revision": s.revision})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	waitMS, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	end := time.After(time.Duration(waitMS) * time.Millisecond)
	for {
		s.mu.Lock()
		events := []event{}
		for _, e := range s.history {
			if e.kind == kind && e.revision > after {
				events = append(events, e)
			}
		}
		changed, revision := s.changed, s.revision
		s.mu.Unlock()
		if len(events) > 0 {
			reply(w, http.StatusOK, map[string]any{"events": events, "store_revision": revision})
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-end:
			reply(w, http.StatusOK, map[string]any{"events": events, "store_revision": revision})
			return
		}
	}
}

func (s *store) change(w http.ResponseWriter, r *http.Request, kind, name string) {
	var in object
	raw, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if len(raw) > 0 && json.Unmarshal(raw, &in) != nil {
		reply(w, http.StatusBadRequest, struct{}{})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.Method == http.MethodPost {
		name = in.Metadata.Name
	}
	old, found := s.kinds[kind][name]
	switch {
	case r.Method == http.MethodPost && found:
		reply(w, http.StatusConflict, old)
	case r.Method == http.MethodPost:
		in.Metadata.Revision = 0
		reply(w, http.StatusCreated, s.write(kind, in))
	case !found:
		reply(w, http.StatusNotFound, struct{}{})
	case in.Metadata.Revision != 0 && in.Metadata.Revision != old.Metadata.Revision:
		reply(w, http.StatusConflict, old)
	case r.Method == http.MethodDelete:
		delete(s.kinds[kind], name)
		s.revision++
		s.record(event{Deleted: true, Object: old, kind: kind, revision: s.revision})
		reply(w, http.StatusOK, old)
	default:
		old.Spec = in.Spec
		reply(w, http.StatusOK, s.write(kind, old))
	}
}
