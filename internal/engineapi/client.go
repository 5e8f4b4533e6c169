// Package engineapi is the HTTP client of the router's own API for model engines
// and plain services. The wire format of their messages is defined in this package
// only. Host-and-path traffic uses package exchange instead, whose connections this
// package shares.
//
// Engines implement the OpenAI API. In addition, they number the events of a
// stream in the id field, resume a stream after the event in the Last-Event-ID
// header, and report their state in response headers and at /health.
//
// # Usage
//
//	client := engineapi.NewClient(engineapi.ClientOptions{})
//	resp, err := client.Send(ctx, "127.0.0.1:9001", call)
//	if err != nil && verdict.Of(err) == verdict.NotRun {
//		// It is safe to send the request to another upstream.
//	}
//
// A Client is safe for concurrent use.
package engineapi

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/hibiscuscove/hibiscuscove/internal/exchange"
	"github.com/hibiscuscove/hibiscuscove/internal/stream"
	"github.com/hibiscuscove/hibiscuscove/internal/upstream"
	"github.com/hibiscuscove/hibiscuscove/internal/verdict"
)

// The headers between the router and engines.
const (
	HeaderRequest        = "X-Request-Id"
	HeaderAttempt        = "X-Attempt"
	HeaderPriority       = "X-Priority"
	HeaderIncarnation    = "X-Incarnation"
	HeaderWeightsVersion = "X-Weights-Version"
	HeaderCachedTokens   = "X-Cached-Tokens"
	HeaderPromptTokens   = "X-Prompt-Tokens"
	// HeaderNotRun is set if the engine rejected the request without starting it.
	HeaderNotRun = "X-Not-Run"
)

// FieldContinue is the member of an engine's request body that holds the text of
// the partial response to continue.
const FieldContinue = "continue_from"

const (
	defaultDialTimeout  = 1500 * time.Millisecond
	defaultProbeTimeout = 500 * time.Millisecond
	maxReportBytes      = 64 << 10
	maxHeaderBytes      = 64 << 10
)

// ClientOptions configures a Client. The zero value selects the defaults.
type ClientOptions struct {
	// DialTimeout limits the time to open a connection. The default is 1.5 s,
	// which allows for the retransmission of one lost handshake packet.
	DialTimeout time.Duration
	// ProbeTimeout limits the duration of a probe or a cancellation. The default
	// is 500 ms.
	ProbeTimeout time.Duration
}

// Client implements upstream.Client.
type Client struct {
	opts ClientOptions
	// client opens a connection for each call. So late and repeated responses of an
	// upstream never count as those to another call, and the transport never retries a
	// call by itself.
	client *http.Client
}

var _ upstream.Client = (*Client)(nil)

// NewClient returns a Client.
func NewClient(opts ClientOptions) *Client {
	opts.DialTimeout = orDefault(opts.DialTimeout, defaultDialTimeout)
	opts.ProbeTimeout = orDefault(opts.ProbeTimeout, defaultProbeTimeout)
	dialer := exchange.NewDialer(exchange.DialerOptions{ConnectTimeout: opts.DialTimeout, Dial: (&net.Dialer{}).DialContext})
	transport := &http.Transport{
		DialContext:            dialer.DialContext,
		DisableKeepAlives:      true,
		MaxResponseHeaderBytes: maxHeaderBytes,
		DisableCompression:     true,
	}
	return &Client{opts: opts, client: &http.Client{Transport: transport, CheckRedirect: noRedirect}}
}

func orDefault(d, defaultValue time.Duration) time.Duration {
	if d <= 0 {
		return defaultValue
	}
	return d
}

// noRedirect prevents the client from following a redirect, which would send the
// request a second time.
func noRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// Send implements upstream.Client.
func (c *Client) Send(ctx context.Context, address string, call upstream.Call) (upstream.Response, error) {
	body, err := withContinuation(call)
	if err != nil {
		return upstream.Response{}, err
	}
	ctx, connected := traceConnection(ctx, call)
	r, err := http.NewRequestWithContext(ctx, call.Method, "http://"+address+call.Path, bytes.NewReader(body))
	if err != nil {
		return upstream.Response{}, notRunError("bad_upstream_request", "the request can't be sent to the upstream").WithCause(err)
	}
	if call.Header != nil {
		r.Header = call.Header.Clone()
	}
	setCallHeaders(r.Header, call)
	// Without GetBody the transport can't send the request a second time.
	r.GetBody = nil
	resp, err := c.client.Do(r)
	if err != nil {
		return upstream.Response{}, sendError(err, connected.Load())
	}
	return parseResponse(resp)
}

// traceConnection returns a context for the call and a flag. When the call has a
// connection, the flag is set and call.Connected is called.
func traceConnection(ctx context.Context, call upstream.Call) (context.Context, *atomic.Bool) {
	connected := new(atomic.Bool)
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) {
		connected.Store(true)
		if call.Connected != nil {
			call.Connected()
		}
	}}
	return httptrace.WithClientTrace(ctx, trace), connected
}

func setCallHeaders(h http.Header, call upstream.Call) {
	h.Del("Idempotency-Key")
	h.Del("X-Idempotency-Key")
	h.Set(HeaderRequest, call.Request)
	h.Set(HeaderAttempt, strconv.Itoa(call.Attempt))
	h.Set(HeaderPriority, strconv.Itoa(call.Level))
	if call.WeightsVersion != "" {
		h.Set(HeaderWeightsVersion, call.WeightsVersion)
	}
}

func withContinuation(call upstream.Call) ([]byte, error) {
	if call.ContinueFrom == "" {
		return call.Body, nil
	}
	var members map[string]json.RawMessage
	if err := json.Unmarshal(call.Body, &members); err != nil {
		return nil, notRunError("bad_body", "the body is not a JSON object").WithCause(err)
	}
	text, err := json.Marshal(call.ContinueFrom)
	if err != nil {
		return nil, notRunError("bad_body", "the answer so far can't be encoded").WithCause(err)
	}
	members[FieldContinue] = text
	body, err := json.Marshal(members)
	if err != nil {
		return nil, notRunError("bad_body", "the body can't be encoded").WithCause(err)
	}
	return body, nil
}

func notRunError(code, reason string) *verdict.Error {
	return verdict.New(verdict.NotRun, http.StatusBadGateway, code, reason)
}

// sendError returns the verdict on a failed call: NotRun if the call never had a
// connection, MayHaveRun otherwise.
func sendError(err error, connected bool) error {
	if !connected {
		return notRunError(upstream.CodeUnreachable, "no connection to the upstream").WithCause(err)
	}
	return verdict.New(verdict.MayHaveRun, http.StatusBadGateway, upstream.CodeCut, "the upstream did not answer").WithCause(err)
}

func parseResponse(resp *http.Response) (upstream.Response, error) {
	if resp.Header.Get(HeaderNotRun) != "" {
		defer drainAndClose(resp.Body)
		return upstream.Response{}, notRunError("upstream_busy", "the upstream refused the request").
			WithRetryAfter(retryAfter(resp.Header))
	}
	response := upstream.Response{
		Status:         resp.StatusCode,
		Header:         resp.Header,
		Body:           resp.Body,
		Incarnation:    resp.Header.Get(HeaderIncarnation),
		WeightsVersion: resp.Header.Get(HeaderWeightsVersion),
		CachedTokens:   intOrZero(resp.Header.Get(HeaderCachedTokens)),
		PromptTokens:   intOrZero(resp.Header.Get(HeaderPromptTokens)),
	}
	for _, name := range []string{HeaderIncarnation, HeaderWeightsVersion, HeaderCachedTokens, HeaderPromptTokens} {
		resp.Header.Del(name)
	}
	return response, nil
}

func retryAfter(h http.Header) time.Duration {
	return time.Duration(max(1, intOrZero(h.Get("Retry-After")))) * time.Second
}

func intOrZero(text string) int {
	n, err := strconv.Atoi(text)
	if err != nil {
		return 0
	}
	return n
}

// Resume implements upstream.Client.
func (c *Client) Resume(ctx context.Context, address string, call upstream.Call, lastIndex int) (upstream.Response, error) {
	ctx, connected := traceConnection(ctx, call)
	r, err := c.newStreamRequest(ctx, http.MethodGet, address, call)
	if err != nil {
		return upstream.Response{}, err
	}
	r.Header.Set("Accept", "text/event-stream")
	if lastIndex >= 0 {
		r.Header.Set("Last-Event-ID", stream.Tag{Request: call.Request, Attempt: call.Attempt, Index: lastIndex}.String())
	}
	resp, err := c.client.Do(r)
	if err != nil {
		return upstream.Response{}, verdict.FromError(sendError(err, connected.Load())).WithVerdict(verdict.MayHaveRun)
	}
	if resp.StatusCode != http.StatusOK {
		drainAndClose(resp.Body)
		return upstream.Response{}, verdict.New(verdict.MayHaveRun, resp.StatusCode, "stream_unknown", "the upstream can't resume the stream")
	}
	return parseResponse(resp)
}

// Cancel implements upstream.Client.
func (c *Client) Cancel(ctx context.Context, address string, call upstream.Call) error {
	ctx, cancel := context.WithTimeout(ctx, c.opts.ProbeTimeout)
	defer cancel()
	r, err := c.newStreamRequest(ctx, http.MethodDelete, address, call)
	if err != nil {
		return err
	}
	resp, err := c.client.Do(r)
	if err != nil {
		return fmt.Errorf("engineapi: cancel: %w", err)
	}
	drainAndClose(resp.Body)
	if resp.StatusCode >= http.StatusBadRequest {
		return fmt.Errorf("engineapi: cancel: status %d", resp.StatusCode)
	}
	return nil
}

func (c *Client) newStreamRequest(ctx context.Context, method, address string, call upstream.Call) (*http.Request, error) {
	target := fmt.Sprintf("http://%s/v1/streams/%s/%d", address, call.Request, call.Attempt)
	r, err := http.NewRequestWithContext(ctx, method, target, nil)
	if err != nil {
		return nil, fmt.Errorf("engineapi: stream request: %w", err)
	}
	return r, nil
}

// Probe implements upstream.Client.
func (c *Client) Probe(ctx context.Context, address string) (upstream.Report, error) {
	ctx, cancel := context.WithTimeout(ctx, c.opts.ProbeTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/health", nil)
	if err != nil {
		return upstream.Report{}, fmt.Errorf("engineapi: probe: %w", err)
	}
	resp, err := c.client.Do(r)
	if err != nil {
		return upstream.Report{}, fmt.Errorf("engineapi: probe: %w", err)
	}
	defer drainAndClose(resp.Body)
	if resp.StatusCode != http.StatusOK {
		return upstream.Report{}, fmt.Errorf("engineapi: probe: status %d", resp.StatusCode)
	}
	var report upstream.Report
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxReportBytes)).Decode(&report); err != nil {
		return upstream.Report{}, fmt.Errorf("engineapi: probe: %w", err)
	}
	return report, checkReport(report)
}

func checkReport(r upstream.Report) error {
	if r.Incarnation == "" {
		return errors.New("engineapi: probe: incarnation is empty")
	}
	if r.State != upstream.StateLive && r.State != upstream.StateLeaving {
		return fmt.Errorf("engineapi: probe: unknown state %q", r.State)
	}
	return nil
}

// drainAndClose reads the rest of the body, up to maxReportBytes, so that the upstream's
// writes don't fail, and closes the body.
func drainAndClose(body io.ReadCloser) {
	_, _ = io.Copy(io.Discard, io.LimitReader(body, maxReportBytes))
	_ = body.Close()
}
