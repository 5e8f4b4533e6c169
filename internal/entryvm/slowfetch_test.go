package entryvm_test

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hibiscuscove/hibiscuscove/internal/beacon"
	"github.com/hibiscuscove/hibiscuscove/internal/registry"
	"github.com/hibiscuscove/hibiscuscove/internal/routing"
)

// compressedPage returns a page with a configuration of a number of routes.
func compressedPage(t *testing.T, routes int) []byte {
	t.Helper()
	rng := rand.New(rand.NewPCG(3, 3))
	d := routing.Document{Version: 15, Services: []routing.Service{{Name: "desk"}}}
	for range routes {
		d.Routes = append(d.Routes, routing.Route{
			Name: fmt.Sprintf("r-%07x", rng.Uint32()), Host: fmt.Sprintf("h%04x.example", rng.Uint32()), Prefix: fmt.Sprintf("/p%08x/", rng.Uint32()),
			Timeout: 3 * time.Second, MaxAttempts: 1, Targets: []routing.Target{{Service: "desk", Weight: 1}},
		})
	}
	var b bytes.Buffer
	w := gzip.NewWriter(&b)
	page := registry.Page[routing.Document]{Revision: 9, Items: []registry.Item[routing.Document]{{Name: "main", Revision: 9, Value: d}}}
	if err := json.NewEncoder(w).Encode(page); err != nil {
		t.Fatal(err)
	}
	if err := w.Close(); err != nil {
		t.Fatal(err)
	}
	return b.Bytes()
}

// announce sends beacons of a peer that watches the store and has a revision of the
// configuration until the test ends. serve serves its pages.
func announce(t *testing.T, target, ip string, revision *atomic.Uint64, serve http.HandlerFunc) {
	t.Helper()
	control, err := net.Listen("tcp", ip+":0")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: serve}
	go func() { _ = server.Serve(control) }()
	t.Cleanup(func() { _ = server.Close() })
	conn, err := net.Dial("udp", target)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	go func() {
		for sequence := uint64(1); t.Context().Err() == nil; sequence++ {
			raw, err := beacon.Pack(beacon.Message{
				Name: ip, Incarnation: 1, Sequence: sequence, Address: ip + ":9", Control: control.Addr().String(), DataCentre: "sur-a", State: beacon.Serving,
				Revisions: beacon.NewRevisions(registry.Position{Revision: revision.Load()}, registry.Position{}, registry.Position{}),
				Watching:  true, LinkMbps: 100_000,
			})
			if err != nil {
				t.Error(err)
				return
			}
			_, _ = conn.Write(raw)
			time.Sleep(150 * time.Millisecond)
		}
	}()
}

// sendSlowly writes the parts of a compressed page, each after a pause.
func sendSlowly(w http.ResponseWriter, page []byte, parts int, pause time.Duration) {
	w.Header().Set("Content-Encoding", "gzip")
	for i := range parts {
		time.Sleep(pause)
		_, _ = w.Write(page[i*len(page)/parts : (i+1)*len(page)/parts])
		_ = http.NewResponseController(w).Flush()
	}
}

// configTime is the users' limit for a configuration to be in force in a large fleet.
const configTime = 3 * time.Second

// Guards against CONFIG: a VM gave up each download of a large configuration that took
// longer than 0.7 s and began anew, so that it never had it.
func TestSlowDownloadsArrive(t *testing.T) {
	t.Parallel()
	page := compressedPage(t, 4200)
	slow := func(w http.ResponseWriter, _ *http.Request) { sendSlowly(w, page, 24, 35*time.Millisecond) }
	tests := map[string]struct {
		number int
		peers  []http.HandlerFunc
	}{
		"slow link": {31, []http.HandlerFunc{slow}},
		"silent peer, then a slow link": {32, []http.HandlerFunc{
			func(w http.ResponseWriter, r *http.Request) {
				sendSlowly(w, page[:len(page)/2], 2, 0)
				<-r.Context().Done()
			}, slow,
		}},
		"peer that never ends, then a slow link": {33, []http.HandlerFunc{
			func(w http.ResponseWriter, _ *http.Request) { sendSlowly(w, page, len(page), 100*time.Millisecond) }, slow,
		}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			ip := fmt.Sprintf("127.0.77.%d", test.number)
			ports := freePorts(t, ip)
			vm, _ := startVM(t, ports, test.number)
			started := time.Now()
			var revision atomic.Uint64
			revision.Store(9)
			for i, serve := range test.peers {
				announce(t, fmt.Sprintf("%s:%d", ip, ports[0]), fmt.Sprintf("127.0.78.%d", 10*test.number%250+i), &revision, serve)
				time.Sleep(300 * time.Millisecond)
			}
			for vm.ConfigurationVersion() != 15 && time.Since(started) < 2*configTime {
				time.Sleep(10 * time.Millisecond)
			}
			if took := time.Since(started); took > configTime {
				t.Errorf("version %d in force after %v, want 15 within %v", vm.ConfigurationVersion(), took, configTime)
			}
		})
	}
}

// Guards against CONFIG: a VM that does not watch the store heard of a version, and no peer
// had time to send it.
func TestOverdueStateIsReadFromTheStore(t *testing.T) {
	t.Parallel()
	const ip, fleet = "127.0.77.34", 14
	ports := freePorts(t, ip)
	listener, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, ports[5]))
	if err != nil {
		t.Fatal(err)
	}
	var revision atomic.Uint64
	revision.Store(5)
	store := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		waitMS, _ := strconv.Atoi(r.URL.Query().Get("wait_ms")) // 0 for lists
		for end := time.Now().Add(time.Duration(waitMS) * time.Millisecond); time.Now().Before(end) && revision.Load() == 5; {
			time.Sleep(5 * time.Millisecond)
		}
		config := ""
		if strings.HasSuffix(r.URL.Path, "/config") && revision.Load() == 9 {
			config = strings.Replace(configurationOf(2), `"version":7`, `"version":15`, 1)
		} else if strings.HasSuffix(r.URL.Path, "/config") && waitMS == 0 {
			config = strings.Replace(configurationOf(2), `"revision":9`, `"revision":5`, 1)
		}
		if waitMS == 0 {
			_, _ = fmt.Fprintf(w, `{"store_revision":%d,"items":[%s]}`, revision.Load(), config)
			return
		}
		if config != "" {
			config = `{"object":` + config + `}`
		}
		_, _ = fmt.Fprintf(w, `{"store_revision":%d,"events":[%s]}`, revision.Load(), config)
	})}
	go func() { _ = store.Serve(listener) }()
	t.Cleanup(func() { _ = store.Close() })
	vm, _ := startVM(t, ports, 34)
	waitFor(t, "the first configuration", func() bool { return vm.ConfigurationVersion() == 7 })
	busy := func(w http.ResponseWriter, _ *http.Request) { http.Error(w, "busy", http.StatusServiceUnavailable) }
	for i := range fleet {
		announce(t, fmt.Sprintf("%s:%d", ip, ports[0]), fmt.Sprintf("127.0.79.%d", 1+i), &revision, busy)
	}
	time.Sleep(5 * time.Second) // watches under way end, and the VM leaves them to the others
	revision.Store(9)
	started := time.Now()
	for vm.ConfigurationVersion() != 15 && time.Since(started) < 2*configTime {
		time.Sleep(10 * time.Millisecond)
	}
	if took := time.Since(started); took > configTime {
		t.Errorf("version %d in force after %v, want 15 within %v", vm.ConfigurationVersion(), took, configTime)
	}
}
