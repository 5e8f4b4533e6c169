package modelengine

import (
	"context"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hibiscuscove/hibiscuscove/internal/stream"
)

// choicesPerWord is the number of words that may follow a given text.
const choicesPerWord = 4

// sampling draws the words of a completion. The stem of a word is a hash of the
// prompt and of the whole completion before it. Its last digit is random, like the
// choice of an engine that samples. Two completions joined in the middle therefore
// don't pass CheckCompletion.
type sampling struct {
	hash *xxhash.Digest
}

func newSampling(prompt, text string) sampling {
	s := sampling{hash: xxhash.New()}
	var size [8]byte
	binary.LittleEndian.PutUint64(size[:], uint64(len(prompt)))
	_, _ = s.hash.Write(size[:])
	_, _ = s.hash.WriteString(prompt)
	_, _ = s.hash.WriteString(text)
	return s
}

// stem returns the next word without its random digit.
func (s sampling) stem() string { return fmt.Sprintf("w%04x", uint16(s.hash.Sum64())) }

// add appends a word to the completion.
func (s sampling) add(word string) { _, _ = s.hash.WriteString(word) }

// CheckCompletion returns an error unless the text is one coherent completion of the
// given number of tokens. The prompt is the raw JSON of the request's prompt or
// messages.
func CheckCompletion(prompt, completion string, tokens int) error {
	words := strings.Fields(completion)
	if len(words) != tokens {
		return fmt.Errorf("modelengine: completion has %d words, want %d", len(words), tokens)
	}
	s := newSampling(prompt, "")
	for i, word := range words {
		if want := s.stem(); !strings.HasPrefix(word, want) {
			return fmt.Errorf("modelengine: word %d is %q, want %q and a digit", i, word, want)
		}
		s.add(word + " ")
	}
	return nil
}

type generationOptions struct {
	request string
	attempt int
	// chat selects the format of chat completions.
	chat   bool
	model  string
	prompt string
	// continueFrom is the text that the completion continues.
	continueFrom string
	// seed and the key of the generation determine the random digits.
	seed   string
	tokens int
	// interval is the time between two tokens.
	interval time.Duration
	// includeUsage adds an event with the numbers of tokens.
	includeUsage bool
	// onFinish is called when the generation has ended or was stopped.
	onFinish func(*generation)
}

// generation is one request that runs on the engine. It continues without a
// connected reader until it ends or is stopped.
type generation struct {
	opts         generationOptions
	promptTokens int
	cachedTokens int
	missedBlocks int

	mu      sync.Mutex
	events  [][]byte
	done    bool
	stopped bool
	// changed is closed and replaced with each event and when the generation stops.
	changed   chan struct{}
	startOnce sync.Once
	// stopping is closed by stop.
	stopping chan struct{}
	stopOnce sync.Once
}

func newGeneration(opts generationOptions) *generation {
	return &generation{opts: opts, changed: make(chan struct{}), stopping: make(chan struct{})}
}

func (g *generation) key() string { return fmt.Sprintf("%s/%d", g.opts.request, g.opts.attempt) }

func (g *generation) start() { g.startOnce.Do(func() { go g.run() }) }

func (g *generation) stop() { g.stopOnce.Do(func() { close(g.stopping) }) }

func (g *generation) run() {
	defer g.opts.onFinish(g)
	rng := rand.New(rand.NewPCG(xxhash.Sum64String(g.opts.seed), xxhash.Sum64String(g.key())))
	s := newSampling(g.opts.prompt, g.opts.continueFrom)
	words := len(strings.Fields(g.opts.continueFrom))
	// An engine that continues a text samples at least one more word.
	end := max(g.opts.tokens, words+1)
	for n := words; n < end; n++ {
		if !g.waitInterval() {
			return
		}
		word := fmt.Sprintf("%s%d ", s.stem(), rng.Uint64()%choicesPerWord)
		s.add(word)
		g.appendEvent(g.wordChunk(word, n+1 == end))
	}
	if g.opts.includeUsage {
		g.appendEvent(g.usageChunk())
	}
	g.appendEvent([]byte(stream.Done))
	g.mu.Lock()
	g.done = true
	g.mu.Unlock()
}

// waitInterval waits until the next token is due. It returns false if the
// generation was stopped.
func (g *generation) waitInterval() bool {
	select {
	case <-g.stopping:
		g.mu.Lock()
		g.stopped = true
		close(g.changed)
		g.changed = make(chan struct{})
		g.mu.Unlock()
		return false
	default:
	}
	if g.opts.interval == 0 {
		return true
	}
	select {
	case <-g.stopping:
		return g.waitInterval()
	case <-time.After(g.opts.interval):
		return true
	}
}

func (g *generation) appendEvent(event []byte) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.events = append(g.events, event)
	close(g.changed)
	g.changed = make(chan struct{})
}

// waitEvent waits for the event with a zero-based index. It returns false if the
// event won't come.
func (g *generation) waitEvent(ctx context.Context, index int) ([]byte, bool) {
	for {
		g.mu.Lock()
		if index < len(g.events) {
			event := g.events[index]
			g.mu.Unlock()
			return event, true
		}
		ended, changed := g.done || g.stopped, g.changed
		g.mu.Unlock()
		if ended {
			return nil, false
		}
		select {
		case <-ctx.Done():
			return nil, false
		case <-changed:
		case <-g.stopping:
			return nil, false
		}
	}
}

type chunkChoice struct {
	Index        int            `json:"index"`
	Text         string         `json:"text,omitempty"`
	Delta        map[string]any `json:"delta,omitempty"`
	FinishReason *string        `json:"finish_reason"`
}

type chunk struct {
	ID      string         `json:"id"`
	Object  string         `json:"object"`
	Created int64          `json:"created"`
	Model   string         `json:"model"`
	Choices []chunkChoice  `json:"choices"`
	Usage   map[string]int `json:"usage,omitempty"`
}

func (g *generation) newChunk() chunk {
	c := chunk{ID: "cmpl-" + g.opts.request, Object: "text_completion", Created: 1, Model: g.opts.model}
	if g.opts.chat {
		c.Object = "chat.completion.chunk"
	}
	return c
}

func (g *generation) wordChunk(word string, last bool) []byte {
	c := g.newChunk()
	choice := chunkChoice{Text: word}
	if g.opts.chat {
		choice = chunkChoice{Delta: map[string]any{"role": "assistant", "content": word}}
	}
	if last {
		reason := "stop"
		choice.FinishReason = &reason
	}
	c.Choices = []chunkChoice{choice}
	raw, _ := json.Marshal(c)
	return raw
}

func (g *generation) usageChunk() []byte {
	c := g.newChunk()
	c.Choices = []chunkChoice{}
	c.Usage = map[string]int{
		"prompt_tokens":     g.promptTokens,
		"completion_tokens": g.opts.tokens,
		"total_tokens":      g.promptTokens + g.opts.tokens,
	}
	raw, _ := json.Marshal(c)
	return raw
}

// bufferedResponse waits for the end and returns the response body of a request without
// streaming. It returns false if the generation was stopped or ctx is done.
func (g *generation) bufferedResponse(ctx context.Context) ([]byte, bool) {
	text := g.opts.continueFrom
	for i := 0; ; i++ {
		event, ok := g.waitEvent(ctx, i)
		if !ok {
			return nil, false
		}
		if string(event) == stream.Done {
			break
		}
		var c chunk
		if json.Unmarshal(event, &c) == nil && len(c.Choices) > 0 {
			text += c.Choices[0].Text
		}
	}
	c := g.newChunk()
	reason := "stop"
	c.Choices = []chunkChoice{{Text: text, FinishReason: &reason}}
	raw, err := json.Marshal(c)
	return raw, err == nil
}

// serveStream writes the events from an index on and applies the fault of the
// connection.
func (e *Engine) serveStream(w http.ResponseWriter, r *http.Request, g *generation, from int, fault Fault) {
	e.setHeaders(w.Header(), g)
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	flusher, _ := w.(http.Flusher)
	flusher.Flush()
	heldBack := -1 // the index of the event that SwapEvents delays
	for i := from; ; i++ {
		e.applyFaultAt(r, i+1, fault)
		event, ok := g.waitEvent(r.Context(), i)
		if !ok {
			if r.Context().Err() == nil {
				panic(http.ErrAbortHandler)
			}
			return
		}
		last := string(event) == stream.Done
		if fault.SwapEvents && heldBack < 0 && !last {
			heldBack = i
			continue
		}
		e.writeEvent(w, g, i, event, fault)
		if heldBack >= 0 {
			earlier, _ := g.waitEvent(r.Context(), heldBack)
			e.writeEvent(w, g, heldBack, earlier, fault)
			heldBack = -1
		}
		flusher.Flush()
		if last {
			return
		}
	}
}

// applyFaultAt applies the faults before the event with a one-based index.
func (e *Engine) applyFaultAt(r *http.Request, index int, fault Fault) {
	switch index {
	case fault.CutAt:
		panic(http.ErrAbortHandler)
	case fault.CrashAt:
		e.Crash()
		panic(http.ErrAbortHandler)
	case fault.SilentAt:
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
}

// writeEvent writes an event with its tag and applies ForeignEvents and
// DuplicateEvents.
func (e *Engine) writeEvent(w http.ResponseWriter, g *generation, index int, event []byte, fault Fault) {
	tag := stream.Tag{Request: g.opts.request, Attempt: g.opts.attempt, Index: index}
	if fault.ForeignEvents {
		other := stream.Tag{Request: "another", Attempt: g.opts.attempt, Index: index}
		_, _ = fmt.Fprintf(w, "id: %s\ndata: {\"choices\":[{\"text\":\"foreign \"}]}\n\n", other)
	}
	_, _ = fmt.Fprintf(w, "id: %s\ndata: %s\n\n", tag, event)
	if fault.DuplicateEvents {
		_, _ = fmt.Fprintf(w, "id: %s\ndata: %s\n\n", tag, event)
	}
}
