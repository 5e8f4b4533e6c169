// Command covesim plays load patterns on a model of a deployment in virtual
// time and shows what each policy makes of them.
//
// # Usage
//
//	covesim -list
//	covesim -deployment association -pattern hot-prompt,quarter-silent -policy ours,least-loaded,hash -seeds 3
//	covesim -deployment plegado -pattern rollouts-in-a-row -weights outdated_ms=20,running_ms=3
//
// The exit code is 0, 1 if an experiment can't be played, and 2 for a wrong
// command line.
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

	"github.com/hibiscuscove/hibiscuscove/internal/experiment"
	"github.com/hibiscuscove/hibiscuscove/internal/roster"
)

const (
	exitFailure = 1
	exitUsage   = 2
)

func main() {
	os.Exit(run(os.Args[1:], os.Stdout, os.Stderr))
}

// choices are the experiments asked for.
type choices struct {
	deployments, patterns, policies []string
	weights                         *roster.Policy
	seeds                           int
	firstSeed                       uint64
	length                          time.Duration
	jobs                            int
}

func run(args []string, out, problems io.Writer) int {
	flags := flag.NewFlagSet("covesim", flag.ContinueOnError)
	flags.SetOutput(problems)
	list := flags.Bool("list", false, "list deployments, patterns and policies")
	deployments := flags.String("deployment", "association", "deployments, with commas, or all")
	patterns := flags.String("pattern", "steady", "load patterns, with commas, or all")
	policies := flags.String("policy", "ours,least-loaded,hash", "policies, with commas, or all")
	weights := flags.String("weights", "", "weights in place of the policy's, as name=number with commas")
	seeds := flags.Int("seeds", 1, "how many seeds to play; figures are means")
	firstSeed := flags.Uint64("first_seed", 1, "the first seed")
	length := flags.Duration("for", 30*time.Second, "how long traffic lasts, in virtual time")
	jobs := flags.Int("jobs", max(1, runtime.NumCPU()/2), "experiments at the same time")
	asJSON := flags.Bool("json", false, "print each result as JSON, one a line")
	plot := flags.String("plot", "", "file for a plot of the worth, as SVG")
	if err := flags.Parse(args); err != nil {
		return exitUsage
	}
	if *list {
		printList(out)
		return 0
	}
	c := choices{seeds: *seeds, firstSeed: *firstSeed, length: *length, jobs: *jobs}
	var err error
	c.weights, err = parseWeights(*weights)
	for _, names := range []struct {
		what  string
		given string
		known []string
		field *[]string
	}{
		{"deployment", *deployments, slices.Sorted(maps.Keys(experiment.Deployments())), &c.deployments},
		{"pattern", *patterns, slices.Sorted(maps.Keys(experiment.Patterns())), &c.patterns},
		{"policy", *policies, slices.Sorted(maps.Keys(experiment.Policies())), &c.policies},
	} {
		if err == nil {
			*names.field, err = pick(names.what, names.given, names.known)
		}
	}
	if err == nil && (flags.NArg() > 0 || c.seeds < 1 || c.jobs < 1 || c.length <= 0) {
		err = fmt.Errorf("covesim: want no arguments, and -seeds, -jobs and -for above zero")
	}
	if err != nil {
		_, _ = fmt.Fprintln(problems, err)
		return exitUsage
	}
	results, err := c.play()
	if err != nil {
		_, _ = fmt.Fprintln(problems, err)
		return exitFailure
	}
	if err := report(out, results, *asJSON, *plot); err != nil {
		_, _ = fmt.Fprintln(problems, err)
		return exitFailure
	}
	return 0
}

func report(out io.Writer, results []experiment.Result, asJSON bool, plot string) error {
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
		_ = file.Close() // the first error is the one to tell
		return err
	}
	if err := file.Close(); err != nil {
		return fmt.Errorf("covesim: %w", err)
	}
	return nil
}

// play plays all experiments, some at a time.
func (c choices) play() ([]experiment.Result, error) {
	var all []experiment.Options
	for _, d := range c.deployments {
		for _, pattern := range c.patterns {
			for _, policy := range c.policies {
				for i := range c.seeds {
					all = append(all, experiment.Options{
						Deployment: d, Pattern: pattern, Policy: policy, Weights: c.weights, Seed: c.firstSeed + uint64(i), Duration: c.length,
					})
				}
			}
		}
	}
	results := make([]experiment.Result, len(all))
	var group errgroup.Group
	group.SetLimit(c.jobs)
	for i, opts := range all {
		group.Go(func() error {
			var err error
			results[i], err = experiment.Run(opts)
			return err
		})
	}
	return results, group.Wait()
}

func pick(what, given string, known []string) ([]string, error) {
	if given == "all" {
		return known, nil
	}
	names := strings.Split(given, ",")
	for _, n := range names {
		if !slices.Contains(known, n) {
			return nil, fmt.Errorf("covesim: no %s %q; there are %s", what, n, strings.Join(known, ", "))
		}
	}
	return names, nil
}

// parseWeights reads name=number pairs. Nothing stands for the policy's own.
func parseWeights(text string) (*roster.Policy, error) {
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
	var p roster.Policy
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
