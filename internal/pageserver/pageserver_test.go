package pageserver_test

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/rcrowley/go-metrics"

	"github.com/hibiscuscove/hibiscuscove/internal/pageserver"
)

// TestPacer checks when transfers at 1,000 bytes/s may start.
func TestPacer(t *testing.T) {
	type reservation struct {
		at, bytes, within int // ms, bytes, ms
		delay             int // ms, or -1 if there is none
	}
	tests := map[string][]reservation{
		"one after the other":            {{0, 100, 500, 0}, {0, 200, 500, 100}, {0, 100, 500, 300}},
		"the link is free again":         {{0, 100, 500, 0}, {150, 100, 500, 0}, {150, 100, 500, 100}},
		"refused transfers take no time": {{0, 600, 500, 0}, {0, 600, 500, -1}, {100, 50, 500, 500}, {100, 50, 500, -1}},
		"longer than the wait":           {{0, 5000, 100, 0}, {4800, 10, 100, -1}, {4900, 10, 100, 100}},
	}
	for name, reservations := range tests {
		t.Run(name, func(t *testing.T) {
			p := pageserver.NewPacer(1000)
			start := time.Now()
			for i, r := range reservations {
				now, within := start.Add(time.Duration(r.at)*time.Millisecond), time.Duration(r.within)*time.Millisecond
				free := p.Free(now, within)
				delay, ok := p.Reserve(now, r.bytes, within)
				if ok != (r.delay >= 0) || free != ok || ok && delay != time.Duration(r.delay)*time.Millisecond {
					t.Errorf("reservation %d: free %v, delay %v, %v, want %d ms", i, free, delay, ok, r.delay)
				}
			}
		})
	}
}

// TestPages checks that peers that ask for the same page at once cause one encoding, and
// that a client that can't decompress gets it as well.
func TestPages(t *testing.T) {
	registry := metrics.NewRegistry()
	server := pageserver.New(pageserver.Options{Now: time.Now, BytesPerS: 1e6, Metrics: registry})
	pages := server.Pages("things")
	content := []string{strings.Repeat("long ", 1000), "end"}
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		pages.Serve(w, r, func() (pageserver.Key, any) { return pageserver.Key{Revision: uint64(len(r.URL.Path))}, content })
	}))
	t.Cleanup(s.Close)
	get := func(path string, plain bool) {
		client := http.Client{Transport: &http.Transport{DisableCompression: plain, DisableKeepAlives: true}}
		resp, err := client.Get(s.URL + path)
		if err != nil {
			t.Error(err)
			return
		}
		defer func() { _ = resp.Body.Close() }()
		var got []string
		if err := json.NewDecoder(resp.Body).Decode(&got); err != nil || resp.Uncompressed == plain {
			t.Errorf("%v, decompressed %v", err, resp.Uncompressed)
		}
		if diff := cmp.Diff(content, got); diff != "" {
			t.Errorf("page (-want +got):\n%s", diff)
		}
	}
	var wg sync.WaitGroup
	for i := range 20 {
		wg.Go(func() { get("/a", i%2 == 0) })
	}
	wg.Wait()
	get("/other", false)
	if n := metrics.GetOrRegisterCounter("peer_pages.encoded", registry).Count(); n != 2 {
		t.Errorf("%d pages encoded, want 2", n)
	}
	if n := metrics.GetOrRegisterCounter("peer_pages.sent", registry).Count(); n != 21 {
		t.Errorf("%d pages sent, want 21", n)
	}
}

// TestBusyServerRefuses checks that a request that would wait too long is refused before
// the state is read.
func TestBusyServerRefuses(t *testing.T) {
	server := pageserver.New(pageserver.Options{Now: time.Now, BytesPerS: 10, Metrics: metrics.NewRegistry()})
	pages := server.Pages("things")
	var got []int
	read := 0
	for range 3 {
		w := httptest.NewRecorder()
		pages.Serve(w, httptest.NewRequestWithContext(t.Context(), http.MethodGet, "/", nil), func() (pageserver.Key, any) {
			read++
			return pageserver.Key{}, "a state that takes more than a second at this rate"
		})
		got = append(got, w.Code)
	}
	if diff := cmp.Diff([]int{200, 503, 503}, got); diff != "" || read != 1 {
		t.Errorf("state read %d times, statuses (-want +got):\n%s", read, diff)
	}
}

// Guards against a herd of peers that each make the VM copy the whole state, of which
// only the first few get one.
func TestStateIsReadOnlyForThoseThatGetIt(t *testing.T) {
	const peers = 40
	server := pageserver.New(pageserver.Options{Now: time.Now, BytesPerS: 10, Metrics: metrics.NewRegistry()})
	pages := server.Pages("things")
	var read, sent atomic.Int64
	var wg sync.WaitGroup
	for range peers {
		wg.Go(func() {
			w := httptest.NewRecorder()
			pages.Serve(w, httptest.NewRequestWithContext(t.Context(), http.MethodGet, "/", nil), func() (pageserver.Key, any) {
				read.Add(1)
				time.Sleep(20 * time.Millisecond)
				return pageserver.Key{}, "a state that takes more than a second at this rate"
			})
			if w.Code == http.StatusOK {
				sent.Add(1)
			}
		})
	}
	wg.Wait()
	if read.Load() != 1 || sent.Load() != 1 {
		t.Errorf("state read %d times, sent %d times, want 1 and 1", read.Load(), sent.Load())
	}
}
