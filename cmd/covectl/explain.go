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

// maxLogLineBytes limits the length of a log line. A longer line is an error.
const maxLogLineBytes = 1 << 20

// logEntry is a log line about one request.
type logEntry struct {
	// timeMS is the time of the line in ms since the Unix epoch.
	timeMS int64
	text   string
}

// explain prints the log lines about one request from the VMs' log files, sorted
// by time. args are the request's ID and the paths of the files.
func explain(_ context.Context, c *client, args []string) error {
	var entries []logEntry
	for _, path := range args[1:] {
		fileEntries, err := readLogEntries(path, args[0])
		if err != nil {
			return err
		}
		entries = append(entries, fileEntries...)
	}
	if len(entries) == 0 {
		return fmt.Errorf("no line on request %s in %d files; lines may have been dropped: look for \"log lines dropped\"", args[0], len(args)-1)
	}
	slices.SortStableFunc(entries, func(a, b logEntry) int { return cmp.Compare(a.timeMS, b.timeMS) })
	for _, e := range entries {
		_, _ = fmt.Fprintf(c.stdout, "+%5d ms  %s\n", e.timeMS-entries[0].timeMS, e.text)
	}
	return nil
}

// readLogEntries returns the lines of a log file that are about a request. Text
// before a line's JSON, such as a log collector's timestamp, is ignored.
func readLogEntries(path, request string) ([]logEntry, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer func() { _ = file.Close() }()
	var entries []logEntry
	scanner := bufio.NewScanner(file)
	scanner.Buffer(nil, maxLogLineBytes)
	for scanner.Scan() {
		_, line, isJSON := strings.Cut(scanner.Text(), "{")
		if !isJSON || !strings.Contains(line, request) {
			continue
		}
		fields := make(map[string]any)
		if json.Unmarshal([]byte("{"+line), &fields) != nil || fields["request"] != request {
			continue
		}
		timeMS, _ := fields["time"].(float64)
		entries = append(entries, logEntry{int64(timeMS), formatLogEntry(fields)})
	}
	return entries, scanner.Err()
}

// formatLogEntry returns the VM and the message, followed by the other fields
// sorted by name.
func formatLogEntry(fields map[string]any) string {
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
