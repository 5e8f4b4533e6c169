package entryvm_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/hibiscuscove/hibiscuscove/internal/entryvm"
)

// Guards against states that are fetched late from peers, because kept connections to
// each of them have fallen silent and are given up one after the other.
func TestSilentConnectionsDelayNoFetch(t *testing.T) {
	const peers = 4
	client := entryvm.NewPeerClient()
	silent := make(chan struct{})
	var addresses []string
	for range peers {
		var mu sync.Mutex
		served := make(map[string]bool) // by the address of the connection's other end
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			mu.Lock()
			again := served[r.RemoteAddr]
			served[r.RemoteAddr] = true
			mu.Unlock()
			if again {
				<-silent
			}
			_, _ = fmt.Fprint(w, "state")
		}))
		t.Cleanup(server.Close)
		addresses = append(addresses, server.URL)
	}
	t.Cleanup(func() { close(silent) })
	fetch := func() (failed int) {
		for _, address := range addresses {
			resp, err := client.Get(address)
			if err != nil {
				failed++
				continue
			}
			buffer := make([]byte, 16)
			for err == nil {
				_, err = resp.Body.Read(buffer)
			}
			_ = resp.Body.Close()
		}
		return failed
	}
	if diff := cmp.Diff([2]int{0, 0}, [2]int{fetch(), fetch()}); diff != "" {
		t.Errorf("failed fetches, on new connections and later (-want +got):\n%s", diff)
	}
}
