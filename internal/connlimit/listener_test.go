package connlimit_test

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"github.com/hibiscuscove/hibiscuscove/internal/connlimit"
)

const (
	headTimeout = 300 * time.Millisecond
	idleTimeout = 600 * time.Millisecond
	timeSlack   = 400 * time.Millisecond
)

// startServer serves a handler behind a Listener and returns the address.
func startServer(t *testing.T, handler http.HandlerFunc, max int) (string, *connlimit.Table) {
	t.Helper()
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	table := connlimit.NewTable(connlimit.TableOptions{Max: max, MaxPerSource: max})
	listener := connlimit.Listener{Listener: inner, Options: connlimit.Options{
		Name: "test", Now: time.Now, Times: func() connlimit.Times { return connlimit.Times{Head: headTimeout, Idle: idleTimeout} },
		Table: table, Report: connlimit.NewReporter(metrics.NewRegistry(), zerolog.Nop()),
	}}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: connlimit.ServerTimeout, IdleTimeout: connlimit.ServerTimeout, ConnState: listener.ConnState}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
	return inner.Addr().String(), table
}

func dial(t *testing.T, address string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(10 * time.Second))
	return c
}

// endAfter returns how long the server keeps a connection open.
func endAfter(c net.Conn) time.Duration {
	start := time.Now()
	_, _ = io.Copy(io.Discard, c) // ends with the connection
	return time.Since(start)
}

// Guards against connections that stay open without a request.
func TestTimes(t *testing.T) {
	t.Parallel()
	const request = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"
	tests := map[string]struct {
		pieces []string
		pause  time.Duration
		want   time.Duration
	}{
		"nothing sent":              {nil, 0, idleTimeout},
		"part of a head":            {[]string{"GET / HT"}, 0, headTimeout},
		"slow head":                 {[]string{"GET / HT", "TP", "/1.1\r\n"}, 80 * time.Millisecond, headTimeout - 160*time.Millisecond},
		"idle":                      {[]string{request}, 0, idleTimeout},
		"part of a second head":     {[]string{request, "GET / HT"}, 100 * time.Millisecond, headTimeout},
		"idle after two requests":   {[]string{request, request}, 400 * time.Millisecond, idleTimeout},
		"fresh, idle for a while":   {[]string{"", request}, 400 * time.Millisecond, idleTimeout},
		"a second request together": {[]string{request + request}, 0, idleTimeout},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			address, _ := startServer(t, func(http.ResponseWriter, *http.Request) {}, 10)
			c := dial(t, address)
			for i, piece := range test.pieces {
				if i > 0 {
					time.Sleep(test.pause)
				}
				_, _ = io.WriteString(c, piece)
			}
			if got := endAfter(c); got < test.want-timeSlack/4 || got > test.want+timeSlack {
				t.Errorf("open for %v, want %v", got, test.want)
			}
		})
	}
}

// Guards against limits on heads and idle connections that end a request under way: its
// handler, the watch for the caller's end, and a body that arrives in parts.
func TestRequestUnderWay(t *testing.T) {
	t.Parallel()
	address, _ := startServer(t, func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		time.Sleep(2 * idleTimeout)
		if err != nil || r.Context().Err() != nil {
			w.WriteHeader(http.StatusInternalServerError)
		}
		_, _ = w.Write(body)
	}, 10)
	c := dial(t, address)
	in := bufio.NewReader(c)
	for range 2 {
		for _, piece := range []string{"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\nabc", "def", "ghi"} {
			_, _ = io.WriteString(c, piece)
			time.Sleep(headTimeout)
		}
		resp, err := http.ReadResponse(in, nil)
		if err != nil {
			t.Fatal(err)
		}
		body, _ := io.ReadAll(resp.Body)
		if resp.StatusCode != http.StatusOK || string(body) != "abcdefghi" {
			t.Errorf("status %d, body %q", resp.StatusCode, body)
		}
	}
}

// Guards against a new caller that gets no connection since others hold all of them, and
// against closing connections with a request.
func TestConnectionsInUse(t *testing.T) {
	t.Parallel()
	release := make(chan bool)
	address, table := startServer(t, func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/wait" {
			<-release
		}
	}, 2)
	request := func(c net.Conn, path string) { _, _ = io.WriteString(c, "GET "+path+" HTTP/1.1\r\nHost: h\r\n\r\n") }
	busy, idle := dial(t, address), dial(t, address)
	request(busy, "/wait")
	request(idle, "/")
	if _, err := http.ReadResponse(bufio.NewReader(idle), nil); err != nil {
		t.Fatal(err)
	}
	for table.Status().Idle == 0 || table.Status().Active == 0 {
		time.Sleep(time.Millisecond)
	}
	third := dial(t, address)
	request(third, "/wait")
	if took := endAfter(idle); took > idleTimeout/2 {
		t.Errorf("the idle connection was closed after %v", took)
	}
	for table.Status().Active < 2 {
		time.Sleep(time.Millisecond)
	}
	if took := endAfter(dial(t, address)); took > idleTimeout/2 {
		t.Errorf("a connection beyond the limit was closed after %v", took)
	}
	close(release)
	for name, c := range map[string]net.Conn{"first": busy, "third": third} {
		if resp, err := http.ReadResponse(bufio.NewReader(c), nil); err != nil || resp.StatusCode != http.StatusOK {
			t.Errorf("%s: %v", name, err)
		}
	}
}

// Guards against log lines without bound, and against counts that are lost with them.
func TestReporter(t *testing.T) {
	var mu sync.Mutex
	var log bytes.Buffer
	registry := metrics.NewRegistry()
	r := connlimit.NewReporter(registry, zerolog.New(&log))
	now := start
	for i := range 1_000 {
		now = now.Add(10 * time.Millisecond)
		source := first
		if i%2 == 0 {
			source = second
		}
		r.Report(now, "callers", "slow_head", source)
	}
	mu.Lock()
	defer mu.Unlock()
	if lines := strings.Count(log.String(), "\n"); lines < 4 || lines > 6 {
		t.Errorf("%d lines:\n%s", lines, log.String())
	}
	if n := metrics.GetOrRegisterCounter("clients.callers.slow_head", registry).Count(); n != 1_000 {
		t.Errorf("counted %d", n)
	}
	if !strings.Contains(log.String(), `"unlogged":249`) {
		t.Errorf("the second line does not tell of those before:\n%s", log.String())
	}
}

// BenchmarkRequest measures requests on one connection with and without the limits.
func BenchmarkRequest(b *testing.B) {
	const request = "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody"
	for name, limited := range map[string]bool{"plain": false, "limited": true} {
		b.Run(name, func(b *testing.B) {
			inner, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				b.Fatal(err)
			}
			server := &http.Server{Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { _, _ = io.Copy(io.Discard, r.Body) }), ReadHeaderTimeout: time.Minute, IdleTimeout: time.Minute}
			listener := inner
			if limited {
				own := connlimit.Listener{Listener: inner, Options: connlimit.Options{
					Name: "test", Now: time.Now, Times: func() connlimit.Times { return connlimit.Times{Head: time.Second, Idle: time.Second} },
					Table: connlimit.NewTable(connlimit.TableOptions{Max: 9, MaxPerSource: 9}), Report: connlimit.NewReporter(metrics.NewRegistry(), zerolog.Nop()),
				}}
				listener, server.ConnState = own, own.ConnState
			}
			go func() { _ = server.Serve(listener) }()
			defer func() { _ = server.Close() }()
			c, err := net.Dial("tcp", inner.Addr().String())
			if err != nil {
				b.Fatal(err)
			}
			defer func() { _ = c.Close() }()
			in := bufio.NewReader(c)
			for b.Loop() {
				_, _ = io.WriteString(c, request)
				if _, err := http.ReadResponse(in, nil); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// Guards against cutting off callers that read at 2 KB/s: the time for any part of a
// response is longer than they need.
func TestWriteTimeout(t *testing.T) {
	for _, n := range []int{1, 1 << 10, 64 << 10} {
		if needed := time.Duration(n) * time.Second / (2 << 10); connlimit.WriteTimeout(n) < 2*needed+10*time.Second {
			t.Errorf("%d bytes: %v, needed %v", n, connlimit.WriteTimeout(n), needed)
		}
	}
}
