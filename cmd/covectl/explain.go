package main

import (
	"bufio"
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"os"
	"slices"
	"strings"
)

const maxLogLine = 1 << 20

// decision is one log line on a request.
type decision struct {
	at   int64
	text string
}

// explain prints the decisions on one request, in the order of their time, from
// the VMs' log files.
func explain(_ context.Context, c *client, args []string) error {
	var all []decision
	for _, path := range args[1:] {
		found, err := decisions(path, args[0])
		if err != nil {
			return err
		}
		all = append(all, found...)
	}
	if len(all) == 0 {
		return fmt.Errorf("no line on request %s in %d files; lines may have been dropped: look for \"log lines dropped\"", args[0], len(args)-1)
	}
	slices.SortStableFunc(all, func(a, b decision) int { return cmp.Compare(a.at, b.at) })
	for _, d := range all {
		_, _ = fmt.Fprintf(c.out, "+%5d ms  %s\n", d.at-all[0].at, d.text)
	}
	return nil
}

// decisions returns a file's lines on a request. Text before a line's JSON, such
// as a collector's time, is passed over.
func decisions(path, request string) ([]decision, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer func() { _ = file.Close() }()
	var found []decision
	scanner := bufio.NewScanner(file)
	scanner.Buffer(nil, maxLogLine)
	for scanner.Scan() {
		_, line, isJSON := strings.Cut(scanner.Text(), "{")
		if !isJSON || !strings.Contains(line, request) {
			continue
		}
		fields := make(map[string]any)
		if json.Unmarshal([]byte("{"+line), &fields) != nil || fields["request"] != request {
			continue
		}
		at, _ := fields["time"].(float64)
		found = append(found, decision{int64(at), sentence(fields)})
	}
	return found, scanner.Err()
}

// sentence puts the message first and the inputs after it, ordered by name.
func sentence(fields map[string]any) string {
	text := fmt.Sprintf("%v: %v", fields["vm"], fields["message"])
	var names []string
	for name := range fields {
		switch name {
		case "vm", "message", "time", "level", "request":
		default:
			names = append(names, name)
		}
	}
	slices.Sort(names)
	for _, name := range names {
		text += fmt.Sprintf(" %s=%v", name, fields[name])
	}
	return text
}
