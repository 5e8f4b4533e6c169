package node_test

import (
	"context"
	"errors"
	"io"
	"net/http"
	"testing"

	"github.com/google/go-cmp/cmp"
	openaiclient "github.com/sashabaranov/go-openai"

	"github.com/hibiscuscove/hibiscuscove/internal/standin"
	"github.com/hibiscuscove/hibiscuscove/internal/standin/modelengine"
)

// TestThirdPartyClient checks the OpenAI API with a third-party client library.
func TestThirdPartyClient(t *testing.T) {
	t.Parallel()
	f := newFleet(t, fleetOptions{nodes: 1})
	newClient := func(key string) *openaiclient.Client {
		cfg := openaiclient.DefaultConfig(key)
		cfg.BaseURL = "http://" + f.nodes[0].settings.Listen + "/v1"
		return openaiclient.NewClientWithConfig(cfg)
	}
	client := newClient(standin.DeploymentKey)
	ctx := context.Background()
	chat := openaiclient.ChatCompletionRequest{
		Model:     standin.DeploymentModelRoute,
		MaxTokens: 6,
		Messages: []openaiclient.ChatCompletionMessage{
			{Role: "system", Content: "the standard"},
			{Role: "user", Content: "does the lot meet it?"},
		},
	}
	const messages = `[{"role":"system","content":"the standard"},{"role":"user","content":"does the lot meet it?"}]`

	t.Run("unstreamed chat", func(t *testing.T) {
		got, err := client.CreateChatCompletion(ctx, chat)
		if err != nil {
			t.Fatal(err)
		}
		if err := modelengine.CheckCompletion(messages, got.Choices[0].Message.Content, 6); err != nil {
			t.Error(err)
		}
		if diff := cmp.Diff([]any{openaiclient.FinishReasonStop, 6}, []any{got.Choices[0].FinishReason, got.Usage.CompletionTokens}); diff != "" {
			t.Errorf("finish reason and usage (-want +got):\n%s", diff)
		}
	})
	t.Run("streamed chat", func(t *testing.T) {
		streamed, err := client.CreateChatCompletionStream(ctx, chat)
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = streamed.Close() }()
		text := ""
		for {
			chunk, err := streamed.Recv()
			if errors.Is(err, io.EOF) {
				break
			}
			if err != nil {
				t.Fatal(err)
			}
			text += chunk.Choices[0].Delta.Content
		}
		if err := modelengine.CheckCompletion(messages, text, 6); err != nil {
			t.Error(err)
		}
	})
	t.Run("completion", func(t *testing.T) {
		got, err := client.CreateCompletion(ctx, openaiclient.CompletionRequest{Model: standin.DeploymentModelRoute, Prompt: "a lot", MaxTokens: 4})
		if err != nil {
			t.Fatal(err)
		}
		if err := modelengine.CheckCompletion(`"a lot"`, got.Choices[0].Text, 4); err != nil {
			t.Error(err)
		}
	})
	t.Run("models", func(t *testing.T) {
		got, err := client.ListModels(ctx)
		if err != nil {
			t.Fatal(err)
		}
		var names []string
		for _, m := range got.Models {
			names = append(names, m.ID)
		}
		if diff := cmp.Diff([]string{standin.DeploymentDraftRoute, standin.DeploymentModelRoute}, names); diff != "" {
			t.Errorf("(-want +got):\n%s", diff)
		}
	})
	t.Run("rejections", func(t *testing.T) {
		tests := map[string]struct {
			key   string
			model string
			want  openaiclient.APIError
		}{
			"unknown key":   {"nobody", standin.DeploymentModelRoute, openaiclient.APIError{HTTPStatusCode: http.StatusUnauthorized, Code: "unknown_key"}},
			"unknown route": {standin.DeploymentKey, "nothing", openaiclient.APIError{HTTPStatusCode: http.StatusNotFound, Code: "unknown_route"}},
		}
		for name, tt := range tests {
			t.Run(name, func(t *testing.T) {
				chat := chat
				chat.Model = tt.model
				_, err := newClient(tt.key).CreateChatCompletion(ctx, chat)
				var got *openaiclient.APIError
				if !errors.As(err, &got) {
					t.Fatalf("got %v, want an API error", err)
				}
				if got.HTTPStatusCode != tt.want.HTTPStatusCode || got.Code != tt.want.Code || got.Message == "" {
					t.Errorf("got %+v, want %+v", got, tt.want)
				}
			})
		}
	})
	t.Run("broken stream", func(t *testing.T) {
		broken := newFleet(t, fleetOptions{nodes: 1, dep: standin.DeploymentOptions{Engines: 1, NoContinuation: true}})
		broken.Engines[0].SetFault(modelengine.Fault{CutAt: 3, ForgetStreams: true})
		cfg := openaiclient.DefaultConfig(standin.DeploymentKey)
		cfg.BaseURL = "http://" + broken.nodes[0].settings.Listen + "/v1"
		streamed, err := openaiclient.NewClientWithConfig(cfg).CreateChatCompletionStream(ctx, chat)
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = streamed.Close() }()
		for err == nil {
			_, err = streamed.Recv()
		}
		if errors.Is(err, io.EOF) {
			t.Error("a broken stream ended like a complete one")
		}
	})
}
