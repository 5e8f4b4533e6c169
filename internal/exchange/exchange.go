// Package exchange sends one HTTP/1.1 request to an upstream on a connection
// of its own and reads the answer.
//
// A connection carries one exchange and is closed after it. Whatever else the
// upstream writes there, late or doubled, reaches nobody, and a request is
// never repeated on a connection that went stale. A new connection also proves
// that the upstream is there before a byte of the request leaves.
//
// # Usage
//
//	conn, err := dialer.Connect(ctx, "10.0.0.9:8080")
//	if err != nil {
//		// Nothing was sent.
//	}
//	defer conn.Close()
//	answer, err := conn.Do(request) // from here on the request may have run
//
// A Dialer is safe for concurrent use. A Conn is for one goroutine.
package exchange

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"strconv"
	"time"
)

const (
	// defaultConnectTimeout is many round trips within a region, and well under
	// the second after which a lost opening packet is sent again.
	defaultConnectTimeout = 60 * time.Millisecond
	// inlineBody is the largest body that is written before the answer is read.
	// A longer one is written beside it, since an upstream may answer early.
	inlineBody   = 4 << 10
	readerBytes  = 4 << 10
	maxInterim   = 8
	maxHeadBytes = 64 << 10
)

// DialerOptions sets up a Dialer. The zero value works.
type DialerOptions struct {
	// ConnectTimeout bounds the opening of a connection. The default is 60 ms.
	ConnectTimeout time.Duration
}

// Dialer opens connections to upstreams.
type Dialer struct {
	dialer net.Dialer
}

// NewDialer returns a Dialer.
func NewDialer(opts DialerOptions) *Dialer {
	if opts.ConnectTimeout <= 0 {
		opts.ConnectTimeout = defaultConnectTimeout
	}
	return &Dialer{dialer: net.Dialer{Timeout: opts.ConnectTimeout, KeepAlive: -1}}
}

// Conn is an open connection for one exchange.
type Conn struct {
	conn net.Conn
	stop func() bool
}

// Connect opens a connection, which is closed when ctx ends. An error means
// that nothing was sent.
func (d *Dialer) Connect(ctx context.Context, address string) (*Conn, error) {
	conn, err := d.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("exchange: connect: %w", err)
	}
	c := &Conn{conn: conn}
	c.stop = context.AfterFunc(ctx, func() { _ = conn.Close() })
	return c, nil
}

// Close closes the connection.
func (c *Conn) Close() {
	c.stop()
	_ = c.conn.Close()
}

// Request is what is sent. Its Header must hold no field that frames the body.
type Request struct {
	Method string
	// Target is the path and query to the letter.
	Target string
	Host   string
	Header http.Header
	Body   []byte
}

// Response is the beginning of an answer. Its Body ends with io.EOF only if the
// answer is whole.
type Response struct {
	Status int
	Header http.Header
	Body   io.Reader
}

// Do sends the request and returns when the answer's head is there. After an
// error the request may have run.
func (c *Conn) Do(q Request) (Response, error) {
	head := q.head()
	if len(q.Body) <= inlineBody {
		if _, err := c.conn.Write(append(head, q.Body...)); err != nil {
			return Response{}, fmt.Errorf("exchange: send: %w", err)
		}
	} else {
		go func() {
			buffers := net.Buffers{head, q.Body}
			// A failed write shows in the answer, or in there being none.
			_, _ = buffers.WriteTo(c.conn)
		}()
	}
	return c.read(q.Method)
}

func (c *Conn) read(method string) (Response, error) {
	limit := &headLimit{r: c.conn, left: maxHeadBytes}
	reader := bufio.NewReaderSize(limit, readerBytes)
	for range maxInterim {
		resp, err := http.ReadResponse(reader, &http.Request{Method: method})
		if err != nil {
			return Response{}, fmt.Errorf("exchange: read: %w", err)
		}
		if resp.StatusCode >= http.StatusOK {
			limit.left = math.MaxInt
			return Response{Status: resp.StatusCode, Header: resp.Header, Body: resp.Body}, nil
		}
	}
	return Response{}, fmt.Errorf("exchange: read: more than %d interim answers", maxInterim)
}

// headLimit bounds the bytes of an answer's head.
type headLimit struct {
	r    io.Reader
	left int
}

// Read implements io.Reader.
func (l *headLimit) Read(p []byte) (int, error) {
	if l.left <= 0 {
		return 0, fmt.Errorf("exchange: head over %d bytes", maxHeadBytes)
	}
	n, err := l.r.Read(p[:min(len(p), l.left)])
	l.left -= n
	return n, err
}

func (q Request) head() []byte {
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
