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
	"github.com/hibiscuscove/hibiscuscove/internal/exchange"
)

// maxResponseBytes limits how much of a response is read.
const maxResponseBytes = 64 << 20

// httpClient refuses responses that are none.
var httpClient = &http.Client{Transport: exchange.Transport{RoundTripper: http.DefaultTransport}}

// client sends an operator's commands to a node.
type client struct {
	options options
	stdout  io.Writer
	stderr  io.Writer
}

// readSecret returns the content of a file without surrounding white space, or the
// environment variable if no file is given.
func readSecret(file, env string) (string, error) {
	if file == "" {
		return os.Getenv(env), nil
	}
	raw, err := os.ReadFile(file)
	if err != nil {
		return "", err
	}
	return strings.TrimSpace(string(raw)), nil
}

// callAdmin calls an endpoint of the operators' API, with the operators' token.
func (c *client) callAdmin(ctx context.Context, method, path string, body any) ([]byte, error) {
	token, err := readSecret(c.options.tokenFile, "COVE_ADMIN_TOKEN")
	if err != nil {
		return nil, err
	}
	return c.call(ctx, method, "http://"+c.options.node+"/admin/v1/"+path, token, body)
}

// callAPI sends a GET request to an endpoint of the callers' API, with an
// organisation's API key.
func (c *client) callAPI(ctx context.Context, path string) ([]byte, error) {
	key, err := readSecret(c.options.keyFile, "COVE_API_KEY")
	if err != nil {
		return nil, err
	}
	return c.call(ctx, http.MethodGet, "http://"+c.options.entry+"/v1/"+path, key, nil)
}

// call sends a request with body as JSON and returns the body of the response. A
// status of 400 or more is returned as an error.
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
	resp, err := httpClient.Do(r)
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	raw, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return nil, err
	}
	if resp.StatusCode >= http.StatusBadRequest {
		return nil, admin.DecodeError(raw)
	}
	return raw, nil
}

// printResponse prints a response as indented JSON if -json is set or printText is
// nil. Otherwise, it decodes the response and passes it to printText.
func printResponse[T any](c *client, raw []byte, printText func(T)) error {
	if c.options.asJSON || printText == nil {
		var pretty bytes.Buffer
		if err := json.Indent(&pretty, raw, "", "  "); err != nil {
			return err
		}
		_, err := fmt.Fprintln(c.stdout, strings.TrimSpace(pretty.String()))
		return err
	}
	var value T
	if err := json.Unmarshal(raw, &value); err != nil {
		return fmt.Errorf("answer: %w", err)
	}
	printText(value)
	return nil
}

func (c *client) printf(format string, args ...any) {
	_, _ = fmt.Fprintf(c.stdout, format, args...)
}
