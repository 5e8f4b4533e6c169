package framing_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/hibiscuscove/hibiscuscove/internal/framing"
)

// BenchmarkKeptConnection measures requests with a body on one connection over loopback.
func BenchmarkKeptConnection(b *testing.B) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	listener := framing.Listener{Listener: inner, Now: time.Now}
	server := &http.Server{ConnContext: listener.ConnContext, Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if framing.Check(r.Context()) != framing.Clear {
			b.Error("refused")
		}
		_, _ = io.Copy(io.Discard, r.Body) // the client would notice
	})}
	go func() { _ = server.Serve(listener) }() // ends with the benchmark
	defer func() { _ = server.Close() }()
	c, err := net.Dial("tcp", inner.Addr().String())
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	request := []byte(head("/x", "Content-Length: 1000\r\nX-One: a\r\nX-Two: b\r\n") + string(make([]byte, 1000)))
	in := bufio.NewReader(c)
	for b.Loop() {
		if _, err := c.Write(request); err != nil {
			b.Fatal(err)
		}
		resp, err := http.ReadResponse(in, nil)
		if err != nil {
			b.Fatal(err)
		}
		_ = resp.Body.Close()
	}
}
