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

// choicesPerWord is how many words may follow a given text.
const choicesPerWord = 4

// sampling draws the words of an answer. The first digits of a word depend on
// the prompt and the whole answer before it; the last is drawn at random, as a
// sampling engine does. Two answers joined in the middle therefore don't pass
// CheckAnswer.
type sampling struct {
	before *xxhash.Digest
}

func newSampling(prompt, answer string) sampling {
	s := sampling{before: xxhash.New()}
	var size [8]byte
	binary.LittleEndian.PutUint64(size[:], uint64(len(prompt)))
	_, _ = s.before.Write(size[:])
	_, _ = s.before.WriteString(prompt)
	_, _ = s.before.WriteString(answer)
	return s
}

// stem returns the part of the next word that is not random.
func (s sampling) stem() string { return fmt.Sprintf("w%04x", uint16(s.before.Sum64())) }

func (s sampling) add(word string) { _, _ = s.before.WriteString(word) }

// CheckCompletion returns an error unless the answer is one coherent sampling for
// the prompt, which is the raw JSON of the request's prompt or messages.
func CheckCompletion(prompt, answer string, tokens int) error {
	words := strings.Fields(answer)
	if len(words) != tokens {
		return fmt.Errorf("modelengine: answer has %d words, want %d", len(words), tokens)
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
	request  string
	attempt  int
	chat     bool
	model    string
	prompt   string
	answer   string
	salt     string
	tokens   int
	pace     time.Duration
	usage    bool
	finished func(*generation)
}

// generation is one request that runs on the engine. It goes on while no
// connection reads it, until it is stopped.
type generation struct {
	opts         generationOptions
	promptTokens int
	cachedTokens int
	missed       int

	mu      sync.Mutex
	events  [][]byte
	done    bool
	stopped bool
	changed chan struct{}
	begin   sync.Once
	quit    chan struct{}
	end     sync.Once
}

func newGeneration(opts generationOptions) *generation {
	return &generation{opts: opts, changed: make(chan struct{}), quit: make(chan struct{})}
}

func (g *generation) key() string { return fmt.Sprintf("%s/%d", g.opts.request, g.opts.attempt) }

func (g *generation) start() { g.begin.Do(func() { go g.run() }) }

func (g *generation) stop() { g.end.Do(func() { close(g.quit) }) }

func (g *generation) run() {
	defer g.opts.finished(g)
	rng := rand.New(rand.NewPCG(xxhash.Sum64String(g.opts.salt), xxhash.Sum64String(g.key())))
	s := newSampling(g.opts.prompt, g.opts.answer)
	words := len(strings.Fields(g.opts.answer))
	// An engine that is to go on from a text samples at least one word more.
	end := max(g.opts.tokens, words+1)
	for n := words; n < end; n++ {
		if !g.wait() {
			return
		}
		word := fmt.Sprintf("%s%d ", s.stem(), rng.Uint64()%choicesPerWord)
		s.add(word)
		g.add(g.chunk(word, n+1 == end))
	}
	if g.opts.usage {
		g.add(g.usage())
	}
	g.add([]byte(stream.Done))
	g.mu.Lock()
	g.done = true
	g.mu.Unlock()
}

func (g *generation) wait() bool {
	select {
	case <-g.quit:
		g.mu.Lock()
		g.stopped = true
		close(g.changed)
		g.changed = make(chan struct{})
		g.mu.Unlock()
		return false
	default:
	}
	if g.opts.pace == 0 {
		return true
	}
	select {
	case <-g.quit:
		return g.wait()
	case <-time.After(g.opts.pace):
		return true
	}
}

func (g *generation) add(event []byte) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.events = append(g.events, event)
	close(g.changed)
	g.changed = make(chan struct{})
}

// at waits for the event with the index.
func (g *generation) at(ctx context.Context, index int) ([]byte, bool) {
	for {
		g.mu.Lock()
		if index < len(g.events) {
			event := g.events[index]
			g.mu.Unlock()
			return event, true
		}
		over, changed := g.done || g.stopped, g.changed
		g.mu.Unlock()
		if over {
			return nil, false
		}
		select {
		case <-ctx.Done():
			return nil, false
		case <-changed:
		case <-g.quit:
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

func (g *generation) chunk(word string, last bool) []byte {
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

func (g *generation) usage() []byte {
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

// whole returns the answer of an unstreamed request.
func (g *generation) whole(ctx context.Context) ([]byte, bool) {
	answer := g.opts.answer
	for i := 0; ; i++ {
		event, ok := g.at(ctx, i)
		if !ok {
			return nil, false
		}
		if string(event) == stream.Done {
			break
		}
		var c chunk
		if json.Unmarshal(event, &c) == nil && len(c.Choices) > 0 {
			answer += c.Choices[0].Text
		}
	}
	c := g.newChunk()
	reason := "stop"
	c.Choices = []chunkChoice{{Text: answer, FinishReason: &reason}}
	raw, err := json.Marshal(c)
	return raw, err == nil
}

// serveStream writes the events from an index on, with the connection's fault.
func (e *Engine) serveStream(w http.ResponseWriter, r *http.Request, g *generation, from int, fault Fault) {
	e.describe(w.Header(), g)
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	flusher, _ := w.(http.Flusher)
	flusher.Flush()
	swapped := -1
	for i := from; ; i++ {
		e.breakAt(r, i+1, fault)
		event, ok := g.at(r.Context(), i)
		if !ok {
			if r.Context().Err() == nil {
				panic(http.ErrAbortHandler)
			}
			return
		}
		last := string(event) == stream.Done
		if fault.SwapEvents && swapped < 0 && !last {
			swapped = i
			continue
		}
		e.writeEvent(w, g, i, event, fault)
		if swapped >= 0 {
			earlier, _ := g.at(r.Context(), swapped)
			e.writeEvent(w, g, swapped, earlier, fault)
			swapped = -1
		}
		flusher.Flush()
		if last {
			return
		}
	}
}

// breakAt applies the faults that come before the event with a one-based index.
func (e *Engine) breakAt(r *http.Request, index int, fault Fault) {
	switch index {
	case fault.CutAt:
		panic(http.ErrAbortHandler)
	case fault.CrashAt:
		e.Crash()
		panic(http.ErrAbortHandler)
	case fault.SilentAt, fault.FreezeAt:
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
}

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
