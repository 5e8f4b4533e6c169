package exchange

import (
	"bufio"
	"bytes"
	"context"
	"net"
	"net/http"
)

// DialContext opens a connection for an http.Transport that uses each for one request. A read
// of a head that Read would refuse fails, as http.Transport accepts some of them.
func (d *Dialer) DialContext(ctx context.Context, _, address string) (net.Conn, error) {
	conn, err := d.Dial(ctx, address)
	if err != nil {
		return nil, err
	}
	return &checkedConn{Conn: conn, heads: headReader{r: bufio.NewReaderSize(conn, headBufferBytes)}}, nil
}

// checkedConn is a connection whose reader gets each head once it is known to be sound.
type checkedConn struct {
	net.Conn
	heads headReader
	// head is the part of a head that has not been read, and final is set once it is that of
	// the final response.
	head  []byte
	final bool
	err   error
}

// Read implements net.Conn.
func (c *checkedConn) Read(p []byte) (int, error) {
	if len(c.head) == 0 && !c.final && c.err == nil {
		c.err = c.nextHead()
	}
	switch {
	case c.err != nil:
		return 0, c.err
	case len(c.head) > 0:
		n := copy(p, c.head)
		c.head = c.head[n:]
		return n, nil
	}
	return c.heads.r.Read(p)
}

// nextHead reads a head.
func (c *checkedConn) nextHead() error {
	head, err := c.heads.next()
	if err != nil {
		return err
	}
	resp, err := parse(head, new(bytes.Reader), http.MethodHead)
	if err != nil {
		return err
	}
	c.head, c.final = head, resp.StatusCode >= http.StatusOK
	return nil
}
