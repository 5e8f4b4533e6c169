package entryvm_test

import (
	"compress/gzip"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/hibiscuscove/hibiscuscove/internal/registry"
	"github.com/hibiscuscove/hibiscuscove/internal/routing"
)

const (
	// smallLink is the bandwidth in bytes/s of the smallest VMs of the users' deployments.
	smallLink = 10e6 / 8
	// applyTime is the users' limit for a change of the configuration to be in force.
	applyTime = 2 * time.Second
)

// configurationOf returns a configuration object with a number of routes.
func configurationOf(routes int) string {
	rng := rand.New(rand.NewPCG(1, uint64(routes)))
	var list []string
	for range routes {
		list = append(list, fmt.Sprintf(`{"name":"r-%07x","hostname":"h%04x.example","path_prefix":"/p%08x/","kind":"streaming","timeout_ms":4000,
			"target_latency_ms":500,"traffic_split":[{"backend":"lm","weight":100}],"max_attempts":2,"resumable":true,"gap_target_ms":400}`,
			rng.Uint32()>>4, rng.Uint32()>>16, rng.Uint32()))
	}
	return `{"metadata":{"name":"main","revision":9},"spec":{"version":7,"services":[{"name":"lm"}],"routes":[` + strings.Join(list, ",") + `]}}`
}

// serveStore serves a store that holds a configuration and a list of upstreams, until the
// test ends.
func serveStore(t *testing.T, address, configuration, upstreams string) {
	t.Helper()
	listener, err := net.Listen("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch {
		case r.URL.Query().Has("watch"):
			<-r.Context().Done()
		case strings.HasSuffix(r.URL.Path, "/config"):
			_, _ = fmt.Fprintf(w, `{"store_revision":9,"items":[%s]}`, configuration)
		case strings.HasSuffix(r.URL.Path, "/servers"):
			_, _ = fmt.Fprintf(w, `{"store_revision":9,"items":[%s]}`, upstreams)
		default:
			_, _ = io.WriteString(w, `{"store_revision":9,"items":[]}`)
		}
	})}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
}

// download fetches the configurations after a revision as a peer does. It returns the
// bytes of the response's body, and the number of routes, 0 if the VM did not serve it.
func download(t *testing.T, control string, since int) (size, routes int) {
	t.Helper()
	r, err := http.NewRequestWithContext(t.Context(), http.MethodGet, fmt.Sprintf("http://%s/v1/collections/configurations?since=%d&era=0", control, since), nil)
	if err != nil {
		t.Error(err)
		return 0, 0
	}
	r.Header.Set("Accept-Encoding", "gzip")
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(r)
	if err != nil {
		t.Error(err)
		return 0, 0
	}
	defer func() { _ = resp.Body.Close() }()
	raw, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Error(err)
	}
	if resp.StatusCode != http.StatusOK {
		return len(raw), 0
	}
	var body io.Reader = strings.NewReader(string(raw))
	if resp.Header.Get("Content-Encoding") == "gzip" {
		if body, err = gzip.NewReader(body); err != nil {
			t.Error(err)
			return len(raw), 0
		}
	}
	var page registry.Page[routing.Document]
	if err := json.NewDecoder(body).Decode(&page); err != nil || len(page.Items) != 1 {
		t.Errorf("page with %d items: %v", len(page.Items), err)
		return len(raw), 0
	}
	return len(raw), len(page.Items[0].Value.Routes)
}

// Guards against answers that wait on a small VM's link behind tens of copies of the
// configuration, which its peers fetch at once after a change.
func TestDownloadsLeaveRoomOnTheLink(t *testing.T) {
	const peers = 40
	for _, routes := range []int{44, 444, 2600} {
		t.Run(fmt.Sprintf("%d routes", routes), func(t *testing.T) {
			ports := freePorts(t, "127.0.77.9")
			serveStore(t, fmt.Sprintf("127.0.77.9:%d", ports[5]), configurationOf(routes), "")
			vm, _ := startVM(t, ports, 9)
			control := fmt.Sprintf("127.0.77.9:%d", ports[4])
			waitFor(t, "the configuration", func() bool { return vm.ConfigurationVersion() == 7 })

			var mu sync.Mutex
			var wg sync.WaitGroup
			total, largest, served := 0, 0, 0
			start := time.Now()
			for i := range peers {
				wg.Go(func() {
					for time.Since(start) < applyTime {
						size, got := download(t, control, 1+i%5)
						mu.Lock()
						total, largest = total+size, max(largest, size)
						mu.Unlock()
						if got != 0 {
							if got != routes {
								t.Errorf("%d routes, want %d", got, routes)
							}
							mu.Lock()
							served++
							mu.Unlock()
							return
						}
						time.Sleep(150 * time.Millisecond)
					}
				})
			}
			wg.Wait()
			elapsed := time.Since(start)
			t.Logf("%d of %d peers served in %v, %d bytes, at most %d at once", served, peers, elapsed.Round(time.Millisecond), total, largest)
			if limit := smallLink/2*elapsed.Seconds() + float64(largest); float64(total) > limit {
				t.Errorf("%d bytes sent in %v, want at most %.0f, half of the link", total, elapsed, limit)
			}
			// Peers that have it serve others: with three in a quarter of the time it
			// reaches 4 x 4 x 4 x 4 VMs.
			if served < 12 {
				t.Errorf("%d peers served in %v, want 12 or more", served, elapsed)
			}
		})
	}
}
