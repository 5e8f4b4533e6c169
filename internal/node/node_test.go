package node_test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/hibiscuscove/hibiscuscove/internal/settings"
	"github.com/hibiscuscove/hibiscuscove/internal/standin"
	"github.com/hibiscuscove/hibiscuscove/internal/standin/modelengine"
)

// TestEndToEnd sends a streamed and a plain completion through every node, then a
// filing, a lookup of its outcome and a resend through different nodes.
func TestEndToEnd(t *testing.T) {
	t.Parallel()
	f := newFleet(t, fleetOptions{nodes: 3})
	for _, n := range f.nodes {
		if err := f.complete(n, 16).check(16); err != nil {
			t.Errorf("%s: streamed: %v", n.settings.Name, err)
		}
		r := f.call(n, "/v1/completions", completionBody(8, false), callOptions{})
		if r.status != http.StatusOK || r.verdict != "ran" || !strings.Contains(r.body, `"finish_reason":"stop"`) {
			t.Errorf("%s: unstreamed: %+v", n.settings.Name, r)
		}
	}
	key := newKey()
	first := f.sendFiling(f.nodes[0], key, "filing")
	f.eventually("the outcome is recorded", func() bool {
		return f.call(f.nodes[1], "/v1/requests/"+key, "", callOptions{method: http.MethodGet}).verdict == "ran"
	})
	resend := f.sendFiling(f.nodes[2], key, "filing")
	if diff := cmp.Diff([]string{first.body, "ran", "true"}, []string{resend.body, resend.verdict, resend.header.Get("Hibiscuscove-Replayed")}); diff != "" {
		t.Errorf("resend (-want +got):\n%s", diff)
	}
	if got := f.Runs("filing"); got != 1 {
		t.Errorf("the filing ran %d times", got)
	}
}

// TestRejections sends invalid requests. Each must be rejected with its status, its
// error code and the verdict not_run, and none may run.
func TestRejections(t *testing.T) {
	t.Parallel()
	f := newFleet(t, fleetOptions{nodes: 1})
	n := f.nodes[0]
	model := "/v1/completions"
	filing := "/services/" + standin.DeploymentServiceRoute + "/lodge"
	tests := map[string]struct {
		path string
		body string
		opts callOptions
		want int
		code string
	}{
		"no key":               {model, completionBody(1, true), callOptions{header: map[string]string{"Authorization": "Basic x"}}, 401, "missing_key"},
		"unknown key":          {model, completionBody(1, true), callOptions{key: "nobody"}, 401, "unknown_key"},
		"foreign model route":  {model, completionBody(1, true), callOptions{key: standin.DeploymentOtherKey}, 404, "unknown_route"},
		"foreign service":      {filing, "x", callOptions{key: standin.DeploymentOtherKey, idempotencyKey: newKey()}, 404, "unknown_route"},
		"unknown route":        {"/services/nothing/x", "x", callOptions{}, 404, "unknown_route"},
		"unknown path":         {"/v2/completions", "{}", callOptions{}, 404, "unknown_path"},
		"empty path element":   {"/services//lookups/x", "x", callOptions{}, 400, "unclean_path"},
		"dotted path element":  {"/services/lookups/../filings/x", "x", callOptions{}, 400, "unclean_path"},
		"wrong method":         {model, "", callOptions{method: http.MethodDelete}, 404, "unknown_path"},
		"not JSON":             {model, "{", callOptions{}, 400, "bad_json"},
		"wrong type":           {model, `{"model":7}`, callOptions{}, 400, "bad_field"},
		"no model":             {model, `{"prompt":"x"}`, callOptions{}, 400, "missing_field"},
		"deep nesting":         {model, `{"model":"x","a":` + strings.Repeat("[", 100) + strings.Repeat("]", 100) + `}`, callOptions{}, 400, "nesting_too_deep"},
		"large body":           {model, strings.Repeat("x", 9<<20), callOptions{}, 413, "body_too_large"},
		"long target":          {"/v1/completions?" + strings.Repeat("x", 9<<10), "{}", callOptions{}, 414, "target_too_long"},
		"no idempotency key":   {filing, "x", callOptions{}, 400, "missing_idempotency_key"},
		"bad idempotency key":  {filing, "x", callOptions{idempotencyKey: "17"}, 400, "bad_idempotency_key"},
		"random UUID as a key": {filing, "x", callOptions{idempotencyKey: "7f459562-12ad-4923-8d70-6d895fef9217"}, 400, "bad_idempotency_key"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			r := f.call(n, tt.path, tt.body, tt.opts)
			want := fmt.Sprintf("%d %s not_run", tt.want, tt.code)
			got := fmt.Sprintf("%d %s %s", r.status, r.code(), r.verdict)
			if diff := cmp.Diff(want, got); diff != "" {
				t.Errorf("(-want +got):\n%s%s", diff, r.body)
			}
		})
	}
	if got := f.ServiceRuns() + f.EngineRuns(); got != 0 {
		t.Errorf("%d rejected requests have run", got)
	}
}

// TestServicePaths checks that a plain service gets paths and queries exactly as the
// caller wrote them.
func TestServicePaths(t *testing.T) {
	t.Parallel()
	f := newFleet(t, fleetOptions{nodes: 1})
	for _, target := range []string{"/", "/a/b", "/a%2Fb", "/a%20b?q=1&r=%26", "/a/", "/?x", "/caf%C3%A9"} {
		r := f.call(f.nodes[0], "/services/"+standin.DeploymentLookupRoute+target, "", callOptions{method: http.MethodGet})
		want := fmt.Sprintf("\"path\":%q", strings.TrimSuffix(target, "?"))
		if r.status != http.StatusOK || !strings.Contains(r.body, want) {
			t.Errorf("%s: status %d, want %s in %s", target, r.status, want, r.body)
		}
	}
}

// TestLongHeader checks that a header over the limit is rejected with status 431.
func TestLongHeader(t *testing.T) {
	t.Parallel()
	f := newFleet(t, fleetOptions{nodes: 1})
	r := f.call(f.nodes[0], "/v1/models", "", callOptions{method: http.MethodGet, header: map[string]string{"X-Long": strings.Repeat("x", 64<<10)}})
	if r.status != http.StatusRequestHeaderFieldsTooLarge {
		t.Errorf("status %d, want 431", r.status)
	}
}

// TestControlNeedsCredentials checks that the control address rejects calls with a
// wrong token.
func TestControlNeedsCredentials(t *testing.T) {
	t.Parallel()
	f := newFleet(t, fleetOptions{nodes: 1})
	control := &testNode{settings: f.nodes[0].settings}
	control.settings.Listen = control.settings.ControlListen
	for name, path := range map[string]string{
		"dump":     "/admin/v1/dump",
		"exchange": "/twirp/hibiscuscove.peerrpc.Peer/Exchange",
	} {
		t.Run(name, func(t *testing.T) {
			method := http.MethodPost
			if name == "dump" {
				method = http.MethodGet
			}
			r := f.call(control, path, "{}", callOptions{method: method, key: "wrong"})
			if r.status != http.StatusUnauthorized || !r.notRun() {
				t.Errorf("status %d, verdict %q", r.status, r.verdict)
			}
		})
	}
}

// TestDumpHasNoSecrets checks that a node's dump contains none of its tokens and
// keys.
func TestDumpHasNoSecrets(t *testing.T) {
	t.Parallel()
	f := newFleet(t, fleetOptions{nodes: 1})
	raw, err := f.admin(f.nodes[0], http.MethodGet, "dump", nil)
	if err != nil {
		t.Fatal(err)
	}
	for _, secret := range []string{adminToken, "peer-token-of-tests", standin.DeploymentKey} {
		if strings.Contains(string(raw), secret) {
			t.Errorf("the dump contains %q", secret)
		}
	}
}

// TestGracefulStop stops a node with open streams, while callers that cached a
// response of /v1/entry keep connecting to it. Every request must complete.
//
// It does not run in parallel with other tests, since it uses all processors.
func TestGracefulStop(t *testing.T) {
	const streams, tokens = 500, 20
	f := newFleet(t, fleetOptions{
		nodes: 2,
		dep: standin.DeploymentOptions{
			Engine:           modelengine.Options{TokenInterval: 60 * time.Millisecond},
			FirstByteTimeout: testTimeout,
			EventTimeout:     testTimeout,
			Deadline:         2 * testTimeout,
		},
		adjust: func(_ int, s *settings.Settings) {
			s.SilenceMS = settings.Default().SilenceMS
			s.EntryTTLMS = 2000
		},
	})
	leaving := f.nodes[0]
	var wg sync.WaitGroup
	results := make(chan error, 2*streams)
	open := func() {
		wg.Go(func() { results <- f.complete(leaving, tokens).check(tokens) })
	}
	for range streams {
		open()
	}
	time.Sleep(300 * time.Millisecond)
	leaving.stop()
	ttl := leaving.settings.EntryTTL()
	// Requests keep arriving as long as callers may cache the response of /v1/entry,
	// in bursts with long pauses between them.
	for started := time.Now(); time.Since(started) < ttl; {
		for range 5 {
			open()
			time.Sleep(5 * time.Millisecond)
		}
		time.Sleep(ttl / 4)
	}
	wg.Wait()
	close(results)
	for err := range results {
		if err != nil {
			t.Fatal(err)
		}
	}
	select {
	case err := <-leaving.done:
		leaving.done <- err
	case <-time.After(testTimeout):
		t.Fatal("the node did not stop by itself")
	}
	for range 20 {
		r := f.call(f.nodes[1], "/v1/entry", "", callOptions{method: http.MethodGet})
		if strings.Contains(r.body, leaving.settings.Name) {
			t.Fatalf("/v1/entry names a stopped node: %s", r.body)
		}
	}
}

// TestCallerDisconnects checks that the engine's stream is cancelled when the caller
// disconnects in mid-stream.
func TestCallerDisconnects(t *testing.T) {
	t.Parallel()
	f := newFleet(t, fleetOptions{
		nodes: 1,
		dep:   standin.DeploymentOptions{Engines: 1, Engine: modelengine.Options{TokenInterval: 20 * time.Millisecond}},
	})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go f.call(f.nodes[0], "/v1/completions", completionBody(1000, true), callOptions{ctx: ctx})
	f.eventually("the engine runs the request", func() bool { return f.Engines[0].Runs() == 1 })
	cancel()
	f.eventually("the engine's stream is cancelled", func() bool { return f.Engines[0].Cancelled() == 1 })
}

// openWithoutReading sends a request for a completion and returns the
// connection without reading the response.
func openWithoutReading(t *testing.T, n *testNode, body string) (net.Conn, *bufio.Reader) {
	t.Helper()
	c, err := net.Dial("tcp", n.settings.Listen)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	_, err = fmt.Fprintf(c, "POST /v1/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s", standin.DeploymentKey, len(body), body)
	if err != nil {
		t.Fatal(err)
	}
	return c, bufio.NewReader(c)
}

// counter returns the value of a node's counter, or 0 if it has none of that name.
func (f *fleet) counter(n *testNode, name string) int {
	raw, err := f.admin(n, http.MethodGet, "metrics", nil)
	if err != nil {
		f.t.Fatal(err)
	}
	var metrics map[string]map[string]any
	if err := json.Unmarshal(raw, &metrics); err != nil {
		f.t.Fatal(err)
	}
	count, _ := metrics[name]["count"].(float64)
	return int(count)
}

// TestSlowCaller has a caller that does not read for a while. The node must read no more events from
// the engine than fit in buffers, and the stream must arrive complete in the end.
func TestSlowCaller(t *testing.T) {
	t.Parallel()
	const tokens = 100_000
	f := newFleet(t, fleetOptions{nodes: 1, dep: standin.DeploymentOptions{Engines: 1, FirstByteTimeout: testTimeout, EventTimeout: testTimeout, Deadline: 4 * testTimeout}})
	_, reader := openWithoutReading(t, f.nodes[0], completionBody(tokens, true))
	f.eventually("the node stops reading events", func() bool {
		before := f.counter(f.nodes[0], "streams.events")
		time.Sleep(300 * time.Millisecond)
		return before > 0 && f.counter(f.nodes[0], "streams.events") == before
	})
	if read := f.counter(f.nodes[0], "streams.events"); read >= tokens {
		t.Errorf("the node read all %d events from the engine", read)
	}
	resp, err := http.ReadResponse(reader, nil)
	if err != nil {
		t.Fatal(err)
	}
	words, done := 0, false
	for lines := bufio.NewScanner(resp.Body); lines.Scan(); {
		words += strings.Count(lines.Text(), `"text":"w`)
		done = done || lines.Text() == "data: [DONE]"
	}
	if words != tokens || !done {
		t.Errorf("%d words, done %t", words, done)
	}
}

// TestCallerThatStopsReading checks that the engine's stream is cancelled when a
// caller has not read for longer than the caller timeout.
func TestCallerThatStopsReading(t *testing.T) {
	t.Parallel()
	f := newFleet(t, fleetOptions{
		nodes:  1,
		dep:    standin.DeploymentOptions{Engines: 1, FirstByteTimeout: testTimeout, EventTimeout: testTimeout, Deadline: 4 * testTimeout},
		adjust: func(_ int, s *settings.Settings) { s.CallerTimeoutMS = 300 },
	})
	openWithoutReading(t, f.nodes[0], completionBody(400_000, true))
	f.eventually("the engine's stream is cancelled", func() bool { return f.Engines[0].Cancelled() == 1 })
}

// Guards against answers that only look complete: a caller that had ended its sending side
// got an empty response with status 200, or the end of a stream that had been given up.
func TestHalfClosedCallerGetsNoFalseAnswer(t *testing.T) {
	t.Parallel()
	tests := map[string]struct {
		stream bool
		// want is the status, 0 for a response that is cut.
		want int
	}{
		"joined":   {false, http.StatusBadGateway},
		"streamed": {true, 0},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFleet(t, fleetOptions{
				nodes: 1,
				dep:   standin.DeploymentOptions{Engines: 1, Engine: modelengine.Options{TokenInterval: 20 * time.Millisecond}},
			})
			c, reader := openWithoutReading(t, f.nodes[0], completionBody(1000, tt.stream))
			if tt.stream {
				if _, err := reader.Peek(1); err != nil {
					t.Fatal(err)
				}
			}
			f.eventually("the engine runs the request", func() bool { return f.Engines[0].Runs() == 1 })
			if err := c.(*net.TCPConn).CloseWrite(); err != nil {
				t.Fatal(err)
			}
			_ = c.SetReadDeadline(time.Now().Add(testTimeout))
			resp, err := http.ReadResponse(reader, nil)
			if err != nil {
				t.Fatal(err)
			}
			body, err := io.ReadAll(resp.Body)
			got := resp.StatusCode
			if err != nil {
				got = 0
			}
			if got != tt.want {
				t.Errorf("status %d, %d bytes, error %v, want status %d", resp.StatusCode, len(body), err, tt.want)
			}
		})
	}
}
