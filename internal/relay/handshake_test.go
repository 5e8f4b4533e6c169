package relay_test

import (
	"context"
	"errors"
	"net"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/hibiscuscove/hibiscuscove/internal/exchange"
	"github.com/hibiscuscove/hibiscuscove/internal/relay"
	"github.com/hibiscuscove/hibiscuscove/internal/standin/rawserver"
)

// Guards against a request that is sent to what is no VM in between, or whose answer to the
// wish for a connection is broken.
func TestBrokenHandshakes(t *testing.T) {
	const switching, upgrade = "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\n", "Upgrade: hibiscuscove-relay\r\n"
	tests := map[string]struct {
		raw       string
		connected bool
	}{
		"switched":               {switching + upgrade + "\r\n", true},
		"nothing":                {"", false},
		"cut":                    {switching + upgrade, false},
		"no HTTP":                {"good day\r\n\r\n", false},
		"000":                    {"HTTP/1.1 000 No\r\n" + upgrade + "\r\n", false},
		"200":                    {"HTTP/1.1 200 OK\r\n" + upgrade + "\r\n", false},
		"502":                    {"HTTP/1.1 502 No\r\nContent-Length: 0\r\n\r\n", false},
		"503":                    {"HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n", false},
		"another protocol":       {switching + "Upgrade: websocket\r\n\r\n", false},
		"no protocol":            {switching + "\r\n", false},
		"blank before the colon": {switching + "Upgrade : hibiscuscove-relay\r\n\r\n", false},
		"control byte in a name": {switching + upgrade + "X\x01: y\r\n\r\n", false},
		"interim before it":      {"HTTP/1.1 103 Early Hints\r\n\r\n" + switching + upgrade + "\r\n", false},
		"after an empty line":    {"\r\n" + switching + upgrade + "\r\n", false},
	}
	refused := func(context.Context, string, string) (net.Conn, error) { return nil, errors.New("refused") }
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			helper := relay.Helper{Name: "h", Control: rawserver.Start(t, rawserver.Options{Raw: test.raw})}
			c := relay.NewConnector(relay.ConnectorOptions{
				Now: time.Now, Direct: exchange.NewDialer(exchange.DialerOptions{Dial: refused}), ConnectTimeout: time.Second, Paths: relay.NewPaths(),
				Known: func(string) int { return 1 }, Helpers: func() []relay.Helper { return []relay.Helper{helper} }, Metrics: metrics.NewRegistry(),
			})
			conn, err := c.Connect(t.Context(), upstream, "a1")
			if connected := err == nil; connected != test.connected {
				t.Errorf("connected: %v, want %v (%v)", connected, test.connected, err)
			}
			if err == nil {
				conn.Close()
			}
		})
	}
}
