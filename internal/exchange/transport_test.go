package exchange_test

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/hibiscuscove/hibiscuscove/internal/exchange"
)

// Guards against stores and lists that can't be read any more because they speak HTTP/2.
func TestTransportTakesHTTP2(t *testing.T) {
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusAccepted) }))
	server.EnableHTTP2 = true
	server.StartTLS()
	t.Cleanup(server.Close)
	client := http.Client{Transport: exchange.Transport{RoundTripper: server.Client().Transport}}
	resp, err := client.Get(server.URL)
	if err != nil {
		t.Fatal(err)
	}
	_ = resp.Body.Close()
	if diff := cmp.Diff([]int{2, http.StatusAccepted}, []int{resp.ProtoMajor, resp.StatusCode}); diff != "" {
		t.Errorf("version and status (-want +got):\n%s", diff)
	}
}
