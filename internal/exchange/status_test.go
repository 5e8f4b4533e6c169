package exchange_test

import (
	"context"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/hibiscuscove/hibiscuscove/internal/exchange"
)

// head200 is the status line of a sound response.
const head200 = "HTTP/1.1 200 OK\r\n"

// readRaw sends a request to an upstream that writes raw and closes, and returns the status
// and body, or the error of an incomplete response.
func readRaw(t *testing.T, raw string) (status int, body string, err error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	conn, err := exchange.NewDialer(exchange.DialerOptions{ConnectTimeout: 10 * time.Second}).Connect(ctx, serveOnce(t, raw, false))
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	resp, err := conn.Do(exchange.Request{Method: "POST", Target: "/x", Host: "h", Header: http.Header{}})
	if err != nil {
		return 0, "", err
	}
	content, err := io.ReadAll(resp.Body)
	return resp.Status, string(content), err
}

// Guards against a response with a status that HTTP does not have and that counts as the
// response, or as an interim one whose body is taken for the response.
func TestStatus(t *testing.T) {
	const whole, inner = "Content-Length: 4\r\n\r\nfine", "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nelse"
	tests := map[string]struct {
		raw    string
		status int
	}{
		"000":                             {"HTTP/1.1 000 No\r\n" + whole, 0},
		"000 before a response":           {"HTTP/1.1 000 No\r\n\r\n" + inner, 0},
		"000 with a response as its body": {"HTTP/1.1 000 No\r\nContent-Length: 42\r\n\r\n" + inner, 0},
		"001":                             {"HTTP/1.1 001 No\r\n\r\n" + inner, 0},
		"099":                             {"HTTP/1.1 099 No\r\n\r\n" + inner, 0},
		"000 after an interim response":   {"HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 000 No\r\n\r\n" + inner, 0},
		"600":                             {"HTTP/1.1 600 No\r\n" + whole, 0},
		"999":                             {"HTTP/1.1 999 No\r\n" + whole, 0},
		"a sign":                          {"HTTP/1.1 +20 No\r\n\r\n" + inner, 0},
		"minus zero":                      {"HTTP/1.1 -00 No\r\n\r\n" + inner, 0},
		"two digits":                      {"HTTP/1.1 20 No\r\n" + whole, 0},
		"four digits":                     {"HTTP/1.1 2000 No\r\n" + whole, 0},
		"letters":                         {"HTTP/1.1 2x0 No\r\n" + whole, 0},
		"no status":                       {"HTTP/1.1\r\n" + whole, 0},
		"no switch was asked for":         {"HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\n" + inner, 0},
		"a later HTTP":                    {"HTTP/2.0 200 OK\r\n" + whole, 0},
		"an earlier HTTP":                 {"HTTP/0.9 200 OK\r\n" + whole, 0},
		"no HTTP":                         {"ICY 200 OK\r\n" + whole, 0},
		"no line before":                  {"\r\n" + head200 + whole, 0},
		"100 and 199":                     {"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 199 x\r\n\r\n" + head200 + whole, 200},
		"200":                             {head200 + whole, 200},
		"299":                             {"HTTP/1.1 299 x\r\n" + whole, 299},
		"599":                             {"HTTP/1.1 599 x\r\n" + whole, 599},
		"no reason":                       {"HTTP/1.1 200\r\n" + whole, 200},
		"HTTP/1.0":                        {"HTTP/1.0 200 OK\r\n" + whole, 200},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			type result struct {
				Status   int
				Body     string
				Complete bool
			}
			var want result
			if test.status != 0 {
				want = result{test.status, "fine", true}
			}
			status, body, err := readRaw(t, test.raw)
			if diff := cmp.Diff(want, result{status, body, err == nil}); diff != "" {
				t.Errorf("response (-want +got):\n%s%v", diff, err)
			}
		})
	}
}
