// Package framing detects requests that two servers could read in different ways, and
// refuses heads that are too large before net/http holds their fields.
//
// It finds the end of each request on a connection itself, and hands net/http the bytes of
// one request at a time. So a verdict depends on the bytes of the request alone, and not on how
// they were divided on their way or on what was sent with them.
//
// # Usage
//
//	listener := framing.Listener{Listener: listener, Now: time.Now, Limits: limits}
//	server.ConnContext = listener.ConnContext
//	server.Serve(listener)
//
// and then, once in the handler of each request:
//
//	if framing.Check(r.Context()) == framing.Ambiguous {
//		// refuse, and close the connection
//	}
//
// A Listener is safe for concurrent use.
package framing

import (
	"bytes"
	"context"
	"net"
	"os"
	"sync"
	"time"

	"github.com/hibiscuscove/hibiscuscove/internal/wait"
)

const (
	// MaxHeadBytes is the default limit on the bytes of a head.
	MaxHeadBytes = 64 << 10
	// MaxFields is the default limit on the number of its fields.
	MaxFields = 100
	// startLineBytes is what the request line and the line ends may take beside the
	// fields, like in net/http.
	startLineBytes = 4 << 10
	// refusalTimeout limits the writing of a refusal. The connection is closed
	// refusalLinger later, since that resets it if the client goes on sending, and the
	// client might not read the refusal then.
	refusalTimeout = 300 * time.Millisecond
	refusalLinger  = 200 * time.Millisecond
)

// refusal is the response to a head that is too large. Nothing has been run.
const refusal = "HTTP/1.1 431 Request Header Fields Too Large\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"

// Limits bounds the head of a request. A value of 0 means the default.
type Limits struct {
	// Bytes bounds the fields, Fields their number.
	Bytes, Fields int
}

// Listener detects requests with ambiguous framing, also those that net/http accepts:
// Content-Length together with Transfer-Encoding or repeated, Transfer-Encoding in
// HTTP/1.0, bare line feeds and folded lines. Two servers could disagree on where such a
// request ends. A chunked body that can be read in two ways ends with an error. Set the method
// ConnContext as the field of the same name in http.Server.
type Listener struct {
	net.Listener
	// Now returns the current time.
	Now func() time.Time
	// Limits, if it is set, returns the limits in force.
	Limits func() Limits
	// TooLarge, if it is set, is called when a head was refused, with the reason in snake
	// case.
	TooLarge func(c net.Conn, reason string)
}

// Accept implements net.Listener.
func (l Listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &inspectedConn{Conn: c, listener: l}, nil
}

// ConnContext adds the framing check of the connection to the context of its
// requests.
func (Listener) ConnContext(ctx context.Context, c net.Conn) context.Context {
	if w, ok := c.(*inspectedConn); ok {
		return context.WithValue(ctx, checkKey{}, w.checkHead)
	}
	return ctx
}

// checkKey is the context key of the framing check.
type checkKey struct{}

// Result is what the check of a request's head has found.
type Result uint8

const (
	// Clear heads can be read in one way only.
	Clear Result = iota
	// Ambiguous requests can be read in more than one way, or follow such a request.
	Ambiguous
)

// Check returns the result for the head of the request with this context. It must be
// called once per request. It is Clear for requests that came through no Listener.
func Check(ctx context.Context) Result {
	check, found := ctx.Value(checkKey{}).(func() Result)
	if !found {
		return Clear
	}
	return check()
}

// inspectedConn inspects the requests that are read from a connection.
type inspectedConn struct {
	net.Conn
	listener Listener

	mu sync.Mutex
	// pending holds bytes that were read after the end of the current request.
	pending []byte
	// inBody is set once the head of the current request has ended. body then finds the
	// end of the request.
	inBody bool
	body   boundary
	// lines is the number of line ends in the current head, and scanned the number of its
	// bytes that were searched for its end.
	lines, scanned int
	// head holds the bytes of the current head that were read so far.
	head []byte
	// uncheckedHeads counts the inspected heads whose requests were not checked yet.
	uncheckedHeads int
	// ambiguous is set once a request was ambiguous, and stays set: it is not known
	// where the next one begins.
	ambiguous bool
	// problem is the error of the current body, or nil. It stays.
	problem error
}

// NetConn returns the connection that is inspected.
func (c *inspectedConn) NetConn() net.Conn { return c.Conn }

// Read implements net.Conn. It returns bytes of one request only.
func (c *inspectedConn) Read(p []byte) (int, error) {
	n, err := c.readPending(p)
	if n == 0 {
		n, err = c.Conn.Read(p)
	}
	if n == 0 {
		return n, err
	}
	used, reason, problem := c.inspect(p[:n])
	if used == 0 && problem != nil {
		return 0, problem
	}
	if reason != "" {
		c.refuseHead(reason)
		// net/http closes the connection without a response of its own.
		return 0, &net.OpError{Op: "read", Net: "tcp", Addr: c.RemoteAddr(), Err: os.ErrDeadlineExceeded}
	}
	if used < n {
		c.hold(p[used:n])
		err = nil // the next call returns it
	}
	return used, err
}

// readPending returns bytes that were read before.
func (c *inspectedConn) readPending(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := copy(p, c.pending)
	if c.pending = c.pending[n:]; len(c.pending) == 0 {
		c.pending = nil
	}
	return n, nil
}

// hold keeps bytes for the next request, before those that are held already.
func (c *inspectedConn) hold(p []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pending = append(bytes.Clone(p), c.pending...)
}

// refuseHead responds to a head that is too large, and lets the client read that.
func (c *inspectedConn) refuseHead(reason string) {
	if c.listener.TooLarge != nil {
		c.listener.TooLarge(c.Conn, reason)
	}
	// Connections in between may set deadlines of their own.
	conn := c.Conn
	for wrapper, wraps := conn.(interface{ NetConn() net.Conn }); wraps; wrapper, wraps = conn.(interface{ NetConn() net.Conn }) {
		conn = wrapper.NetConn()
	}
	// The client may have gone, or take nothing: then it gets no response.
	_ = conn.SetDeadline(c.listener.Now().Add(refusalTimeout))
	if _, err := conn.Write([]byte(refusal)); err != nil {
		return
	}
	_ = c.CloseWrite()
	wait.For(context.Background(), refusalLinger)
}

// CloseWrite ends the sending side, with which package net/http lets a caller read a
// response before its connection is closed.
func (c *inspectedConn) CloseWrite() error {
	closer, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok {
		return nil
	}
	return closer.CloseWrite()
}

// inspect inspects bytes that were read. It returns how many of them belong to the current
// request, why its head is refused, or "", and the error of its body.
func (c *inspectedConn) inspect(p []byte) (used int, reason string, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.problem != nil {
		return 0, "", c.problem
	}
	if c.ambiguous {
		return len(p), "", nil
	}
	if !c.inBody {
		if used, reason = c.inspectHead(p); reason != "" || c.ambiguous || !c.inBody {
			return used, reason, nil
		}
	}
	n, err := c.body.consume(p[used:])
	if err != nil {
		c.problem, c.ambiguous = err, true
	}
	if c.body.ended() {
		c.inBody = false
	}
	return used + n, "", err
}

// inspectHead inspects bytes of a head. It returns how many of them belong to the head, and
// why that is refused, or "". The caller holds the lock.
func (c *inspectedConn) inspectHead(p []byte) (used int, reason string) {
	if len(c.head) == 0 {
		used = len(p)
		p = bytes.TrimLeft(p, "\r\n") // net/http skips empty lines before a request
		used -= len(p)
	}
	before := len(c.head)
	c.head = append(c.head, p...)
	end, size, bare := findHeadEnd(c.head, max(0, c.scanned-3))
	searched := c.head
	if end >= 0 {
		searched = c.head[:end]
	}
	if c.scanned < len(searched) {
		c.lines += bytes.Count(searched[c.scanned:], []byte("\n"))
	}
	c.scanned = len(searched)
	if reason := c.checkSize(len(searched)); reason != "" {
		return used, reason
	}
	if end < 0 {
		return used + len(p), ""
	}
	body, unambiguous := newBoundary(string(searched))
	c.body, c.inBody = body, true
	c.uncheckedHeads++
	c.head, c.lines, c.scanned = nil, 0, 0
	if bare || !unambiguous {
		c.ambiguous = true
		return used + len(p), ""
	}
	return used + size - before, ""
}

// findHeadEnd returns the index of the end of a head's last line, -1 if no empty line follows
// from an index on, and the size of the head with that. bare is set if one of both ends with a
// bare line feed.
func findHeadEnd(head []byte, from int) (end, size int, bare bool) {
	for i := from; i < len(head); i++ {
		if head[i] != '\n' {
			continue
		}
		rest := head[i+1:]
		switch {
		case bytes.HasPrefix(rest, []byte("\r\n")):
			if i > 0 && head[i-1] == '\r' {
				return i - 1, i + 3, false
			}
			return i, i + 3, true
		case bytes.HasPrefix(rest, []byte("\n")):
			return i, i + 2, true
		}
	}
	return -1, 0, false
}

// checkSize returns why a head with a number of bytes so far is refused, or "". The caller
// holds the lock.
func (c *inspectedConn) checkSize(size int) string {
	var limits Limits
	if c.listener.Limits != nil {
		limits = c.listener.Limits()
	}
	if limits.Bytes <= 0 {
		limits.Bytes = MaxHeadBytes
	}
	if limits.Fields <= 0 {
		limits.Fields = MaxFields
	}
	switch {
	case size > limits.Bytes+startLineBytes:
		return "head_too_large"
	case c.lines > limits.Fields+1: // the request line, and the end of the last field
		return "too_many_fields"
	}
	return ""
}

// checkHead returns the result for the head of the current request. A request whose head has
// not been found is one that net/http has read in another way. The error of a body, which may
// have been found already, is for those who read it.
func (c *inspectedConn) checkHead() Result {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.uncheckedHeads == 0 || c.ambiguous && c.problem == nil {
		return Ambiguous
	}
	c.uncheckedHeads--
	return Clear
}
