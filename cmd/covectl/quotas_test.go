package main

import (
	"bytes"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// Guards against a view of one VM only: each organisation's use is known at its issuer.
func TestQuotas(t *testing.T) {
	dump := func(body string) *httptest.Server {
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = fmt.Fprint(w, body) }))
		t.Cleanup(s.Close)
		return s
	}
	issuer := dump(`{"settings":{"name":"vm-2"},"quotas":{"issued":{"reef":{"rate_per_s":2000,"burst":2000,"share":1,"level":-40,"used_per_s":1900,"at_limit":true}}}}`)
	asked := dump(`{"settings":{"name":"vm-1"},"peers":[{"name":"vm-2","control":"` + strings.TrimPrefix(issuer.URL, "http://") + `"}],
		"quotas":{"issuers":["vm-1","vm-2","vm-2","","","","","vm-3"],"issued":{"acme":{"rate_per_s":100,"burst":50,"share":0.5,"level":25,"used_per_s":10}}}}`)
	var stdout, stderr bytes.Buffer
	if code := run([]string{"-node", strings.TrimPrefix(asked.URL, "http://"), "quotas"}, &stdout, &stderr); code != 0 {
		t.Fatalf("exit code %d: %s", code, stderr.String())
	}
	want := `ORGANISATION  LIMIT/S  USED/S  USE  LEVEL  BURST  AT LIMIT  ISSUER  SHARE
acme          100      10      10%  25     50     false     vm-1    0.50
reef          2000     1900    95%  -40    2000   true      vm-2    1.00
`
	if diff := cmp.Diff(want, stdout.String()); diff != "" {
		t.Errorf("output (-want +got):\n%s", diff)
	}
	if !strings.Contains(stderr.String(), "vm-3") {
		t.Errorf("no word of the issuer that can't be asked: %q", stderr.String())
	}
}
