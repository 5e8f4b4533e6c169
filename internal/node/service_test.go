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

// TestServiceTakesRequestAndFails has the service run a filing and then fail
// in each way. It never runs again, wherever it is sent.
func TestServiceTakesRequestAndFails(t *testing.T) {
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
		"answers 500":         {plainservice.Fault{Fail: 500}, 500, 1, "may_have_run"},
		"answers 400":         {plainservice.Fault{Fail: 400}, 400, 1, "ran"},
		"redirects 307":       {plainservice.Fault{Redirect: 307}, 307, 0, "ran"},
		"redirects 308":       {plainservice.Fault{Redirect: 308}, 308, 0, "ran"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFleet(t, fleetOptions{nodes: 2, dep: standin.DeploymentOptions{Services: 2, FirstByteTimeout: 500 * time.Millisecond}})
			// Connections that have carried a request before may be reused.
			for range 8 {
				f.file(f.nodes[0], newKey(), "earlier filing")
			}
			for _, s := range f.Services {
				s.SetFault(tt.fault)
			}
			key, body := newKey(), "filing"
			first := f.file(f.nodes[0], key, body)
			for _, s := range f.Services {
				s.SetFault(plainservice.Fault{})
				s.Restart()
			}
			got := fmt.Sprint(first.status, f.Runs(body), first.verdict)
			if diff := cmp.Diff(fmt.Sprint(tt.status, tt.runs, tt.want), got); diff != "" {
				t.Errorf("first answer (-want +got):\n%s", diff)
			}
			for _, n := range f.nodes {
				var again reply
				f.eventually("the resend has an outcome", func() bool {
					again = f.file(n, key, body)
					return again.code() != "request_running"
				})
				if again.verdict != tt.want || f.Runs(body) != tt.runs {
					t.Errorf("resend: %s (%s), ran %d times", again.verdict, again.body, f.Runs(body))
				}
			}
		})
	}
}

// TestEngineTakesDraftAndCuts is the same for a model route that must not repeat.
func TestEngineTakesDraftAndCuts(t *testing.T) {
	t.Parallel()
	f := newFleet(t, fleetOptions{nodes: 2})
	for _, e := range f.Engines {
		e.SetFault(modelengine.Fault{CutRequest: true, Forget: true})
	}
	body := fmt.Sprintf(`{"model":%q,"prompt":"draft","max_tokens":4}`, standin.DeploymentDraftRoute)
	key := newKey()
	first := f.call(f.nodes[0], "/v1/completions", body, callOptions{idem: key})
	for _, e := range f.Engines {
		e.SetFault(modelengine.Fault{})
	}
	var again reply
	f.eventually("the resend has an outcome", func() bool {
		again = f.call(f.nodes[1], "/v1/completions", body, callOptions{idem: key})
		return again.code() != "request_running"
	})
	got := fmt.Sprint([]any{first.verdict, again.verdict, f.Executed()})
	if diff := cmp.Diff("[may_have_run may_have_run 1]", got); diff != "" {
		t.Errorf("(-want +got):\n%s", diff)
	}
}

// TestSameKeyAtTheSameMoment sends one filing to two nodes at once, many times.
func TestSameKeyAtTheSameMoment(t *testing.T) {
	t.Parallel()
	f := newFleet(t, fleetOptions{nodes: 3})
	for i := range 30 {
		key, body := newKey(), fmt.Sprint("filing ", i)
		answers := make([]reply, len(f.nodes))
		var wg sync.WaitGroup
		for n := range f.nodes {
			wg.Go(func() { answers[n] = f.file(f.nodes[n], key, body) })
		}
		wg.Wait()
		for _, a := range answers {
			if a.notRun() || a.verdict == "" {
				t.Errorf("an answer says %q: %s", a.verdict, a.body)
			}
		}
		if got := f.Runs(body); got != 1 {
			t.Errorf("the filing ran %d times", got)
		}
	}
}

// TestUnreachableServiceIsNotRun refuses a filing that no upstream can get, and
// runs the resend once one can.
func TestUnreachableServiceIsNotRun(t *testing.T) {
	t.Parallel()
	f := newFleet(t, fleetOptions{nodes: 2})
	set := f.Set()
	desk := set.Pools[1].Upstreams[0].Address
	set.Pools[1].Upstreams[0].Address = freeAddress()
	f.applySet(set)
	key, body := newKey(), "filing"
	first := f.file(f.nodes[0], key, body)
	if !retryable(first) {
		t.Errorf("got %s %s, want not run and when to come back", first.verdict, first.body)
	}
	set.Pools[1].Upstreams[0].Address = desk
	f.applySet(set)
	f.eventually("the resend runs", func() bool { return f.file(f.nodes[1], key, body).verdict == "ran" })
	if got := f.Runs(body); got != 1 {
		t.Errorf("the filing ran %d times", got)
	}
}

// applySet applies a set and waits until every node has it in force.
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

// TestRetryBudget has every upstream fail: the load on them stays under 1.1
// times the first attempts, and each refusal says when to come back.
func TestRetryBudget(t *testing.T) {
	t.Parallel()
	const requests = 1000
	f := newFleet(t, fleetOptions{nodes: 1, dep: standin.DeploymentOptions{Engines: 3}})
	for _, e := range f.Engines {
		e.SetFault(modelengine.Fault{Fail: http.StatusInternalServerError})
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
