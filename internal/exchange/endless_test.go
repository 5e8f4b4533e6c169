package exchange_test

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/hibiscuscove/hibiscuscove/internal/exchange"
	"github.com/hibiscuscove/hibiscuscove/internal/readlimit"
)

// endlessResponses are what an upstream sends first and then over and over.
var endlessResponses = map[string][2]string{
	"status line":       {"HTTP/1.1 200 ", "y"},
	"no response":       {"", "good day"},
	"field":             {"HTTP/1.1 200 OK\r\nX: ", "y"},
	"fields":            {"HTTP/1.1 200 OK\r\n", "X: y\r\n"},
	"interim responses": {"", "HTTP/1.1 102 Processing\r\n\r\n"},
	"chunk size":        {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "0"},
	"chunk extension":   {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4;", "y"},
	"chunks":            {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\ny\r\n"},
	"trailer":           {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "X: y\r\n"},
	"body":              {"HTTP/1.1 200 OK\r\n\r\n", "y"},
}

// Guards against bytes without end in any part of a response: at full speed the
// exchange must end by a limit, slowly by its context, and the connection must be closed.
func TestEndlessResponses(t *testing.T) {
	pool := readlimit.NewPool(1 << 20)
	for name, text := range endlessResponses {
		for speed, slow := range map[string]bool{"fast": false, "slow": true} {
			t.Run(name+"/"+speed, func(t *testing.T) {
				t.Parallel()
				timeout := 20 * time.Second
				if slow {
					timeout = 100 * time.Millisecond
				}
				ctx, cancel := context.WithTimeout(context.Background(), timeout)
				defer cancel()
				address, closed := serveEndless(t, text[0], text[1], slow)
				start := time.Now()
				err := readWhole(ctx, address, pool)
				if took := time.Since(start); took > timeout+2*time.Second {
					t.Errorf("ended after %v", took)
				}
				if diff := cmp.Diff([]bool{true, slow}, []bool{err != nil, ctx.Err() != nil}); diff != "" {
					t.Errorf("failed and out of time (-want +got):\n%s%v", diff, err)
				}
				select {
				case <-closed:
				case <-time.After(5 * time.Second):
					t.Error("the connection is open")
				}
			})
		}
	}
}

// readWhole sends a request and reads the whole response.
func readWhole(ctx context.Context, address string, pool *readlimit.Pool) error {
	conn, err := exchange.NewDialer(exchange.DialerOptions{ConnectTimeout: time.Second}).Connect(ctx, address)
	if err != nil {
		return err
	}
	defer conn.Close()
	resp, err := conn.Do(exchange.Request{Method: "GET", Target: "/", Host: "h"})
	if err != nil {
		return err
	}
	body, err := pool.ReadAll(ctx, resp.Body, resp.Length)
	if err == nil {
		body.Release()
	}
	return err
}

// serveEndless listens for one connection, reads a request's head and writes first and
// then repeat until the connection is closed, which closes the channel.
func serveEndless(t *testing.T, first, repeat string, slow bool) (address string, closed chan struct{}) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	closed = make(chan struct{})
	go func() {
		defer close(closed)
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer func() { _ = c.Close() }()
		if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
			return
		}
		if !slow {
			repeat = strings.Repeat(repeat, 1000)
		}
		for _, err = io.WriteString(c, first); err == nil; _, err = io.WriteString(c, repeat) {
			if slow {
				time.Sleep(20 * time.Millisecond)
			}
		}
	}()
	return l.Addr().String(), closed
}

// FuzzResponse checks that a response within the limits is read as net/http reads it, unless
// its head can be read in another way too.
func FuzzResponse(f *testing.F) {
	for _, text := range endlessResponses {
		f.Add([]byte(text[0]+text[1]), 1)
		f.Add([]byte(text[0]+text[1]+"\r\n\r\n"), 100)
	}
	f.Add([]byte("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nfine"), 1)
	f.Add([]byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nfine\r\n0\r\nX: y\r\n\r\nelse"), 1)
	f.Add([]byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nX : y\r\n\r\n"), 1)
	f.Add([]byte("HTTP/1.1 000 No\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nfine"), 1)
	f.Add([]byte("HTTP/1.1 200 OK\r\nContent-Length : 4\r\n\r\nfine"), 1)
	f.Add([]byte("HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\nContent-Length: 4\r\n\r\n4\r\nfine\r\n0\r\n\r\n"), 1)
	f.Fuzz(func(t *testing.T, raw []byte, repeat int) {
		raw = bytes.Repeat(raw, min(max(repeat, 1), 200))
		resp, err := exchange.Read(bytes.NewReader(raw), "GET")
		var tooLong *readlimit.Error
		if errors.As(err, &tooLong) {
			return
		}
		want, wantErr := referenceResponse(raw)
		if diff := cmp.Diff(wantErr == nil, err == nil); diff != "" {
			t.Fatalf("read (-want +got):\n%s%v, %v", diff, wantErr, err)
		}
		if err != nil {
			return
		}
		if diff := cmp.Diff([]any{want.StatusCode, want.Header, want.ContentLength}, []any{resp.Status, resp.Header, resp.Length}); diff != "" {
			t.Errorf("head (-want +got):\n%s", diff)
		}
		wantBody, wantErr := io.ReadAll(want.Body)
		for name := range want.Trailer {
			if strings.Contains(name, " ") {
				wantErr = errors.New("ambiguous trailer")
			}
		}
		body, err := io.ReadAll(resp.Body)
		if !bytes.Equal(wantBody, body) || (wantErr == nil) != (err == nil) {
			t.Errorf("body %q, %v, want %q, %v", body, err, wantBody, wantErr)
		}
	})
}

// Heads that can be read in more than one way.
var (
	firstHead    = regexp.MustCompile(`(?s)^.*?\n\r?\n`)
	blankInName  = regexp.MustCompile(`\n[^:\s][^:\n]* [^:\n]*:`)
	badReason    = regexp.MustCompile(`^[^\n]*([\x00-\x08\x0b\x0c\x0e-\x1f\x7f]|\r[^\n])`)
	codingField  = regexp.MustCompile(`(?i)\ntransfer-encoding:`)
	knownVersion = regexp.MustCompile(`^HTTP/1\.`)
)

// isAmbiguous reports whether the first head in raw can be read in more than one way, or has a
// status that does not exist.
func isAmbiguous(raw []byte, resp *http.Response) bool {
	head := firstHead.Find(raw)
	status := resp.StatusCode
	return status < 100 || status == 101 || status > 599 || !knownVersion.Match(head) || badReason.Match(head) || blankInName.Match(head) ||
		resp.ProtoMinor == 0 && codingField.Match(head)
}

// referenceResponse reads the first final response as net/http does.
func referenceResponse(raw []byte) (*http.Response, error) {
	left := bytes.NewReader(raw)
	r := bufio.NewReader(left)
	for {
		start := len(raw) - left.Len() - r.Buffered()
		resp, err := http.ReadResponse(r, &http.Request{Method: "GET"})
		if err != nil {
			return nil, err
		}
		if isAmbiguous(raw[start:], resp) {
			return nil, errors.New("ambiguous response")
		}
		if resp.StatusCode >= http.StatusOK {
			return resp, nil
		}
	}
}
