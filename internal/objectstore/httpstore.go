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
)

const (
	defaultCallTimeout  = 2 * time.Second
	defaultWatchTimeout = 25 * time.Second
	watchSlack          = 5 * time.Second
	dialTimeout         = time.Second
	idleTimeout         = 10 * time.Second
)

// HTTPStoreOptions sets up an HTTPStore. URL is required.
type HTTPStoreOptions struct {
	// URL is the base URL of the object API, with an IP number for its host.
	URL string
	// CallTimeout bounds each call but Watch. The default is 2 s.
	CallTimeout time.Duration
	// WatchTimeout is how long a watch waits for a change. The default is 25 s.
	WatchTimeout time.Duration
}

// HTTPStore speaks to the object API over HTTP conditional requests (RFC 9110,
// sections 8.8.3 and 13.1): a version is an entity tag, a conditional update is
// If-Match, a creation is If-None-Match: *, a watch is a GET with If-None-Match
// and Prefer: wait (RFC 7240, section 4.3). It is safe for concurrent use.
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
	transport := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		IdleConnTimeout:     idleTimeout,
		MaxIdleConnsPerHost: 32,
	}
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
	return s.read(r, key)
}

// Watch implements Store.
func (s *HTTPStore) Watch(ctx context.Context, key string, after uint64) (Object, error) {
	ctx, cancel := context.WithTimeout(ctx, s.opts.WatchTimeout+watchSlack)
	defer cancel()
	r, err := s.newRequest(ctx, http.MethodGet, key, nil)
	if err != nil {
		return Object{}, err
	}
	r.Header.Set("If-None-Match", tag(after))
	r.Header.Set("Prefer", fmt.Sprintf("wait=%d", int(s.opts.WatchTimeout/time.Second)))
	return s.read(r, key)
}

// Put implements Store.
func (s *HTTPStore) Put(ctx context.Context, key string, value []byte, ifVersion uint64) (Object, error) {
	if len(value) > MaxValueBytes {
		return Object{}, fmt.Errorf("objectstore: put %s: value of %d bytes is over %d", key, len(value), MaxValueBytes)
	}
	w, err := s.write(ctx, http.MethodPut, key, value, ifVersion)
	if err != nil {
		return Object{}, err
	}
	return Object{Key: key, Version: w, Value: value}, nil
}

// Delete implements Store.
func (s *HTTPStore) Delete(ctx context.Context, key string, ifVersion uint64) error {
	_, err := s.write(ctx, http.MethodDelete, key, nil, ifVersion)
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

func (s *HTTPStore) read(r *http.Request, key string) (Object, error) {
	resp, err := s.client.Do(r)
	if err != nil {
		return Object{}, fmt.Errorf("objectstore: get %s: %w: %w", key, ErrUnavailable, err)
	}
	defer drain(resp.Body)
	switch resp.StatusCode {
	case http.StatusOK:
	case http.StatusNotModified:
		return Object{Key: key, Version: version(r.Header.Get("If-None-Match"))}, nil
	case http.StatusNotFound:
		return Object{}, fmt.Errorf("objectstore: get %s: %w", key, ErrNotFound)
	default:
		return Object{}, fmt.Errorf("objectstore: get %s: status %d: %w", key, resp.StatusCode, ErrUnavailable)
	}
	value, err := io.ReadAll(io.LimitReader(resp.Body, MaxValueBytes+1))
	if err != nil || len(value) > MaxValueBytes {
		return Object{}, fmt.Errorf("objectstore: get %s: cut or oversized value: %w", key, ErrUnavailable)
	}
	return Object{Key: key, Version: version(resp.Header.Get("ETag")), Value: value}, nil
}

// write sends a conditional PUT or DELETE. Once a connection has been had, any
// failure but a clear answer leaves the outcome unknown.
func (s *HTTPStore) write(ctx context.Context, method, key string, body []byte, ifVersion uint64) (uint64, error) {
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
		r.Header.Set("If-Match", tag(ifVersion))
	}
	resp, err := s.client.Do(r)
	if err != nil {
		cause := ErrOutcomeUnknown
		if !connected {
			cause = ErrUnavailable
		}
		return 0, fmt.Errorf("objectstore: put %s: %w: %w", key, cause, err)
	}
	defer drain(resp.Body)
	return writeOutcome(resp, key)
}

func writeOutcome(resp *http.Response, key string) (uint64, error) {
	switch resp.StatusCode {
	case http.StatusOK, http.StatusCreated, http.StatusNoContent:
		return version(resp.Header.Get("ETag")), nil
	case http.StatusPreconditionFailed:
		return 0, fmt.Errorf("objectstore: put %s: %w", key, ErrConflict)
	case http.StatusTooManyRequests:
		return 0, fmt.Errorf("objectstore: put %s: status %d: %w", key, resp.StatusCode, ErrUnavailable)
	default:
		return 0, fmt.Errorf("objectstore: put %s: status %d: %w", key, resp.StatusCode, ErrOutcomeUnknown)
	}
}

func tag(v uint64) string { return `"` + strconv.FormatUint(v, 10) + `"` }

func version(etag string) uint64 {
	v, err := strconv.ParseUint(strings.Trim(etag, `"`), 10, 64)
	if err != nil {
		return 0
	}
	return v
}

func drain(body io.ReadCloser) {
	_, _ = io.Copy(io.Discard, io.LimitReader(body, MaxValueBytes))
	_ = body.Close()
}

// Definite reports whether err says for certain that a write has not taken effect.
func Definite(err error) bool {
	return errors.Is(err, ErrConflict) || errors.Is(err, ErrUnavailable)
}
