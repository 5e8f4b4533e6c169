package engineapi_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/hibiscuscove/hibiscuscove/internal/engineapi"
	"github.com/hibiscuscove/hibiscuscove/internal/upstream"
	"github.com/hibiscuscove/hibiscuscove/internal/verdict"
)

// outcome is what a call has got. Verdict is that of its error, empty without one.
type outcome struct {
	Status   int
	Body     string
	Complete bool
	Verdict  string
}

// failed is the outcome of a call that may have run and has no response.
var failed = outcome{Verdict: "may_have_run"}

// serveRaw writes raw to each connection once the head of a request is in, and ends it with
// end. It returns the address.
func serveRaw(t *testing.T, raw string, end func(c *net.TCPConn)) string {
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
				time.Sleep(40 * time.Millisecond)
				end(c.(*net.TCPConn))
			}()
		}
	}()
	return l.Addr().String()
}

// call sends a request and reads the whole response.
func call(t *testing.T, address string, body []byte) outcome {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	resp, err := engineapi.NewClient(engineapi.ClientOptions{}).Send(ctx, address, upstream.Call{Method: http.MethodPost, Path: "/x", Body: body, Request: "r", Attempt: 1})
	if ctx.Err() != nil {
		t.Fatal(ctx.Err())
	}
	if err != nil {
		return outcome{Verdict: verdict.Of(err).String()}
	}
	defer func() { _ = resp.Body.Close() }()
	content, err := io.ReadAll(resp.Body)
	return outcome{Status: resp.Status, Body: string(content), Complete: err == nil}
}

// Guards against a part of a response that counts as the whole one because the upstream reset
// the connection while the request was being sent.
func TestResponseAmidUploadIsCompleteOnlyIfEnded(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\n"
	reset := func(c *net.TCPConn) { _ = c.SetLinger(0) }
	closeInOrder := func(c *net.TCPConn) {
		_ = c.CloseWrite()
		_, _ = io.Copy(io.Discard, c)
	}
	tests := map[string]struct {
		raw  string
		end  func(c *net.TCPConn)
		want outcome
	}{
		"reset":           {head + "\r\nfi", reset, outcome{200, "fi", false, ""}},
		"closed unread":   {head + "\r\nfi", func(*net.TCPConn) {}, outcome{200, "fi", false, ""}},
		"reset, empty":    {head + "\r\n", reset, outcome{200, "", false, ""}},
		"reset in a head": {head, reset, failed},
		"ended in a head": {head, closeInOrder, failed},
		"no head, reset":  {"", reset, failed},
		"no head, ended":  {"", closeInOrder, failed},
		"ended":           {head + "\r\nfine", closeInOrder, outcome{200, "fine", true, ""}},
		"length, reset":   {head + "Content-Length: 4\r\n\r\nfine", reset, outcome{200, "fine", true, ""}},
		"length, cut":     {head + "Content-Length: 9\r\n\r\nfine", closeInOrder, outcome{200, "fine", false, ""}},
	}
	body := make([]byte, 8<<20)
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			address := serveRaw(t, test.raw, test.end)
			// Which of the two directions gets the error is a matter of luck.
			for range 8 {
				if diff := cmp.Diff(test.want, call(t, address, body)); diff != "" {
					t.Fatalf("outcome (-want +got):\n%s", diff)
				}
			}
		})
	}
}
