// Package framing detects requests that two servers could read in different ways, and
// refuses heads that are too large before net/http holds their fields.
//
// # Usage
//
//	listener := framing.Listener{Listener: listener, Now: time.Now, Limits: limits}
//	server.ConnContext, server.ConnState = listener.ConnContext, listener.ConnState
//	server.Serve(listener)
//
// and then, once in the handler of each request:
//
//	switch framing.Check(r.Context()) {
//	case framing.Ambiguous: // refuse, and close the connection
//	case framing.Unchecked: // the same, but the request may be sent again
//	}
//
// A Listener is safe for concurrent use.
package framing

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"os"
	"strings"
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

// Listener detects request heads with ambiguous framing that net/http accepts:
// Content-Length together with Transfer-Encoding, bare line feeds and folded
// lines. Two servers could disagree on where such a request ends. Set the methods
// ConnState and ConnContext as the fields of the same name in http.Server.
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
	return &inspectedConn{Conn: c, listener: l, inHead: true}, nil
}

// ConnContext adds the framing check of the connection to the context of its
// requests.
func (Listener) ConnContext(ctx context.Context, c net.Conn) context.Context {
	if w, ok := c.(*inspectedConn); ok {
		return context.WithValue(ctx, checkKey{}, w.checkHead)
	}
	return ctx
}

// ConnState starts a new head when the connection becomes idle.
func (Listener) ConnState(c net.Conn, state http.ConnState) {
	if w, ok := c.(*inspectedConn); ok && state == http.StateIdle {
		w.expectHead()
	}
}

// checkKey is the context key of the framing check.
type checkKey struct{}

// Result is what the check of a request's head has found.
type Result uint8

const (
	// Clear heads can be read in one way only.
	Clear Result = iota
	// Ambiguous heads can be read in more than one way.
	Ambiguous
	// Unchecked heads were read together with the previous request, so that it is not
	// known where they begin. Callers that send a request before they have the answer to
	// the one before may meet that.
	Unchecked
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

// inspectedConn inspects the request heads that are read from a connection.
type inspectedConn struct {
	net.Conn
	listener Listener

	mu     sync.Mutex
	inHead bool
	// lines is the number of line ends in the current head, and scanned the number of its
	// bytes that were searched for its end.
	lines, scanned int
	// head holds the bytes of the current head that were read so far.
	head []byte
	// uncheckedHeads counts the inspected heads whose requests were not checked yet.
	uncheckedHeads int
	// ambiguous is set once a head was ambiguous, and stays set.
	ambiguous bool
}

// NetConn returns the connection that is inspected.
func (c *inspectedConn) NetConn() net.Conn { return c.Conn }

// Read implements net.Conn.
func (c *inspectedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		if reason := c.inspect(p[:n], len(p) == 1); reason != "" {
			c.refuseHead(reason)
			// net/http closes the connection without a response of its own.
			return 0, &net.OpError{Op: "read", Net: "tcp", Addr: c.RemoteAddr(), Err: os.ErrDeadlineExceeded}
		}
	}
	return n, err
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

// inspect inspects bytes that were read and returns why their head is refused, or "".
// net/http reads a single byte in the background to detect that the caller has
// disconnected, so background means that the byte starts the next head.
func (c *inspectedConn) inspect(p []byte, background bool) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if background && !c.inHead {
		c.startHead()
	}
	if !c.inHead {
		return ""
	}
	if len(c.head) == 0 {
		p = bytes.TrimLeft(p, "\r\n") // net/http skips empty lines before a request
	}
	c.head = append(c.head, p...)
	end, bare := findHeadEnd(c.head, max(0, c.scanned-3))
	searched := c.head
	if end >= 0 {
		searched = c.head[:end]
	}
	if c.scanned < len(searched) {
		c.lines += bytes.Count(searched[c.scanned:], []byte("\n"))
	}
	c.scanned = len(searched)
	if reason := c.checkSize(len(searched)); reason != "" {
		return reason
	}
	if end < 0 {
		return ""
	}
	c.ambiguous = c.ambiguous || bare || isAmbiguousHead(string(searched))
	c.uncheckedHeads++
	c.inHead = false
	c.head = nil
	return ""
}

// findHeadEnd returns the index of the empty line that ends a head, -1 if there is none
// from an index on. bare is set if the line before it ends with a bare line feed.
func findHeadEnd(head []byte, from int) (end int, bare bool) {
	end = bytes.Index(head[from:], []byte("\r\n\r\n"))
	if i := bytes.Index(head[from:], []byte("\n\n")); i >= 0 && (end < 0 || i < end) {
		end, bare = i, true
	}
	if end < 0 {
		return -1, false
	}
	return from + end, bare
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

// startHead prepares for the next head. The caller holds the lock.
func (c *inspectedConn) startHead() {
	c.inHead, c.head, c.lines, c.scanned = true, nil, 0, 0
}

// expectHead prepares for the next head.
func (c *inspectedConn) expectHead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.inHead {
		c.startHead()
	}
}

// checkHead returns the result for the head of the current request.
func (c *inspectedConn) checkHead() Result {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.uncheckedHeads == 0 {
		return Unchecked
	}
	c.uncheckedHeads--
	if c.ambiguous {
		return Ambiguous
	}
	return Clear
}

// isAmbiguousHead reports whether a head can be parsed in more than one way.
func isAmbiguousHead(head string) bool {
	lengths, encodings := 0, 0
	for i, line := range strings.Split(head, "\r\n") {
		if strings.ContainsAny(line, "\n\r\x00") || i > 0 && strings.HasPrefix(line, " ") || strings.HasPrefix(line, "\t") {
			return true
		}
		name, _, _ := strings.Cut(line, ":")
		switch strings.ToLower(strings.TrimSpace(name)) {
		case "content-length":
			lengths++
		case "transfer-encoding":
			encodings++
		}
	}
	return lengths > 1 || encodings > 1 || lengths+encodings > 1
}
