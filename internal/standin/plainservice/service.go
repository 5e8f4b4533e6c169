// Package plainservice is a stand-in of a service that is no model engine: it
// counts how often each body ran. Its faults are switched at run time.
//
// # Usage
//
//	s := plainservice.New("filings-1")
//	server := httptest.NewServer(s)
//	s.SetFault(plainservice.Fault{CutAfterRun: true})
//
// A Service is safe for concurrent use.
package plainservice

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/hibiscuscove/hibiscuscove/internal/engineapi"
	"github.com/hibiscuscove/hibiscuscove/internal/upstream"
)

// Fault is what goes wrong in a plain service.
type Fault struct {
	// CutAfterRun runs a request and cuts the connection without an answer.
	CutAfterRun bool `json:"cut_after_run,omitempty"`
	// SilentAfterRun runs a request and never answers.
	SilentAfterRun bool `json:"silent_after_run,omitempty"`
	// Delay waits before a request runs.
	DelayMS int `json:"delay_ms,omitempty"`
	// FailStatus runs a request and answers with this status.
	FailStatus int `json:"fail,omitempty"`
	// RedirectStatus answers with this status and a Location, without running.
	RedirectStatus int `json:"redirect,omitempty"`
	// CrashAfterRun runs a request and ends the incarnation.
	CrashAfterRun bool `json:"crash_after_run,omitempty"`
	// Count limits the fault to this many requests. Zero sets no limit.
	Count int `json:"once,omitempty"`
}

// Service is a stand-in for a plain service. It counts how often each body ran.
type Service struct {
	name string

	mu          sync.Mutex
	incarnation string
	fault       Fault
	left        int
	down        bool
	state       upstream.State
	runs        map[string]int
	total       int
	crashed     chan struct{}
}

// New returns a Service.
func New(name string) *Service {
	return &Service{name: name, incarnation: uuid.NewString(), state: upstream.StateLive, runs: make(map[string]int), crashed: make(chan struct{})}
}

// Crash ends the incarnation: requests under way are cut. The service stays
// down until Restart.
func (s *Service) Crash() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.down {
		close(s.crashed)
	}
	s.down = true
}

// SetState makes the service say that it is live or leaving.
func (s *Service) SetState(state upstream.State) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state = state
}

// SetFault switches a fault on, and off with the zero value.
func (s *Service) SetFault(f Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
	s.left = f.Count
}

// Runs returns how often a body has run.
func (s *Service) Runs(body string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[body]
}

// Total returns how many requests have run.
func (s *Service) Total() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.total
}

// Restart brings a crashed service back in a new incarnation.
func (s *Service) Restart() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.down {
		return
	}
	s.down = false
	s.incarnation = uuid.NewString()
	s.crashed = make(chan struct{})
}

func (s *Service) takeFault() (Fault, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.fault.Count == 0 {
		return s.fault, s.down
	}
	if s.left == 0 {
		return Fault{}, s.down
	}
	s.left--
	return s.fault, s.down
}

// ServeHTTP implements http.Handler.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/health":
		s.health(w)
	case "/fault":
		var f Fault
		if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		s.SetFault(f)
	case "/stats":
		_, _ = fmt.Fprintf(w, "{\"total\":%d}\n", s.Total())
	default:
		s.serve(w, r)
	}
}

func (s *Service) health(w http.ResponseWriter) {
	s.mu.Lock()
	report := upstream.Report{State: s.state, Incarnation: s.incarnation}
	down := s.down
	s.mu.Unlock()
	if down {
		panic(http.ErrAbortHandler)
	}
	_ = json.NewEncoder(w).Encode(report)
}

func (s *Service) serve(w http.ResponseWriter, r *http.Request) {
	fault, down := s.takeFault()
	if down {
		panic(http.ErrAbortHandler)
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if fault.RedirectStatus > 0 {
		w.Header().Set("Location", r.URL.Path+"/again")
		w.WriteHeader(fault.RedirectStatus)
		return
	}
	if fault.DelayMS > 0 {
		time.Sleep(time.Duration(fault.DelayMS) * time.Millisecond)
	}
	s.mu.Lock()
	s.runs[string(body)]++
	s.total++
	number := s.total
	w.Header().Set(engineapi.HeaderIncarnation, s.incarnation)
	crashed := s.crashed
	s.mu.Unlock()
	if fault.CrashAfterRun {
		s.Crash()
	}
	switch {
	case fault.CutAfterRun || fault.CrashAfterRun:
		panic(http.ErrAbortHandler)
	case fault.SilentAfterRun:
		select {
		case <-r.Context().Done():
		case <-crashed:
		}
		panic(http.ErrAbortHandler)
	case fault.FailStatus > 0:
		http.Error(w, "the service fails", fault.FailStatus)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = fmt.Fprintf(w, "{\"service\":%q,\"path\":%q,\"number\":%d}\n", s.name, r.URL.RequestURI(), number)
}
