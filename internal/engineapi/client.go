// Package engineapi is the HTTP adapter for model engines and plain services.
// Nothing else knows the form of their messages on the wire.
//
// Engines speak the OpenAI API. Beside it they number the events of a stream
// in the id field, take the Last-Event-ID header to resume one, and describe
// themselves in response headers and at /health.
//
// # Usage
//
//	client := engineapi.NewClient(engineapi.ClientOptions{})
//	answer, err := client.Send(ctx, "127.0.0.1:9001", call)
//	if verdict.Of(err) == verdict.NotRun {
//		// The next upstream may have it.
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
	// HeaderNotRun marks an engine's refusal before it has started the request.
	HeaderNotRun = "X-Not-Run"
)

// FieldContinue is the member of an engine's request body that holds the text to go on from.
const FieldContinue = "continue_from"

const (
	defaultDialTimeout  = 1500 * time.Millisecond
	defaultProbeTimeout = 500 * time.Millisecond
	defaultIdleTimeout  = 4 * time.Second
	maxIdlePerUpstream  = 64
	maxReportBytes      = 64 << 10
	maxHeaderBytes      = 64 << 10
)

// ClientOptions sets up a Client. The zero value works.
type ClientOptions struct {
	// DialTimeout bounds a new connection. The default is 1.5 s, which leaves
	// room for one lost handshake packet.
	DialTimeout time.Duration
	// ProbeTimeout bounds a probe. The default is 500 ms.
	ProbeTimeout time.Duration
	// IdleTimeout is how long an unused connection is kept. The default is 4 s.
	IdleTimeout time.Duration
}

// Client implements upstream.Client.
type Client struct {
	opts ClientOptions
	// pooled is for calls that may be sent twice.
	pooled *http.Client
	// fresh opens a connection for each call, so that the transport never
	// repeats one by itself.
	fresh *http.Client
}

var _ upstream.Client = (*Client)(nil)

// NewClient returns a Client.
func NewClient(opts ClientOptions) *Client {
	opts.DialTimeout = orDefault(opts.DialTimeout, defaultDialTimeout)
	opts.ProbeTimeout = orDefault(opts.ProbeTimeout, defaultProbeTimeout)
	opts.IdleTimeout = orDefault(opts.IdleTimeout, defaultIdleTimeout)
	dial := (&net.Dialer{Timeout: opts.DialTimeout}).DialContext
	pooled := &http.Transport{
		DialContext:            dial,
		IdleConnTimeout:        opts.IdleTimeout,
		MaxIdleConnsPerHost:    maxIdlePerUpstream,
		MaxResponseHeaderBytes: maxHeaderBytes,
		DisableCompression:     true,
	}
	fresh := &http.Transport{
		DialContext:            dial,
		DisableKeepAlives:      true,
		MaxResponseHeaderBytes: maxHeaderBytes,
		DisableCompression:     true,
	}
	return &Client{
		opts:   opts,
		pooled: &http.Client{Transport: pooled, CheckRedirect: noRedirect},
		fresh:  &http.Client{Transport: fresh, CheckRedirect: noRedirect},
	}
}

func orDefault(d, otherwise time.Duration) time.Duration {
	if d <= 0 {
		return otherwise
	}
	return d
}

// noRedirect keeps the client from sending a request again to where a redirect points.
func noRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// CloseIdle closes the connections that carry no call.
func (c *Client) CloseIdle() { c.pooled.CloseIdleConnections() }

// Send implements upstream.Client.
func (c *Client) Send(ctx context.Context, address string, call upstream.Call) (upstream.Response, error) {
	body, err := withContinue(call)
	if err != nil {
		return upstream.Response{}, err
	}
	ctx, connected := traceConnection(ctx, call)
	r, err := http.NewRequestWithContext(ctx, call.Method, "http://"+address+call.Path, bytes.NewReader(body))
	if err != nil {
		return upstream.Response{}, notRun("bad_upstream_request", "the request can't be sent to the upstream").WithCause(err)
	}
	if call.Header != nil {
		r.Header = call.Header.Clone()
	}
	setCallHeaders(r.Header, call)
	client := c.pooled
	if !call.Repeatable {
		// Without GetBody the transport can't send the request a second time.
		r.GetBody = nil
		client = c.fresh
	}
	resp, err := client.Do(r)
	if err != nil {
		return upstream.Response{}, sendError(err, connected.Load())
	}
	return answer(resp)
}

// traceConnection returns a context that notes when a call has got a connection.
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

func withContinue(call upstream.Call) ([]byte, error) {
	if call.ContinueFrom == "" {
		return call.Body, nil
	}
	var members map[string]json.RawMessage
	if err := json.Unmarshal(call.Body, &members); err != nil {
		return nil, notRun("bad_body", "the body is not a JSON object").WithCause(err)
	}
	text, err := json.Marshal(call.ContinueFrom)
	if err != nil {
		return nil, notRun("bad_body", "the answer so far can't be encoded").WithCause(err)
	}
	members[FieldContinue] = text
	body, err := json.Marshal(members)
	if err != nil {
		return nil, notRun("bad_body", "the body can't be encoded").WithCause(err)
	}
	return body, nil
}

func notRun(code, reason string) *verdict.Error {
	return verdict.New(verdict.NotRun, http.StatusBadGateway, code, reason)
}

// sendError gives a failed call its verdict: it has not run only if there never
// was a connection to send it on.
func sendError(err error, connected bool) error {
	if !connected {
		return notRun(upstream.CodeUnreachable, "no connection to the upstream").WithCause(err)
	}
	return verdict.New(verdict.MayHaveRun, http.StatusBadGateway, upstream.CodeCut, "the upstream did not answer").WithCause(err)
}

func answer(resp *http.Response) (upstream.Response, error) {
	if resp.Header.Get(HeaderNotRun) != "" {
		defer closeBody(resp.Body)
		return upstream.Response{}, notRun("upstream_busy", "the upstream refused the request").
			WithRetryAfter(retryAfter(resp.Header))
	}
	a := upstream.Response{
		Status:         resp.StatusCode,
		Header:         resp.Header,
		Body:           resp.Body,
		Incarnation:    resp.Header.Get(HeaderIncarnation),
		WeightsVersion: resp.Header.Get(HeaderWeightsVersion),
		CachedTokens:   number(resp.Header.Get(HeaderCachedTokens)),
		PromptTokens:   number(resp.Header.Get(HeaderPromptTokens)),
	}
	for _, name := range []string{HeaderIncarnation, HeaderWeightsVersion, HeaderCachedTokens, HeaderPromptTokens} {
		resp.Header.Del(name)
	}
	return a, nil
}

func retryAfter(h http.Header) time.Duration {
	return time.Duration(max(1, number(h.Get("Retry-After")))) * time.Second
}

func number(text string) int {
	n, err := strconv.Atoi(text)
	if err != nil {
		return 0
	}
	return n
}

// Resume implements upstream.Client.
func (c *Client) Resume(ctx context.Context, address string, call upstream.Call, after int) (upstream.Response, error) {
	ctx, connected := traceConnection(ctx, call)
	r, err := c.streamRequest(ctx, http.MethodGet, address, call)
	if err != nil {
		return upstream.Response{}, err
	}
	r.Header.Set("Accept", "text/event-stream")
	if after >= 0 {
		r.Header.Set("Last-Event-ID", stream.Tag{Request: call.Request, Attempt: call.Attempt, Index: after}.String())
	}
	resp, err := c.fresh.Do(r)
	if err != nil {
		return upstream.Response{}, verdict.FromError(sendError(err, connected.Load())).WithVerdict(verdict.MayHaveRun)
	}
	if resp.StatusCode != http.StatusOK {
		closeBody(resp.Body)
		return upstream.Response{}, verdict.New(verdict.MayHaveRun, resp.StatusCode, "stream_unknown", "the upstream can't resume the stream")
	}
	return answer(resp)
}

// Cancel implements upstream.Client.
func (c *Client) Cancel(ctx context.Context, address string, call upstream.Call) error {
	ctx, cancel := context.WithTimeout(ctx, c.opts.ProbeTimeout)
	defer cancel()
	r, err := c.streamRequest(ctx, http.MethodDelete, address, call)
	if err != nil {
		return err
	}
	resp, err := c.fresh.Do(r)
	if err != nil {
		return fmt.Errorf("engineapi: cancel: %w", err)
	}
	closeBody(resp.Body)
	if resp.StatusCode >= http.StatusBadRequest {
		return fmt.Errorf("engineapi: cancel: status %d", resp.StatusCode)
	}
	return nil
}

func (c *Client) streamRequest(ctx context.Context, method, address string, call upstream.Call) (*http.Request, error) {
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
	resp, err := c.fresh.Do(r)
	if err != nil {
		return upstream.Report{}, fmt.Errorf("engineapi: probe: %w", err)
	}
	defer closeBody(resp.Body)
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

func closeBody(body io.ReadCloser) {
	_, _ = io.Copy(io.Discard, io.LimitReader(body, maxReportBytes))
	_ = body.Close()
}
