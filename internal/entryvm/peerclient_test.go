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

// Guards against states, streams and permits that are late, because kept connections to
// other VMs have fallen silent and are given up one after the other.
func TestSilentConnectionsDelayNoFetch(t *testing.T) {
	tests := map[string]struct {
		client func() *http.Client
		// lost is the number of calls that may get no answer once connections are silent.
		lost int
	}{
		"states":  {entryvm.NewPeerClient, 0},
		"streams": {entryvm.NewStreamsClient, 0},
		"permits": {entryvm.NewPermitClient, 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) { callSilentPeers(t, test.client(), test.lost) })
	}
}

// callSilentPeers calls four peers twice, whose connections answer once only.
func callSilentPeers(t *testing.T, client *http.Client, lost int) {
	t.Helper()
	const peers = 4
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
	if diff := cmp.Diff([2]int{0, lost}, [2]int{fetch(), fetch()}); diff != "" {
		t.Errorf("failed fetches, on new connections and later (-want +got):\n%s", diff)
	}
}
