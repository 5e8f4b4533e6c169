package engineapi_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/hibiscuscove/hibiscuscove/internal/engineapi"
	"github.com/hibiscuscove/hibiscuscove/internal/standin/rawserver"
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

// uploadPause is the time in which an upload fills the buffers of its connection.
const uploadPause = 40 * time.Millisecond

// failed is the outcome of a call that may have run and has no response.
var failed = outcome{Verdict: "may_have_run"}

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
	tests := map[string]struct {
		raw  string
		end  func(c *net.TCPConn)
		want outcome
	}{
		"reset":           {head + "\r\nfi", rawserver.Reset, outcome{200, "fi", false, ""}},
		"closed unread":   {head + "\r\nfi", rawserver.Close, outcome{200, "fi", false, ""}},
		"reset, empty":    {head + "\r\n", rawserver.Reset, outcome{200, "", false, ""}},
		"reset in a head": {head, rawserver.Reset, failed},
		"ended in a head": {head, rawserver.HalfClose, failed},
		"no head, reset":  {"", rawserver.Reset, failed},
		"no head, ended":  {"", rawserver.HalfClose, failed},
		"ended":           {head + "\r\nfine", rawserver.HalfClose, outcome{200, "fine", true, ""}},
		"length, reset":   {head + "Content-Length: 4\r\n\r\nfine", rawserver.Reset, outcome{200, "fine", true, ""}},
		"length, cut":     {head + "Content-Length: 9\r\n\r\nfine", rawserver.HalfClose, outcome{200, "fine", false, ""}},
	}
	body := make([]byte, 8<<20)
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			address := rawserver.Start(t, rawserver.Options{Raw: test.raw, Early: true, Pause: uploadPause, End: test.end})
			// Which of the two directions gets the error is a matter of luck.
			for range 8 {
				if diff := cmp.Diff(test.want, call(t, address, body)); diff != "" {
					t.Fatalf("outcome (-want +got):\n%s", diff)
				}
			}
		})
	}
}

// Guards against responses that are none, with a status that does not exist or a head that
// can be read in more than one way, and that are passed on or count as "not run".
func TestMalformedResponses(t *testing.T) {
	const length, chunks, inner = "Content-Length: 4\r\n\r\nfine", "\r\n4\r\nfine\r\n0\r\n\r\n", "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nelse"
	const interim, notRun = "HTTP/1.1 103 Early Hints\r\n\r\n", engineapi.HeaderNotRun + ": 1\r\n"
	fine := outcome{200, "fine", true, ""}
	tests := map[string]struct {
		raw  string
		want outcome
	}{
		"000":                            {"HTTP/1.1 000 No\r\n" + length, failed},
		"000 and not run":                {"HTTP/1.1 000 No\r\n" + notRun + length, failed},
		"000 before a response":          {"HTTP/1.1 000 No\r\n\r\n" + inner, failed},
		"000 after an interim response":  {interim + "HTTP/1.1 000 No\r\n" + length, failed},
		"099":                            {"HTTP/1.1 099 No\r\n" + length, failed},
		"600":                            {"HTTP/1.1 600 No\r\n" + length, failed},
		"999":                            {"HTTP/1.1 999 No\r\n" + length, failed},
		"a sign":                         {"HTTP/1.1 +20 No\r\n" + length, failed},
		"protocol switched":              {"HTTP/1.1 101 No\r\nConnection: Upgrade\r\nUpgrade: x\r\n\r\n" + inner, failed},
		"a later HTTP":                   {"HTTP/2.0 200 OK\r\n" + length, failed},
		"blank before the colon":         {"HTTP/1.1 200 OK\r\nX : y\r\n" + length, failed},
		"blank in a name":                {"HTTP/1.1 200 OK\r\nX Y: y\r\n" + length, failed},
		"blank in a name and not run":    {"HTTP/1.1 503 Full\r\nX Y: y\r\n" + notRun + length, failed},
		"length, blank":                  {"HTTP/1.1 200 OK\r\nContent-Length : 2\r\n\r\nfine", failed},
		"chunks, blank":                  {"HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\n" + chunks, failed},
		"chunks in HTTP/1.0":             {"HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n" + chunks, failed},
		"control byte in a name":         {"HTTP/1.1 200 OK\r\nX\x01Y: y\r\n" + length, failed},
		"tab before the colon":           {"HTTP/1.1 200 OK\r\nX\t: y\r\n" + length, failed},
		"blank in a name of an interim":  {"HTTP/1.1 103 Early Hints\r\nX : y\r\n\r\nHTTP/1.1 200 OK\r\n" + length, failed},
		"no response":                    {"good day\r\n\r\n", failed},
		"cut after an interim response":  {interim + "HTTP/1.1 200 OK\r\n", failed},
		"sound":                          {"HTTP/1.1 200 OK\r\n" + length, fine},
		"sound chunks":                   {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n" + chunks, fine},
		"sound until the end":            {"HTTP/1.1 200 OK\r\n\r\nfine", fine},
		"sound after interim responses":  {interim + "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n" + length, fine},
		"sound HTTP/1.0":                 {"HTTP/1.0 200 OK\r\n\r\nfine", fine},
		"sound, with a large head":       {"HTTP/1.1 200 OK\r\nX: " + strings.Repeat("y", 30<<10) + "\r\n" + length, fine},
		"sound, more than the response":  {"HTTP/1.1 200 OK\r\n" + length + inner, fine},
		"not run":                        {"HTTP/1.1 503 Full\r\n" + notRun + "Content-Length: 0\r\n\r\n", outcome{Verdict: "not_run"}},
		"sound, split after a long head": {"HTTP/1.1 200 OK\r\nX: " + strings.Repeat("y", 5000) + "\r\n\r\nfine", fine},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			if diff := cmp.Diff(test.want, call(t, rawserver.Start(t, rawserver.Options{Raw: test.raw}), []byte("{}"))); diff != "" {
				t.Errorf("outcome (-want +got):\n%s", diff)
			}
		})
	}
}
