package framing_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/hibiscuscove/hibiscuscove/internal/framing"
)

const (
	headBytes = 4 << 10
	// slack is what a head may take beside its fields.
	slack = 4 << 10
)

// fields returns n fields of a head.
func fields(n, size int) string {
	var b strings.Builder
	for i := range n {
		fmt.Fprintf(&b, "f%d: %s\r\n", i, strings.Repeat("y", size))
	}
	return b.String()
}

// Guards against heads whose fields take much more memory as maps than on the wire, and
// against refusing those within the limits: which heads reach the handler, with what result
// of the check, and how the others are refused.
func TestHeads(t *testing.T) {
	t.Parallel()
	type outcome struct {
		Status  int
		Result  framing.Result
		Handled int64
		Reason  string
	}
	const start = "GET /x HTTP/1.1\r\nHost: h\r\n"
	tests := map[string]struct {
		pieces []string
		want   outcome
	}{
		"ordinary":               {[]string{start + "\r\n"}, outcome{200, framing.Clear, 1, ""}},
		"99 fields and the host": {[]string{start + fields(99, 1) + "\r\n"}, outcome{200, framing.Clear, 1, ""}},
		"too many fields":        {[]string{start + fields(150, 1) + "\r\n"}, outcome{431, 0, 0, "too_many_fields"}},
		"too many empty fields":  {[]string{start + strings.Repeat("a:\r\n", 1000) + "\r\n"}, outcome{431, 0, 0, "too_many_fields"}},
		"too many, bare feeds":   {[]string{"GET /x HTTP/1.1\nHost: h\n" + strings.Repeat("a:\n", 1000) + "\n"}, outcome{431, 0, 0, "too_many_fields"}},
		"large, within":          {[]string{start + fields(10, headBytes/10-10) + "\r\n"}, outcome{200, framing.Clear, 1, ""}},
		"too large":              {[]string{start + fields(10, (headBytes+slack)/10) + "\r\n"}, outcome{431, 0, 0, "head_too_large"}},
		"target too large":       {[]string{"GET /" + strings.Repeat("y", headBytes+slack) + " HTTP/1.1\r\nHost: h\r\n\r\n"}, outcome{431, 0, 0, "head_too_large"}},
		"no end":                 {[]string{strings.Repeat("y", headBytes), strings.Repeat("y", headBytes), "y"}, outcome{431, 0, 0, "head_too_large"}},
		"in pieces":              {[]string{"GET /x HT", "TP/1.1\r", "\nHost: h\r\n", "\r", "\n"}, outcome{200, framing.Clear, 1, ""}},
		"too many in pieces":     {[]string{start + fields(90, 1), fields(20, 1)}, outcome{431, 0, 0, "too_many_fields"}},
		"two lengths":            {[]string{"POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\nContent-Length: 0\r\n\r\n"}, outcome{200, framing.Ambiguous, 1, ""}},
		"bare line feeds":        {[]string{"GET /x HTTP/1.1\nHost: h\n\n"}, outcome{200, framing.Ambiguous, 1, ""}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			inner, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			var got outcome
			var handled atomic.Int64
			var reason atomic.Value
			listener := framing.Listener{
				Listener: inner, Now: time.Now, Limits: func() framing.Limits { return framing.Limits{Bytes: headBytes} },
				TooLarge: func(_ net.Conn, r string) { reason.Store(r) },
			}
			server := &http.Server{ConnContext: listener.ConnContext, Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
				got.Result = framing.Check(r.Context())
				handled.Add(1)
			})}
			go func() { _ = server.Serve(listener) }()
			defer func() { _ = server.Close() }()
			c, err := net.Dial("tcp", inner.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = c.Close() }()
			_ = c.SetDeadline(time.Now().Add(5 * time.Second))
			for _, piece := range test.pieces {
				if _, err := io.WriteString(c, piece); err != nil {
					break // the response tells
				}
				time.Sleep(10 * time.Millisecond)
			}
			resp, err := http.ReadResponse(bufio.NewReader(c), nil)
			if err != nil {
				t.Fatal(err)
			}
			got.Status, got.Handled = resp.StatusCode, handled.Load()
			got.Reason, _ = reason.Load().(string)
			if diff := cmp.Diff(test.want, got); diff != "" {
				t.Errorf("-want +got:\n%s", diff)
			}
		})
	}
}
