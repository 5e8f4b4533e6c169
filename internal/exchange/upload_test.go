package exchange_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/hibiscuscove/hibiscuscove/internal/exchange"
	"github.com/hibiscuscove/hibiscuscove/internal/standin/rawserver"
)

// uploadBytes is more than the buffers of a connection take, so that the upload waits while
// its upstream reads nothing.
const uploadBytes = 16 << 20

var upload = make([]byte, uploadBytes)

// The ways in which an upstream ends its connection while a request is being sent to it.
var uploadEnds = map[string]func(c *net.TCPConn){
	"reset": rawserver.Reset,
	// Closing with unread bytes of the request resets the connection.
	"closed":     rawserver.Close,
	"half-close": rawserver.HalfClose,
	"half-close, then reset": func(c *net.TCPConn) {
		_ = c.CloseWrite()
		time.Sleep(30 * time.Millisecond)
		_ = c.SetLinger(0)
	},
	"upload read, then reset": func(c *net.TCPConn) {
		_, _ = io.CopyN(io.Discard, c, uploadBytes-bufferedBytes)
		time.Sleep(30 * time.Millisecond)
		_ = c.SetLinger(0)
	},
}

// bufferedBytes is at least what a stand-in reads of a body together with the head.
const bufferedBytes = 4 << 10

// Guards against a part of a response that counts as the whole one: the write of a long
// request takes the error of a reset, and the read that follows sees an end.
func TestResponseAmidUploadIsCompleteOnlyIfEnded(t *testing.T) {
	const head, interim = "HTTP/1.1 200 OK\r\n", "HTTP/1.1 103 Early Hints\r\nLink: <x>\r\n\r\n"
	const always, never = "always", "never"
	tests := map[string]struct {
		raw string
		// complete is when the response is complete, ended for an end of the connection only.
		complete string
	}{
		"nothing":                 {"", never},
		"cut in the status line":  {"HTTP/1.1 20", never},
		"cut after a line":        {head, never},
		"cut in a field":          {head + "Content-Le", never},
		"cut in the last line":    {head + "X: y\r\n\r", never},
		"cut after an interim":    {interim, never},
		"cut behind an interim":   {interim + head, never},
		"no length":               {head + "\r\nfine", ""},
		"no length, empty":        {head + "\r\n", ""},
		"no length, interim":      {interim + head + "\r\nfine", ""},
		"no length, HTTP/1.0":     {"HTTP/1.0 200 OK\r\n\r\nfine", ""},
		"no length, announced":    {head + "Connection: close\r\n\r\nfine", ""},
		"length":                  {head + "Content-Length: 4\r\n\r\nfine", always},
		"length, cut":             {head + "Content-Length: 9\r\n\r\nfine", never},
		"chunks":                  {head + "Transfer-Encoding: chunked\r\n\r\n4\r\nfine\r\n0\r\n\r\n", always},
		"chunks, cut in a chunk":  {head + "Transfer-Encoding: chunked\r\n\r\n9\r\nfine", never},
		"chunks, cut in a size":   {head + "Transfer-Encoding: chunked\r\n\r\n4\r\nfine\r\n1", never},
		"chunks, cut in the end":  {head + "Transfer-Encoding: chunked\r\n\r\n4\r\nfine\r\n0\r\n", never},
		"chunks, cut in trailers": {head + "Transfer-Encoding: chunked\r\n\r\n4\r\nfine\r\n0\r\nX: y\r\n", never},
		"events":                  {head + "Content-Type: text/event-stream\r\n\r\nid: 1\ndata: x\n\n", ""},
	}
	for name, test := range tests {
		for endName, end := range uploadEnds {
			for reader, delay := range map[string]time.Duration{"read at once": 0, "read later": 60 * time.Millisecond} {
				t.Run(name+"/"+endName+"/"+reader, func(t *testing.T) {
					t.Parallel()
					ended := endName == "half-close" || endName == "half-close, then reset"
					want := test.complete == always || test.complete != never && ended
					address := rawserver.Start(t, rawserver.Options{Raw: test.raw, Early: true, Pause: 30 * time.Millisecond, End: end})
					// Which of the two directions gets the error is a matter of luck.
					for range 3 {
						got, err := uploadAndRead(t, address, delay)
						if diff := cmp.Diff(want, got); diff != "" {
							t.Fatalf("complete (-want +got):\n%s%v", diff, err)
						}
					}
				})
			}
		}
	}
}

// uploadAndRead sends a long request, reads the response after a delay, and reports whether
// it is complete.
func uploadAndRead(t *testing.T, address string, delay time.Duration) (complete bool, err error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	conn, err := exchange.NewDialer(exchange.DialerOptions{ConnectTimeout: 10 * time.Second}).Connect(ctx, address)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	resp, err := conn.Do(exchange.Request{Method: "POST", Target: "/x", Host: "h", Header: http.Header{}, Body: upload})
	if err == nil {
		time.Sleep(delay)
		_, err = io.ReadAll(resp.Body)
	}
	if ctx.Err() != nil {
		err = fmt.Errorf("not ended in time: %w", err)
	}
	return err == nil, err
}
