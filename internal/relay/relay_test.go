package relay_test

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/rcrowley/go-metrics"

	"github.com/hibiscuscove/hibiscuscove/internal/exchange"
	"github.com/hibiscuscove/hibiscuscove/internal/relay"
	"github.com/hibiscuscove/hibiscuscove/internal/roster"
)

var upstream = roster.Upstream{ID: "u", Service: "desk", Born: 1}

// serveRaw serves one connection after the other with what serve does once a request's
// head is in.
func serveRaw(t *testing.T, serve func(c net.Conn)) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				_, _ = c.Read(make([]byte, 4096))
				serve(c)
				_ = c.Close()
			}()
		}
	}()
	return l.Addr().String()
}

// connector returns a Connector whose own links to upstreams are cut, and which has one
// helper, with a function that ends the helper's connections.
func connector(t *testing.T, u roster.Upstream, observe func(int, http.Header)) (c *relay.Connector, endHelper func()) {
	t.Helper()
	server := httptest.NewServer(relay.NewServer(relay.ServerOptions{
		Direct: exchange.NewDialer(exchange.DialerOptions{ConnectTimeout: time.Second}), Metrics: metrics.NewRegistry(),
		Upstream: func(id, incarnation string) (roster.Upstream, bool) {
			return u, id == u.ID && incarnation == u.Incarnation()
		},
		Observe: func(_ roster.Upstream, _ string, resp exchange.Response) { observe(resp.Status, resp.Header) },
	}))
	t.Cleanup(server.Close)
	through := make(chan net.Conn, 8)
	forward, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = forward.Close() })
	go func() {
		for {
			c, err := forward.Accept()
			if err != nil {
				return
			}
			to, err := net.Dial("tcp", server.Listener.Addr().String())
			if err != nil {
				return
			}
			through <- c
			go func() { _, _ = io.Copy(to, c); _ = to.Close() }()
			go func() { _, _ = io.Copy(c, to); _ = c.Close() }()
		}
	}()
	refused := func(context.Context, string, string) (net.Conn, error) { return nil, errors.New("refused") }
	return relay.NewConnector(relay.ConnectorOptions{
		Now: time.Now, Direct: exchange.NewDialer(exchange.DialerOptions{Dial: refused}), ConnectTimeout: time.Second, Paths: relay.NewPaths(),
		Known:   func(string) int { return 1 },
		Helpers: func() []relay.Helper { return []relay.Helper{{Name: "h", Control: forward.Addr().String()}} }, Metrics: metrics.NewRegistry(),
	}), func() { _ = (<-through).Close() }
}

// Guards against an answer that ends with its connection and looks complete though the VM
// in between, or the upstream, has broken off; and against one that is complete and does not.
func TestEndsOfRelayedResponses(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nX: y\r\n\r\n"
	type want struct {
		Body           string
		Complete, Lost bool
	}
	tests := map[string]struct {
		serve     func(c net.Conn)
		endHelper bool
		want      want
	}{
		"closed": {func(c net.Conn) { _, _ = io.WriteString(c, head+"fine") }, false, want{"fine", true, false}},
		"large":  {func(c net.Conn) { _, _ = io.WriteString(c, head+strings.Repeat("y", 1<<20)) }, false, want{strings.Repeat("y", 1<<20), true, false}},
		"reset": {func(c net.Conn) {
			_, _ = io.WriteString(c, head+"fi")
			time.Sleep(50 * time.Millisecond)
			_ = c.(*net.TCPConn).SetLinger(0)
		}, false, want{"fi", false, false}},
		"VM in between ends": {func(c net.Conn) {
			_, _ = io.WriteString(c, head+"fi")
			time.Sleep(time.Second)
		}, true, want{"fi", false, true}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			u := upstream
			u.Address = serveRaw(t, test.serve)
			observed := make(chan int, 1)
			c, endHelper := connector(t, u, func(status int, h http.Header) { observed <- status + len(h) })
			conn, err := c.Connect(t.Context(), u, "a1")
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			resp, err := conn.Do(exchange.Request{Method: "POST", Target: "/x", Host: "h", Header: http.Header{}})
			if err != nil {
				t.Fatal(err)
			}
			if test.endHelper {
				endHelper()
			}
			body, err := io.ReadAll(resp.Body)
			if diff := cmp.Diff(test.want, want{string(body), err == nil, errors.Is(err, relay.ErrLost)}); diff != "" {
				t.Errorf("response (-want +got):\n%s%v", diff, err)
			}
			if got := <-observed; got != 201 {
				t.Errorf("the VM in between has seen a response with status and fields %d, want 201", got)
			}
		})
	}
}

// Guards against an upstream that works on for a caller who has left, because the VM in
// between keeps its connection, and against a VM that opens connections to anything else.
func TestRelayedConnections(t *testing.T) {
	closed := make(chan struct{})
	u := upstream
	u.Address = serveRaw(t, func(c net.Conn) {
		_, _ = c.Read(make([]byte, 1))
		close(closed)
	})
	c, _ := connector(t, u, func(int, http.Header) {})
	other := u
	other.Born++
	if _, err := c.Connect(t.Context(), other, "a1"); err == nil {
		t.Error("connected to an unknown incarnation")
	}
	ctx, cancel := context.WithCancel(t.Context())
	conn, err := c.Connect(ctx, u, "a1")
	if err != nil {
		t.Fatal(err)
	}
	go func() {
		_, _ = conn.Do(exchange.Request{Method: "POST", Target: "/x", Host: "h", Header: http.Header{}})
	}()
	time.Sleep(50 * time.Millisecond)
	cancel()
	select {
	case <-closed:
	case <-time.After(2 * time.Second):
		t.Error("the upstream's connection is open")
	}
}

// Guards against VMs that take a dead upstream for a lost link of their own, or the other
// way round, and that don't come back to their own links.
func TestPaths(t *testing.T) {
	now := time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)
	u := func(id string) roster.Upstream { return roster.Upstream{ID: id, Service: "desk"} }
	p := relay.NewPaths()
	at := func(ms int) time.Time { return now.Add(time.Duration(ms) * time.Millisecond) }
	steps := []struct {
		what      string
		got, want bool
	}{
		{"one of three fails", p.RecordFailed(at(0), u("a"), 3), false},
		{"another is reached", p.RecordReached(at(1), u("b")), false},
		{"a second fails after a success", p.RecordFailed(at(2), u("c"), 3), false},
		{"a third fails", p.RecordFailed(at(3), u("b"), 3), true},
		{"cut off before another VM has shown it", p.CutOff(), false},
		{"another VM reaches it", p.RecordRelayed(at(4), u("b"), true), true},
		{"cut off", p.CutOff(), true},
		{"relayed", p.Relayed(u("b")), true},
		{"others are not relayed", p.Relayed(u("c")), false},
		{"no probe yet", len(p.Probes(at(400))) > 0, false},
		{"a probe", len(p.Probes(at(600))) == 1, true},
		{"no second probe", len(p.Probes(at(700))) > 0, false},
		{"reached again", p.RecordReached(at(701), u("b")), true},
		{"not cut off", p.CutOff() || p.Relayed(u("b")), false},
		{"the only one fails", p.RecordFailed(at(800), roster.Upstream{ID: "x", Service: "solo"}, 1), true},
		{"forgotten", len(p.Probes(at(60_000))) > 0, false},
	}
	for _, step := range steps {
		if step.got != step.want {
			t.Errorf("%s: %v, want %v", step.what, step.got, step.want)
		}
	}
}

// Guards against VMs that all send their connections through the same one.
func TestHelpersShareTheWork(t *testing.T) {
	const draws = 4000
	rng := rand.New(rand.NewPCG(7, 7))
	helpers := []relay.Helper{{Name: "a", DataCentre: "x"}, {Name: "b", DataCentre: "x"}, {Name: "c", DataCentre: "y"}, {Name: "busy", DataCentre: "x", Requests: 50}}
	first := make(map[string]int)
	for range draws {
		order := relay.OrderHelpers(helpers, "x", "x", rng.IntN)
		if len(order) != 3 || order[0] == order[1] || order[1] == order[2] {
			t.Fatalf("order %+v", order)
		}
		first[order[0].Name]++
	}
	if first["busy"] > draws/10 || first["a"] > draws/2 || first["b"] > draws/2 || first["c"] < draws/20 {
		t.Errorf("first choices %v", first)
	}
}
