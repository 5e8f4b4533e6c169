// Package openai reads requests and writes answers in the form of the OpenAI
// API, as far as the router needs to look into them.
//
// # Usage
//
//	request, err := openai.Parse(body, openai.Limits{})
//	if err != nil {
//		openai.WriteError(w, err)
//		return
//	}
//	levels := request.Levels()
//
// All functions are safe for concurrent use.
package openai

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/hibiscuscove/hibiscuscove/internal/strictjson"
	"github.com/hibiscuscove/hibiscuscove/internal/verdict"
)

const (
	defaultMaxBodyBytes = 8 << 20
	defaultMaxDepth     = 64
	maxLevels           = 4
)

// firstBlockBytes is the size of the first level of a prompt without messages;
// each further level is four times as large.
const firstBlockBytes = 2 << 10

// Limits are the limits of a request's body. The zero value works.
type Limits struct {
	// MaxBodyBytes bounds the body. The default is 8 MiB.
	MaxBodyBytes int64
	// MaxDepth bounds the nesting of the body. The default is 64.
	MaxDepth int
}

// WithDefaults returns the bounds with defaults in place of zeros.
func (b Limits) WithDefaults() Limits {
	if b.MaxBodyBytes <= 0 {
		b.MaxBodyBytes = defaultMaxBodyBytes
	}
	if b.MaxDepth <= 0 {
		b.MaxDepth = defaultMaxDepth
	}
	return b
}

// Request is what the router reads of a completion request. The body itself
// goes to the engine as it came.
type Request struct {
	// Model names the route.
	Model  string
	Stream bool
	// Prompt is the text of a completion without messages.
	Prompt string
	// Messages are the raw messages of a chat completion.
	Messages []json.RawMessage
	// Choices is the number of answers asked for.
	Choices int
}

// Parse reads a body. Its errors carry the verdict NotRun.
func Parse(body []byte, bounds Limits) (Request, error) {
	bounds = bounds.WithDefaults()
	if int64(len(body)) > bounds.MaxBodyBytes {
		return Request{}, refuse("body_too_large", "", "the body is over %d bytes", bounds.MaxBodyBytes)
	}
	if strictjson.Depth(body) > bounds.MaxDepth {
		return Request{}, refuse("nesting_too_deep", "", "the body is nested deeper than %d", bounds.MaxDepth)
	}
	var wire struct {
		Model    *string           `json:"model"`
		Stream   bool              `json:"stream"`
		Prompt   json.RawMessage   `json:"prompt"`
		Messages []json.RawMessage `json:"messages"`
		N        *int              `json:"n"`
	}
	if err := json.Unmarshal(body, &wire); err != nil {
		return Request{}, bodyError(err)
	}
	if wire.Model == nil || *wire.Model == "" {
		return Request{}, refuse("missing_field", "model", "name a route")
	}
	r := Request{Model: *wire.Model, Stream: wire.Stream, Messages: wire.Messages, Choices: 1}
	if wire.N != nil {
		r.Choices = *wire.N
	}
	if r.Choices < 1 {
		return Request{}, refuse("bad_field", "n", "want at least 1")
	}
	var err error
	r.Prompt, err = promptText(wire.Prompt)
	return r, err
}

// promptText accepts a text or a list; a list is taken as its raw text, which
// is enough to tell prefixes apart.
func promptText(raw json.RawMessage) (string, error) {
	if len(raw) == 0 || string(raw) == "null" {
		return "", nil
	}
	if raw[0] == '[' {
		return string(raw), nil
	}
	var text string
	if err := json.Unmarshal(raw, &text); err != nil {
		return "", refuse("bad_field", "prompt", "want a text or a list")
	}
	return text, nil
}

func refuse(code, field, format string, args ...any) *verdict.Error {
	reason := fmt.Sprintf(format, args...)
	return verdict.New(verdict.NotRun, http.StatusBadRequest, code, reason).WithObject("body", field)
}

func bodyError(err error) error {
	var e *json.UnmarshalTypeError
	if errors.As(err, &e) {
		return refuse("bad_field", e.Field, "want %s, got %s", e.Type, e.Value)
	}
	return refuse("bad_json", "", "%s", err)
}

// Levels splits the prompt into nested levels of shared text, the widest
// shared first. Each level is the text it adds to the one before. Messages are
// levels of their own, but for the last one, which is the question; a prompt
// without messages is cut at fixed sizes.
func (r Request) Levels() [][]byte {
	if len(r.Messages) == 0 {
		return cut([]byte(r.Prompt))
	}
	shared := r.Messages[:max(1, len(r.Messages)-1)]
	levels := make([][]byte, 0, maxLevels)
	for _, m := range shared[:min(len(shared), maxLevels)] {
		levels = append(levels, m)
	}
	return levels
}

func cut(text []byte) [][]byte {
	var levels [][]byte
	from := 0
	for end := firstBlockBytes; end <= len(text) && len(levels) < maxLevels; end *= 4 {
		levels = append(levels, text[from:end])
		from = end
	}
	if len(levels) == 0 {
		return [][]byte{text}
	}
	return levels
}

// ErrorBody is the JSON form of an error answer.
type ErrorBody struct {
	Error ErrorDetail `json:"error"`
}

// ErrorDetail is what the OpenAI API says of an error, with the verdict added.
type ErrorDetail struct {
	Message      string          `json:"message"`
	Type         string          `json:"type"`
	Code         string          `json:"code"`
	Param        string          `json:"param,omitempty"`
	Object       string          `json:"object,omitempty"`
	Verdict      verdict.Verdict `json:"verdict"`
	RetryAfterMS int64           `json:"retry_after_ms,omitempty"`
}

// NewErrorBody returns the JSON form of err.
func NewErrorBody(err error) ErrorBody {
	e := verdict.FromError(err)
	kind := "invalid_request_error"
	if e.Status >= http.StatusInternalServerError {
		kind = "server_error"
	}
	if e.Status == http.StatusTooManyRequests {
		kind = "rate_limit_error"
	}
	return ErrorBody{Error: ErrorDetail{
		Message:      e.Reason,
		Type:         kind,
		Code:         e.Code,
		Param:        e.Field,
		Object:       e.Object,
		Verdict:      e.Verdict,
		RetryAfterMS: e.RetryAfter.Milliseconds(),
	}}
}

// WriteError answers with err: its status, its verdict and when to come back.
func WriteError(w http.ResponseWriter, err error) {
	e := verdict.FromError(err)
	w.Header().Set(verdict.Header, e.Verdict.String())
	if e.RetryAfter > 0 {
		w.Header().Set("Retry-After", RetryAfterSeconds(e.RetryAfter))
	}
	WriteJSON(w, e.Status, NewErrorBody(err))
}

// RetryAfterSeconds returns the value of a Retry-After header, rounded up.
func RetryAfterSeconds(d time.Duration) string {
	return strconv.Itoa(int(math.Ceil(d.Seconds())))
}

// WriteJSON answers with a JSON value.
func WriteJSON(w http.ResponseWriter, status int, value any) {
	body, err := json.Marshal(value)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)+1))
	w.WriteHeader(status)
	_, _ = w.Write(append(body, '\n'))
}

// Delta is what an event of a streamed answer adds to its only choice.
type Delta struct {
	Text string
	// Finished says that the choice has come to its end.
	Finished bool
	// TextOnly says that the event adds nothing but text: no tool calls, no
	// log probabilities, no further choices.
	TextOnly bool
}

// ParseDelta reads the data of an event.
func ParseDelta(data []byte) Delta {
	var chunk struct {
		Choices []struct {
			Index        int             `json:"index"`
			Text         string          `json:"text"`
			Logprobs     json.RawMessage `json:"logprobs"`
			FinishReason *string         `json:"finish_reason"`
			Delta        struct {
				Content      string          `json:"content"`
				ToolCalls    json.RawMessage `json:"tool_calls"`
				FunctionCall json.RawMessage `json:"function_call"`
				Refusal      json.RawMessage `json:"refusal"`
			} `json:"delta"`
		} `json:"choices"`
	}
	if err := json.Unmarshal(data, &chunk); err != nil {
		return Delta{}
	}
	if len(chunk.Choices) == 0 {
		return Delta{TextOnly: true}
	}
	c := chunk.Choices[0]
	plain := len(chunk.Choices) == 1 && c.Index == 0
	for _, raw := range []json.RawMessage{c.Logprobs, c.Delta.ToolCalls, c.Delta.FunctionCall, c.Delta.Refusal} {
		plain = plain && (len(raw) == 0 || string(raw) == "null")
	}
	return Delta{Text: c.Text + c.Delta.Content, Finished: c.FinishReason != nil, TextOnly: plain}
}
