package connend_test

import (
	"errors"
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/hibiscuscove/hibiscuscove/internal/connend"
)

// endedConn is a connection whose peer sends nothing more, and whose writes fail with err.
type endedConn struct {
	net.Conn
	err error
}

func (endedConn) Read([]byte) (int, error)         { return 0, io.EOF }
func (c endedConn) Write(p []byte) (int, error)    { return 0, c.err }
func (endedConn) SetWriteDeadline(time.Time) error { return nil }

// Guards against a lost connection whose error a write got, and which a read takes for ended.
func TestDialedTellsLossFromEnd(t *testing.T) {
	tests := map[string]struct {
		writes []error
		want   error
	}{
		"no write":              {nil, io.EOF},
		"written":               {[]error{nil}, io.EOF},
		"reset":                 {[]error{syscall.ECONNRESET}, syscall.ECONNRESET},
		"reset, written before": {[]error{nil, syscall.ECONNRESET}, syscall.ECONNRESET},
		"reset, written again":  {[]error{syscall.ECONNRESET, syscall.EPIPE}, syscall.ECONNRESET},
		"silent":                {[]error{syscall.ETIMEDOUT}, syscall.ETIMEDOUT},
		"no route":              {[]error{syscall.EHOSTUNREACH}, syscall.EHOSTUNREACH},
		"reset after the end":   {[]error{syscall.EPIPE}, io.EOF},
		"write interrupted":     {[]error{os.ErrDeadlineExceeded}, io.EOF},
		"closed by this side":   {[]error{net.ErrClosed}, io.EOF},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			inner := &endedConn{}
			c := connend.Dialed(inner)
			for _, err := range test.writes {
				inner.err = err
				if _, got := c.Write([]byte("x")); !errors.Is(got, err) {
					t.Fatalf("write ended with %v, want %v", got, err)
				}
			}
			for range 2 {
				_, err := c.Read(make([]byte, 1))
				if diff := cmp.Diff(true, errors.Is(err, test.want)); diff != "" {
					t.Errorf("read ended with %v, want %v (-want +got):\n%s", err, test.want, diff)
				}
			}
		})
	}
}
