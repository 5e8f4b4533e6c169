package connend_test

import (
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/hibiscuscove/hibiscuscove/internal/connend"
)

// pause is how long a connection is open after its last data.
const pause = 100 * time.Millisecond

func TestOf(t *testing.T) {
	t.Parallel()
	tests := map[string]struct {
		end      func(c *net.TCPConn) error
		read     connend.End
		halfOpen bool
	}{
		"closed":      {func(c *net.TCPConn) error { return c.Close() }, connend.EndOfFile, true},
		"half closed": {func(c *net.TCPConn) error { return c.CloseWrite() }, connend.EndOfFile, true},
		"reset": {func(c *net.TCPConn) error {
			if err := c.SetLinger(0); err != nil {
				return err
			}
			return c.Close()
		}, connend.Reset, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			got := make(chan connend.State, 1)
			server := &http.Server{ConnContext: connend.ConnContext, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				w.WriteHeader(http.StatusOK)
				_ = http.NewResponseController(w).Flush() // the state shows whether it was written
				<-r.Context().Done()
				if ago, known := connend.ReceivedAgo(r.Context()); known && ago < pause/2 || !known && test.halfOpen {
					t.Errorf("data received %v ago, known %v, want %v", ago, known, pause)
				}
				if !connend.PeerEnded(r.Context()) {
					t.Error("the system does not know that the peer has ended its sending side")
				}
				got <- connend.Of(r.Context())
			})}
			go func() { _ = server.Serve(connend.Listener{Listener: l, Now: time.Now}) }()
			t.Cleanup(func() { _ = server.Close() })
			c, err := net.Dial("tcp", l.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = c.Close() }()
			if _, err := c.Write([]byte("GET / HTTP/1.1\r\nHost: h\r\n\r\n")); err != nil {
				t.Fatal(err)
			}
			if _, err := c.Read(make([]byte, 1<<10)); err != nil {
				t.Fatal(err)
			}
			time.Sleep(pause)
			if err := test.end(c.(*net.TCPConn)); err != nil {
				t.Fatal(err)
			}
			state := <-got
			if diff := cmp.Diff(test.read, state.Read); diff != "" || state.WrittenAt.IsZero() || state.IsHalfOpen() != test.halfOpen {
				t.Errorf("state %+v, half open %v; read (-want +got):\n%s", state, state.IsHalfOpen(), diff)
			}
		})
	}
}
