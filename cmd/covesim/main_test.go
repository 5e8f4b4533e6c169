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
		"one":              {args: []string{"-for", "1s", "-policy", "ours", "-plot", plot}, out: "association"},
		"weights":          {args: []string{"-for", "1s", "-policy", "ours", "-weights", "running_ms=5,outdated_ms=1"}, out: "association"},
		"as JSON":          {args: []string{"-for", "1s", "-policy", "ours", "-json"}, out: `"in_target":`},
		"unknown pattern":  {args: []string{"-pattern", "odd"}, exit: exitUsage, err: "quarter-silent"},
		"unknown weight":   {args: []string{"-weights", "luck=1"}, exit: exitUsage, err: "luck"},
		"weight no number": {args: []string{"-weights", "running_ms=x"}, exit: exitUsage, err: "running_ms=x"},
		"no pair":          {args: []string{"-weights", "running_ms"}, exit: exitUsage, err: "name=number"},
		"no seeds":         {args: []string{"-seeds", "0"}, exit: exitUsage, err: "-seeds"},
		"unknown flag":     {args: []string{"-luck"}, exit: exitUsage, err: "luck"},
		"plot nowhere":     {args: []string{"-for", "1s", "-plot", "/nowhere/plot.svg"}, exit: exitFailure, err: "/nowhere"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var out, problems strings.Builder
			if diff := cmp.Diff(test.exit, run(test.args, &out, &problems)); diff != "" {
				t.Errorf("exit code (-want +got):\n%s%s", diff, problems.String())
			}
			if !strings.Contains(out.String(), test.out) {
				t.Errorf("output lacks %q: %s", test.out, out.String())
			}
			if !strings.Contains(problems.String(), test.err) {
				t.Errorf("problems lack %q: %s", test.err, problems.String())
			}
		})
	}
	if raw, err := os.ReadFile(plot); err != nil || !strings.HasPrefix(string(raw), "<svg") {
		t.Errorf("plot: %v", err)
	}
}
