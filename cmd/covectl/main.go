// Command covectl is the operators' command-line client of a node.
//
// # Usage
//
//	covectl -node 127.0.0.1:8101 -token-file token validate set.json
//	covectl ... apply set.json
//	covectl ... get
//	covectl ... diff set.json
//	covectl ... delete route/old-replies
//	covectl ... history
//	covectl ... rollback 12
//	covectl ... status
//	covectl ... dump
//	covectl ... drain
//	covectl -entry 127.0.0.1:8001 entry
//	covectl -entry 127.0.0.1:8001 -key-file key request 0190c1f0-...
//	covectl -node 10.1.0.30:8783 capacity
//	covectl explain 9c41d07be2a35f68 vm-1.log vm-2.log
//
// -json prints the node's response as JSON, for scripts. The exit code is 0 on
// success, 1 if the command is refused or fails, and 2 for invalid arguments.
package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"strings"
	"time"
)

const (
	exitFailure    = 1
	exitUsage      = 2
	defaultTimeout = 30 * time.Second
)

func main() {
	os.Exit(run(os.Args[1:], os.Stdout, os.Stderr))
}

type options struct {
	node      string
	entry     string
	tokenFile string
	keyFile   string
	author    string
	timeout   time.Duration
	asJSON    bool
	noWait    bool
}

func run(args []string, stdout, stderr io.Writer) int {
	var o options
	flags := flag.NewFlagSet("covectl", flag.ContinueOnError)
	flags.SetOutput(stderr)
	flags.StringVar(&o.node, "node", "127.0.0.1:8101", "control address of any node")
	flags.StringVar(&o.entry, "entry", "127.0.0.1:8001", "address at which any node serves callers")
	flags.StringVar(&o.tokenFile, "token-file", "", "file with the operators' token; without it, COVE_ADMIN_TOKEN has the token")
	flags.StringVar(&o.keyFile, "key-file", "", "file with an organisation's API key; without it, COVE_API_KEY has the key")
	flags.StringVar(&o.author, "author", os.Getenv("USER"), "author of a change in the history")
	flags.DurationVar(&o.timeout, "timeout", defaultTimeout, "time limit for the whole command")
	flags.BoolVar(&o.asJSON, "json", false, "print the node's response as JSON")
	flags.BoolVar(&o.noWait, "no-wait", false, "apply, delete and rollback: don't wait until the change is in force on all nodes")
	if err := flags.Parse(args); err != nil {
		return exitUsage
	}
	command, found := commands[flags.Arg(0)]
	validArgs := flags.NArg() == 1+command.args || command.variadic && flags.NArg() > 1+command.args
	if !found || !validArgs {
		_, _ = fmt.Fprintf(stderr, "covectl: want a command: %s\n", usage())
		return exitUsage
	}
	ctx, cancel := context.WithTimeout(context.Background(), o.timeout)
	defer cancel()
	c := &client{options: o, stdout: stdout, stderr: stderr}
	if err := command.run(ctx, c, flags.Args()[1:]); err != nil {
		_, _ = fmt.Fprintln(stderr, "covectl:", err)
		return exitFailure
	}
	return 0
}

type command struct {
	// args is the number of required arguments.
	args int
	// variadic allows any number of further arguments.
	variadic bool
	// syntax is the command with its arguments.
	syntax string
	run    func(ctx context.Context, c *client, args []string) error
}

var commands = map[string]command{
	"validate": {1, false, "validate FILE", validate},
	"apply":    {1, false, "apply FILE", apply},
	"delete":   {1, false, "delete KIND/NAME", deleteObject},
	"get":      {0, false, "get", get},
	"diff":     {1, false, "diff FILE", diff},
	"history":  {0, false, "history", history},
	"rollback": {1, false, "rollback GENERATION", rollback},
	"status":   {0, false, "status", status},
	"dump":     {0, false, "dump", dump},
	"drain":    {0, false, "drain", drain},
	"entry":    {0, false, "entry", entry},
	"request":  {1, false, "request KEY", lookUpRequest},
	"explain":  {2, true, "explain REQUEST_ID LOG...", explain},
	"quotas":   {0, false, "quotas", quotas},
	"capacity": {0, false, "capacity", showCapacity},
}

// usage returns the syntax of all commands, separated by commas.
func usage() string {
	order := []string{"validate", "apply", "delete", "get", "diff", "history", "rollback", "status", "dump", "drain", "entry", "request", "explain", "quotas", "capacity"}
	var syntaxes []string
	for _, name := range order {
		syntaxes = append(syntaxes, commands[name].syntax)
	}
	return strings.Join(syntaxes, ", ")
}
