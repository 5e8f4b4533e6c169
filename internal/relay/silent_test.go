package relay_test

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/hibiscuscove/hibiscuscove/internal/exchange"
	"github.com/hibiscuscove/hibiscuscove/internal/relay"
	"github.com/hibiscuscove/hibiscuscove/internal/roster"
	"github.com/hibiscuscove/hibiscuscove/internal/standin"
)

// silentBound is contact_ms and half a second: a run must not outlive its caller for longer
// once the VMs count as in touch again.
const silentBound = 3500 * time.Millisecond

// Guards against GONE: the connection between two VMs fell silent, and the one in between
// kept the upstream at work for a caller that had left.
func TestSilentRelayEndsTheRun(t *testing.T) {
	t.Parallel()
	for name, interval := range map[string]time.Duration{"stream": 50 * time.Millisecond, "no event yet": time.Hour} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			u := upstream
			ended := make(chan struct{})
			u.Address = serveRaw(t, func(c net.Conn) {
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\nid: 1\ndata: x\n\n")
				gone := make(chan struct{})
				go func() { _, _ = c.Read(make([]byte, 1)); close(gone) }()
				for {
					select {
					case <-gone:
						close(ended)
						return
					case <-time.After(interval):
						_, _ = io.WriteString(c, "id: 2\ndata: y\n\n")
					}
				}
			})
			helper := httptest.NewServer(relay.NewServer(relay.ServerOptions{
				Direct: exchange.NewDialer(exchange.DialerOptions{ConnectTimeout: time.Second}), Metrics: metrics.NewRegistry(),
				Upstream: func(string, string) (roster.Upstream, bool) { return u, true },
				Observe:  func(roster.Upstream, string, exchange.Response) {},
			}))
			t.Cleanup(helper.Close)
			link, err := standin.NewLink("127.0.0.1:0", helper.Listener.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(link.Close)
			refused := func(context.Context, string, string) (net.Conn, error) { return nil, errors.New("refused") }
			c := relay.NewConnector(relay.ConnectorOptions{
				Now: time.Now, Direct: exchange.NewDialer(exchange.DialerOptions{Dial: refused}), ConnectTimeout: time.Second, Paths: relay.NewPaths(),
				Known:   func(string) int { return 1 },
				Helpers: func() []relay.Helper { return []relay.Helper{{Name: "h", Control: link.Address()}} }, Metrics: metrics.NewRegistry(),
			})
			conn, err := c.Connect(t.Context(), u, "a1")
			if err != nil {
				t.Fatal(err)
			}
			resp, err := conn.Do(exchange.Request{Method: http.MethodPost, Target: "/x", Host: "h", Header: http.Header{}})
			if err != nil {
				t.Fatal(err)
			}
			if _, err := resp.Body.Read(make([]byte, 64)); err != nil {
				t.Fatal(err)
			}
			if err := link.Silence(); err != nil {
				t.Fatal(err)
			}
			silentAt := time.Now()
			// The VM that has the request notices as well, without waiting for the deadline.
			noticed := make(chan error, 1)
			go func() {
				_, err := io.Copy(io.Discard, resp.Body)
				noticed <- err
			}()
			select {
			case err := <-noticed:
				if !errors.Is(err, relay.ErrLost) {
					t.Errorf("the response ends with %v, want %v", err, relay.ErrLost)
				}
			case <-time.After(silentBound):
				t.Errorf("the VM with the request waits for more than %v", silentBound)
			}
			conn.Close()
			select {
			case <-ended:
			case <-time.After(time.Until(silentAt.Add(silentBound))):
				t.Errorf("the upstream is at work %v after the connection between the VMs fell silent", silentBound)
			}
		})
	}
}
