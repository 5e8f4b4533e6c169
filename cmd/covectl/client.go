package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"

	"github.com/hibiscuscove/hibiscuscove/internal/admin"
)

const maxAnswerBytes = 64 << 20

// client calls a node for an operator.
type client struct {
	options options
	out     io.Writer
	err     io.Writer
}

func secret(file, variable string) (string, error) {
	if file == "" {
		return os.Getenv(variable), nil
	}
	raw, err := os.ReadFile(file)
	if err != nil {
		return "", err
	}
	return strings.TrimSpace(string(raw)), nil
}

// admin calls an operators' endpoint.
func (c *client) admin(ctx context.Context, method, path string, body any) ([]byte, error) {
	token, err := secret(c.options.tokenFile, "COVE_ADMIN_TOKEN")
	if err != nil {
		return nil, err
	}
	return c.call(ctx, method, "http://"+c.options.node+"/admin/v1/"+path, token, body)
}

// caller calls a callers' endpoint.
func (c *client) caller(ctx context.Context, path string) ([]byte, error) {
	key, err := secret(c.options.keyFile, "COVE_API_KEY")
	if err != nil {
		return nil, err
	}
	return c.call(ctx, http.MethodGet, "http://"+c.options.entry+"/v1/"+path, key, nil)
}

func (c *client) call(ctx context.Context, method, url, token string, body any) ([]byte, error) {
	var reader io.Reader
	if body != nil {
		raw, err := json.Marshal(body)
		if err != nil {
			return nil, err
		}
		reader = bytes.NewReader(raw)
	}
	r, err := http.NewRequestWithContext(ctx, method, url, reader)
	if err != nil {
		return nil, err
	}
	r.Header.Set("Authorization", "Bearer "+token)
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	raw, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		return nil, err
	}
	if resp.StatusCode >= http.StatusBadRequest {
		return nil, admin.DecodeError(raw)
	}
	return raw, nil
}

// show prints an answer as JSON if asked to, and otherwise as print does.
func show[T any](c *client, raw []byte, print func(T)) error {
	if c.options.asJSON || print == nil {
		var pretty bytes.Buffer
		if err := json.Indent(&pretty, raw, "", "  "); err != nil {
			return err
		}
		_, err := fmt.Fprintln(c.out, strings.TrimSpace(pretty.String()))
		return err
	}
	var value T
	if err := json.Unmarshal(raw, &value); err != nil {
		return fmt.Errorf("answer: %w", err)
	}
	print(value)
	return nil
}

func (c *client) printf(format string, args ...any) {
	_, _ = fmt.Fprintf(c.out, format, args...)
}
