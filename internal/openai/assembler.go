package openai

import (
	"encoding/json"
	"fmt"
)

// Assembler joins the chunks of a streamed answer into the answer that the
// unstreamed API gives. It is for one goroutine.
type Assembler struct {
	answer map[string]any
	chat   bool
}

// NewAssembler returns an Assembler for chat completions or for completions.
func NewAssembler(chat bool) *Assembler { return &Assembler{chat: chat} }

// Add adds the data of one event.
func (a *Assembler) Add(data []byte) error {
	var chunk map[string]any
	if err := json.Unmarshal(data, &chunk); err != nil {
		return fmt.Errorf("openai: chunk: %w", err)
	}
	if a.answer == nil {
		a.answer = make(map[string]any)
	}
	merge(a.answer, chunk)
	return nil
}

// concatenated are the members whose texts are joined; other texts replace
// those before.
var concatenated = map[string]bool{
	"text":              true,
	"content":           true,
	"arguments":         true,
	"refusal":           true,
	"reasoning_content": true,
}

func merge(into, from map[string]any) {
	for name, value := range from {
		into[name] = mergeValue(name, into[name], value)
	}
}

func mergeValue(name string, old, value any) any {
	if value == nil {
		return old
	}
	switch value := value.(type) {
	case string:
		if text, ok := old.(string); ok && concatenated[name] {
			return text + value
		}
	case map[string]any:
		if object, ok := old.(map[string]any); ok {
			merge(object, value)
			return object
		}
	case []any:
		if list, ok := old.([]any); ok {
			return mergeList(list, value)
		}
	}
	return value
}

// mergeList joins items with the same index member and appends the others.
func mergeList(old, items []any) []any {
	for _, item := range items {
		object, isObject := item.(map[string]any)
		index, indexed := object["index"]
		if at := indexOf(old, index); isObject && indexed && at >= 0 {
			merge(old[at].(map[string]any), object)
			continue
		}
		old = append(old, item)
	}
	return old
}

func indexOf(list []any, index any) int {
	for i, item := range list {
		if object, ok := item.(map[string]any); ok && object["index"] == index {
			return i
		}
	}
	return -1
}

// Response returns the whole answer as JSON.
func (a *Assembler) Response() ([]byte, error) {
	if a.answer == nil {
		return nil, fmt.Errorf("openai: the answer has no chunks")
	}
	object := "text_completion"
	if a.chat {
		object = "chat.completion"
		a.renameDeltas()
	}
	a.answer["object"] = object
	raw, err := json.Marshal(a.answer)
	if err != nil {
		return nil, fmt.Errorf("openai: answer: %w", err)
	}
	return raw, nil
}

func (a *Assembler) renameDeltas() {
	choices, _ := a.answer["choices"].([]any)
	for _, item := range choices {
		if choice, ok := item.(map[string]any); ok && choice["delta"] != nil {
			choice["message"] = choice["delta"]
			delete(choice, "delta")
		}
	}
}

// WithStreaming returns a body that asks for the same answer as a stream, with the
// usage in its last chunk.
func WithStreaming(body []byte) ([]byte, error) {
	var members map[string]json.RawMessage
	if err := json.Unmarshal(body, &members); err != nil {
		return nil, fmt.Errorf("openai: body: %w", err)
	}
	members["stream"] = json.RawMessage("true")
	members["stream_options"] = json.RawMessage(`{"include_usage":true}`)
	out, err := json.Marshal(members)
	if err != nil {
		return nil, fmt.Errorf("openai: body: %w", err)
	}
	return out, nil
}
