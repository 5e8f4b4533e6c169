package ingress

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"strings"
	"sync"
)

// maxHeadKept bounds the bytes of a head that are looked at.
const maxHeadKept = 64 << 10

// Listener looks at the heads of requests for what makes them readable in two
// ways, which net/http forgives: a length beside chunks, bare line feeds and
// folded lines. Set ConnState and ConnContext as the hooks of these names of the
// server.
type Listener struct {
	net.Listener
}

// Accept implements net.Listener.
func (l Listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &watchedConn{Conn: c, inHead: true}, nil
}

// ConnContext adds what the connection's heads show to the requests' context.
func (Listener) ConnContext(ctx context.Context, c net.Conn) context.Context {
	if w, ok := c.(*watchedConn); ok {
		return WithFraming(ctx, w.unsafe)
	}
	return ctx
}

// ConnState takes the states of connections.
func (Listener) ConnState(c net.Conn, state http.ConnState) {
	if w, ok := c.(*watchedConn); ok && state == http.StateIdle {
		w.next()
	}
}

type watchedConn struct {
	net.Conn

	mu     sync.Mutex
	inHead bool
	head   []byte
	heads  int
	bad    bool
}

// Read implements net.Conn.
func (c *watchedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.look(p[:n], len(p) == 1)
	}
	return n, err
}

// look takes bytes that were read. A read of a single byte is the server's
// watch for the caller's leaving, so the byte begins the next head.
func (c *watchedConn) look(p []byte, watch bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if watch && !c.inHead {
		c.inHead = true
		c.head = c.head[:0]
	}
	if !c.inHead {
		return
	}
	c.head = append(c.head, p...)
	end := bytes.Index(c.head, []byte("\r\n\r\n"))
	if end < 0 && len(c.head) < maxHeadKept {
		c.bad = c.bad || bytes.Contains(c.head, []byte("\n\n"))
		return
	}
	if end >= 0 {
		c.bad = c.bad || unclear(string(c.head[:end]))
	} else {
		c.bad = true
	}
	c.heads++
	c.inHead = false
	c.head = nil
}

// next awaits the next head.
func (c *watchedConn) next() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.inHead {
		c.inHead = true
		c.head = nil
	}
}

// unsafe reports whether the present request's head was unclear or not seen,
// because it came in the same bytes as the request before it.
func (c *watchedConn) unsafe() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.heads == 0 {
		return true
	}
	c.heads--
	return c.bad
}

// unclear reports whether a head can be read in more than one way.
func unclear(head string) bool {
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
