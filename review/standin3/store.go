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

// metadata, object and event are spelled as on the page about the platform's store.
type metadata struct {
	Name     string `json:"name"`
	Revision uint64 `json:"revision"`
}

type object struct {
	Metadata metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
}

type event struct {
	kind     string
	revision uint64
	Object   object `json:"object"`
	Deleted  bool   `json:"deleted"`
}

// store is the platform's metadata store: objects with one revision counter, conditional
// writes and watches. Its history is never discarded.
type store struct {
	mu       sync.Mutex
	revision uint64
	objects  map[string]map[string]object
	history  []event
	changed  chan struct{}
}

func newStore() *store {
	return &store{revision: 10, objects: make(map[string]map[string]object), changed: make(chan struct{})}
}

// put writes an object without a condition, as the operator and the workers do. An object
// that does not change causes no event.
func (s *store) put(kind, name string, spec any) {
	raw, err := json.Marshal(spec)
	if err != nil {
		panic(err) // all specs here can be encoded
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.set(kind, name, raw, false)
}

// remove deletes an object, if there is one.
func (s *store) remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, found := s.objects[kind][name]; found {
		s.set(kind, name, nil, true)
	}
}

// set changes an object and adds the event. The caller holds the lock.
func (s *store) set(kind, name string, spec json.RawMessage, deleted bool) object {
	s.revision++
	o := object{Metadata: metadata{Name: name, Revision: s.revision}, Spec: spec}
	if s.objects[kind] == nil {
		s.objects[kind] = make(map[string]object)
	}
	if deleted {
		delete(s.objects[kind], name)
	} else {
		s.objects[kind][name] = o
	}
	s.history = append(s.history, event{kind, s.revision, o, deleted})
	close(s.changed)
	s.changed = make(chan struct{})
	return o
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	path, found := strings.CutPrefix(r.URL.Path, "/api/objects/")
	if !found {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	kind, name, _ := strings.Cut(path, "/")
	query := r.URL.Query()
	if r.Method == http.MethodGet && name == "" && query.Has("watch") {
		after, _ := strconv.ParseUint(query.Get("watch"), 10, 64)
		wait, _ := strconv.Atoi(query.Get("wait_ms"))
		s.watch(w, r, kind, after, time.Duration(wait)*time.Millisecond)
		return
	}
	var in object
	if r.Method == http.MethodPost || r.Method == http.MethodPut {
		if json.NewDecoder(r.Body).Decode(&in) != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.Method == http.MethodPost {
		name = in.Metadata.Name
	}
	old, exists := s.objects[kind][name]
	condition := in.Metadata.Revision
	if text := query.Get("revision"); text != "" {
		condition, _ = strconv.ParseUint(text, 10, 64)
	}
	switch {
	case r.Method == http.MethodGet && name == "":
		s.list(w, kind, query.Get("after"))
	case r.Method == http.MethodPost && exists:
		reply(w, http.StatusConflict, old)
	case r.Method == http.MethodPost:
		reply(w, http.StatusCreated, s.set(kind, name, in.Spec, false))
	case !exists:
		w.WriteHeader(http.StatusNotFound)
	case r.Method == http.MethodGet:
		reply(w, http.StatusOK, old)
	case condition != 0 && condition != old.Metadata.Revision:
		reply(w, http.StatusConflict, old)
	case r.Method == http.MethodPut && string(old.Spec) == string(in.Spec):
		reply(w, http.StatusOK, old)
	case r.Method == http.MethodPut:
		reply(w, http.StatusOK, s.set(kind, name, in.Spec, false))
	case r.Method == http.MethodDelete:
		s.set(kind, name, nil, true)
		reply(w, http.StatusOK, old)
	default:
		w.WriteHeader(http.StatusMethodNotAllowed)
	}
}

func reply(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value) // fails if the client has gone
}

// list returns up to 500 objects after a name. The caller holds the lock.
func (s *store) list(w http.ResponseWriter, kind, after string) {
	page := struct {
		Items    []object `json:"items"`
		More     bool     `json:"has_more"`
		Revision uint64   `json:"store_revision"`
	}{Items: []object{}, Revision: s.revision}
	var names []string
	for name := range s.objects[kind] {
		if name > after {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	const most = 500
	page.More = len(names) > most
	for _, name := range names[:min(most, len(names))] {
		page.Items = append(page.Items, s.objects[kind][name])
	}
	reply(w, http.StatusOK, page)
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string, after uint64, wait time.Duration) {
	deadline := time.After(wait)
	for {
		page := struct {
			Events   []event `json:"events"`
			Revision uint64  `json:"store_revision"`
		}{Events: []event{}}
		s.mu.Lock()
		page.Revision = s.revision
		for _, e := range s.history {
			if e.kind == kind && e.revision > after {
				page.Events = append(page.Events, e)
			}
		}
		changed := s.changed
		s.mu.Unlock()
		if len(page.Events) > 0 {
			reply(w, http.StatusOK, page)
			return
		}
		select {
		case <-changed:
		case <-deadline:
			reply(w, http.StatusOK, page)
			return
		case <-r.Context().Done():
			return
		}
	}
}
