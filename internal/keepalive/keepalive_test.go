package keepalive_test

import (
	"errors"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/hibiscuscove/hibiscuscove/internal/keepalive"
	"github.com/hibiscuscove/hibiscuscove/internal/standin"
)

// Guards against connections that wait for good once they have fallen silent, and against
// giving up on those whose peer only has nothing to say.
func TestSilenceIsNoticed(t *testing.T) {
	t.Parallel()
	const margin = 800 * time.Millisecond
	accepted := make(chan net.Conn, 4)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			accepted <- c
		}
	}()
	link, err := standin.NewLink("127.0.0.1:0", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(link.Close)
	dial := func() (dialed, served net.Conn) {
		dialed, err := keepalive.Dialer().DialContext(t.Context(), "tcp", link.Address())
		if err != nil {
			t.Fatal(err)
		}
		served = <-accepted
		if err := keepalive.Set(served); err != nil {
			t.Fatal(err)
		}
		return dialed, served
	}
	ends := make(chan error, 4)
	read := func(c net.Conn) {
		_, err := c.Read(make([]byte, 1))
		ends <- err
	}
	silent, served := dial()
	go read(silent)
	go read(served)
	time.Sleep(keepalive.Timeout + margin) // idle, but not silent
	if len(ends) > 0 {
		t.Fatalf("an idle connection ends with %v", <-ends)
	}
	if err := link.Silence(); err != nil {
		t.Fatal(err)
	}
	later, _ := dial()
	go func() { _, _ = io.Copy(io.Discard, later) }()
	timeout := time.After(keepalive.Timeout + margin)
	for range 2 {
		select {
		case err := <-ends:
			if !errors.Is(err, syscall.ETIMEDOUT) {
				t.Errorf("a silent connection ends with %v, want %v", err, syscall.ETIMEDOUT)
			}
		case <-timeout:
			t.Fatalf("a silent connection is open after %v", keepalive.Timeout+margin)
		}
	}
	if _, err := later.Write([]byte("x")); err != nil {
		t.Errorf("a new connection: %v", err)
	}
}
