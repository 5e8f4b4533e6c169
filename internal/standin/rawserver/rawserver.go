// Package rawserver is a stand-in for a server that answers with given bytes and ends its
// connections in a given way, for tests of what reads answers.
//
// # Usage
//
//	address := rawserver.Start(t, rawserver.Options{Raw: "HTTP/1.1 200 OK\r\n\r\npart", End: rawserver.Reset})
//
// Start is safe for concurrent use.
package rawserver

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// Options describes a server. Its zero value closes each connection once a request is in.
type Options struct {
	// Raw is what the server writes to each connection.
	Raw string
	// Early is set if it does so as soon as the head of a request is in, and reads no more.
	Early bool
	// Pause is the time until it ends the connection: a reset may overtake what was sent
	// before it, and an upload waits only once the buffers of its connection are full.
	Pause time.Duration
	// End ends the connection, which is closed afterwards. The default is Close.
	End func(c *net.TCPConn)
}

// Close closes a connection. The system resets it instead if bytes have arrived that were not
// read.
func Close(*net.TCPConn) {}

// Reset resets a connection.
func Reset(c *net.TCPConn) { _ = c.SetLinger(0) }

// HalfClose ends the sending side of a connection, and reads until the other side ends.
func HalfClose(c *net.TCPConn) {
	_ = c.CloseWrite()
	_, _ = io.Copy(io.Discard, c)
}

// KeepOpen sends nothing more until the other side ends the connection.
func KeepOpen(c *net.TCPConn) { _, _ = io.Copy(io.Discard, c) }

// Start starts a server for the time of a test and returns its address.
func Start(t testing.TB, opts Options) (address string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	if opts.End == nil {
		opts.End = Close
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go serve(c.(*net.TCPConn), opts)
		}
	}()
	return l.Addr().String()
}

func serve(c *net.TCPConn, opts Options) {
	defer func() { _ = c.Close() }()
	r, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	if !opts.Early {
		_, _ = io.Copy(io.Discard, r.Body)
	}
	_, _ = io.WriteString(c, opts.Raw) // fails once the other side has closed
	time.Sleep(opts.Pause)
	opts.End(c)
}
