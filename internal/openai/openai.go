// Package openai parses requests and writes responses in the format of the OpenAI
// API. It covers only the parts that the router needs.
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

// firstBlockBytes is the size of the first level of a prompt without messages.
// Each further level ends at four times the offset of the one before.
const firstBlockBytes = 2 << 10

// Limits are the limits of a request body. The zero value selects the defaults.
type Limits struct {
	// MaxBodyBytes is the maximum size of the body. The default is 8 MiB.
	MaxBodyBytes int64
	// MaxDepth is the maximum nesting depth of the body. The default is 64.
	MaxDepth int
}

// WithDefaults returns the limits with zero and negative values replaced by the
// defaults.
func (l Limits) WithDefaults() Limits {
	if l.MaxBodyBytes <= 0 {
		l.MaxBodyBytes = defaultMaxBodyBytes
	}
	if l.MaxDepth <= 0 {
		l.MaxDepth = defaultMaxDepth
	}
	return l
}

// Request holds the fields of a completion request that the router uses. The
// router forwards the original body to the engine.
type Request struct {
	// Model names the route.
	Model  string
	Stream bool
	// Prompt is the prompt of a completion without messages. A prompt that is a
	// list is its JSON text.
	Prompt string
	// Messages are the raw messages of a chat completion.
	Messages []json.RawMessage
	// Choices is the number of requested choices.
	Choices int
}

// Parse parses and checks a request body. Its errors carry the verdict NotRun.
func Parse(body []byte, limits Limits) (Request, error) {
	limits = limits.WithDefaults()
	if int64(len(body)) > limits.MaxBodyBytes {
		return Request{}, badRequest("body_too_large", "", "the body is over %d bytes", limits.MaxBodyBytes)
	}
	if strictjson.Depth(body) > limits.MaxDepth {
		return Request{}, badRequest("nesting_too_deep", "", "the body is nested deeper than %d", limits.MaxDepth)
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
		return Request{}, badRequest("missing_field", "model", "name a route")
	}
	r := Request{Model: *wire.Model, Stream: wire.Stream, Messages: wire.Messages, Choices: 1}
	if wire.N != nil {
		r.Choices = *wire.N
	}
	if r.Choices < 1 {
		return Request{}, badRequest("bad_field", "n", "want at least 1")
	}
	var err error
	r.Prompt, err = promptText(wire.Prompt)
	return r, err
}

// promptText returns the prompt if it is a string. For a list it returns the raw
// JSON, which is sufficient to compare prefixes.
func promptText(raw json.RawMessage) (string, error) {
	if len(raw) == 0 || string(raw) == "null" {
		return "", nil
	}
	if raw[0] == '[' {
		return string(raw), nil
	}
	var text string
	if err := json.Unmarshal(raw, &text); err != nil {
		return "", badRequest("bad_field", "prompt", "want a text or a list")
	}
	return text, nil
}

func badRequest(code, field, format string, args ...any) *verdict.Error {
	reason := fmt.Sprintf(format, args...)
	return verdict.New(verdict.NotRun, http.StatusBadRequest, code, reason).WithObject("body", field)
}

func bodyError(err error) error {
	var e *json.UnmarshalTypeError
	if errors.As(err, &e) {
		return badRequest("bad_field", e.Field, "want %s, got %s", e.Type, e.Value)
	}
	return badRequest("bad_json", "", "%s", err)
}

// Levels splits the prompt into at most four nested prefix levels, the most widely
// shared one first. Each level holds only the text that it adds to the level
// before. Each message is a level, except the last one, which is the user's
// question, unless it is the only message. A prompt without messages is split at
// fixed sizes.
func (r Request) Levels() [][]byte {
	if len(r.Messages) == 0 {
		return splitText([]byte(r.Prompt))
	}
	shared := r.Messages[:max(1, len(r.Messages)-1)]
	levels := make([][]byte, 0, maxLevels)
	for _, m := range shared[:min(len(shared), maxLevels)] {
		levels = append(levels, m)
	}
	return levels
}

func splitText(text []byte) [][]byte {
	var levels [][]byte
	start := 0
	for end := firstBlockBytes; end <= len(text) && len(levels) < maxLevels; end *= 4 {
		levels = append(levels, text[start:end])
		start = end
	}
	if len(levels) == 0 {
		return [][]byte{text}
	}
	return levels
}

// ErrorBody is the JSON body of an error response.
type ErrorBody struct {
	Error ErrorDetail `json:"error"`
}

// ErrorDetail is the error object of the OpenAI API, extended by the object, the
// verdict and the time to wait before a retry.
type ErrorDetail struct {
	Message      string          `json:"message"`
	Type         string          `json:"type"`
	Code         string          `json:"code"`
	Param        string          `json:"param,omitempty"`
	Object       string          `json:"object,omitempty"`
	Verdict      verdict.Verdict `json:"verdict"`
	RetryAfterMS int64           `json:"retry_after_ms,omitempty"`
}

// NewErrorBody returns the body of the error response for err.
func NewErrorBody(err error) ErrorBody {
	e := verdict.FromError(err)
	errorType := "invalid_request_error"
	if e.Status >= http.StatusInternalServerError {
		errorType = "server_error"
	}
	if e.Status == http.StatusTooManyRequests {
		errorType = "rate_limit_error"
	}
	return ErrorBody{Error: ErrorDetail{
		Message:      e.Reason,
		Type:         errorType,
		Code:         e.Code,
		Param:        e.Field,
		Object:       e.Object,
		Verdict:      e.Verdict,
		RetryAfterMS: e.RetryAfter.Milliseconds(),
	}}
}

// WriteError writes the error response for err, with its status, verdict and
// Retry-After header.
func WriteError(w http.ResponseWriter, err error) {
	e := verdict.FromError(err)
	w.Header().Set(verdict.Header, e.Verdict.String())
	if e.RetryAfter > 0 {
		w.Header().Set("Retry-After", RetryAfterSeconds(e.RetryAfter))
	}
	WriteJSON(w, e.Status, NewErrorBody(err))
}

// RetryAfterSeconds returns the value of a Retry-After header: whole seconds,
// rounded up.
func RetryAfterSeconds(d time.Duration) string {
	return strconv.Itoa(int(math.Ceil(d.Seconds())))
}

// WriteJSON writes a response with the given status and value as JSON.
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

// Delta is what an event of a streamed response adds to its first choice.
type Delta struct {
	Text string
	// Finished is true if the event has a finish reason.
	Finished bool
	// TextOnly is true if the event adds only text: no tool calls, no log
	// probabilities, no other choices.
	TextOnly bool
}

// ParseDelta parses the data of an event. It returns the zero value if the data
// is not valid JSON.
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
	textOnly := len(chunk.Choices) == 1 && c.Index == 0
	for _, raw := range []json.RawMessage{c.Logprobs, c.Delta.ToolCalls, c.Delta.FunctionCall, c.Delta.Refusal} {
		textOnly = textOnly && (len(raw) == 0 || string(raw) == "null")
	}
	return Delta{Text: c.Text + c.Delta.Content, Finished: c.FinishReason != nil, TextOnly: textOnly}
}
