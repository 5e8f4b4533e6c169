package exchange_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/hibiscuscove/hibiscuscove/internal/exchange"
)

// serve answers one connection with the raw text once the request's head is in.
func serve(t *testing.T, raw string, linger bool) string {
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
		if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
			return
		}
		_, _ = io.WriteString(c, raw)
		if linger {
			time.Sleep(100 * time.Millisecond)
			_ = c.(*net.TCPConn).SetLinger(0)
		}
	}()
	return l.Addr().String()
}

func TestAnswers(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\n"
	tests := map[string]struct {
		raw   string
		reset bool
		body  string
		whole bool
		fails bool
	}{
		"with a length":          {raw: head + "Content-Length: 4\r\n\r\nfine", body: "fine", whole: true},
		"in chunks":              {raw: head + "Transfer-Encoding: chunked\r\n\r\n4\r\nfine\r\n0\r\n\r\n", body: "fine", whole: true},
		"until the end":          {raw: head + "\r\nfine", body: "fine", whole: true},
		"until a reset":          {raw: head + "\r\nfine", reset: true, body: "fine"},
		"torn":                   {raw: head + "Content-Length: 9\r\n\r\nfine", body: "fine"},
		"torn in a chunk":        {raw: head + "Transfer-Encoding: chunked\r\n\r\n9\r\nfine", body: "fine"},
		"chunks without an end":  {raw: head + "Transfer-Encoding: chunked\r\n\r\n4\r\nfine\r\n", body: "fine"},
		"more after the answer":  {raw: head + "Content-Length: 4\r\n\r\nfineHTTP/1.1 200 OK\r\n\r\nelse", body: "fine", whole: true},
		"interim answer first":   {raw: "HTTP/1.1 100 Continue\r\n\r\n" + head + "Content-Length: 4\r\n\r\nfine", body: "fine", whole: true},
		"no end of interim ones": {raw: strings.Repeat("HTTP/1.1 102 Processing\r\n\r\n", 20), fails: true},
		"not the protocol":       {raw: "good day\r\n\r\n", fails: true},
		"nothing":                {raw: "", fails: true},
		"head without end":       {raw: head + strings.Repeat("X: "+strings.Repeat("y", 1000)+"\r\n", 200), fails: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			address := serve(t, test.raw, test.reset)
			conn, err := exchange.NewDialer(exchange.DialerOptions{ConnectTimeout: time.Second}).Connect(context.Background(), address)
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			answer, err := conn.Do(exchange.Request{Method: "POST", Target: "/x", Host: "h", Header: http.Header{}})
			if diff := cmp.Diff(test.fails, err != nil); diff != "" {
				t.Fatalf("fails (-want +got):\n%s%v", diff, err)
			}
			if test.fails {
				return
			}
			body, err := io.ReadAll(answer.Body)
			if diff := cmp.Diff(test.body, string(body)); diff != "" {
				t.Errorf("body (-want +got):\n%s", diff)
			}
			if diff := cmp.Diff(test.whole, err == nil); diff != "" {
				t.Errorf("whole (-want +got):\n%s%v", diff, err)
			}
		})
	}
}

// TestContextEndsExchange: a silent upstream holds nobody past the context.
func TestContextEndsExchange(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	conn, err := exchange.NewDialer(exchange.DialerOptions{ConnectTimeout: time.Second}).Connect(ctx, l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	start := time.Now()
	if _, err := conn.Do(exchange.Request{Method: "GET", Target: "/", Host: "h"}); err == nil {
		t.Error("no error from a silent upstream")
	}
	if took := time.Since(start); took > time.Second {
		t.Errorf("the exchange took %v", took)
	}
}

// TestEarlyAnswer: an answer that comes before a long body is read is taken.
func TestEarlyAnswer(t *testing.T) {
	address := serve(t, "HTTP/1.1 413 Too Large\r\nContent-Length: 2\r\n\r\nno", false)
	conn, err := exchange.NewDialer(exchange.DialerOptions{ConnectTimeout: time.Second}).Connect(context.Background(), address)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	answer, err := conn.Do(exchange.Request{Method: "POST", Target: "/", Host: "h", Body: make([]byte, 8<<20)})
	var reset *net.OpError
	if err != nil && !errors.As(err, &reset) {
		t.Fatal(err)
	}
	if err == nil {
		if diff := cmp.Diff(413, answer.Status); diff != "" {
			t.Errorf("status (-want +got):\n%s", diff)
		}
	}
}
