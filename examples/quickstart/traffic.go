package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/google/uuid"

	"github.com/hibiscuscove/hibiscuscove/docs"
	"github.com/hibiscuscove/hibiscuscove/internal/request"
	"github.com/hibiscuscove/hibiscuscove/internal/standin"
	"github.com/hibiscuscove/hibiscuscove/internal/standin/modelengine"
	"github.com/hibiscuscove/hibiscuscove/internal/verdict"
)

const (
	members      = 4
	lots         = 4
	questions    = 5
	answerTokens = 12
	shown        = 3
)

// keys are the API keys of the organisations that the members belong to.
var keys = []string{standin.DeploymentKey, standin.DeploymentThirdKey}

type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// answer is one streamed answer as its caller saw it.
type answer struct {
	text       string
	firstToken time.Duration
}

// prompt nests three levels of shared text, standard, member and lot, before
// the question.
func prompt(standard string, member, lot, question int) []message {
	return []message{
		{Role: "system", Content: standard},
		{Role: "system", Content: strings.Repeat(fmt.Sprintf("Member %d keeps its own tolerances for moisture and defects. ", member), 60)},
		{Role: "system", Content: strings.Repeat(fmt.Sprintf("Lot %d of member %d arrived at Durban in jute bags. ", lot, member), 60)},
		{Role: "user", Content: fmt.Sprintf("Question %d: does the lot meet the standard?", question)},
	}
}

func sendPrompts(ctx context.Context, w io.Writer, f *fleet) error {
	standard, err := docs.Text("DESIGN.md")
	if err != nil {
		return err
	}
	print(w, "prompts of %d organisations: a standard of %d bytes, then %d members, %d lots each, %d questions each\n", len(keys), len(standard), members, lots, questions)
	var firstTokens []time.Duration
	for question := range questions {
		for member := range members {
			for lot := range lots {
				a, err := ask(ctx, f, keys[member%len(keys)], prompt(standard, member, lot, question))
				if err != nil {
					return err
				}
				firstTokens = append(firstTokens, a.firstToken)
				if len(firstTokens) <= shown {
					print(w, "  answer: %s\n", a.text)
				}
			}
		}
	}
	return report(ctx, w, f, firstTokens)
}

func report(ctx context.Context, w io.Writer, f *fleet, firstTokens []time.Duration) error {
	cached, err := f.counters(ctx, "tokens.cached")
	if err != nil {
		return err
	}
	total, err := f.counters(ctx, "tokens.prompt")
	if err != nil {
		return err
	}
	slices.Sort(firstTokens)
	at := func(share float64) time.Duration {
		return firstTokens[int(share*float64(len(firstTokens)-1))].Round(100 * time.Microsecond)
	}
	print(w, "%d answers, all whole and in order\n", len(firstTokens))
	print(w, "prefix hit rate %.1f %% of %d prompt tokens\n", 100*float64(cached)/float64(total), total)
	print(w, "first token p50 %s, p99 %s\n\n", at(0.5), at(0.99))
	return nil
}

// ask asks /v1/entry where to go and reads a streamed answer there.
func ask(ctx context.Context, f *fleet, apiKey string, messages []message) (answer, error) {
	entry, err := f.entry(ctx)
	if err != nil {
		return answer{}, err
	}
	body, err := json.Marshal(map[string]any{
		"model":      standin.DeploymentModelRoute,
		"messages":   messages,
		"max_tokens": answerTokens,
		"stream":     true,
	})
	if err != nil {
		return answer{}, err
	}
	started := time.Now()
	resp, err := post(ctx, entry, "/v1/chat/completions", apiKey, "", body)
	if err != nil {
		return answer{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	a, done := answer{}, false
	for lines := bufio.NewScanner(resp.Body); lines.Scan(); {
		data, found := strings.CutPrefix(lines.Text(), "data: ")
		if !found {
			continue
		}
		if a.firstToken == 0 {
			a.firstToken = time.Since(started)
		}
		done = done || data == "[DONE]"
		a.text += content(data)
	}
	raw, err := json.Marshal(messages)
	if err != nil {
		return answer{}, err
	}
	if !done {
		return answer{}, fmt.Errorf("the answer has no end: %q", a.text)
	}
	return a, modelengine.CheckCompletion(string(raw), a.text, answerTokens)
}

func content(data string) string {
	var chunk struct {
		Choices []struct {
			Delta message `json:"delta"`
		} `json:"choices"`
	}
	if json.Unmarshal([]byte(data), &chunk) != nil || len(chunk.Choices) == 0 {
		return ""
	}
	return chunk.Choices[0].Delta.Content
}

func post(ctx context.Context, entry request.Entry, path, apiKey, key string, body []byte) (*http.Response, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+entry.Address+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	r.Header.Set("Authorization", "Bearer "+apiKey)
	if key != "" {
		r.Header.Set("Idempotency-Key", key)
	}
	return http.DefaultClient.Do(r)
}

// lodgeFiling sends a filing twice with the same key; it runs once.
func lodgeFiling(ctx context.Context, w io.Writer, f *fleet) error {
	key := uuid.Must(uuid.NewV7()).String()
	for range 2 {
		entry, err := f.entry(ctx)
		if err != nil {
			return err
		}
		resp, err := post(ctx, entry, "/services/"+standin.DeploymentServiceRoute+"/lodge", standin.DeploymentKey, key, []byte(`{"filing":"lot 7"}`))
		if err != nil {
			return err
		}
		raw, err := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		if err != nil {
			return err
		}
		print(w, "filing by %s: verdict %s, replayed %q: %s", entry.Node, resp.Header.Get(verdict.Header), resp.Header.Get(request.ReplayedHeader), raw)
		time.Sleep(10 * pause)
	}
	runs := f.deployment.Runs(`{"filing":"lot 7"}`)
	print(w, "the service ran the filing %d time(s)\n", runs)
	if runs != 1 {
		return fmt.Errorf("the filing ran %d times", runs)
	}
	return nil
}
