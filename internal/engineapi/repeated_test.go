package engineapi_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/hibiscuscove/hibiscuscove/internal/engineapi"
	"github.com/hibiscuscove/hibiscuscove/internal/upstream"
	"github.com/hibiscuscove/hibiscuscove/internal/verdict"
)

// startRepeater starts an upstream that writes its first response once more on a kept
// connection, in place of and before the one to the second request.
func startRepeater(t *testing.T, first string) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	served := 0
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			r := bufio.NewReader(c)
			for onConn := 0; ; onConn++ {
				q, err := http.ReadRequest(r)
				if err != nil {
					break
				}
				_, _ = io.Copy(io.Discard, q.Body)
				if served++; served == 1 {
					_, _ = io.WriteString(c, first)
					continue
				}
				if onConn > 0 {
					_, _ = io.WriteString(c, first)
				}
				id := q.Header.Get(engineapi.HeaderRequest)
				_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(id), id)
			}
			_ = c.Close()
		}
	}()
	return l.Addr().String()
}

// Guards against REFUSED, TWICE and MIXED: an upstream wrote an earlier refusal, or answer,
// once more on a kept connection, and it counted as the one to a request that was running.
func TestRepeatedResponseIsNotTheNextOne(t *testing.T) {
	for what, first := range map[string]string{
		"refusal": "HTTP/1.1 503 Service Unavailable\r\n" + engineapi.HeaderNotRun + ": 1\r\nContent-Length: 0\r\n\r\n",
		"answer":  "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nr0",
	} {
		t.Run(what, func(t *testing.T) {
			address := startRepeater(t, first)
			client := engineapi.NewClient(engineapi.ClientOptions{})
			send := func(id string) (string, error) {
				resp, err := client.Send(t.Context(), address, upstream.Call{Method: http.MethodPost, Path: "/x", Body: []byte("{}"), Request: id, Attempt: 1})
				if err != nil {
					return "", err
				}
				defer func() { _ = resp.Body.Close() }()
				body, err := io.ReadAll(resp.Body)
				return string(body), err
			}
			if _, err := send("r0"); err != nil && verdict.Of(err) != verdict.NotRun {
				t.Fatal(err)
			}
			for _, id := range []string{"r1", "r2"} {
				if body, err := send(id); err != nil || body != id {
					t.Errorf("%s: answer %q, error %v with the verdict %v, want its own answer", id, body, err, verdict.Of(err))
				}
			}
		})
	}
}
