// Package framing detects requests that two servers could read in different ways.
//
// # Usage
//
//	listener := framing.Listener{Listener: listener}
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
	"strings"
	"sync"
)

// maxHeadBytes limits the bytes of a request's head. Larger heads count as
// ambiguous.
const maxHeadBytes = 64 << 10

// Listener detects request heads with ambiguous framing that net/http accepts:
// Content-Length together with Transfer-Encoding, bare line feeds and folded
// lines. Two servers could disagree on where such a request ends. Set the methods
// ConnState and ConnContext as the fields of the same name in http.Server.
type Listener struct {
	net.Listener
}

// Accept implements net.Listener.
func (l Listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &inspectedConn{Conn: c, inHead: true}, nil
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

	mu     sync.Mutex
	inHead bool
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
		c.inspect(p[:n], len(p) == 1)
	}
	return n, err
}

// inspect inspects bytes that were read. net/http reads a single byte in the
// background to detect that the caller has disconnected, so background means
// that the byte starts the next head.
func (c *inspectedConn) inspect(p []byte, background bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if background && !c.inHead {
		c.inHead = true
		c.head = c.head[:0]
	}
	if !c.inHead {
		return
	}
	if len(c.head) == 0 {
		p = bytes.TrimLeft(p, "\r\n") // net/http skips empty lines before a request
	}
	c.head = append(c.head, p...)
	end := bytes.Index(c.head, []byte("\r\n\r\n"))
	if end < 0 && len(c.head) < maxHeadBytes {
		c.ambiguous = c.ambiguous || bytes.Contains(c.head, []byte("\n\n"))
		return
	}
	if end >= 0 {
		c.ambiguous = c.ambiguous || isAmbiguousHead(string(c.head[:end]))
	} else {
		c.ambiguous = true
	}
	c.uncheckedHeads++
	c.inHead = false
	c.head = nil
}

// expectHead prepares for the next head.
func (c *inspectedConn) expectHead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.inHead {
		c.inHead = true
		c.head = nil
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
