package node_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/hibiscuscove/hibiscuscove/internal/standin"
	"github.com/hibiscuscove/hibiscuscove/internal/standin/modelengine"
	"github.com/hibiscuscove/hibiscuscove/internal/standin/plainservice"
)

// TestServiceFailsAfterRun makes the service fail in each way after it has run a
// filing, or redirect it without running it. A resend through any node must not run
// the filing again.
func TestServiceFailsAfterRun(t *testing.T) {
	t.Parallel()
	tests := map[string]struct {
		fault  plainservice.Fault
		status int
		runs   int
		want   string
	}{
		"cuts the connection": {plainservice.Fault{CutAfterRun: true}, 502, 1, "may_have_run"},
		"falls silent":        {plainservice.Fault{SilentAfterRun: true}, 504, 1, "may_have_run"},
		"crashes":             {plainservice.Fault{CrashAfterRun: true}, 502, 1, "may_have_run"},
		"responds 500":        {plainservice.Fault{FailStatus: 500}, 500, 1, "may_have_run"},
		"responds 400":        {plainservice.Fault{FailStatus: 400}, 400, 1, "ran"},
		"redirects 307":       {plainservice.Fault{RedirectStatus: 307}, 307, 0, "ran"},
		"redirects 308":       {plainservice.Fault{RedirectStatus: 308}, 308, 0, "ran"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFleet(t, fleetOptions{nodes: 2, dep: standin.DeploymentOptions{Services: 2, FirstByteTimeout: 500 * time.Millisecond}})
			// Requests that leave connections open, which the filing may reuse.
			for range 8 {
				f.sendFiling(f.nodes[0], newKey(), "earlier filing")
			}
			for _, s := range f.Services {
				s.SetFault(tt.fault)
			}
			key, body := newKey(), "filing"
			first := f.sendFiling(f.nodes[0], key, body)
			for _, s := range f.Services {
				s.SetFault(plainservice.Fault{})
				s.Restart()
			}
			got := fmt.Sprint(first.status, f.Runs(body), first.verdict)
			if diff := cmp.Diff(fmt.Sprint(tt.status, tt.runs, tt.want), got); diff != "" {
				t.Errorf("first response (-want +got):\n%s", diff)
			}
			for _, n := range f.nodes {
				var resend response
				f.eventually("the resend has an outcome", func() bool {
					resend = f.sendFiling(n, key, body)
					return resend.code() != "request_running"
				})
				if resend.verdict != tt.want || f.Runs(body) != tt.runs {
					t.Errorf("resend: %s (%s), ran %d times", resend.verdict, resend.body, f.Runs(body))
				}
			}
		})
	}
}

// TestEngineCutsAfterRun makes an engine cut the connection after it has run a
// request on a model route that is not idempotent. A resend must not run it again.
func TestEngineCutsAfterRun(t *testing.T) {
	t.Parallel()
	f := newFleet(t, fleetOptions{nodes: 2})
	for _, e := range f.Engines {
		e.SetFault(modelengine.Fault{CutRequest: true, ForgetStreams: true})
	}
	body := fmt.Sprintf(`{"model":%q,"prompt":"draft","max_tokens":4}`, standin.DeploymentDraftRoute)
	key := newKey()
	first := f.call(f.nodes[0], "/v1/completions", body, callOptions{idempotencyKey: key})
	for _, e := range f.Engines {
		e.SetFault(modelengine.Fault{})
	}
	var resend response
	f.eventually("the resend has an outcome", func() bool {
		resend = f.call(f.nodes[1], "/v1/completions", body, callOptions{idempotencyKey: key})
		return resend.code() != "request_running"
	})
	got := fmt.Sprint([]any{first.verdict, resend.verdict, f.EngineRuns()})
	if diff := cmp.Diff("[may_have_run may_have_run 1]", got); diff != "" {
		t.Errorf("(-want +got):\n%s", diff)
	}
}

// TestConcurrentSameKey sends a filing with the same key to all nodes at once,
// 30 times. Each filing must run exactly once.
func TestConcurrentSameKey(t *testing.T) {
	t.Parallel()
	f := newFleet(t, fleetOptions{nodes: 3})
	for i := range 30 {
		key, body := newKey(), fmt.Sprint("filing ", i)
		responses := make([]response, len(f.nodes))
		var wg sync.WaitGroup
		for n := range f.nodes {
			wg.Go(func() { responses[n] = f.sendFiling(f.nodes[n], key, body) })
		}
		wg.Wait()
		for _, r := range responses {
			if r.notRun() || r.verdict == "" {
				t.Errorf("verdict %q: %s", r.verdict, r.body)
			}
		}
		if got := f.Runs(body); got != 1 {
			t.Errorf("the filing ran %d times", got)
		}
	}
}

// TestUnreachableServiceIsNotRun checks that a filing is rejected with the verdict
// not_run if no upstream is reachable, and that a resend runs once one is.
func TestUnreachableServiceIsNotRun(t *testing.T) {
	t.Parallel()
	f := newFleet(t, fleetOptions{nodes: 2})
	set := f.Configuration()
	reachable := set.Pools[1].Upstreams[0].Address
	set.Pools[1].Upstreams[0].Address = freeAddress()
	f.applySet(set)
	key, body := newKey(), "filing"
	first := f.sendFiling(f.nodes[0], key, body)
	if !retryable(first) {
		t.Errorf("got %s %s, want not_run and a Retry-After header", first.verdict, first.body)
	}
	set.Pools[1].Upstreams[0].Address = reachable
	f.applySet(set)
	f.eventually("the resend runs", func() bool { return f.sendFiling(f.nodes[1], key, body).verdict == "ran" })
	if got := f.Runs(body); got != 1 {
		t.Errorf("the filing ran %d times", got)
	}
}

// applySet publishes a configuration and waits until it is in force on every node.
func (f *fleet) applySet(set any) {
	f.t.Helper()
	raw, err := json.Marshal(set)
	if err != nil {
		f.t.Fatal(err)
	}
	before := f.status(f.nodes[0]).Generation
	f.apply(raw)
	f.eventually("the change is in force", func() bool {
		for _, n := range f.nodes {
			if f.status(n).Generation <= before {
				return false
			}
		}
		return true
	})
}

// TestRetryBudget makes every upstream fail. With retries, the number of attempts must
// stay under 1.1 times the number of requests, and every error response must have a
// Retry-After header.
func TestRetryBudget(t *testing.T) {
	t.Parallel()
	const requests = 1000
	f := newFleet(t, fleetOptions{nodes: 1, dep: standin.DeploymentOptions{Engines: 3}})
	for _, e := range f.Engines {
		e.SetFault(modelengine.Fault{FailStatus: http.StatusInternalServerError})
	}
	for range requests {
		r := f.call(f.nodes[0], "/v1/completions", completionBody(1, true), callOptions{})
		if r.status != http.StatusBadGateway || r.header.Get("Retry-After") == "" {
			t.Fatalf("status %d, Retry-After %q: %s", r.status, r.header.Get("Retry-After"), r.body)
		}
	}
	attempts := f.counter(f.nodes[0], "attempts")
	t.Logf("%v attempts for %d requests", attempts, requests)
	if 10*attempts >= 11*requests {
		t.Errorf("%v attempts for %d requests", attempts, requests)
	}
}
