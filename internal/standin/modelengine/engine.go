// Package modelengine is a stand-in for a model engine. Faults can be switched at
// run time.
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
	// streamTTL is how long a finished stream can be resumed.
	streamTTL    = 10 * time.Second
	maxBodyBytes = 64 << 20
)

// Options configure an Engine. Zero fields get the defaults.
type Options struct {
	Name           string
	WeightsVersion string
	// Tokens is the length of a response if the request sets none. The default is 16.
	Tokens int
	// TokenInterval is the time between two tokens.
	TokenInterval time.Duration
	// PrefillPerBlock is the time to compute a block of the prompt that is not cached.
	PrefillPerBlock time.Duration
	// CacheBlocks is the capacity of the prefix cache in blocks. The default is 4096.
	CacheBlocks int
	// Slots limits the requests that run at the same time. Zero means no limit.
	Slots int
}

// Fault selects faults of an engine. Indexes are one-based; zero is off.
type Fault struct {
	// CutAt cuts the connection before the event with this index.
	CutAt int `json:"cut_at,omitempty"`
	// SilentAt sends nothing more from the event with this index on, with the
	// connection open.
	SilentAt int `json:"silent_at,omitempty"`
	// CrashAt ends the engine's incarnation before the event with this index.
	CrashAt int `json:"crash_at,omitempty"`
	// CrashOnText ends the incarnation when a request body contains this text.
	CrashOnText string `json:"crash_on,omitempty"`
	// CutRequest cuts the connection after the request has been accepted.
	CutRequest bool `json:"cut_request,omitempty"`
	// SilentRequest accepts the request and never responds on its connection.
	SilentRequest bool `json:"silent_request,omitempty"`
	// ForeignEvents sends an event of another request before each event.
	ForeignEvents bool `json:"foreign,omitempty"`
	// DuplicateEvents sends each event twice.
	DuplicateEvents bool `json:"double,omitempty"`
	// SwapEvents sends pairs of events in the wrong order.
	SwapEvents bool `json:"swap,omitempty"`
	// ForgetStreams makes each resumption of a stream fail as unknown.
	ForgetStreams bool `json:"forget,omitempty"`
	// Count is the number of connections that the fault affects. Zero means all.
	Count int `json:"once,omitempty"`
	// FailStatus responds to each request with this status, without a run.
	FailStatus int `json:"fail,omitempty"`
}

// Engine is a stand-in for a model engine.
type Engine struct {
	opts Options
	mux  *http.ServeMux
	// OnCrash is called in its own goroutine by each Crash. It may be nil.
	OnCrash func()

	mu          sync.Mutex
	incarnation string
	weights     string
	state       upstream.State
	fault       Fault
	// faultsLeft is the number of connections that a fault with a Count still affects.
	faultsLeft int
	// streams has the running and the recently finished generations by key.
	streams   map[string]*generation
	cache     *blockCache
	running   int
	runs      int
	cancelled int
	down      bool
}

// New returns an Engine that is live.
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

// reset starts a new incarnation. The caller must hold e.mu.
func (e *Engine) reset() {
	e.incarnation = uuid.NewString()
	e.streams = make(map[string]*generation)
	e.cache = newBlockCache(e.opts.CacheBlocks)
	e.running = 0
}

// ServeHTTP implements http.Handler. An engine that is down cuts all connections
// except those to /fault, /state and /stats.
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

// Crash ends the incarnation: all streams break and the cache is cleared. The engine
// stays down until Restart.
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

// Restart starts a crashed engine, empty and in a new incarnation.
func (e *Engine) Restart() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.down = false
}

// SetFault replaces the fault. The zero value switches all faults off.
func (e *Engine) SetFault(f Fault) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.fault = f
	e.faultsLeft = f.Count
}

// SetState sets the state that health checks report. A leaving engine rejects
// requests.
func (e *Engine) SetState(s upstream.State) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.state = s
}

// SetWeights sets the version of the weights and clears the cache.
func (e *Engine) SetWeights(version string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.weights = version
	e.cache = newBlockCache(e.opts.CacheBlocks)
}

// Runs returns the number of requests that have started, over all incarnations.
func (e *Engine) Runs() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.runs
}

// Cancelled returns the number of streams that DELETE requests have cancelled.
func (e *Engine) Cancelled() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.cancelled
}

// nextFault returns the fault of a new connection.
func (e *Engine) nextFault() Fault {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.fault.Count == 0 {
		return e.fault
	}
	if e.faultsLeft == 0 {
		return Fault{}
	}
	e.faultsLeft--
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
	fault := e.nextFault()
	raw, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))
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
	g, rejection := e.startGeneration(r, body, prompt)
	if rejection != "" {
		w.Header().Set(engineapi.HeaderNotRun, "true")
		w.Header().Set("Retry-After", "1")
		http.Error(w, rejection, http.StatusServiceUnavailable)
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
		e.respondBuffered(w, r, g)
		return
	}
	e.serveStream(w, r, g, 0, fault)
}

// startGeneration registers a generation. If the engine rejects the request it
// returns the reason.
func (e *Engine) startGeneration(r *http.Request, body completionBody, prompt string) (*generation, string) {
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
		request:      r.Header.Get(engineapi.HeaderRequest),
		attempt:      attempt,
		chat:         strings.HasSuffix(r.URL.Path, "/chat/completions"),
		model:        body.Model,
		prompt:       prompt,
		continueFrom: body.ContinueFrom,
		seed:         e.incarnation,
		tokens:       tokens,
		interval:     e.opts.TokenInterval,
		includeUsage: body.StreamOpts.IncludeUsage,
		onFinish:     e.finishGeneration,
	})
	g.promptTokens, g.cachedTokens, g.missedBlocks = e.cache.lookup(prompt + body.ContinueFrom)
	e.running++
	e.runs++
	e.streams[g.key()] = g
	return g, ""
}

// finishGeneration frees the slot of a generation and removes the generation after
// streamTTL.
func (e *Engine) finishGeneration(g *generation) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.streams[g.key()] == g {
		e.running--
	}
	key := g.key()
	time.AfterFunc(streamTTL, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.streams[key] == g {
			delete(e.streams, key)
		}
	})
}

// prefill waits for the duration of the prefill and starts the generation.
func (e *Engine) prefill(r *http.Request, g *generation) {
	if e.opts.PrefillPerBlock > 0 {
		timer := time.NewTimer(time.Duration(g.missedBlocks) * e.opts.PrefillPerBlock)
		defer timer.Stop()
		select {
		case <-timer.C:
		case <-r.Context().Done():
		}
	}
	g.start()
}

// setHeaders sets the response headers that describe the engine and the generation.
func (e *Engine) setHeaders(h http.Header, g *generation) {
	e.mu.Lock()
	defer e.mu.Unlock()
	h.Set(engineapi.HeaderIncarnation, e.incarnation)
	h.Set(engineapi.HeaderWeightsVersion, e.weights)
	h.Set(engineapi.HeaderCachedTokens, strconv.Itoa(g.cachedTokens))
	h.Set(engineapi.HeaderPromptTokens, strconv.Itoa(g.promptTokens))
}

// respondBuffered writes the response of a request without streaming.
func (e *Engine) respondBuffered(w http.ResponseWriter, r *http.Request, g *generation) {
	body, ok := g.bufferedResponse(r.Context())
	if !ok {
		return
	}
	e.setHeaders(w.Header(), g)
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(body)
}

func (e *Engine) resume(w http.ResponseWriter, r *http.Request) {
	fault := e.nextFault()
	g, found := e.findStream(r)
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

func (e *Engine) findStream(r *http.Request) (*generation, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	g, found := e.streams[r.PathValue("request")+"/"+r.PathValue("attempt")]
	return g, found
}

func (e *Engine) cancel(w http.ResponseWriter, r *http.Request) {
	g, found := e.findStream(r)
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
	_, _ = fmt.Fprintf(w, "{\"executed\":%d,\"cancelled\":%d,\"running\":%d}\n", e.runs, e.cancelled, e.running)
}
