// Command covesim simulates load patterns on a model of a deployment in virtual
// time, and compares policies for choosing an engine.
//
// # Usage
//
//	covesim -list
//	covesim -deployment association -pattern hot-prompt,quarter-silent -policy ours,least-loaded,hash -seeds 3
//	covesim -deployment plegado -pattern rollouts-in-a-row -weights outdated_ms=20,running_ms=3
//
// The exit code is 0 on success, 1 if an experiment fails or its results can't be
// written, and 2 for an invalid command line.
package main

import (
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"maps"
	"os"
	"runtime"
	"slices"
	"strings"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/hibiscuscove/hibiscuscove/internal/costmodel"
	"github.com/hibiscuscove/hibiscuscove/internal/experiment"
)

const (
	exitFailure = 1
	exitUsage   = 2
)

func main() {
	os.Exit(run(os.Args[1:], os.Stdout, os.Stderr))
}

// selection says which experiments to run: all combinations of deployments,
// patterns, policies and seeds.
type selection struct {
	deployments, patterns, policies []string
	// weights replaces the weights of all policies. It may be nil.
	weights   *costmodel.Policy
	seeds     int
	firstSeed uint64
	duration  time.Duration
	jobs      int
}

func run(args []string, stdout, stderr io.Writer) int {
	flags := flag.NewFlagSet("covesim", flag.ContinueOnError)
	flags.SetOutput(stderr)
	list := flags.Bool("list", false, "list deployments, patterns and policies")
	deployments := flags.String("deployment", "association", "comma-separated deployments, or all")
	patterns := flags.String("pattern", "steady", "comma-separated load patterns, or all")
	policies := flags.String("policy", "ours,least-loaded,hash", "comma-separated policies, or all")
	weights := flags.String("weights", "", "comma-separated name=number weights that replace those of the policies")
	seeds := flags.Int("seeds", 1, "number of seeds; table and plot show means over the seeds")
	firstSeed := flags.Uint64("first_seed", 1, "first seed; the others follow it")
	duration := flags.Duration("for", 30*time.Second, "duration of the traffic in virtual time")
	jobs := flags.Int("jobs", max(1, runtime.NumCPU()/2), "number of experiments that run at the same time")
	asJSON := flags.Bool("json", false, "print each result as a line of JSON")
	plot := flags.String("plot", "", "SVG file for a bar chart of the worth of each experiment")
	if err := flags.Parse(args); err != nil {
		return exitUsage
	}
	if *list {
		printList(stdout)
		return 0
	}
	s := selection{seeds: *seeds, firstSeed: *firstSeed, duration: *duration, jobs: *jobs}
	var err error
	s.weights, err = parseWeights(*weights)
	for _, names := range []struct {
		kind     string
		value    string
		known    []string
		selected *[]string
	}{
		{"deployment", *deployments, slices.Sorted(maps.Keys(experiment.Deployments())), &s.deployments},
		{"pattern", *patterns, slices.Sorted(maps.Keys(experiment.Patterns())), &s.patterns},
		{"policy", *policies, slices.Sorted(maps.Keys(experiment.Policies())), &s.policies},
	} {
		if err == nil {
			*names.selected, err = parseNames(names.kind, names.value, names.known)
		}
	}
	if err == nil && (flags.NArg() > 0 || s.seeds < 1 || s.jobs < 1 || s.duration <= 0) {
		err = fmt.Errorf("covesim: want no arguments, and -seeds, -jobs and -for above zero")
	}
	if err != nil {
		_, _ = fmt.Fprintln(stderr, err)
		return exitUsage
	}
	results, err := s.runAll()
	if err != nil {
		_, _ = fmt.Fprintln(stderr, err)
		return exitFailure
	}
	if err := writeResults(stdout, results, *asJSON, *plot); err != nil {
		_, _ = fmt.Fprintln(stderr, err)
		return exitFailure
	}
	return 0
}

// writeResults writes results as a table or as JSON, and a plot if its path is
// given.
func writeResults(out io.Writer, results []experiment.Result, asJSON bool, plot string) error {
	if plot != "" {
		if err := writePlot(plot, results); err != nil {
			return err
		}
	}
	if !asJSON {
		return experiment.WriteTable(out, results)
	}
	encoder := json.NewEncoder(out)
	for _, r := range results {
		if err := encoder.Encode(r); err != nil {
			return fmt.Errorf("covesim: %w", err)
		}
	}
	return nil
}

func writePlot(path string, results []experiment.Result) error {
	file, err := os.Create(path)
	if err != nil {
		return fmt.Errorf("covesim: %w", err)
	}
	if err := experiment.WritePlot(file, results); err != nil {
		_ = file.Close() // the error of the write is returned
		return err
	}
	if err := file.Close(); err != nil {
		return fmt.Errorf("covesim: %w", err)
	}
	return nil
}

// runAll runs all selected experiments, at most s.jobs at a time.
func (s selection) runAll() ([]experiment.Result, error) {
	var experiments []experiment.Options
	for _, d := range s.deployments {
		for _, pattern := range s.patterns {
			for _, policy := range s.policies {
				for i := range s.seeds {
					experiments = append(experiments, experiment.Options{
						Deployment: d, Pattern: pattern, Policy: policy, Weights: s.weights, Seed: s.firstSeed + uint64(i), Duration: s.duration,
					})
				}
			}
		}
	}
	results := make([]experiment.Result, len(experiments))
	var group errgroup.Group
	group.SetLimit(s.jobs)
	for i, opts := range experiments {
		group.Go(func() error {
			var err error
			results[i], err = experiment.Run(opts)
			return err
		})
	}
	return results, group.Wait()
}

// parseNames splits a comma-separated list and checks that each name is known. The
// list "all" stands for all known names.
func parseNames(kind, list string, known []string) ([]string, error) {
	if list == "all" {
		return known, nil
	}
	names := strings.Split(list, ",")
	for _, n := range names {
		if !slices.Contains(known, n) {
			return nil, fmt.Errorf("covesim: no %s %q; there are %s", kind, n, strings.Join(known, ", "))
		}
	}
	return names, nil
}

// parseWeights parses comma-separated name=number pairs. It returns nil for an
// empty text, so that each policy keeps its own weights.
func parseWeights(text string) (*costmodel.Policy, error) {
	if text == "" {
		return nil, nil
	}
	fields := make(map[string]json.Number)
	for _, pair := range strings.Split(text, ",") {
		name, value, found := strings.Cut(pair, "=")
		if !found {
			return nil, fmt.Errorf("covesim: weight %q: want name=number", pair)
		}
		fields[name] = json.Number(value)
	}
	raw, err := json.Marshal(fields)
	if err != nil {
		return nil, fmt.Errorf("covesim: weights %q: %w", text, err)
	}
	decoder := json.NewDecoder(strings.NewReader(string(raw)))
	decoder.DisallowUnknownFields()
	var p costmodel.Policy
	if err := decoder.Decode(&p); err != nil {
		return nil, fmt.Errorf("covesim: weights %q: %w", text, err)
	}
	return &p, nil
}

func printList(out io.Writer) {
	for _, d := range slices.Sorted(maps.Keys(experiment.Deployments())) {
		_, _ = fmt.Fprintln(out, "deployment", d)
	}
	for _, name := range slices.Sorted(maps.Keys(experiment.Patterns())) {
		_, _ = fmt.Fprintf(out, "pattern    %-24s %s\n", name, experiment.Patterns()[name].Description)
	}
	for _, p := range slices.Sorted(maps.Keys(experiment.Policies())) {
		_, _ = fmt.Fprintln(out, "policy    ", p)
	}
}
