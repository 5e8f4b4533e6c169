// Command covectl is the operators' client.
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
//	covectl explain 9c41d07be2a35f68 vm-1.log vm-2.log
//
// -json prints the node's answer for a script. covectl ends with status 0 on
// success, 1 on a refusal or failure and 2 on wrong arguments.
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
	flags.StringVar(&o.entry, "entry", "127.0.0.1:8001", "callers' address of any node")
	flags.StringVar(&o.tokenFile, "token-file", "", "file with the operators' token; COVE_ADMIN_TOKEN otherwise")
	flags.StringVar(&o.keyFile, "key-file", "", "file with an organisation's API key; COVE_API_KEY otherwise")
	flags.StringVar(&o.author, "author", os.Getenv("USER"), "name kept in the history")
	flags.DurationVar(&o.timeout, "timeout", defaultTimeout, "bound on the whole command")
	flags.BoolVar(&o.asJSON, "json", false, "print JSON")
	flags.BoolVar(&o.noWait, "no-wait", false, "apply: don't wait until the change is in force everywhere")
	if err := flags.Parse(args); err != nil {
		return exitUsage
	}
	command, found := commands[flags.Arg(0)]
	enough := flags.NArg() == 1+command.args || command.more && flags.NArg() > 1+command.args
	if !found || !enough {
		_, _ = fmt.Fprintf(stderr, "covectl: want a command: %s\n", usage())
		return exitUsage
	}
	ctx, cancel := context.WithTimeout(context.Background(), o.timeout)
	defer cancel()
	c := &client{options: o, out: stdout, err: stderr}
	if err := command.run(ctx, c, flags.Args()[1:]); err != nil {
		_, _ = fmt.Fprintln(stderr, "covectl:", err)
		return exitFailure
	}
	return 0
}

type command struct {
	args int
	// more says that further arguments may follow.
	more bool
	help string
	run  func(ctx context.Context, c *client, args []string) error
}

var commands = map[string]command{
	"validate": {1, false, "validate FILE", validate},
	"apply":    {1, false, "apply FILE", apply},
	"delete":   {1, false, "delete KIND/NAME", remove},
	"get":      {0, false, "get", get},
	"diff":     {1, false, "diff FILE", diff},
	"history":  {0, false, "history", history},
	"rollback": {1, false, "rollback GENERATION", rollback},
	"status":   {0, false, "status", status},
	"dump":     {0, false, "dump", dump},
	"drain":    {0, false, "drain", drain},
	"entry":    {0, false, "entry", entry},
	"request":  {1, false, "request KEY", lookup},
	"explain":  {2, true, "explain REQUEST_ID LOG...", explain},
}

func usage() string {
	order := []string{"validate", "apply", "delete", "get", "diff", "history", "rollback", "status", "dump", "drain", "entry", "request", "explain"}
	var help []string
	for _, name := range order {
		help = append(help, commands[name].help)
	}
	return strings.Join(help, ", ")
}
