package entryvm_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hibiscuscove/hibiscuscove/internal/beacon"
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

// sendBeacons sends beacons of a peer whose control address is given to a VM, one each
// 10 ms, for a time. change may set fields of each.
func sendBeacons(t *testing.T, to, control string, period time.Duration, change func(n int, m *beacon.Message)) {
	t.Helper()
	c, err := net.Dial("udp", to)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	start := time.Now()
	for n := 1; time.Since(start) < period; n++ {
		m := beacon.Message{
			Name: "peer", Incarnation: 1, Sequence: uint64(n), Address: c.LocalAddr().String(), Control: control, DataCentre: "sur-a", State: beacon.Serving,
		}
		change(n, &m)
		raw, err := beacon.Pack(m)
		if err != nil {
			t.Fatal(err)
		}
		_, _ = c.Write(raw)
		time.Sleep(10 * time.Millisecond)
	}
}

// Guards against a request to a busy peer for each of its beacons: with a configuration
// that the store came back without, many VMs lack the same at once.
func TestBusyPeersAreNotAskedForEachBeacon(t *testing.T) {
	const period = time.Second
	ports := freePorts(t, "127.0.77.11")
	startVM(t, ports, 11)
	var asked atomic.Int64
	peer := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		asked.Add(1)
		http.Error(w, "busy", http.StatusServiceUnavailable)
	}))
	t.Cleanup(peer.Close)
	sendBeacons(t, fmt.Sprintf("127.0.77.11:%d", ports[0]), strings.TrimPrefix(peer.URL, "http://"), period, func(_ int, m *beacon.Message) { m.Retained = 7 })
	if n := asked.Load(); n == 0 || n > 10 {
		t.Errorf("peer asked %d times in %v, want 1 to 10", n, period)
	}
}
