package main

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is a stand-in for the platform's metadata store: objects by kind and name, one
// revision counter, conditional writes, lists and watches.
type store struct {
	mu       sync.Mutex
	revision uint64
	objects  map[string]map[string]object
	history  []storeEvent
	// changed is closed and replaced with each event.
	changed chan struct{}
	// refused holds the doors whose callers get 503.
	refused map[string]bool
}

// door is the address of the store for one VM.
type door struct {
	store *store
	name  string
}

// ServeHTTP implements http.Handler.
func (d door) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if d.store.refuses(d.name) {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	d.store.serve(w, r, d.name)
}

func (s *store) refuses(name string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.refused[name]
}

// refuse makes the store turn away the callers of a door, also those that wait, or ends that.
func (s *store) refuse(name string, refused bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refused[name] = refused
	close(s.changed)
	s.changed = make(chan struct{})
}

type objectMetadata struct {
	Name     string `json:"name"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created"`
}

type object struct {
	Metadata objectMetadata  `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
}

type storeEvent struct {
	kind    string
	at      uint64
	Deleted bool   `json:"deleted"`
	Object  object `json:"object"`
}

func newStore() *store {
	return &store{revision: 10, objects: make(map[string]map[string]object), changed: make(chan struct{}), refused: make(map[string]bool)}
}

// put writes an object without a condition, as the operator and the workers do.
func (s *store) put(kind, name string, spec any) {
	raw, err := json.Marshal(spec)
	if err != nil {
		panic(err) // all specs here can be encoded
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.set(kind, name, raw)
}

// set writes an object and wakes the watches. The caller holds the lock.
func (s *store) set(kind, name string, spec json.RawMessage) object {
	if s.objects[kind] == nil {
		s.objects[kind] = make(map[string]object)
	}
	old, exists := s.objects[kind][name]
	if exists && string(old.Spec) == string(spec) {
		return old // a write that changes nothing does not increase the revision
	}
	s.revision++
	o := object{objectMetadata{name, s.revision, s.revision}, spec}
	if exists {
		o.Metadata.Created = old.Metadata.Created
	}
	s.objects[kind][name] = o
	s.wake(storeEvent{kind: kind, at: s.revision, Object: o})
	return o
}

func (s *store) wake(e storeEvent) {
	s.history = append(s.history, e)
	close(s.changed)
	s.changed = make(chan struct{})
}

// serve serves a call that has come through a door.
func (s *store) serve(w http.ResponseWriter, r *http.Request, through string) {
	kind, name, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/api/objects/"), "/")
	if watch := r.URL.Query().Get("watch"); watch != "" {
		after, _ := strconv.ParseUint(watch, 10, 64)
		wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
		s.watch(w, r, kind, after, time.Duration(wait)*time.Millisecond, through)
		return
	}
	var in object
	_ = json.NewDecoder(r.Body).Decode(&in) // reads have no body
	w.Header().Set("Content-Type", "application/json")
	s.mu.Lock()
	defer s.mu.Unlock()
	current, exists := s.objects[kind][name]
	switch r.Method {
	case http.MethodGet:
		s.read(w, kind, name)
	case http.MethodPost:
		if old, taken := s.objects[kind][in.Metadata.Name]; taken {
			reply(w, http.StatusConflict, old)
			return
		}
		reply(w, http.StatusCreated, s.set(kind, in.Metadata.Name, in.Spec))
	case http.MethodPut:
		switch {
		case !exists:
			w.WriteHeader(http.StatusNotFound)
		case in.Metadata.Revision != 0 && in.Metadata.Revision != current.Metadata.Revision:
			reply(w, http.StatusConflict, current)
		default:
			reply(w, http.StatusOK, s.set(kind, name, in.Spec))
		}
	case http.MethodDelete:
		if !exists {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		s.revision++
		delete(s.objects[kind], name)
		s.wake(storeEvent{kind: kind, at: s.revision, Deleted: true, Object: current})
		reply(w, http.StatusOK, current)
	default:
		w.WriteHeader(http.StatusMethodNotAllowed)
	}
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // fails if the caller has ended
}

// read returns an object or, without a name, the list. The caller holds the lock.
func (s *store) read(w http.ResponseWriter, kind, name string) {
	if name != "" {
		if o, found := s.objects[kind][name]; found {
			reply(w, http.StatusOK, o)
			return
		}
		w.WriteHeader(http.StatusNotFound)
		return
	}
	page := struct {
		Items    []object `json:"items"`
		More     bool     `json:"has_more"`
		Revision uint64   `json:"store_revision"`
	}{Items: []object{}, Revision: s.revision}
	for _, o := range s.objects[kind] {
		page.Items = append(page.Items, o)
	}
	slices.SortFunc(page.Items, func(a, b object) int { return strings.Compare(a.Metadata.Name, b.Metadata.Name) })
	reply(w, http.StatusOK, page)
}

// watch waits for events of a kind after a revision.
func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string, after uint64, wait time.Duration, through string) {
	end := time.After(wait)
	for timedOut := false; ; {
		s.mu.Lock()
		page := struct {
			Events   []storeEvent `json:"events"`
			Revision uint64       `json:"store_revision"`
		}{Events: []storeEvent{}, Revision: s.revision}
		for _, e := range s.history {
			if e.kind == kind && e.at > after {
				page.Events = append(page.Events, e)
			}
		}
		changed, refused := s.changed, s.refused[through]
		s.mu.Unlock()
		if refused {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		if len(page.Events) > 0 || timedOut {
			reply(w, http.StatusOK, page)
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
