package exchange_test

import (
	"errors"
	"fmt"
	"io"
	"os"
	"strings"
	"syscall"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/hibiscuscove/hibiscuscove/internal/eventstream"
	"github.com/hibiscuscove/hibiscuscove/internal/exchange"
)

// ending is a reader that ends with err.
type ending struct{ err error }

func (e ending) Read([]byte) (int, error) { return 0, e.err }

// Guards against a response that counts as complete though it was cut, wherever that was.
func TestCutAnywhere(t *testing.T) {
	const interim = "HTTP/1.1 103 Early Hints\r\nLink: <x>\r\n\r\n"
	const stream, events = "Content-Type: text/event-stream\r\n", "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\n: end\n\n"
	responses := map[string]struct {
		raw string
		// untilEnd is set if the end of the connection is that of the body.
		untilEnd, isStream bool
	}{
		"length":              {head200 + "X: y\r\nContent-Length: 4\r\n\r\nfine", false, false},
		"length, bare feeds":  {"HTTP/1.1 200 OK\nContent-Length: 4\n\nfine", false, false},
		"empty":               {head200 + "Content-Length: 0\r\n\r\n", false, false},
		"interim":             {interim + "HTTP/1.1 100 Continue\r\n\r\n" + head200 + "Content-Length: 4\r\n\r\nfine", false, false},
		"chunks":              {head200 + "Transfer-Encoding: chunked\r\n\r\n2\r\nfi\r\n2;x=y\r\nne\r\n0\r\n\r\n", false, false},
		"chunks and trailers": {head200 + "Transfer-Encoding: chunked\r\n\r\n4\r\nfine\r\n0\r\nX: y\r\nZ: z\r\n\r\n", false, false},
		"no length":           {head200 + "X: y\r\n\r\nfine", true, false},
		"HTTP/1.0":            {"HTTP/1.0 200 OK\r\nX: y\r\n\r\nfine", true, false},
		"refusal":             {"HTTP/1.1 503 Full\r\nNot-Executed: 1\r\nContent-Length: 4\r\n\r\nfull", false, false},
		"events":              {head200 + stream + fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(events), events), false, true},
		"events, no length":   {head200 + stream + "\r\n" + events, true, true},
	}
	ends := map[string]error{"end": io.EOF, "reset": syscall.ECONNRESET, "silence": os.ErrDeadlineExceeded}
	for name, response := range responses {
		t.Run(name, func(t *testing.T) {
			headBytes := strings.LastIndex(response.raw, "\r\n\r\n")
			if response.untilEnd {
				headBytes = strings.Index(response.raw, "\r\n\r\n") + len("\r\n\r\n")
			}
			for cut := range len(response.raw) + 1 {
				for endName, end := range ends {
					raw := response.raw[:cut]
					want := cut == len(response.raw)
					if response.untilEnd {
						want = cut >= headBytes && errors.Is(end, io.EOF)
					}
					if response.isStream && response.untilEnd {
						body := response.raw[headBytes:max(cut, headBytes)]
						want = want && (body == "" || strings.HasSuffix(body, "\n\n") || strings.HasSuffix(body, "\n\r\n"))
					}
					if diff := cmp.Diff(want, isWhole(io.MultiReader(strings.NewReader(raw), ending{end}), response.isStream)); diff != "" {
						t.Errorf("cut by %s after %q: complete (-want +got):\n%s", endName, raw, diff)
					}
				}
			}
		})
	}
}

// isWhole reports whether a complete response can be read from r.
func isWhole(r io.Reader, isStream bool) bool {
	resp, err := exchange.Read(r, "POST")
	if err != nil {
		return false
	}
	if !isStream {
		_, err = io.ReadAll(resp.Body)
		return err == nil
	}
	reader := eventstream.New(resp.Body)
	for err == nil {
		_, err = reader.Next()
	}
	return errors.Is(err, io.EOF)
}
