package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/uuid"

	"github.com/hibiscuscove/hibiscuscove/internal/admin"
	"github.com/hibiscuscove/hibiscuscove/internal/contract"
	"github.com/hibiscuscove/hibiscuscove/internal/publication"
	"github.com/hibiscuscove/hibiscuscove/internal/request"
	"github.com/hibiscuscove/hibiscuscove/internal/verdict"
)

const (
	maxPublishAttempts = 5
	// retryInterval is the interval of retries and of status checks.
	retryInterval = 200 * time.Millisecond
)

// readChange reads a file of configuration objects into a change with a new ID.
func (c *client) readChange(file string) (admin.ApplyRequest, error) {
	raw, err := os.ReadFile(file)
	if err != nil {
		return admin.ApplyRequest{}, err
	}
	if !json.Valid(raw) {
		_, _, problems := contract.Parse(raw)
		return admin.ApplyRequest{}, fmt.Errorf("%s: %s", file, problems[0])
	}
	return admin.ApplyRequest{ID: uuid.NewString(), Author: c.options.author, Set: raw}, nil
}

func validate(ctx context.Context, c *client, args []string) error {
	q, err := c.readChange(args[0])
	if err != nil {
		return err
	}
	raw, err := c.callAdmin(ctx, http.MethodPost, "validate", q)
	if err != nil {
		return err
	}
	return printResponse(c, raw, func(r publication.Result) {
		c.printf("%s is valid; it would change %d objects\n", args[0], len(r.Changed))
	})
}

func apply(ctx context.Context, c *client, args []string) error {
	q, err := c.readChange(args[0])
	if err != nil {
		return err
	}
	return c.publish(ctx, "apply", q)
}

func deleteObject(ctx context.Context, c *client, args []string) error {
	q := admin.ApplyRequest{ID: uuid.NewString(), Author: c.options.author, Deletes: []string{args[0]}}
	return c.publish(ctx, "apply", q)
}

func rollback(ctx context.Context, c *client, args []string) error {
	query := url.Values{"generation": {args[0]}, "id": {uuid.NewString()}, "author": {c.options.author}}
	return c.publish(ctx, "rollback?"+query.Encode(), nil)
}

// publish sends a change, at most maxPublishAttempts times while its outcome is
// unknown, and waits until it is in force unless -no-wait is set. Retries are safe
// because the node recognises the change by its ID.
func (c *client) publish(ctx context.Context, path string, body any) error {
	raw, err := c.callAdmin(ctx, http.MethodPost, path, body)
	for attempt := 1; err != nil && attempt < maxPublishAttempts && shouldRetry(err); attempt++ {
		time.Sleep(retryInterval)
		raw, err = c.callAdmin(ctx, http.MethodPost, path, body)
	}
	if err != nil {
		return err
	}
	var result publication.Result
	if err := json.Unmarshal(raw, &result); err != nil {
		return fmt.Errorf("answer: %w", err)
	}
	if c.options.asJSON {
		return printResponse[publication.Result](c, raw, nil)
	}
	if result.AlreadyApplied {
		c.printf("already applied: generation %d\n", result.Generation)
	} else {
		c.printf("published generation %d: %s\n", result.Generation, strings.Join(result.Changed, ", "))
	}
	if c.options.noWait {
		return nil
	}
	return c.waitInForce(ctx, result.Generation)
}

// shouldRetry reports whether the outcome of a change is unknown: the error is not
// a refusal by the node, or the refusal says that the change may have run.
func shouldRetry(err error) bool {
	var refusal *admin.RefusalError
	if !errors.As(err, &refusal) {
		return true
	}
	return refusal.Body.Error.Verdict == verdict.MayHaveRun
}

// waitInForce waits until the generation is in force on all members of the fleet
// that are not dead. It returns an error if ctx ends first.
func (c *client) waitInForce(ctx context.Context, generation uint64) error {
	started := time.Now()
	for {
		raw, err := c.callAdmin(ctx, http.MethodGet, "status?fleet=true", nil)
		if err != nil {
			return err
		}
		var s admin.Status
		if err := json.Unmarshal(raw, &s); err != nil {
			return fmt.Errorf("answer: %w", err)
		}
		lagging := laggingMembers(s, generation)
		if len(lagging) == 0 {
			c.printf("in force on %d nodes after %s\n", len(s.Members), time.Since(started).Round(time.Millisecond))
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("generation %d is published but not yet in force on %s", generation, strings.Join(lagging, ", "))
		case <-time.After(retryInterval):
		}
	}
}

// laggingMembers returns the names of the members that are not dead and have an
// older generation.
func laggingMembers(s admin.Status, generation uint64) []string {
	var names []string
	for _, m := range s.Members {
		if m.State != "dead" && m.Generation < generation {
			names = append(names, m.Name)
		}
	}
	return names
}

func get(ctx context.Context, c *client, _ []string) error {
	raw, err := c.callAdmin(ctx, http.MethodGet, "configuration", nil)
	if err != nil {
		return err
	}
	return printResponse[contract.Set](c, raw, nil)
}

func diff(ctx context.Context, c *client, args []string) error {
	q, err := c.readChange(args[0])
	if err != nil {
		return err
	}
	objects, _, problems := contract.Parse(q.Set)
	if len(problems) > 0 {
		return fmt.Errorf("%s: %s", args[0], problems[0])
	}
	raw, err := c.callAdmin(ctx, http.MethodGet, "configuration", nil)
	if err != nil {
		return err
	}
	current, _, problems := contract.Parse(raw)
	if len(problems) > 0 {
		return fmt.Errorf("configuration in force: %s", problems[0])
	}
	before := make(map[string]string)
	for _, o := range current {
		before[o.ID().String()] = string(o.Spec)
	}
	for _, o := range objects {
		if d := cmp.Diff(before[o.ID().String()], string(o.Spec)); d != "" {
			c.printf("%s:\n%s", o.ID(), d)
		}
	}
	return nil
}

func history(ctx context.Context, c *client, _ []string) error {
	raw, err := c.callAdmin(ctx, http.MethodGet, "history", nil)
	if err != nil {
		return err
	}
	type body struct {
		History []publication.HistoryEntry `json:"history"`
	}
	return printResponse(c, raw, func(b body) {
		w := tabwriter.NewWriter(c.stdout, 0, 0, 2, ' ', 0)
		_, _ = fmt.Fprintln(w, "GENERATION\tAT\tAUTHOR\tCHANGED")
		for _, e := range b.History {
			_, _ = fmt.Fprintf(w, "%d\t%s\t%s\t%s\n", e.Generation, e.At.Format(time.RFC3339), e.Author, strings.Join(e.Changed, " "))
		}
		_ = w.Flush()
	})
}

func status(ctx context.Context, c *client, _ []string) error {
	raw, err := c.callAdmin(ctx, http.MethodGet, "status?fleet=true", nil)
	if err != nil {
		return err
	}
	return printResponse(c, raw, func(s admin.Status) { printStatus(c, s) })
}

func printStatus(c *client, s admin.Status) {
	c.printf("asked %s: generation %d, ready %t, leaving %t, quarantined requests %d\n\n", s.Node, s.Generation, s.Ready, s.Leaving, s.Quarantined)
	w := tabwriter.NewWriter(c.stdout, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "NODE\tDATA CENTRE\tADDRESS\tSTATE\tGENERATION")
	for _, m := range s.Members {
		_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d\n", m.Name, m.DataCentre, m.Address, m.State, m.Generation)
	}
	_, _ = fmt.Fprintln(w, "\t\t\t\t")
	_, _ = fmt.Fprintln(w, "UPSTREAM\tDATA CENTRE\tPOOL\tSTATE\tWEIGHTS\tIN FLIGHT")
	for _, u := range s.Upstreams {
		_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%d\n", u.Name, u.DataCentre, u.Pool, u.State, u.WeightsVersion, u.InFlight)
	}
	_ = w.Flush()
}

func dump(ctx context.Context, c *client, _ []string) error {
	raw, err := c.callAdmin(ctx, http.MethodGet, "dump", nil)
	if err != nil {
		return err
	}
	return printResponse[any](c, raw, nil)
}

func drain(ctx context.Context, c *client, _ []string) error {
	raw, err := c.callAdmin(ctx, http.MethodPost, "drain", nil)
	if err != nil {
		return err
	}
	return printResponse(c, raw, func(map[string]bool) { c.printf("%s is leaving\n", c.options.node) })
}

func entry(ctx context.Context, c *client, _ []string) error {
	raw, err := c.callAPI(ctx, "entry")
	if err != nil {
		return err
	}
	return printResponse(c, raw, func(e request.Entry) {
		c.printf("%s (%s, %s) for %d ms\n", e.Address, e.Node, e.DataCentre, e.TTLMS)
	})
}

func lookUpRequest(ctx context.Context, c *client, args []string) error {
	raw, err := c.callAPI(ctx, "requests/"+url.PathEscape(args[0]))
	if err != nil {
		return err
	}
	type body struct {
		State   string `json:"state"`
		Verdict string `json:"verdict"`
		Status  int    `json:"status"`
		Answer  string `json:"answer"`
	}
	return printResponse(c, raw, func(b body) {
		c.printf("%s (%s) status %d\n%s", b.State, b.Verdict, b.Status, b.Answer)
	})
}
