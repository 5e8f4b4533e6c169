// Package modelengine is a stand-in of a model engine, whose faults are switched
// at run time.
//
// # Usage
//
//	engine := modelengine.New(modelengine.Options{Name: "engine-1", WeightsVersion: "v1"})
//	server := httptest.NewServer(engine)
//	engine.SetFault(modelengine.Fault{CutAt: 3})
//
// An Engine is safe for concurrent use.
package modelengine

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/hibiscuscove/hibiscuscove/internal/engineapi"
	"github.com/hibiscuscove/hibiscuscove/internal/stream"
	"github.com/hibiscuscove/hibiscuscove/internal/upstream"
)

const (
	defaultTokens      = 16
	defaultBlockBytes  = 1 << 10
	defaultCacheBlocks = 4096
	bytesPerToken      = 4
	streamGrace        = 10 * time.Second
	maxEngineBody      = 64 << 20
)

// Options sets up an Engine. The zero value works.
type Options struct {
	Name           string
	WeightsVersion string
	// Tokens is the length of an answer when a request sets none. The default is 16.
	Tokens int
	// TokenInterval is the time between two events.
	TokenInterval time.Duration
	// PrefillPerBlock is the time to compute a block that is not cached.
	PrefillPerBlock time.Duration
	// CacheBlocks is the number of prefix blocks that are cached. The default is 4096.
	CacheBlocks int
	// Slots is how many requests run at a time. Zero sets no bound.
	Slots int
}

// Fault is what goes wrong in an engine. Indexes are one-based; zero is off.
type Fault struct {
	// CutAt cuts the connection before the event with this index.
	CutAt int `json:"cut_at,omitempty"`
	// SilentAt falls silent before the event with this index, on that connection only.
	SilentAt int `json:"silent_at,omitempty"`
	// FreezeAt falls silent before the event with this index, on all connections.
	FreezeAt int `json:"freeze_at,omitempty"`
	// CrashAt ends the engine's incarnation before the event with this index.
	CrashAt int `json:"crash_at,omitempty"`
	// CrashOnText ends the incarnation when a body contains this text.
	CrashOnText string `json:"crash_on,omitempty"`
	// CutRequest cuts the connection after the request has been taken.
	CutRequest bool `json:"cut_request,omitempty"`
	// SilentRequest takes the request and never answers on that connection.
	SilentRequest bool `json:"silent_request,omitempty"`
	// ForeignEvents sends each event of another request in between.
	ForeignEvents bool `json:"foreign,omitempty"`
	// DuplicateEvents sends each event twice.
	DuplicateEvents bool `json:"double,omitempty"`
	// SwapEvents sends pairs of events in the wrong order.
	SwapEvents bool `json:"swap,omitempty"`
	// ForgetStreams keeps no streams to resume.
	ForgetStreams bool `json:"forget,omitempty"`
	// Count limits the fault to this many connections. Zero sets no limit.
	Count int `json:"once,omitempty"`
	// FailStatus answers each request with this status.
	FailStatus int `json:"fail,omitempty"`
}

// Engine is a stand-in for a model engine.
type Engine struct {
	opts Options
	mux  *http.ServeMux
	// OnCrash is called, in a goroutine of its own, when a fault ends the incarnation.
	OnCrash func()

	mu          sync.Mutex
	incarnation string
	weights     string
	state       upstream.State
	fault       Fault
	faultLeft   int
	streams     map[string]*generation
	cache       *blockCache
	running     int
	executed    int
	cancelled   int
	down        bool
}

// New returns an Engine that serves at once.
func New(opts Options) *Engine {
	if opts.Tokens <= 0 {
		opts.Tokens = defaultTokens
	}
	if opts.CacheBlocks <= 0 {
		opts.CacheBlocks = defaultCacheBlocks
	}
	e := &Engine{opts: opts, weights: opts.WeightsVersion, state: upstream.StateLive}
	e.reset()
	e.mux = http.NewServeMux()
	e.mux.HandleFunc("POST /v1/completions", e.complete)
	e.mux.HandleFunc("POST /v1/chat/completions", e.complete)
	e.mux.HandleFunc("GET /v1/streams/{request}/{attempt}", e.resume)
	e.mux.HandleFunc("DELETE /v1/streams/{request}/{attempt}", e.cancel)
	e.mux.HandleFunc("GET /health", e.health)
	e.mux.HandleFunc("POST /fault", e.setFault)
	e.mux.HandleFunc("POST /state", e.setState)
	e.mux.HandleFunc("GET /stats", e.stats)
	return e
}

func (e *Engine) reset() {
	e.incarnation = uuid.NewString()
	e.streams = make(map[string]*generation)
	e.cache = newBlockCache(e.opts.CacheBlocks)
	e.running = 0
}

// ServeHTTP implements http.Handler. An engine that is down cuts every connection.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	down := e.down
	e.mu.Unlock()
	control := r.URL.Path == "/fault" || r.URL.Path == "/state" || r.URL.Path == "/stats"
	if down && !control {
		panic(http.ErrAbortHandler)
	}
	e.mux.ServeHTTP(w, r)
}

// Crash ends the incarnation: its streams break and its cache is lost. The
// engine stays down until Restart.
func (e *Engine) Crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, g := range e.streams {
		g.stop()
	}
	e.reset()
	e.down = true
	if e.OnCrash != nil {
		go e.OnCrash()
	}
}

// Restart brings a crashed engine back, empty and in a new incarnation.
func (e *Engine) Restart() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.down = false
}

// SetFault switches a fault on, and off with the zero value.
func (e *Engine) SetFault(f Fault) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.fault = f
	e.faultLeft = f.Count
}

// SetState makes the engine say that it is live or leaving.
func (e *Engine) SetState(s upstream.State) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.state = s
}

// SetWeights makes the engine serve other weights, with an empty cache.
func (e *Engine) SetWeights(version string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.weights = version
	e.cache = newBlockCache(e.opts.CacheBlocks)
}

// Runs returns how many requests have begun to run, in all incarnations.
func (e *Engine) Runs() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.executed
}

// Cancelled returns how many streams have been cancelled by their number.
func (e *Engine) Cancelled() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.cancelled
}

// takeFault returns the fault of a new connection.
func (e *Engine) takeFault() Fault {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.fault.Count == 0 {
		return e.fault
	}
	if e.faultLeft == 0 {
		return Fault{}
	}
	e.faultLeft--
	return e.fault
}

type completionBody struct {
	Stream       bool            `json:"stream"`
	Prompt       json.RawMessage `json:"prompt"`
	Messages     json.RawMessage `json:"messages"`
	MaxTokens    int             `json:"max_tokens"`
	Model        string          `json:"model"`
	ContinueFrom string          `json:"continue_from"`
	StreamOpts   struct {
		IncludeUsage bool `json:"include_usage"`
	} `json:"stream_options"`
}

func (e *Engine) complete(w http.ResponseWriter, r *http.Request) {
	fault := e.takeFault()
	raw, err := io.ReadAll(io.LimitReader(r.Body, maxEngineBody))
	if err != nil {
		return
	}
	if fault.FailStatus > 0 {
		http.Error(w, "the engine fails", fault.FailStatus)
		return
	}
	var body completionBody
	if err := json.Unmarshal(raw, &body); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	prompt := string(body.Prompt)
	if len(body.Messages) > 0 {
		prompt = string(body.Messages)
	}
	g, refused := e.begin(r, body, prompt)
	if refused != "" {
		w.Header().Set(engineapi.HeaderNotRun, "true")
		w.Header().Set("Retry-After", "1")
		http.Error(w, refused, http.StatusServiceUnavailable)
		return
	}
	if fault.CrashOnText != "" && strings.Contains(string(raw), fault.CrashOnText) {
		e.Crash()
		panic(http.ErrAbortHandler)
	}
	if fault.CutRequest {
		panic(http.ErrAbortHandler)
	}
	if fault.SilentRequest {
		<-r.Context().Done()
		return
	}
	e.prefill(r, g)
	if !body.Stream {
		e.answerWhole(w, r, g)
		return
	}
	e.serveStream(w, r, g, 0, fault)
}

// begin starts a generation, or refuses it before it runs.
func (e *Engine) begin(r *http.Request, body completionBody, prompt string) (*generation, string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.state == upstream.StateLeaving {
		return nil, "the engine is leaving"
	}
	if want := r.Header.Get(engineapi.HeaderWeightsVersion); want != "" && want != e.weights {
		return nil, "the engine has other weights"
	}
	if e.opts.Slots > 0 && e.running >= e.opts.Slots {
		return nil, "the engine is busy"
	}
	tokens := e.opts.Tokens
	if body.MaxTokens > 0 {
		tokens = body.MaxTokens
	}
	attempt, _ := strconv.Atoi(r.Header.Get(engineapi.HeaderAttempt))
	g := newGeneration(generationOptions{
		request:  r.Header.Get(engineapi.HeaderRequest),
		attempt:  attempt,
		chat:     strings.HasSuffix(r.URL.Path, "/chat/completions"),
		model:    body.Model,
		prompt:   prompt,
		answer:   body.ContinueFrom,
		salt:     e.incarnation,
		tokens:   tokens,
		pace:     e.opts.TokenInterval,
		usage:    body.StreamOpts.IncludeUsage,
		finished: e.finish,
	})
	g.promptTokens, g.cachedTokens, g.missed = e.cache.use(prompt + body.ContinueFrom)
	e.running++
	e.executed++
	e.streams[g.key()] = g
	return g, ""
}

func (e *Engine) finish(g *generation) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.streams[g.key()] == g {
		e.running--
	}
	key := g.key()
	time.AfterFunc(streamGrace, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.streams[key] == g {
			delete(e.streams, key)
		}
	})
}

func (e *Engine) prefill(r *http.Request, g *generation) {
	if e.opts.PrefillPerBlock > 0 {
		timer := time.NewTimer(time.Duration(g.missed) * e.opts.PrefillPerBlock)
		defer timer.Stop()
		select {
		case <-timer.C:
		case <-r.Context().Done():
		}
	}
	g.start()
}

func (e *Engine) describe(h http.Header, g *generation) {
	e.mu.Lock()
	defer e.mu.Unlock()
	h.Set(engineapi.HeaderIncarnation, e.incarnation)
	h.Set(engineapi.HeaderWeightsVersion, e.weights)
	h.Set(engineapi.HeaderCachedTokens, strconv.Itoa(g.cachedTokens))
	h.Set(engineapi.HeaderPromptTokens, strconv.Itoa(g.promptTokens))
}

func (e *Engine) answerWhole(w http.ResponseWriter, r *http.Request, g *generation) {
	body, ok := g.whole(r.Context())
	if !ok {
		return
	}
	e.describe(w.Header(), g)
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(body)
}

func (e *Engine) resume(w http.ResponseWriter, r *http.Request) {
	fault := e.takeFault()
	g, found := e.find(r)
	if !found || fault.ForgetStreams {
		http.Error(w, "unknown stream", http.StatusNotFound)
		return
	}
	if fault.SilentRequest {
		<-r.Context().Done()
		return
	}
	from := 0
	if tag, ok := stream.ParseTag([]byte(r.Header.Get("Last-Event-ID"))); ok {
		from = tag.Index + 1
	}
	g.start()
	e.serveStream(w, r, g, from, fault)
}

func (e *Engine) find(r *http.Request) (*generation, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	g, found := e.streams[r.PathValue("request")+"/"+r.PathValue("attempt")]
	return g, found
}

func (e *Engine) cancel(w http.ResponseWriter, r *http.Request) {
	g, found := e.find(r)
	if !found {
		http.Error(w, "unknown stream", http.StatusNotFound)
		return
	}
	g.stop()
	e.mu.Lock()
	e.cancelled++
	e.mu.Unlock()
	w.WriteHeader(http.StatusNoContent)
}

func (e *Engine) health(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	report := upstream.Report{
		State:          e.state,
		Incarnation:    e.incarnation,
		WeightsVersion: e.weights,
		Running:        e.running,
	}
	e.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(report)
}

func (e *Engine) setFault(w http.ResponseWriter, r *http.Request) {
	var f Fault
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.SetFault(f)
	w.WriteHeader(http.StatusNoContent)
}

func (e *Engine) setState(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Query().Get("state") {
	case "live":
		e.SetState(upstream.StateLive)
	case "leaving":
		e.SetState(upstream.StateLeaving)
	case "crash":
		e.Crash()
	case "restart":
		e.Restart()
	default:
		http.Error(w, "want state=live, leaving, crash or restart", http.StatusBadRequest)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (e *Engine) stats(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	_, _ = fmt.Fprintf(w, "{\"executed\":%d,\"cancelled\":%d,\"running\":%d}\n", e.executed, e.cancelled, e.running)
}
