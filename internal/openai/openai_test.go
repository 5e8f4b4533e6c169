package openai_test

import (
	"encoding/json"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/hibiscuscove/hibiscuscove/internal/openai"
	"github.com/hibiscuscove/hibiscuscove/internal/verdict"
)

// TestLevels checks the sizes of the prefix levels of prompts and messages.
func TestLevels(t *testing.T) {
	tests := map[string]struct {
		body string
		want []int
	}{
		"short prompt":        {`{"model":"m","prompt":"abc"}`, []int{3}},
		"long prompt":         {`{"model":"m","prompt":"` + letters(9000) + `"}`, []int{2048, 6144}},
		"single message":      {`{"model":"m","messages":["abc"]}`, []int{5}},
		"messages":            {`{"model":"m","messages":["a","bb","question"]}`, []int{3, 4}},
		"many messages":       {`{"model":"m","messages":["a","b","c","d","e","f"]}`, []int{3, 3, 3, 3}},
		"prompt of token IDs": {`{"model":"m","prompt":[1,2]}`, []int{5}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			r, err := openai.Parse([]byte(tt.body), openai.Limits{})
			if err != nil {
				t.Fatal(err)
			}
			var got []int
			for _, level := range r.Levels() {
				got = append(got, len(level))
			}
			if diff := cmp.Diff(tt.want, got); diff != "" {
				t.Errorf("sizes of levels (-want +got):\n%s", diff)
			}
		})
	}
}

func letters(n int) string {
	raw := make([]byte, n)
	for i := range raw {
		raw[i] = 'a' + byte(i%26)
	}
	return string(raw)
}

// TestAssembler merges the chunks of a chat completion with two choices and a tool
// call.
func TestAssembler(t *testing.T) {
	chunks := []string{
		`{"id":"x","object":"chat.completion.chunk","choices":[{"index":0,"delta":{"role":"assistant","content":"one "},"finish_reason":null}]}`,
		`{"id":"x","choices":[{"index":1,"delta":{"content":"other"}}]}`,
		`{"id":"x","choices":[{"index":0,"delta":{"content":"two","tool_calls":[{"index":0,"function":{"name":"f","arguments":"{\"a\""}}]}}]}`,
		`{"id":"x","choices":[{"index":0,"delta":{"tool_calls":[{"index":0,"function":{"arguments":":1}"}}]},"finish_reason":"stop"}]}`,
		`{"id":"x","choices":[],"usage":{"total_tokens":7}}`,
	}
	a := openai.NewAssembler(true)
	for _, c := range chunks {
		if err := a.Add([]byte(c)); err != nil {
			t.Fatal(err)
		}
	}
	raw, err := a.Response()
	if err != nil {
		t.Fatal(err)
	}
	const want = `{"id":"x","object":"chat.completion","choices":[
		{"index":0,"finish_reason":"stop","message":{"role":"assistant","content":"one two","tool_calls":[{"index":0,"function":{"name":"f","arguments":"{\"a\":1}"}}]}},
		{"index":1,"message":{"content":"other"}}],"usage":{"total_tokens":7}}`
	var wantValue, gotValue any
	_ = json.Unmarshal([]byte(want), &wantValue)
	_ = json.Unmarshal(raw, &gotValue)
	if diff := cmp.Diff(wantValue, gotValue); diff != "" {
		t.Errorf("(-want +got):\n%s", diff)
	}
}

func TestParseDelta(t *testing.T) {
	tests := map[string]struct {
		data string
		want openai.Delta
	}{
		"completion":    {`{"choices":[{"index":0,"text":"a","finish_reason":null}]}`, openai.Delta{Text: "a", TextOnly: true}},
		"chat":          {`{"choices":[{"index":0,"delta":{"content":"a"}}]}`, openai.Delta{Text: "a", TextOnly: true}},
		"end":           {`{"choices":[{"index":0,"delta":{},"finish_reason":"stop"}]}`, openai.Delta{TextOnly: true, Finished: true}},
		"usage":         {`{"choices":[],"usage":{}}`, openai.Delta{TextOnly: true}},
		"tool call":     {`{"choices":[{"index":0,"delta":{"tool_calls":[{}]}}]}`, openai.Delta{}},
		"second choice": {`{"choices":[{"index":1,"text":"b"}]}`, openai.Delta{Text: "b"}},
		"not JSON":      {`{`, openai.Delta{}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			if diff := cmp.Diff(tt.want, openai.ParseDelta([]byte(tt.data))); diff != "" {
				t.Errorf("(-want +got):\n%s", diff)
			}
		})
	}
}

// FuzzParse checks that errors of Parse have the verdict NotRun, that an accepted
// request has a model and a choice, that its levels are not longer than the body, and
// that WithStreaming accepts its body.
func FuzzParse(f *testing.F) {
	for _, seed := range []string{
		`{"model":"m","prompt":"x","stream":true}`,
		`{"model":"m","messages":[{"role":"user","content":"x"}],"n":2}`,
		`{"model":7}`, `{"model":"m","prompt":{}}`, `[[[[`, `{"model":"m","n":-1}`, `null`, ``, `{"model":"m","prompt":null}`,
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		r, err := openai.Parse(body, openai.Limits{MaxBodyBytes: 1 << 16, MaxDepth: 16})
		if err != nil {
			if verdict.Of(err) != verdict.NotRun {
				t.Errorf("error %v has the verdict %s, want not_run", err, verdict.Of(err))
			}
			return
		}
		if r.Model == "" || r.Choices < 1 {
			t.Errorf("accepted %q as %+v", body, r)
		}
		total := 0
		for _, level := range r.Levels() {
			total += len(level)
		}
		if total > len(body) {
			t.Errorf("levels of %d bytes from a body of %d bytes", total, len(body))
		}
		if _, err := openai.WithStreaming(body); err != nil {
			t.Errorf("WithStreaming of an accepted body: %v", err)
		}
	})
}
