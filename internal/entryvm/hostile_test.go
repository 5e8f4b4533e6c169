package entryvm_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// Guards against MIXED: net/http answered this request with a success of its own.
func TestRequestWithoutPathIsRefused(t *testing.T) {
	ports := freePorts(t, "127.0.77.10")
	startVM(t, ports, 10)
	c, err := net.Dial("tcp", fmt.Sprintf("127.0.77.10:%d", ports[1]))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(5 * time.Second))
	if _, err := io.WriteString(c, "OPTIONS * HTTP/1.1\r\nHost: desk.example\r\nRequest-Attempt-Id: a1\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatal(err)
	}
	if _ = resp.Body.Close(); resp.StatusCode < http.StatusBadRequest {
		t.Errorf("status %d without an upstream, want an error", resp.StatusCode)
	}
}
