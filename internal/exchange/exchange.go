// Package exchange sends one HTTP/1.1 request to an upstream on a new connection
// and reads the response.
//
// A connection is used for one request and then closed. Late or duplicate bytes
// from the upstream therefore never reach another request, and no request is
// repeated because a pooled connection went stale. A new connection also proves
// that the upstream is reachable before any byte of the request is sent.
//
// # Usage
//
//	conn, err := dialer.Connect(ctx, "10.0.0.9:8080")
//	if err != nil {
//		// Nothing was sent.
//	}
//	defer conn.Close()
//	resp, err := conn.Do(request) // from here on the request may have run
//
// Clients of package net/http get the same checks of what they read by a Transport, or
// by Dialer.DialContext if they use each connection for one request:
//
//	client := &http.Client{Transport: exchange.Transport{RoundTripper: &http.Transport{}}}
//
// A Dialer is safe for concurrent use. A Conn must be used by one goroutine only.
package exchange

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/hibiscuscove/hibiscuscove/internal/connend"
)

const (
	// defaultConnectTimeout is many round trips within a region, and well below
	// the second after which TCP retransmits a lost SYN.
	defaultConnectTimeout = 60 * time.Millisecond
	// maxInlineBody is the size in bytes up to which a body is written before the
	// response is read. A larger body is written concurrently, because an upstream
	// may respond before it has read the whole body.
	maxInlineBody   = 4 << 10
	headBufferBytes = 2 << 10
	// bodyBufferBytes also limits the line of a chunk's size with its extensions, and
	// the trailers.
	bodyBufferBytes = 4 << 10
	// maxInterimResponses limits the interim responses (status 1xx) before the final one.
	maxInterimResponses = 8
	// maxHeadBytes and maxHeadLines limit the head of a response and the interim
	// responses before it. A parsed field takes far more memory than a short line.
	maxHeadBytes = 64 << 10
	maxHeadLines = 256
)

// DialerOptions configures a Dialer. The zero value is valid.
type DialerOptions struct {
	// ConnectTimeout limits the opening of a connection. The default is 60 ms.
	ConnectTimeout time.Duration
	// Dial, if it is set, opens connections in place of the network.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// Dialer opens connections to upstreams.
type Dialer struct {
	timeout time.Duration
	dial    connend.DialFunc
}

// NewDialer returns a Dialer.
func NewDialer(opts DialerOptions) *Dialer {
	if opts.ConnectTimeout <= 0 {
		opts.ConnectTimeout = defaultConnectTimeout
	}
	if opts.Dial == nil {
		opts.Dial = (&net.Dialer{KeepAlive: -1}).DialContext
	}
	return &Dialer{timeout: opts.ConnectTimeout, dial: opts.Dial}
}

// Conn is an open connection for one request.
type Conn struct {
	conn net.Conn
	// release detaches conn from the context, which closes it when done.
	release func() bool
}

// Connect opens a TCP connection, which is closed when ctx is done. An error
// means that nothing was sent.
func (d *Dialer) Connect(ctx context.Context, address string) (*Conn, error) {
	conn, err := d.Dial(ctx, address)
	if err != nil {
		return nil, fmt.Errorf("exchange: connect: %w", err)
	}
	return NewConn(ctx, conn), nil
}

// Dial opens a TCP connection that does not depend on ctx once it is open.
func (d *Dialer) Dial(ctx context.Context, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, d.timeout)
	defer cancel()
	return d.dial.DialContext(ctx, "tcp", address)
}

// NewConn returns a Conn for one request on an open connection, which is closed when ctx
// is done.
func NewConn(ctx context.Context, conn net.Conn) *Conn {
	c := &Conn{conn: conn}
	c.release = context.AfterFunc(ctx, func() { _ = conn.Close() })
	return c
}

// Close closes the connection.
func (c *Conn) Close() {
	c.release()
	_ = c.conn.Close()
}

// Request is a request to send. Its Header must not contain Host, Content-Length
// or Transfer-Encoding.
type Request struct {
	Method string
	// Target is the path and query, sent unchanged.
	Target string
	Host   string
	Header http.Header
	Body   []byte
}

// Response is the head of a response. Its Body ends with io.EOF only if the
// response is complete.
type Response struct {
	Status int
	Header http.Header
	// Length is the length of the body in bytes, or -1 if the head does not state it. It
	// is 0 for a response to HEAD.
	Length int64
	// Delimited is set if a length or chunks tell the end of the body. Else it is that of
	// the connection, which may also be that of the upstream.
	Delimited bool
	Body      io.Reader
}

// Do sends the request and returns once the head of the response has arrived.
// After an error the request may have run. The error is a *readlimit.Error if the head
// is too long.
func (c *Conn) Do(q Request) (Response, error) {
	head := q.encodeHead()
	if len(q.Body) <= maxInlineBody {
		if _, err := c.conn.Write(append(head, q.Body...)); err != nil {
			return Response{}, fmt.Errorf("exchange: send: %w", err)
		}
	} else {
		go func() {
			buffers := net.Buffers{head, q.Body}
			// The error of a failed write is not needed: reading the response then
			// gives an error response or fails.
			_, _ = buffers.WriteTo(c.conn)
		}()
	}
	return Read(c.conn, q.Method)
}

// encodeHead encodes the request line and the header fields.
func (q Request) encodeHead() []byte {
	var b bytes.Buffer
	b.Grow(1 << 10)
	b.WriteString(q.Method + " " + q.Target + " HTTP/1.1\r\nHost: " + q.Host + "\r\n")
	for name, values := range q.Header {
		for _, value := range values {
			b.WriteString(name + ": " + value + "\r\n")
		}
	}
	if len(q.Body) > 0 || q.Method != http.MethodGet && q.Method != http.MethodHead {
		b.WriteString("Content-Length: " + strconv.Itoa(len(q.Body)) + "\r\n")
	}
	b.WriteString("\r\n")
	return b.Bytes()
}
