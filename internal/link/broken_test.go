package link_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/hibiscuscove/hibiscuscove/internal/link"
	"github.com/hibiscuscove/hibiscuscove/internal/peerrpc"
)

// serveRaw answers each request with raw once its head is in, and ends the connection with
// end. It returns the peer.
func serveRaw(t *testing.T, raw string, end func(c *net.TCPConn)) *peerrpc.Member {
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
				defer func() { _ = c.Close() }()
				if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
					return
				}
				_, _ = io.WriteString(c, raw)
				time.Sleep(30 * time.Millisecond)
				end(c.(*net.TCPConn))
			}()
		}
	}()
	return &peerrpc.Member{ControlAddress: l.Addr().String()}
}

// Guards against a part of a reply that counts as the whole one. Messages between nodes do not
// tell their own end: one that is cut after a field is a message too.
func TestBrokenReplies(t *testing.T) {
	part, err := proto.Marshal(&peerrpc.CommitResponse{Results: []*peerrpc.CommitResult{{}}})
	if err != nil {
		t.Fatal(err)
	}
	const head, protobuf = "HTTP/1.1 200 OK\r\n", "Content-Type: application/protobuf\r\n"
	body := "\r\n" + string(part)
	sized := fmt.Sprintf("Content-Length: %d\r\n", len(part)) + body
	reset := func(c *net.TCPConn) { _ = c.SetLinger(0) }
	closeInOrder := func(c *net.TCPConn) {
		_ = c.CloseWrite()
		_, _ = io.Copy(io.Discard, c)
	}
	tests := map[string]struct {
		raw   string
		end   func(c *net.TCPConn)
		whole bool
	}{
		"no length, reset":       {head + protobuf + body, reset, false},
		"no length, unread":      {head + protobuf + body, func(*net.TCPConn) {}, false},
		"empty, reset":           {head + protobuf + "\r\n", reset, false},
		"length, cut":            {head + protobuf + fmt.Sprintf("Content-Length: %d\r\n", len(part)+2) + body, closeInOrder, false},
		"chunks, cut":            {head + protobuf + "Transfer-Encoding: chunked\r\n\r\n2\r\n" + string(part) + "\r\n", closeInOrder, false},
		"head, cut":              {head + protobuf, closeInOrder, false},
		"000":                    {"HTTP/1.1 000 No\r\n" + protobuf + sized, closeInOrder, false},
		"600":                    {"HTTP/1.1 600 No\r\n" + protobuf + sized, closeInOrder, false},
		"length, blank":          {head + protobuf + "Content-Length : 99\r\n" + body, closeInOrder, false},
		"blank before the colon": {head + "X : y\r\n" + protobuf + sized, closeInOrder, false},
		"control byte in a name": {head + "X\x01: y\r\n" + protobuf + sized, closeInOrder, false},
		"whole":                  {head + protobuf + sized, closeInOrder, true},
		"whole, reset":           {head + protobuf + sized, reset, true},
	}
	request := strings.Repeat("x", 8<<20)
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			to := serveRaw(t, test.raw, test.end)
			// Which of the two directions gets the error of a reset is a matter of luck.
			for range 4 {
				ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
				defer cancel()
				_, err := link.NewClient(link.ClientOptions{}).Commit(ctx, to, 1, []*peerrpc.Entry{{Key: request}})
				if whole := err == nil; whole != test.whole || ctx.Err() != nil {
					t.Fatalf("reply is whole: %v, want %v (%v)", whole, test.whole, err)
				}
			}
		})
	}
}
