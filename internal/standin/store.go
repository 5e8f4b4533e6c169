package standin

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/hibiscuscove/hibiscuscove/internal/objectstore"
)

// StoreFault selects faults of the platform's object API.
type StoreFault struct {
	// Down rejects each call with 503.
	Down bool `json:"down,omitempty"`
	// Hang leaves each call without a response.
	Hang bool `json:"hang,omitempty"`
	// DelayMS delays every call.
	DelayMS int `json:"delay_ms,omitempty"`
	// LoseResponses is the number of writes that take effect but get no response.
	LoseResponses int `json:"lose_answers,omitempty"`
	// LoseWrites is the number of writes that don't take effect and get no response.
	LoseWrites int `json:"lose_writes,omitempty"`
}

// Store is a stand-in for the platform's object API.
type Store struct {
	memory *objectstore.Memory

	mu     sync.Mutex
	fault  StoreFault
	reads  int
	writes int
}

// NewStore returns an empty Store.
func NewStore() *Store { return &Store{memory: objectstore.NewMemory()} }

// SetFault replaces the fault. The zero value switches all faults off.
func (s *Store) SetFault(f StoreFault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
}

// Calls returns the numbers of reads, including watches, and of writes.
func (s *Store) Calls() (reads, writes int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reads, s.writes
}

// ServeHTTP implements http.Handler. Objects are below /objects/, /fault sets the
// fault, /stats returns the numbers of calls.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/fault":
		var f StoreFault
		if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		s.SetFault(f)
		return
	case "/stats":
		reads, writes := s.Calls()
		_ = json.NewEncoder(w).Encode(map[string]int{"reads": reads, "writes": writes})
		return
	}
	key, found := strings.CutPrefix(r.URL.Path, "/objects/")
	if !found {
		http.NotFound(w, r)
		return
	}
	if !s.applyFault(w, r) {
		return
	}
	switch r.Method {
	case http.MethodGet:
		s.get(w, r, key)
	case http.MethodPut, http.MethodDelete:
		s.write(w, r, key)
	default:
		http.Error(w, "method", http.StatusMethodNotAllowed)
	}
}

// applyFault counts a call and applies Hang, Down and DelayMS. It reports whether
// the call goes on.
func (s *Store) applyFault(w http.ResponseWriter, r *http.Request) bool {
	s.mu.Lock()
	fault := s.fault
	if r.Method == http.MethodGet {
		s.reads++
	} else {
		s.writes++
	}
	s.mu.Unlock()
	if fault.Hang {
		<-r.Context().Done()
		return false
	}
	if fault.Down {
		http.Error(w, "down", http.StatusServiceUnavailable)
		return false
	}
	time.Sleep(time.Duration(fault.DelayMS) * time.Millisecond)
	return true
}

func formatETag(version uint64) string { return `"` + strconv.FormatUint(version, 10) + `"` }

// parseETag returns 0 if there is no valid tag.
func parseETag(text string) uint64 {
	version, _ := strconv.ParseUint(strings.Trim(text, `"`), 10, 64)
	return version
}

// get returns an object, or 404. With a Prefer: wait=SECONDS header it waits for a
// version newer than that of If-None-Match and returns 304 if there is none in time.
func (s *Store) get(w http.ResponseWriter, r *http.Request, key string) {
	ctx := r.Context()
	var object objectstore.Object
	var err error
	knownETag := r.Header.Get("If-None-Match")
	if wait, found := strings.CutPrefix(r.Header.Get("Prefer"), "wait="); found {
		seconds, _ := strconv.Atoi(wait)
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, time.Duration(seconds)*time.Second)
		defer cancel()
		object, err = s.memory.Watch(ctx, key, parseETag(knownETag))
		if err != nil {
			w.WriteHeader(http.StatusNotModified)
			return
		}
	} else {
		object, err = s.memory.Get(ctx, key)
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusNotFound)
		return
	}
	w.Header().Set("ETag", formatETag(object.Version))
	_, _ = w.Write(object.Value)
}

// write puts or deletes an object if its version is that of If-Match; without it the
// object must not exist. It responds with 412 on a conflict.
func (s *Store) write(w http.ResponseWriter, r *http.Request, key string) {
	value, err := io.ReadAll(io.LimitReader(r.Body, objectstore.MaxValueBytes+1))
	if err != nil {
		return
	}
	if s.consumeFault(&s.fault.LoseWrites) {
		panic(http.ErrAbortHandler)
	}
	version := parseETag(r.Header.Get("If-Match"))
	var object objectstore.Object
	if r.Method == http.MethodDelete {
		err = s.memory.Delete(r.Context(), key, version)
	} else {
		object, err = s.memory.Put(r.Context(), key, value, version)
	}
	if s.consumeFault(&s.fault.LoseResponses) {
		panic(http.ErrAbortHandler)
	}
	switch {
	case errors.Is(err, objectstore.ErrConflict):
		http.Error(w, err.Error(), http.StatusPreconditionFailed)
	case err != nil:
		http.Error(w, err.Error(), http.StatusBadRequest)
	default:
		w.Header().Set("ETag", formatETag(object.Version))
		w.WriteHeader(http.StatusOK)
	}
}

// consumeFault decrements a counter of the fault and reports whether it was above
// zero.
func (s *Store) consumeFault(counter *int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if *counter == 0 {
		return false
	}
	*counter--
	return true
}
