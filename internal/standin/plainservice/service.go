// Package plainservice is a stand-in for a service that is not a model engine. It
// counts how many times each request body ran. Faults can be switched at run time.
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

// Fault selects faults of a plain service.
type Fault struct {
	// CutAfterRun runs a request and cuts the connection without a response.
	CutAfterRun bool `json:"cut_after_run,omitempty"`
	// SilentAfterRun runs a request and never responds.
	SilentAfterRun bool `json:"silent_after_run,omitempty"`
	// DelayMS delays the run of a request.
	DelayMS int `json:"delay_ms,omitempty"`
	// FailStatus runs a request and responds with this status.
	FailStatus int `json:"fail,omitempty"`
	// RedirectStatus responds with this status and a Location header, without a run.
	RedirectStatus int `json:"redirect,omitempty"`
	// CrashAfterRun runs a request and ends the incarnation without a response.
	CrashAfterRun bool `json:"crash_after_run,omitempty"`
	// Count is the number of requests that the fault affects. Zero means all.
	Count int `json:"once,omitempty"`
}

// Service is a stand-in for a plain service.
type Service struct {
	name string

	mu          sync.Mutex
	incarnation string
	fault       Fault
	// faultsLeft is the number of requests that a fault with a Count still affects.
	faultsLeft int
	down       bool
	state      upstream.State
	// runs counts the runs by body.
	runs      map[string]int
	totalRuns int
	// crashed is closed by Crash.
	crashed chan struct{}
}

// New returns a Service that is live.
func New(name string) *Service {
	return &Service{name: name, incarnation: uuid.NewString(), state: upstream.StateLive, runs: make(map[string]int), crashed: make(chan struct{})}
}

// Crash ends the incarnation and cuts silent requests. The service stays down until
// Restart.
func (s *Service) Crash() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.down {
		close(s.crashed)
	}
	s.down = true
}

// SetState sets the state that health checks report.
func (s *Service) SetState(state upstream.State) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state = state
}

// SetFault replaces the fault. The zero value switches all faults off.
func (s *Service) SetFault(f Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
	s.faultsLeft = f.Count
}

// Runs returns how many times a request with this body has run.
func (s *Service) Runs(body string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[body]
}

// TotalRuns returns the number of requests that have run.
func (s *Service) TotalRuns() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.totalRuns
}

// Restart starts a crashed service in a new incarnation.
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

// nextFault returns the fault of a new request and whether the service is down.
func (s *Service) nextFault() (Fault, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.fault.Count == 0 {
		return s.fault, s.down
	}
	if s.faultsLeft == 0 {
		return Fault{}, s.down
	}
	s.faultsLeft--
	return s.fault, s.down
}

// ServeHTTP implements http.Handler. /health, /fault and /stats are the control
// paths; all others run a request.
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
		_, _ = fmt.Fprintf(w, "{\"total\":%d}\n", s.TotalRuns())
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
	fault, down := s.nextFault()
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
	s.totalRuns++
	runNumber := s.totalRuns
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
	_, _ = fmt.Fprintf(w, "{\"service\":%q,\"path\":%q,\"number\":%d}\n", s.name, r.URL.RequestURI(), runNumber)
}
