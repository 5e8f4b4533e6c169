package openai

import (
	"encoding/json"
	"fmt"
)

// Assembler merges the chunks of a streamed response into the response of the
// non-streaming API. It must be used from one goroutine only.
type Assembler struct {
	response map[string]any
	chat     bool
}

// NewAssembler returns an Assembler for chat completions if chat is true, and for
// completions otherwise.
func NewAssembler(chat bool) *Assembler { return &Assembler{chat: chat} }

// Add merges the data of one event, which is one chunk in JSON.
func (a *Assembler) Add(data []byte) error {
	var chunk map[string]any
	if err := json.Unmarshal(data, &chunk); err != nil {
		return fmt.Errorf("openai: chunk: %w", err)
	}
	if a.response == nil {
		a.response = make(map[string]any)
	}
	mergeObjects(a.response, chunk)
	return nil
}

// concatenated is the set of members whose strings are concatenated. The strings
// of other members are replaced by later ones.
var concatenated = map[string]bool{
	"text":              true,
	"content":           true,
	"arguments":         true,
	"refusal":           true,
	"reasoning_content": true,
}

func mergeObjects(dst, src map[string]any) {
	for name, value := range src {
		dst[name] = mergeValue(name, dst[name], value)
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
			mergeObjects(object, value)
			return object
		}
	case []any:
		if list, ok := old.([]any); ok {
			return mergeList(list, value)
		}
	}
	return value
}

// mergeList merges items with the same "index" member and appends the others.
func mergeList(old, items []any) []any {
	for _, item := range items {
		object, isObject := item.(map[string]any)
		index, indexed := object["index"]
		if at := indexOf(old, index); isObject && indexed && at >= 0 {
			mergeObjects(old[at].(map[string]any), object)
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

// Response returns the complete response as JSON. It returns an error if no chunk
// was added.
func (a *Assembler) Response() ([]byte, error) {
	if a.response == nil {
		return nil, fmt.Errorf("openai: the response has no chunks")
	}
	object := "text_completion"
	if a.chat {
		object = "chat.completion"
		a.renameDeltas()
	}
	a.response["object"] = object
	raw, err := json.Marshal(a.response)
	if err != nil {
		return nil, fmt.Errorf("openai: response: %w", err)
	}
	return raw, nil
}

func (a *Assembler) renameDeltas() {
	choices, _ := a.response["choices"].([]any)
	for _, item := range choices {
		if choice, ok := item.(map[string]any); ok && choice["delta"] != nil {
			choice["message"] = choice["delta"]
			delete(choice, "delta")
		}
	}
}

// WithStreaming returns a copy of a request body that requests the response as a
// stream, with the token usage in the last chunk.
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
