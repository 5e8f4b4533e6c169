package relay_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/hibiscuscove/hibiscuscove/internal/exchange"
)

// Guards against a part of a response that counts as the whole one because the VM in between
// was still writing the request when the upstream reset the connection.
func TestRelayedResponseAmidUploadIsCompleteOnlyIfEnded(t *testing.T) {
	const whole, head = "HTTP/1.1 200 OK\r\nX: y\r\n\r\nfine", "HTTP/1.1 200 OK\r\nX: y\r\n"
	tests := map[string]struct {
		raw       string
		end       func(c *net.TCPConn)
		endHelper bool
		complete  bool
	}{
		"reset":           {whole, func(c *net.TCPConn) { _ = c.SetLinger(0) }, false, false},
		"closed unread":   {whole, func(*net.TCPConn) {}, false, false},
		"reset in a head": {head, func(c *net.TCPConn) { _ = c.SetLinger(0) }, false, false},
		"ended in a head": {head, func(c *net.TCPConn) { _ = c.CloseWrite(); _, _ = io.Copy(io.Discard, c) }, false, false},
		"ended":           {whole, func(c *net.TCPConn) { _ = c.CloseWrite(); _, _ = io.Copy(io.Discard, c) }, false, true},
		"ended, then reset": {whole, func(c *net.TCPConn) {
			_ = c.CloseWrite()
			time.Sleep(50 * time.Millisecond)
			_ = c.SetLinger(0)
		}, false, true},
		"VM in between ends": {whole, func(*net.TCPConn) { time.Sleep(time.Second) }, true, false},
	}
	body := make([]byte, 16<<20)
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			u := upstream
			u.Address = serveRaw(t, func(c net.Conn) {
				_, _ = io.WriteString(c, test.raw)
				time.Sleep(50 * time.Millisecond)
				test.end(c.(*net.TCPConn))
			})
			c, endHelper := connector(t, u, func(int, http.Header) {})
			// Which of the two directions gets the error is a matter of luck.
			for range 5 {
				ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
				defer cancel()
				conn, err := c.Connect(ctx, u, "a1")
				if err != nil {
					t.Fatal(err)
				}
				defer conn.Close()
				if test.endHelper {
					time.AfterFunc(100*time.Millisecond, endHelper)
				}
				resp, err := conn.Do(exchange.Request{Method: "POST", Target: "/x", Host: "h", Header: http.Header{}, Body: body})
				if err == nil {
					_, err = io.ReadAll(resp.Body)
				}
				if diff := cmp.Diff([]bool{test.complete, true}, []bool{err == nil, ctx.Err() == nil}); diff != "" {
					t.Fatalf("complete and in time (-want +got):\n%s%v", diff, err)
				}
			}
		})
	}
}
