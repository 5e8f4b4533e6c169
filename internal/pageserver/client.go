package pageserver

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"
)

// ErrBusy means that the server is sending pages to others.
var ErrBusy = errors.New("pageserver: busy with other downloads")

var (
	errSilent  = errors.New("pageserver: the server sends nothing more")
	errTooLong = errors.New("pageserver: the download takes too long")
)

// ClientOptions configures a Client. All fields are required.
type ClientOptions struct {
	// HTTP must set no time limit of its own.
	HTTP *http.Client
	// MaxSilence is how long a server may send nothing, MaxTime how long a download that
	// goes on may take: large pages through small links take longer than a silent server
	// should be waited for.
	MaxSilence, MaxTime time.Duration
	// MaxBytes limits a page, uncompressed.
	MaxBytes int64
}

// Client downloads pages from Servers. It is safe for concurrent use.
type Client struct{ opts ClientOptions }

// NewClient returns a Client.
func NewClient(opts ClientOptions) *Client { return &Client{opts} }

// Get decodes the page at a URL into page and returns the number of bytes of JSON read, also
// with an error. The error is ErrBusy if the server has no time for this download.
func (c *Client) Get(ctx context.Context, url string, page any) (n int64, err error) {
	ctx, cancel := context.WithTimeoutCause(ctx, c.opts.MaxTime, errTooLong)
	defer cancel()
	ctx, end := context.WithCancelCause(ctx)
	defer end(nil)
	silence := time.AfterFunc(c.opts.MaxSilence, func() { end(errSilent) })
	defer silence.Stop()
	body := &progressReader{advance: func() { silence.Reset(c.opts.MaxSilence) }}
	err = c.get(ctx, url, body, page)
	if cause := context.Cause(ctx); err != nil && cause != nil {
		err = fmt.Errorf("%w: %w", cause, err)
	}
	return body.n, err
}

func (c *Client) get(ctx context.Context, url string, body *progressReader, page any) error {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return fmt.Errorf("pageserver: %w", err)
	}
	resp, err := c.opts.HTTP.Do(r)
	if err != nil {
		return fmt.Errorf("pageserver: %w", err)
	}
	defer func() { _ = resp.Body.Close() }()
	switch resp.StatusCode {
	case http.StatusOK:
	case http.StatusServiceUnavailable:
		return ErrBusy
	default:
		return fmt.Errorf("pageserver: status %d", resp.StatusCode)
	}
	body.Reader = io.LimitReader(resp.Body, c.opts.MaxBytes)
	if err := json.NewDecoder(body).Decode(page); err != nil {
		return fmt.Errorf("pageserver: %w", err)
	}
	return nil
}

// progressReader counts the bytes read and calls advance when some have arrived.
type progressReader struct {
	io.Reader
	advance func()
	n       int64
}

// Read implements io.Reader.
func (r *progressReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	if n > 0 {
		r.n += int64(n)
		r.advance()
	}
	return n, err
}
