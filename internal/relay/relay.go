// Package relay carries connections to upstreams through other VMs, for a VM that has
// lost its own links to them. All decisions about a request stay at the VM that has it:
// the other one only opens the connection and copies bytes, and relays nothing further.
//
// # Usage
//
//	connector := relay.NewConnector(relay.ConnectorOptions{Direct: dialer, Paths: paths, Helpers: helpers, ...})
//	conn, err := connector.Connect(ctx, u, requestID) // at the VM that is cut off
//	mux.Handle("GET "+relay.Path, relay.NewServer(relay.ServerOptions{Dialer: dialer, Upstream: find, ...}))
//
// Connector, Server and Paths are safe for concurrent use.
package relay

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
)

// Path is where a Server is served, at the address for other VMs.
const Path = "/v1/relay"

const (
	protocol = "hibiscuscove-relay"
	// maxFrameBytes limits the bytes of the upstream in one frame. The lengths above
	// it are markers.
	maxFrameBytes = 16 << 10
	frameHead     = 2
	// endMarker ends a connection that the upstream has closed, resetMarker one that
	// failed. Without either the VM in between has ended, which must not look like the
	// end of a response.
	endMarker   = 0
	resetMarker = 1<<16 - 1
)

var (
	// ErrLost means that the VM in between has gone. It tells nothing about the upstream.
	ErrLost = errors.New("relay: the VM in between has gone")
	// errReset means that the connection of the upstream failed.
	errReset = errors.New("relay: connection reset by the upstream")
)

// tunnel is a connection to an upstream through another VM.
type tunnel struct {
	net.Conn
	r *bufio.Reader
	// left is the number of bytes left of the current frame.
	left int
	err  error
}

// Read implements net.Conn. It returns io.EOF only if the upstream has closed its side.
func (t *tunnel) Read(p []byte) (int, error) {
	if t.left == 0 && t.err == nil {
		t.nextFrame()
	}
	if t.err != nil {
		return 0, t.err
	}
	n, err := t.r.Read(p[:min(len(p), t.left)])
	t.left -= n
	if err != nil {
		t.err = fmt.Errorf("%w: %w", ErrLost, noEOF(err))
	}
	return n, nil
}

// nextFrame reads the head of a frame.
func (t *tunnel) nextFrame() {
	var head [frameHead]byte
	if _, err := io.ReadFull(t.r, head[:]); err != nil {
		t.err = fmt.Errorf("%w: %w", ErrLost, noEOF(err))
		return
	}
	switch n := int(binary.BigEndian.Uint16(head[:])); {
	case n == endMarker:
		t.err = io.EOF
	case n > maxFrameBytes:
		t.err = errReset
	default:
		t.left = n
	}
}

// noEOF returns err, or another error for an io.EOF, which would look like a regular end.
func noEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// writeFrames copies what an upstream sends in frames until it ends, and writes how it did.
// observe gets the first bytes.
func writeFrames(w io.Writer, upstream io.Reader, observe func(first []byte)) error {
	buffer := make([]byte, frameHead+maxFrameBytes)
	for {
		n, err := upstream.Read(buffer[frameHead:])
		if n > 0 {
			observe(buffer[frameHead : frameHead+n])
			binary.BigEndian.PutUint16(buffer, uint16(n))
			if _, writeErr := w.Write(buffer[:frameHead+n]); writeErr != nil {
				return writeErr
			}
		}
		if err != nil {
			marker := uint16(resetMarker)
			if errors.Is(err, io.EOF) {
				marker = endMarker
			}
			binary.BigEndian.PutUint16(buffer, marker)
			_, err = w.Write(buffer[:frameHead])
			return err
		}
	}
}
