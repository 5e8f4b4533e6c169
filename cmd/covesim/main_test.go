package main

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

func TestCommandLine(t *testing.T) {
	plot := filepath.Join(t.TempDir(), "plot.svg")
	tests := map[string]struct {
		args     []string
		exit     int
		out, err string
	}{
		"list":             {args: []string{"-list"}, out: "quarter-silent"},
		"one experiment":   {args: []string{"-for", "1s", "-policy", "ours", "-plot", plot}, out: "association"},
		"weights":          {args: []string{"-for", "1s", "-policy", "ours", "-weights", "running_ms=5,outdated_ms=1"}, out: "association"},
		"as JSON":          {args: []string{"-for", "1s", "-policy", "ours", "-json"}, out: `"in_target":`},
		"unknown pattern":  {args: []string{"-pattern", "odd"}, exit: exitUsage, err: "quarter-silent"},
		"unknown weight":   {args: []string{"-weights", "luck=1"}, exit: exitUsage, err: "luck"},
		"invalid weight":   {args: []string{"-weights", "running_ms=x"}, exit: exitUsage, err: "running_ms=x"},
		"no weight value":  {args: []string{"-weights", "running_ms"}, exit: exitUsage, err: "name=number"},
		"no seeds":         {args: []string{"-seeds", "0"}, exit: exitUsage, err: "-seeds"},
		"unknown flag":     {args: []string{"-luck"}, exit: exitUsage, err: "luck"},
		"plot not written": {args: []string{"-for", "1s", "-plot", "/nowhere/plot.svg"}, exit: exitFailure, err: "/nowhere"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var stdout, stderr strings.Builder
			if diff := cmp.Diff(test.exit, run(test.args, &stdout, &stderr)); diff != "" {
				t.Errorf("exit code (-want +got):\n%s%s", diff, stderr.String())
			}
			if !strings.Contains(stdout.String(), test.out) {
				t.Errorf("stdout lacks %q: %s", test.out, stdout.String())
			}
			if !strings.Contains(stderr.String(), test.err) {
				t.Errorf("stderr lacks %q: %s", test.err, stderr.String())
			}
		})
	}
	if raw, err := os.ReadFile(plot); err != nil || !strings.HasPrefix(string(raw), "<svg") {
		t.Errorf("plot: %v", err)
	}
}
