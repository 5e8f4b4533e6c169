package main

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// Guards against a view that loses the figures of an entry VM's dump, and against sending the
// operators' token to an address that needs none.
func TestCapacity(t *testing.T) {
	t.Setenv("COVE_ADMIN_TOKEN", "secret")
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/v1/dump" || strings.Contains(r.Header.Get("Authorization"), "secret") {
			t.Errorf("request for %s, authorization %q", r.URL, r.Header.Get("Authorization"))
		}
		_, _ = io.WriteString(w, `{"at":"2026-12-05T08:00:00Z","capacity":{"uneven":["lm"],"figures":[
			{"incarnation":"i-1@7","service":"lm","factor":1.71,"measured":2.4,"relative":2.4,"weight":2.25,"samples":98,"age_ms":400,"confidence":0.99,"fast":true},
			{"incarnation":"i-9@7","service":"print","factor":1,"measured":1,"relative":1,"weight":1,"concurrent":2,"samples":40,"age_ms":1200,"confidence":0.97}]}}`)
	}))
	defer server.Close()
	var stdout, stderr bytes.Buffer
	if status := run([]string{"-node", strings.TrimPrefix(server.URL, "http://"), "capacity"}, &stdout, &stderr); status != 0 {
		t.Fatalf("exit code %d: %s", status, stderr.String())
	}
	want := []string{
		"uneven services: lm", "",
		"UPSTREAM SERVICE SPEED AGAINST MEDIAN IN FORCE WEIGHT CONCURRENT SAMPLES CONFIDENCE AGE",
		"i-1@7 lm 1.71 2.40 2.40 2.25 - 98 0.99 400ms",
		"i-9@7 print 1.00 1.00 1.00 1.00 2 40 0.97 1.2s",
	}
	var got []string
	for _, line := range strings.Split(strings.TrimSpace(stdout.String()), "\n") {
		got = append(got, strings.Join(strings.Fields(line), " "))
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("output (-want +got):\n%s", diff)
	}
}
