//go:build review

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

const (
	// pageItems is the largest number of objects in one response.
	pageItems = 500
	// maxWatchWait limits the time for which a watch waits.
	maxWatchWait = 30 * time.Second
)

// metadata is the metadata of an object.
type metadata struct {
	Name       string   `json:"name"`
	Revision   uint64   `json:"revision"`
	Created    uint64   `json:"created"`
	Finalizers []string `json:"finalizers"`
	Deleting   bool     `json:"deleting"`
}

// object is one object of the store.
type object struct {
	Metadata metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
	Status   json.RawMessage `json:"status"`
}

// change is one event of a watch.
type change struct {
	kind     string
	revision uint64
	Deleted  bool   `json:"deleted"`
	Object   object `json:"object"`
}

// store is a stand-in of the platform's store.
type store struct {
	mu       sync.Mutex
	objects  map[string]map[string]object
	changes  []change
	revision uint64
	// changed is closed and replaced with each change.
	changed chan struct{}
}

func newStore() *store {
	return &store{objects: make(map[string]map[string]object), revision: 100, changed: make(chan struct{})}
}

// put writes an object in the name of the operator or of a server.
func (s *store) put(kind, name string, spec any) uint64 {
	raw, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	o := s.objects[kind][name]
	o.Metadata.Name, o.Spec = name, raw
	return s.write(kind, o).Metadata.Revision
}

// remove deletes an object.
func (s *store) remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delete(kind, name)
}

// write stores an object with the next revision. The caller holds the lock.
func (s *store) write(kind string, o object) object {
	if s.objects[kind] == nil {
		s.objects[kind] = make(map[string]object)
	}
	s.revision++
	o.Metadata.Revision = s.revision
	if o.Metadata.Created == 0 {
		o.Metadata.Created = s.revision
	}
	if o.Metadata.Finalizers == nil {
		o.Metadata.Finalizers = []string{}
	}
	s.objects[kind][o.Metadata.Name] = o
	s.announce(change{kind: kind, revision: s.revision, Object: o})
	return o
}

// delete deletes an object. The caller holds the lock.
func (s *store) delete(kind, name string) bool {
	o, found := s.objects[kind][name]
	if !found {
		return false
	}
	delete(s.objects[kind], name)
	s.revision++
	s.announce(change{kind: kind, revision: s.revision, Deleted: true, Object: o})
	return true
}

// announce adds a change and wakes the watches. The caller holds the lock.
func (s *store) announce(c change) {
	s.changes = append(s.changes, c)
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	path, found := strings.CutPrefix(r.URL.Path, "/api/objects/")
	if !found {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	kind, name, named := strings.Cut(path, "/")
	switch {
	case r.Method == http.MethodGet && !named && r.URL.Query().Get("watch") != "":
		s.watch(w, r, kind)
	case r.Method == http.MethodGet && !named:
		s.list(w, r, kind)
	case r.Method == http.MethodGet:
		s.get(w, kind, name)
	case r.Method == http.MethodPost, r.Method == http.MethodPut:
		s.change(w, r, kind, name)
	case r.Method == http.MethodDelete:
		s.mu.Lock()
		deleted := s.delete(kind, name)
		s.mu.Unlock()
		if !deleted {
			w.WriteHeader(http.StatusNotFound)
		}
	default:
		w.WriteHeader(http.StatusMethodNotAllowed)
	}
}

func (s *store) get(w http.ResponseWriter, kind, name string) {
	s.mu.Lock()
	o, found := s.objects[kind][name]
	s.mu.Unlock()
	if !found {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	respond(w, http.StatusOK, o)
}

func (s *store) list(w http.ResponseWriter, r *http.Request, kind string) {
	s.mu.Lock()
	after, items := r.URL.Query().Get("after"), []object{}
	for _, o := range s.objects[kind] {
		if o.Metadata.Name > after {
			items = append(items, o)
		}
	}
	revision := s.revision
	s.mu.Unlock()
	slices.SortFunc(items, func(a, b object) int { return strings.Compare(a.Metadata.Name, b.Metadata.Name) })
	more := len(items) > pageItems
	if more {
		items = items[:pageItems]
	}
	respond(w, http.StatusOK, map[string]any{"items": items, "has_more": more, "store_revision": revision})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	waitMS, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	timer := time.NewTimer(min(maxWatchWait, time.Duration(waitMS)*time.Millisecond))
	defer timer.Stop()
	for expired := false; ; {
		s.mu.Lock()
		events, revision, changed := []change{}, s.revision, s.changed
		for _, c := range s.changes {
			if c.kind == kind && c.revision > after {
				events = append(events, c)
			}
		}
		s.mu.Unlock()
		if len(events) > 0 || expired {
			respond(w, http.StatusOK, map[string]any{"events": events, "store_revision": revision})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			expired = true
		case <-r.Context().Done():
			return
		}
	}
}

// change creates or replaces an object, if its condition holds.
func (s *store) change(w http.ResponseWriter, r *http.Request, kind, name string) {
	var in object
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if name == "" {
		name = in.Metadata.Name
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	old, found := s.objects[kind][name]
	switch {
	case r.Method == http.MethodPost && found, found && in.Metadata.Revision != 0 && in.Metadata.Revision != old.Metadata.Revision:
		respond(w, http.StatusConflict, old)
		return
	case r.Method == http.MethodPut && !found:
		w.WriteHeader(http.StatusNotFound)
		return
	}
	old.Metadata.Name, old.Spec = name, in.Spec
	respond(w, http.StatusOK, s.write(kind, old))
}

// respond sends a JSON body.
func respond(w http.ResponseWriter, status int, body any) {
	raw, err := json.Marshal(body)
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(raw) // fails if the caller has gone
}
