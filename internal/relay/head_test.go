package relay_test

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/hibiscuscove/hibiscuscove/internal/exchange"
)

// Guards against a VM that takes an interim response, or the head of a broken one, for what
// an upstream says of itself to the VM whose connection it relays.
func TestObservedHeads(t *testing.T) {
	const fine, interim = "HTTP/1.1 200 OK\r\nX: y\r\nContent-Length: 4\r\n\r\nfine", "HTTP/1.1 103 Early Hints\r\nX: no\r\n\r\n"
	type observed struct {
		Status int
		X      string
	}
	seen := []observed{{200, "y"}}
	tests := map[string]struct {
		pieces []string
		want   []observed
	}{
		"whole":                      {[]string{fine}, seen},
		"in pieces":                  {strings.SplitAfter(fine, "\r"), seen},
		"bare line feeds":            {[]string{strings.ReplaceAll(fine, "\r\n", "\n")}, seen},
		"after an interim response":  {[]string{interim + fine}, seen},
		"after some, in pieces":      {[]string{interim, interim, "HTTP/1.1 100 Continue\r\n\r", "\n" + fine}, seen},
		"only an interim response":   {[]string{interim}, nil},
		"cut":                        {[]string{"HTTP/1.1 200 OK\r\nX: y\r\n"}, nil},
		"cut after an interim":       {[]string{interim + "HTTP/1.1 200 OK\r\nX: y\r\n"}, nil},
		"status 000":                 {[]string{"HTTP/1.1 000 No\r\nX: no\r\n\r\n" + fine}, nil},
		"status 600":                 {[]string{"HTTP/1.1 600 No\r\nX: no\r\nContent-Length: 0\r\n\r\n"}, nil},
		"protocol switched":          {[]string{"HTTP/1.1 101 No\r\nX: no\r\n\r\n" + fine}, nil},
		"blank in a field name":      {[]string{"HTTP/1.1 200 OK\r\nX: no\r\nContent-Length : 4\r\n\r\nfine"}, nil},
		"control byte in a name":     {[]string{"HTTP/1.1 200 OK\r\nX: no\r\nA\x01: b\r\n\r\nfine"}, nil},
		"broken after an interim":    {[]string{interim + "HTTP/1.1 000 No\r\nX: no\r\n\r\n"}, nil},
		"chunks in HTTP/1.0":         {[]string{"HTTP/1.0 200 OK\r\nX: no\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"}, nil},
		"no response":                {[]string{"good day\r\n\r\n"}, nil},
		"a head without end":         {[]string{"HTTP/1.1 200 OK\r\nX: " + strings.Repeat("y", 20<<10)}, nil},
		"endless interim responses":  {[]string{strings.Repeat("HTTP/1.1 102 Processing\r\n\r\n", 20) + fine}, nil},
		"another response behind it": {[]string{fine, "HTTP/1.1 503 Full\r\nX: no\r\n\r\n"}, seen},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			u := upstream
			u.Address = serveRaw(t, func(c net.Conn) {
				for _, piece := range test.pieces {
					_, _ = io.WriteString(c, piece)
					time.Sleep(5 * time.Millisecond)
				}
			})
			got := make(chan observed, 8)
			c, _ := connector(t, u, func(status int, h http.Header) { got <- observed{status, h.Get("X")} })
			conn, err := c.Connect(t.Context(), u, "a1")
			if err != nil {
				t.Fatal(err)
			}
			resp, err := conn.Do(exchange.Request{Method: "POST", Target: "/x", Host: "h", Header: http.Header{}})
			if err == nil {
				_, _ = io.ReadAll(resp.Body) // what the VM in between has seen is compared
			}
			time.Sleep(150 * time.Millisecond) // for bytes that no one waits for
			conn.Close()
			var all []observed
			for len(got) > 0 {
				all = append(all, <-got)
			}
			if diff := cmp.Diff(test.want, all); diff != "" {
				t.Errorf("observed (-want +got):\n%s", diff)
			}
		})
	}
}
