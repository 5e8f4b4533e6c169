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
	members   = 4
	lots      = 4 // per member
	questions = 5 // per lot
	// responseTokens is the length of each response.
	responseTokens = 12
	// shownResponses is the number of responses that are printed.
	shownResponses = 3
	// sentenceRepeats is how often the sentence on a member or lot is repeated, to
	// make the shared text long.
	sentenceRepeats = 60
	// resendDelay is the wait after each send of the filing.
	resendDelay = 10 * pollInterval
)

// apiKeys are the organisations' API keys. The members are distributed over them.
var apiKeys = []string{standin.DeploymentKey, standin.DeploymentThirdKey}

type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// response is a streamed response.
type response struct {
	text string
	// firstToken is the time from the request to the first event.
	firstToken time.Duration
}

// newPrompt returns a prompt that begins with three levels of shared text: the
// standard is shared by all prompts, the member's text by all of its lots, and the
// lot's text by all of its questions.
func newPrompt(standard string, member, lot, question int) []message {
	return []message{
		{Role: "system", Content: standard},
		{Role: "system", Content: strings.Repeat(fmt.Sprintf("Member %d keeps its own tolerances for moisture and defects. ", member), sentenceRepeats)},
		{Role: "system", Content: strings.Repeat(fmt.Sprintf("Lot %d of member %d arrived at Durban in jute bags. ", lot, member), sentenceRepeats)},
		{Role: "user", Content: fmt.Sprintf("Question %d: does the lot meet the standard?", question)},
	}
}

// sendPrompts sends all questions on all lots one after the other and prints the
// prefix hit rate and the times to the first token. The standard is a page of the
// documentation.
func sendPrompts(ctx context.Context, w io.Writer, f *fleet) error {
	standard, err := docs.Text("DESIGN.md")
	if err != nil {
		return err
	}
	printf(w, "prompts of %d organisations: a standard of %d bytes, then %d members, %d lots each, %d questions each\n", len(apiKeys), len(standard), members, lots, questions)
	var firstTokens []time.Duration
	for question := range questions {
		for member := range members {
			for lot := range lots {
				r, err := requestCompletion(ctx, f, apiKeys[member%len(apiKeys)], newPrompt(standard, member, lot, question))
				if err != nil {
					return err
				}
				firstTokens = append(firstTokens, r.firstToken)
				if len(firstTokens) <= shownResponses {
					printf(w, "  answer: %s\n", r.text)
				}
			}
		}
	}
	return printReport(ctx, w, f, firstTokens)
}

// printReport prints the prefix hit rate and percentiles of the time to the first
// token.
func printReport(ctx context.Context, w io.Writer, f *fleet, firstTokens []time.Duration) error {
	cached, err := f.sumCounter(ctx, "tokens.cached")
	if err != nil {
		return err
	}
	total, err := f.sumCounter(ctx, "tokens.prompt")
	if err != nil {
		return err
	}
	slices.Sort(firstTokens)
	quantile := func(q float64) time.Duration {
		return firstTokens[int(q*float64(len(firstTokens)-1))].Round(100 * time.Microsecond)
	}
	printf(w, "%d answers, all whole and in order\n", len(firstTokens))
	printf(w, "prefix hit rate %.1f %% of %d prompt tokens\n", 100*float64(cached)/float64(total), total)
	printf(w, "first token p50 %s, p99 %s\n\n", quantile(0.5), quantile(0.99))
	return nil
}

// requestCompletion sends a chat completion to the node that /v1/entry returns,
// reads the streamed response and checks its content.
func requestCompletion(ctx context.Context, f *fleet, apiKey string, messages []message) (response, error) {
	entry, err := f.entry(ctx)
	if err != nil {
		return response{}, err
	}
	body, err := json.Marshal(map[string]any{
		"model":      standin.DeploymentModelRoute,
		"messages":   messages,
		"max_tokens": responseTokens,
		"stream":     true,
	})
	if err != nil {
		return response{}, err
	}
	started := time.Now()
	resp, err := post(ctx, entry, "/v1/chat/completions", apiKey, "", body)
	if err != nil {
		return response{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	r, done := response{}, false
	for lines := bufio.NewScanner(resp.Body); lines.Scan(); {
		data, found := strings.CutPrefix(lines.Text(), "data: ")
		if !found {
			continue
		}
		if r.firstToken == 0 {
			r.firstToken = time.Since(started)
		}
		done = done || data == "[DONE]"
		r.text += deltaContent(data)
	}
	raw, err := json.Marshal(messages)
	if err != nil {
		return response{}, err
	}
	if !done {
		return response{}, fmt.Errorf("the answer has no end: %q", r.text)
	}
	return r, modelengine.CheckCompletion(string(raw), r.text, responseTokens)
}

// deltaContent returns the text in a chunk of a stream. It is empty for data that
// is not a chunk, such as the end marker.
func deltaContent(data string) string {
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

// post sends a request to a node, with an idempotency key unless key is empty.
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

// lodgeFiling sends a filing twice with the same idempotency key and checks that
// it ran only once.
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
		printf(w, "filing by %s: verdict %s, replayed %q: %s", entry.Node, resp.Header.Get(verdict.Header), resp.Header.Get(request.ReplayedHeader), raw)
		time.Sleep(resendDelay)
	}
	runs := f.deployment.Runs(`{"filing":"lot 7"}`)
	printf(w, "the service ran the filing %d time(s)\n", runs)
	if runs != 1 {
		return fmt.Errorf("the filing ran %d times", runs)
	}
	return nil
}
