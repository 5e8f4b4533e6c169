package exchange_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/hibiscuscove/hibiscuscove/internal/exchange"
)

// The ways in which an upstream ends its connection after a response. Some clear it only
// once the response has arrived, since a reset may overtake what was sent before it.
const (
	endClose    = "close"
	endHalf     = "half-close" // it reads on
	endReset    = "reset"
	endKeepOpen = "keep open"
)

// serveEnding listens for one connection, reads a request's head, writes raw and ends the
// connection in one of the ways. It returns the address.
func serveEnding(t *testing.T, raw, end string) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer func() { _ = c.Close() }()
		r := bufio.NewReader(c)
		if _, err := http.ReadRequest(r); err != nil {
			return
		}
		_, _ = io.WriteString(c, raw)
		switch end {
		case endHalf:
			_ = c.(*net.TCPConn).CloseWrite()
			_, _ = r.ReadByte() // until the other side closes
		case endReset:
			time.Sleep(50 * time.Millisecond)
			_ = c.(*net.TCPConn).SetLinger(0)
		case endKeepOpen:
			_, _ = r.ReadByte()
		}
	}()
	return l.Addr().String()
}

// Guards against a whole response that is taken for a broken one, or a broken one for a
// whole one, if its end is that of its connection.
func TestEndOfConnection(t *testing.T) {
	const head, interim = "HTTP/1.1 200 OK\r\n", "HTTP/1.1 103 Early Hints\r\nLink: <x>\r\n\r\nHTTP/1.1 100 Continue\r\n\r\n"
	type want struct {
		Status   int
		Length   int64
		Body     string
		Complete bool
	}
	tests := map[string]struct {
		method, raw, end string
		want             want
	}{
		"no length":                         {"POST", head + "\r\nfine", endClose, want{200, -1, "fine", true}},
		"no length, half-closed":            {"POST", head + "\r\nfine", endHalf, want{200, -1, "fine", true}},
		"no length, reset":                  {"POST", head + "\r\nfine", endReset, want{200, -1, "fine", false}},
		"no length, announced":              {"POST", head + "Connection: close\r\n\r\nfine", endClose, want{200, -1, "fine", true}},
		"no length, announced, reset":       {"POST", head + "Connection: close\r\n\r\nfine", endReset, want{200, -1, "fine", false}},
		"no length, keep-alive":             {"POST", head + "Connection: keep-alive\r\n\r\nfine", endClose, want{200, -1, "fine", true}},
		"no length, HTTP/1.0":               {"POST", "HTTP/1.0 200 OK\r\n\r\nfine", endClose, want{200, -1, "fine", true}},
		"no length, HTTP/1.0, reset":        {"POST", "HTTP/1.0 200 OK\r\n\r\nfine", endReset, want{200, -1, "fine", false}},
		"length, HTTP/1.0, keep-alive":      {"POST", "HTTP/1.0 200 OK\r\nConnection: keep-alive\r\nContent-Length: 4\r\n\r\nfine", endKeepOpen, want{200, 4, "fine", true}},
		"no length, interim":                {"POST", interim + head + "\r\nfine", endClose, want{200, -1, "fine", true}},
		"no length, interim, reset":         {"POST", interim + head + "\r\nfine", endReset, want{200, -1, "fine", false}},
		"no length, empty":                  {"POST", head + "\r\n", endClose, want{200, -1, "", true}},
		"no length, empty, reset":           {"POST", head + "\r\n", endReset, want{200, -1, "", false}},
		"no length, large":                  {"POST", head + "\r\n" + strings.Repeat("y", 1<<20), endClose, want{200, -1, strings.Repeat("y", 1<<20), true}},
		"length, reset after the last byte": {"POST", head + "Content-Length: 4\r\n\r\nfine", endReset, want{200, 4, "fine", true}},
		"chunks, reset after the last byte": {"POST", head + "Transfer-Encoding: chunked\r\n\r\n4\r\nfine\r\n0\r\n\r\n", endReset, want{200, -1, "fine", true}},
		"chunks, no last line":              {"POST", head + "Transfer-Encoding: chunked\r\n\r\n4\r\nfine\r\n0\r\n", endClose, want{200, -1, "fine", false}},
		"length, more bytes":                {"POST", head + "Content-Length: 4\r\n\r\nfineHTTP/1.1 200 OK\r\n\r\nelse", endReset, want{200, 4, "fine", true}},
		"204":                               {"POST", "HTTP/1.1 204 No Content\r\n\r\n", endKeepOpen, want{204, 0, "", true}},
		"204, more bytes":                   {"POST", "HTTP/1.1 204 No Content\r\n\r\nmore", endReset, want{204, 0, "", true}},
		"304 with a length":                 {"GET", "HTTP/1.1 304 Not Modified\r\nContent-Length: 9\r\n\r\n", endKeepOpen, want{304, 0, "", true}},
		"HEAD":                              {"HEAD", head + "\r\n", endKeepOpen, want{200, 0, "", true}},
		"HEAD with a length":                {"HEAD", head + "Content-Length: 99\r\n\r\n", endKeepOpen, want{200, 0, "", true}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
			defer cancel()
			conn, err := exchange.NewDialer(exchange.DialerOptions{ConnectTimeout: 10 * time.Second}).Connect(ctx, serveEnding(t, test.raw, test.end))
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			resp, err := conn.Do(exchange.Request{Method: test.method, Target: "/x", Host: "h", Header: http.Header{}})
			if err != nil {
				t.Fatal(err)
			}
			body, err := io.ReadAll(resp.Body)
			if diff := cmp.Diff(test.want, want{resp.Status, resp.Length, string(body), err == nil}); diff != "" {
				t.Errorf("response (-want +got):\n%s%v", diff, err)
			}
		})
	}
}
