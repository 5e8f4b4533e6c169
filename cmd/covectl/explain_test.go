package main

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// TestExplain merges the lines about a request from two log files. The files also
// have lines that must be ignored: text that is not JSON, incomplete JSON, and a
// request whose ID begins with the same text.
func TestExplain(t *testing.T) {
	dir := t.TempDir()
	write := func(name, text string) string {
		path := filepath.Join(dir, name)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	firstLog := write("one", `noise
  1.5 vm-1 {"level":"info","vm":"vm-1","request":"a1","upstream":"i-1","cost_ms":12.5,"time":1020,"message":"request sent"}
{"vm":"vm-1","request":"a10","time":1000,"message":"request sent"}
{"vm":"vm-1","torn":"a1
`)
	secondLog := write("two", `{"vm":"vm-2","request":"a1","code":"busy","time":1000,"message":"request refused"}
`)
	tests := map[string]struct {
		args   []string
		status int
		want   string
	}{
		"two log files": {
			[]string{"explain", "a1", firstLog, secondLog}, 0,
			"+    0 ms  vm-2: request refused code=busy\n+   20 ms  vm-1: request sent cost_ms=12.5 upstream=i-1\n",
		},
		"unknown request": {[]string{"explain", "zz", firstLog}, exitFailure, ""},
		"no log file":     {[]string{"explain", "a1"}, exitUsage, ""},
		"missing file":    {[]string{"explain", "a1", filepath.Join(dir, "none")}, exitFailure, ""},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var stdout, stderr bytes.Buffer
			status := run(test.args, &stdout, &stderr)
			if diff := cmp.Diff(test.want, stdout.String()); diff != "" {
				t.Errorf("output (-want +got):\n%s", diff)
			}
			if status != test.status || (status != 0) != (stderr.Len() > 0) {
				t.Errorf("status %d, want %d; errors %q", status, test.status, stderr.String())
			}
		})
	}
}
