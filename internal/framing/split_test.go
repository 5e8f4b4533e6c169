package framing_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"github.com/hibiscuscove/hibiscuscove/internal/framing"
)

// memoryListener accepts connections in memory. Each write arrives as one read, or more.
type memoryListener struct{ conns chan net.Conn }

func (l memoryListener) Accept() (net.Conn, error) {
	c, open := <-l.conns
	if !open {
		return nil, net.ErrClosed
	}
	return memoryConn{c}, nil
}

func (memoryListener) Close() error { return nil }

func (memoryListener) Addr() net.Addr { return &net.TCPAddr{} }

// memoryConn ends as a whole in place of its sending side.
type memoryConn struct{ net.Conn }

func (c memoryConn) CloseWrite() error { return c.Close() }

// played is what a server made of a connection.
type played struct {
	// Ran holds the targets and bodies of the requests that the handler took.
	Ran []string
	// Statuses are those of the answers.
	Statuses []int
}

// testServer serves connections in memory and records the requests that run on each.
type testServer struct {
	listener memoryListener
}

// newTestServer starts a server, which ends with the test.
func newTestServer(t *testing.T) *testServer {
	s := &testServer{listener: memoryListener{make(chan net.Conn)}}
	listener := framing.Listener{Listener: s.listener, Now: time.Now}
	server := &http.Server{ConnContext: listener.ConnContext, Handler: http.HandlerFunc(s.handle)}
	go func() { _ = server.Serve(listener) }() // ends with the test
	t.Cleanup(func() {
		close(s.listener.conns)
		_ = server.Close()
	})
	return s
}

func (s *testServer) handle(w http.ResponseWriter, r *http.Request) {
	if framing.Check(r.Context()) != framing.Clear {
		w.Header().Set("Connection", "close")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		w.Header().Set("Connection", "close")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	w.Header().Set("Ran", r.RequestURI+" "+fmt.Sprintf("%x", body))
}

// play sends pieces one after the other on one connection, and returns what became of it.
func (s *testServer) play(pieces []string) played {
	client, server := net.Pipe()
	s.listener.conns <- server
	_ = client.SetDeadline(time.Now().Add(10 * time.Second))
	go func() {
		for _, piece := range pieces {
			if _, err := io.WriteString(client, piece); err != nil {
				return // the server has ended the connection
			}
		}
	}()
	var p played
	in := bufio.NewReader(client)
	for {
		resp, err := http.ReadResponse(in, nil)
		if err != nil {
			_ = client.Close()
			return p
		}
		_, _ = io.Copy(io.Discard, resp.Body) // the head tells
		p.Statuses = append(p.Statuses, resp.StatusCode)
		if ran := resp.Header.Get("Ran"); ran != "" {
			p.Ran = append(p.Ran, ran)
		}
	}
}

const hidden = "POST /hidden HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n"

// last is the last request of a connection.
const last = "GET /last HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"

func head(target, fields string) string {
	return "POST " + target + " HTTP/1.1\r\nHost: h\r\n" + fields + "\r\n"
}

// proper are requests that can be read in one way only.
func proper() map[string]string {
	return map[string]string{
		"no body":        "GET /proper HTTP/1.1\r\nHost: h\r\n\r\n",
		"length":         head("/proper", fmt.Sprintf("Content-Length: %d\r\n", len(hidden))) + hidden,
		"length 0":       head("/proper", "Content-Length: 0\r\n"),
		"chunked":        head("/proper", "Transfer-Encoding: chunked\r\n") + fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(hidden), hidden),
		"two chunks":     head("/proper", "transfer-encoding:Chunked\r\n") + "3\r\nabc\r\n00A\r\n0123456789\r\n0\r\n\r\n",
		"extension":      head("/proper", "Transfer-Encoding: chunked\r\n") + "3;a=b\r\nabc\r\n0;c\r\n\r\n",
		"trailers":       head("/proper", "Transfer-Encoding: chunked\r\nTrailer: X\r\n") + "3\r\nabc\r\n0\r\nX: y\r\n\r\n",
		"no chunk":       head("/proper", "Transfer-Encoding: chunked\r\n") + "0\r\n\r\n",
		"lines as body":  head("/proper", "Content-Length: 4\r\n") + "\r\n\r\n",
		"HTTP/1.0":       "POST /proper HTTP/1.0\r\nHost: h\r\nConnection: keep-alive\r\nContent-Length: 2\r\n\r\nab",
		"spaces, length": head("/proper", "Content-Length: \t 2 \r\n") + "ab",
	}
}

// improper are requests that two servers could read in different ways. What stands in or
// behind them must not run.
func improper() map[string]string {
	const chunked = "Transfer-Encoding: chunked\r\n"
	length := func(n int) string { return fmt.Sprintf("Content-Length: %d\r\n", n) }
	return map[string]string{
		"length and chunked":      head("/x", length(5+len(hidden))+chunked) + "0\r\n\r\n" + hidden,
		"chunked and length":      head("/x", chunked+length(4)) + "0\r\n\r\n" + hidden,
		"chunked twice":           head("/x", chunked+chunked) + "0\r\n\r\n" + hidden,
		"another encoding":        head("/x", chunked+"Transfer-Encoding: identity\r\n") + "0\r\n\r\n" + hidden,
		"list of encodings":       head("/x", "Transfer-Encoding: chunked, identity\r\n") + "0\r\n\r\n" + hidden,
		"unknown encoding":        head("/x", "Transfer-Encoding: xchunked\r\n") + "0\r\n\r\n" + hidden,
		"odd case with length":    head("/x", length(5+len(hidden))+"tRANSFER-eNCODING: cHUNKED\r\n") + "0\r\n\r\n" + hidden,
		"space before colon":      head("/x", "Transfer-Encoding : chunked\r\n") + "0\r\n\r\n" + hidden,
		"tab before colon":        head("/x", "Content-Length\t: 0\r\n") + hidden,
		"folded field":            head("/x", "X: a\r\n Content-Length: 9\r\n") + hidden,
		"folded with a tab":       head("/x", "Transfer-Encoding:\r\n\tchunked\r\n") + "0\r\n\r\n" + hidden,
		"folded request line":     "POST /x HTTP/1.1\r\n Host: h\r\n\r\n" + hidden,
		"bare line feeds":         "POST /x HTTP/1.1\nHost: h\nContent-Length: 0\n\n" + hidden,
		"bare feed in the head":   head("/x", "X: a\nContent-Length: 9\r\n") + hidden,
		"bare feed, empty line":   "POST /x HTTP/1.1\r\nHost: h\n\r\n" + hidden,
		"bare empty line":         "POST /x HTTP/1.1\r\nHost: h\r\n\n" + hidden,
		"bare return":             head("/x", "X: a\rContent-Length: 9\r\n") + hidden,
		"equal lengths":           head("/x", length(0)+length(0)) + hidden,
		"unequal lengths":         head("/x", length(0)+length(len(hidden))) + hidden,
		"list of lengths":         head("/x", "Content-Length: 0, 0\r\n") + hidden,
		"signed length":           head("/x", "Content-Length: +5\r\n") + hidden,
		"negative length":         head("/x", "Content-Length: -1\r\n") + hidden,
		"hexadecimal length":      head("/x", "Content-Length: 0x5\r\n") + hidden,
		"empty length":            head("/x", "Content-Length:\r\n") + hidden,
		"length of 20 digits":     head("/x", "Content-Length: 18446744073709551616\r\n") + hidden,
		"HTTP/1.0 and chunked":    "POST /x HTTP/1.0\r\nHost: h\r\nConnection: keep-alive\r\n" + chunked + "\r\n" + "0\r\n\r\n" + hidden,
		"size with a space":       head("/x", chunked) + "3 \r\nabc\r\n0\r\n\r\n" + hidden,
		"signed size":             head("/x", chunked) + "+3\r\nabc\r\n0\r\n\r\n" + hidden,
		"size with a prefix":      head("/x", chunked) + "0x3\r\nabc\r\n0\r\n\r\n" + hidden,
		"size overflow":           head("/x", chunked) + "10000000000000003\r\nabc\r\n0\r\n\r\n" + hidden,
		"no size":                 head("/x", chunked) + "\r\nabc\r\n0\r\n\r\n" + hidden,
		"bare feed after size":    head("/x", chunked) + "3\nabc\r\n0\r\n\r\n" + hidden,
		"bare feed, extension":    head("/x", chunked) + "3;a\nb\r\nabc\r\n0\r\n\r\n" + hidden,
		"bare return, extension":  head("/x", chunked) + "3;a\rb\r\nabc\r\n0\r\n\r\n" + hidden,
		"longer chunk":            head("/x", chunked) + "3\r\nabcd\r\n0\r\n\r\n" + hidden,
		"bare feed after chunk":   head("/x", chunked) + "3\r\nabc\n0\r\n\r\n" + hidden,
		"bare feed at the end":    head("/x", chunked) + "0\r\n\n" + hidden,
		"length as a trailer":     head("/x", chunked) + "0\r\nContent-Length: 5\r\n\r\n" + hidden,
		"encoding as a trailer":   head("/x", chunked) + "0\r\nTransfer-Encoding: chunked\r\n\r\n" + hidden,
		"folded trailer":          head("/x", chunked) + "0\r\nX: y\r\n z: 1\r\n\r\n" + hidden,
		"trailer without a colon": head("/x", chunked) + "0\r\nxyz\r\n\r\n" + hidden,
	}
}

// split cuts a text at places.
func split(text string, at ...int) []string {
	slices.Sort(at)
	var pieces []string
	from := 0
	for _, i := range at {
		pieces = append(pieces, text[from:i])
		from = i
	}
	return append(pieces, text[from:])
}

// Guards against UNASKED: a request that stands in the body of another one runs, or one
// behind a request that can be read in two ways. Each improper request is cut at every place,
// before and behind a proper one.
func TestImproperRequestsEndTheConnection(t *testing.T) {
	t.Parallel()
	before := proper()["length"]
	ran := "/proper " + fmt.Sprintf("%x", hidden)
	for name, request := range improper() {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newTestServer(t)
			text := before + request + last
			for at := range text {
				got := s.play(split(text, at))
				if diff := cmp.Diff([]string{ran}, got.Ran); diff != "" {
					t.Fatalf("cut at %q|%q: ran (-want +got):\n%s", text[:at], text[at:], diff)
				}
				if n := len(got.Statuses); n != 2 || got.Statuses[1] < 400 {
					t.Fatalf("cut at %q|%q: answers %v, want one refusal", text[:at], text[at:], got.Statuses)
				}
			}
		})
	}
}

// TestProperRequestsRun checks that proper requests run once each, in order, wherever they
// are cut and however many are sent ahead.
func TestProperRequestsRun(t *testing.T) {
	t.Parallel()
	for name, request := range proper() {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newTestServer(t)
			text := request + request + last
			want := s.play([]string{request + last})
			if diff := cmp.Diff([]int{200, 200}, want.Statuses); diff != "" {
				t.Fatalf("answers (-want +got):\n%s", diff)
			}
			wantBoth := played{append([]string{want.Ran[0]}, want.Ran...), []int{200, 200, 200}}
			for at := range text {
				if diff := cmp.Diff(wantBoth, s.play(split(text, at))); diff != "" {
					t.Fatalf("cut at %q|%q (-want +got):\n%s", text[:at], text[at:], diff)
				}
			}
		})
	}
}

// Guards against verdicts that depend on how the bytes of a connection are divided: any
// sequence of proper and improper requests, cut at any places, has the outcome of one write.
func TestOutcomeDoesNotDependOnCuts(t *testing.T) {
	s := newTestServer(t)
	var requests []string
	for _, kind := range []map[string]string{proper(), proper(), improper()} {
		for _, text := range kind {
			requests = append(requests, text)
		}
	}
	slices.Sort(requests)
	rapid.Check(t, func(t *rapid.T) {
		text := strings.Join(rapid.SliceOfN(rapid.SampledFrom(requests), 1, 5).Draw(t, "requests"), "") + last
		cuts := rapid.SliceOfN(rapid.IntRange(0, len(text)), 0, 12).Draw(t, "cuts")
		want := s.play([]string{text})
		if diff := cmp.Diff(want, s.play(split(text, cuts...))); diff != "" {
			t.Fatalf("cut at %v (-one write +cut):\n%s", cuts, diff)
		}
		for _, ran := range want.Ran {
			if strings.HasPrefix(ran, "/hidden") {
				t.Fatalf("ran: %v", want.Ran)
			}
		}
	})
}
