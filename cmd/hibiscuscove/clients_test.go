package main_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"regexp"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/hibiscuscove/hibiscuscove/internal/standin/badclient"
)

const (
	// clientMemoryMB is the memory of a small VM.
	clientMemoryMB = 112
	clientConns    = 100
	// clientTime is how long a group of clients goes on, clientRecovery how long after
	// its end every ordinary request must be served.
	clientTime     = 3 * time.Second
	clientRecovery = 2 * time.Second
	minBesideShare = 0.95
	ordinaryCount  = 6
)

// peakMemory returns the peak of the resident memory of a process in KiB, and resets it.
func peakMemory(t *testing.T, p *process) int {
	t.Helper()
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	if err != nil {
		t.Fatal("the process has ended:", err)
	}
	found := regexp.MustCompile(`VmHWM:\s+(\d+) kB`).FindSubmatch(raw)
	if found == nil {
		t.Fatal("the process has ended")
	}
	n, _ := strconv.Atoi(string(found[1])) // digits
	_ = os.WriteFile(fmt.Sprintf("/proc/%d/clear_refs", p.cmd.Process.Pid), []byte("5"), 0)
	return n
}

// Guards against clients that hold memory, connections or time of a node of the router's
// own API: a node of a small VM keeps within its memory and serves its ordinary callers.
// The clients run in this process and take so much of its time that tests beside it miss what
// they wait for, so that it runs alone.
func TestMisbehavingClientsOfNode(t *testing.T) {
	for name, test := range map[string]struct {
		control bool
		path    string
	}{
		"callers": {false, "/v1/completions"},
		"control": {true, "/admin/v1/status"},
	} {
		t.Run(name, func(t *testing.T) {
			s := &system{t: t, store: startStandIn(t, "store"), vms: startStandIn(t, "vms"), service: startStandIn(t, "service", "-name", "desk-1")}
			s.engines = append(s.engines, startStandIn(t, "engine", "-name", "engine-1", "-token_time", "5ms"))
			n := s.startNodeWith(0, map[string]any{"memory_mb": clientMemoryMB, "max_body_bytes": 4 << 20})
			s.nodes = []*process{n}
			s.eventually("the node responds", func() bool { return s.get(n.control, "/admin/v1/status").StatusCode == http.StatusOK })
			s.covectl(n, "apply", s.writeFile("set.json", s.configuration()))
			s.eventually("the node serves", func() bool { words, done := s.complete(n, 1); return words == 1 && done })
			address := n.address
			if test.control {
				address = n.control
			}
			target := badclient.Target{Path: test.path, Fields: "Host: h\r\nAuthorization: Bearer " + apiKey + "\r\n", MaxBody: 4 << 20}
			for _, g := range badclient.Groups(target) {
				s.checkNodeBeside(t, n, name+", "+g.Name, func(ctx context.Context) { g.Run(ctx, address, clientConns) })
			}
		})
	}
}

// checkNodeBeside checks a node beside one group of clients.
func (s *system) checkNodeBeside(t *testing.T, n *process, name string, run func(ctx context.Context)) {
	t.Helper()
	peakMemory(t, n)
	start := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), clientTime)
	defer cancel()
	var mu sync.Mutex
	var sent, served, sentAfter, servedAfter int
	var slowest time.Duration
	var wg sync.WaitGroup
	for range ordinaryCount {
		wg.Go(func() {
			for since := time.Since(start); since < clientTime+clientRecovery+time.Second; since = time.Since(start) {
				words, done := s.complete(n, 3)
				ok := 0
				if words == 3 && done {
					ok = 1
				}
				mu.Lock()
				switch {
				case since < clientTime:
					sent, served = sent+1, served+ok
				case since > clientTime+clientRecovery:
					sentAfter, servedAfter = sentAfter+1, servedAfter+ok
				}
				mu.Unlock()
				time.Sleep(20 * time.Millisecond)
			}
		})
	}
	// The same request to a server of the test tells how busy the machine is.
	reference := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	defer reference.Close()
	var busy time.Duration
	wg.Go(func() {
		for time.Since(start) < clientTime {
			at := time.Now()
			_ = s.get(n.control, "/admin/v1/status")
			slowest = max(slowest, time.Since(at))
			at = time.Now()
			_ = s.get(reference.Listener.Addr().String(), "/")
			busy = max(busy, time.Since(at))
			time.Sleep(100 * time.Millisecond)
		}
	})
	run(ctx)
	wg.Wait()
	peak := peakMemory(t, n)
	t.Logf("%s: peak %d KiB, control %v (reference %v), served %d of %d beside, %d of %d after", name, peak, slowest.Round(time.Millisecond), busy.Round(time.Millisecond), served, sent, servedAfter, sentAfter)
	if peak > clientMemoryMB<<10 {
		t.Errorf("%s: %d KiB of memory, want %d at most", name, peak, clientMemoryMB<<10)
	}
	if slowest > time.Second+busy {
		t.Errorf("%s: control took %v, the reference %v", name, slowest, busy)
	}
	if float64(served) < minBesideShare*float64(sent) || sent == 0 {
		t.Errorf("%s: %d of %d ordinary requests served beside", name, served, sent)
	}
	if servedAfter < sentAfter || sentAfter == 0 {
		t.Errorf("%s: %d of %d ordinary requests served after", name, servedAfter, sentAfter)
	}
}
