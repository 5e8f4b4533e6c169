package objectstore

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/hibiscuscove/hibiscuscove/internal/exchange"
	"github.com/hibiscuscove/hibiscuscove/internal/keepalive"
)

const (
	defaultCallTimeout  = 2 * time.Second
	defaultWatchTimeout = 5 * time.Second
	// watchTimeoutMargin is added to WatchTimeout on the client's side, so that
	// the server ends a watch first.
	watchTimeoutMargin = 2 * time.Second
	dialTimeout        = time.Second
	idleTimeout        = 10 * time.Second
	maxHeadBytes       = 64 << 10
)

// HTTPStoreOptions configures an HTTPStore. URL is required.
type HTTPStoreOptions struct {
	// URL is the base URL of the object API. Its host is an IP address.
	URL string
	// CallTimeout limits each call except Watch. The default is 2 s.
	CallTimeout time.Duration
	// WatchTimeout is the time that Watch asks the server to wait for a change, in
	// whole seconds. The default is 5 s.
	WatchTimeout time.Duration
}

// HTTPStore is a Store that uses conditional HTTP requests (RFC 9110, sections
// 8.8.3 and 13.1). A version is an entity tag. An update sends If-Match, and a
// creation sends If-None-Match: *. A watch is a GET with If-None-Match and
// Prefer: wait (RFC 7240, section 4.3). HTTPStore is safe for concurrent use.
type HTTPStore struct {
	opts   HTTPStoreOptions
	client *http.Client
}

// NewHTTPStore returns a Store for the object API at opts.URL.
func NewHTTPStore(opts HTTPStoreOptions) *HTTPStore {
	if opts.CallTimeout <= 0 {
		opts.CallTimeout = defaultCallTimeout
	}
	if opts.WatchTimeout <= 0 {
		opts.WatchTimeout = defaultWatchTimeout
	}
	transport := exchange.Transport{RoundTripper: keepalive.Pool{Transport: &http.Transport{
		DialContext:            (&net.Dialer{Timeout: dialTimeout}).DialContext,
		IdleConnTimeout:        idleTimeout,
		MaxIdleConnsPerHost:    32,
		MaxResponseHeaderBytes: maxHeadBytes,
	}}}
	return &HTTPStore{
		opts:   opts,
		client: &http.Client{Transport: transport, CheckRedirect: noRedirect},
	}
}

func noRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// Get implements Store.
func (s *HTTPStore) Get(ctx context.Context, key string) (Object, error) {
	ctx, cancel := context.WithTimeout(ctx, s.opts.CallTimeout)
	defer cancel()
	r, err := s.newRequest(ctx, http.MethodGet, key, nil)
	if err != nil {
		return Object{}, err
	}
	return s.sendRead(r, key)
}

// Watch implements Store.
func (s *HTTPStore) Watch(ctx context.Context, key string, after uint64) (Object, error) {
	ctx, cancel := context.WithTimeout(ctx, s.opts.WatchTimeout+watchTimeoutMargin)
	defer cancel()
	r, err := s.newRequest(ctx, http.MethodGet, key, nil)
	if err != nil {
		return Object{}, err
	}
	r.Header.Set("If-None-Match", entityTag(after))
	r.Header.Set("Prefer", fmt.Sprintf("wait=%d", int(s.opts.WatchTimeout/time.Second)))
	return s.sendRead(r, key)
}

// Put implements Store.
func (s *HTTPStore) Put(ctx context.Context, key string, value []byte, ifVersion uint64) (Object, error) {
	if len(value) > MaxValueBytes {
		return Object{}, fmt.Errorf("objectstore: put %s: value of %d bytes is over %d", key, len(value), MaxValueBytes)
	}
	version, err := s.sendWrite(ctx, http.MethodPut, key, value, ifVersion)
	if err != nil {
		return Object{}, err
	}
	return Object{Key: key, Version: version, Value: value}, nil
}

// Delete implements Store.
func (s *HTTPStore) Delete(ctx context.Context, key string, ifVersion uint64) error {
	_, err := s.sendWrite(ctx, http.MethodDelete, key, nil, ifVersion)
	return err
}

func (s *HTTPStore) newRequest(ctx context.Context, method, key string, body []byte) (*http.Request, error) {
	var reader io.Reader
	if body != nil {
		reader = bytes.NewReader(body)
	}
	target := strings.TrimSuffix(s.opts.URL, "/") + "/objects/" + url.PathEscape(key)
	r, err := http.NewRequestWithContext(ctx, method, target, reader)
	if err != nil {
		return nil, fmt.Errorf("objectstore: %s %s: %w", method, key, err)
	}
	return r, nil
}

// sendRead sends a GET and returns the object. For status 304, which ends a watch
// without a change, it returns an Object with the version in If-None-Match and no
// value.
func (s *HTTPStore) sendRead(r *http.Request, key string) (Object, error) {
	resp, err := s.client.Do(r)
	if err != nil {
		return Object{}, fmt.Errorf("objectstore: get %s: %w: %w", key, ErrUnavailable, err)
	}
	defer drainAndClose(resp.Body)
	switch resp.StatusCode {
	case http.StatusOK:
	case http.StatusNotModified:
		return Object{Key: key, Version: parseEntityTag(r.Header.Get("If-None-Match"))}, nil
	case http.StatusNotFound:
		return Object{}, fmt.Errorf("objectstore: get %s: %w", key, ErrNotFound)
	default:
		return Object{}, fmt.Errorf("objectstore: get %s: status %d: %w", key, resp.StatusCode, ErrUnavailable)
	}
	value, err := io.ReadAll(io.LimitReader(resp.Body, MaxValueBytes+1))
	if err != nil || len(value) > MaxValueBytes {
		return Object{}, fmt.Errorf("objectstore: get %s: cut or oversized value: %w", key, ErrUnavailable)
	}
	return Object{Key: key, Version: parseEntityTag(resp.Header.Get("ETag")), Value: value}, nil
}

// sendWrite sends a conditional PUT or DELETE and returns the new version. Once a
// connection exists, the request may have been sent, so the outcome of a failure
// is unknown unless the response rules out a write.
func (s *HTTPStore) sendWrite(ctx context.Context, method, key string, body []byte, ifVersion uint64) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, s.opts.CallTimeout)
	defer cancel()
	connected := false
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected = true }}
	r, err := s.newRequest(httptrace.WithClientTrace(ctx, trace), method, key, body)
	if err != nil {
		return 0, err
	}
	r.GetBody = nil
	if ifVersion == 0 {
		r.Header.Set("If-None-Match", "*")
	} else {
		r.Header.Set("If-Match", entityTag(ifVersion))
	}
	resp, err := s.client.Do(r)
	if err != nil {
		cause := ErrOutcomeUnknown
		if !connected {
			cause = ErrUnavailable
		}
		return 0, fmt.Errorf("objectstore: %s %s: %w: %w", strings.ToLower(method), key, cause, err)
	}
	defer drainAndClose(resp.Body)
	version, err := parseWriteResponse(resp)
	if err != nil {
		return 0, fmt.Errorf("objectstore: %s %s: %w", strings.ToLower(method), key, err)
	}
	return version, nil
}

// parseWriteResponse returns the new version, or the error that the response
// means. Any status that does not rule out a write leaves the outcome unknown.
func parseWriteResponse(resp *http.Response) (uint64, error) {
	switch resp.StatusCode {
	case http.StatusOK, http.StatusCreated, http.StatusNoContent:
		return parseEntityTag(resp.Header.Get("ETag")), nil
	case http.StatusPreconditionFailed, http.StatusNotFound:
		// An object that does not exist has another version than the expected one.
		return 0, ErrConflict
	case http.StatusTooManyRequests:
		return 0, fmt.Errorf("status %d: %w", resp.StatusCode, ErrUnavailable)
	default:
		return 0, fmt.Errorf("status %d: %w", resp.StatusCode, ErrOutcomeUnknown)
	}
}

func entityTag(v uint64) string { return `"` + strconv.FormatUint(v, 10) + `"` }

// parseEntityTag parses an entity tag. It returns 0 if the tag is invalid.
func parseEntityTag(etag string) uint64 {
	v, err := strconv.ParseUint(strings.Trim(etag, `"`), 10, 64)
	if err != nil {
		return 0
	}
	return v
}

// drainAndClose reads the rest of a response body and closes it, so that the
// connection can be reused.
func drainAndClose(body io.ReadCloser) {
	_, _ = io.Copy(io.Discard, io.LimitReader(body, MaxValueBytes))
	_ = body.Close()
}

// IsNotWritten reports whether err means that a write has certainly not taken
// effect.
func IsNotWritten(err error) bool {
	return errors.Is(err, ErrConflict) || errors.Is(err, ErrUnavailable)
}
