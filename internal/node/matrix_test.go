package node_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/hibiscuscove/hibiscuscove/internal/admin"
	"github.com/hibiscuscove/hibiscuscove/internal/engineapi"
	"github.com/hibiscuscove/hibiscuscove/internal/ledger"
	"github.com/hibiscuscove/hibiscuscove/internal/objectstore"
	"github.com/hibiscuscove/hibiscuscove/internal/standin"
	"github.com/hibiscuscove/hibiscuscove/internal/standin/modelengine"
	"github.com/hibiscuscove/hibiscuscove/internal/upstream"
)

// faultTime is how long a fault lasts that passes by itself. It is longer than
// the time after which a node that does not answer is dead in these tests.
const faultTime = 400 * time.Millisecond

var allSteps = []string{
	stepAdmit, stepClaim, stepPick, stepConnect, stepSend, stepFirstToken,
	stepMidStream, stepEnd, stepRecord, stepAnswer,
}

// upstreamSteps are the steps at which a request is at a certain upstream.
var upstreamSteps = []string{stepPick, stepConnect, stepSend, stepFirstToken, stepMidStream, stepEnd}

// ledgerSteps are the steps at which the platform is needed.
var ledgerSteps = []string{stepAdmit, stepClaim, stepRecord}

// fault is one row of the matrix.
type fault struct {
	steps  []string
	action func(m moment)
}

func later(f func()) { time.AfterFunc(faultTime, f) }

func crash(back time.Duration) func(m moment) {
	return func(m moment) {
		u, found := m.f.Upstream(m.address)
		if !found {
			return
		}
		u.Crash()
		time.AfterFunc(back, u.Restart)
	}
}

func storeFault(sf standin.StoreFault) func(m moment) {
	return func(m moment) {
		m.f.Store.SetFault(sf)
		later(func() { m.f.Store.SetFault(standin.StoreFault{}) })
	}
}

// faults are the faults of a request's life. Those of whole processes (killed,
// stopped by a signal) are in the process tests.
var faults = map[string]fault{
	"engine crash":      {upstreamSteps, crash(faultTime)},
	"engine back empty": {upstreamSteps, crash(10 * time.Millisecond)},
	"silent connection": {upstreamSteps, func(m moment) { m.silence() }},
	"cut connection":    {upstreamSteps, func(m moment) { m.cut() }},
	"platform down":     {allSteps, storeFault(standin.StoreFault{Down: true})},
	"platform slow":     {allSteps, storeFault(standin.StoreFault{DelayMS: 100})},
	"platform hangs":    {ledgerSteps, storeFault(standin.StoreFault{Hang: true})},
	"answer lost":       {ledgerSteps, storeFault(standin.StoreFault{LoseAnswers: 1})},
	"write lost":        {ledgerSteps, storeFault(standin.StoreFault{LoseWrites: 1})},
	"node paused":       {allSteps, func(moment) { time.Sleep(faultTime) }},
	"planned stop":      {allSteps, func(m moment) { m.f.nodes[0].stop() }},
	"herd restart": {allSteps, func(m moment) {
		for _, n := range m.f.nodes {
			n.stop()
		}
	}},
	"VM leaving": {upstreamSteps, func(m moment) {
		u, found := m.f.Upstream(m.address)
		if !found {
			return
		}
		u.SetState(upstream.StateLeaving)
		later(func() { u.SetState(upstream.StateLive) })
	}},
	"operators racing": {allSteps, race},
	"data centre cut": {upstreamSteps, func(m moment) {
		in := m.f.injector
		in.block(m.address, true)
		later(func() { in.block(m.address, false) })
	}},
}

// race has two operators change different objects, and both the same object,
// at one time.
func race(m moment) {
	var wg sync.WaitGroup
	for i := range 3 {
		set := m.f.Set()
		object := set.Routes[min(i, 1)]
		object.MaxAttempts = 4 + i
		raw, _ := json.Marshal(map[string]any{"generation": 1, "routes": []any{object}})
		wg.Go(func() {
			n := m.f.nodes[i%len(m.f.nodes)]
			_, _ = m.f.admin(n, http.MethodPost, "apply", admin.ApplyRequest{ID: newKey(), Set: raw})
		})
	}
	wg.Wait()
}

// TestFaultMatrix strikes each fault at each step of a streamed completion and
// of a filing that run side by side, and checks every promise after it.
func TestFaultMatrix(t *testing.T) {
	t.Parallel()
	for name, row := range faults {
		for _, step := range row.steps {
			t.Run(name+"/"+step, func(t *testing.T) {
				t.Parallel()
				runCell(t, newInjector(step, row.action))
			})
		}
	}
}

// TestFaultPairs strikes two faults at once at the steps where they hurt most.
func TestFaultPairs(t *testing.T) {
	t.Parallel()
	names := []string{"engine crash", "silent connection", "platform down", "answer lost", "node paused", "planned stop", "VM leaving"}
	for i, first := range names {
		for _, second := range names[i+1:] {
			for _, step := range []string{stepClaim, stepSend, stepMidStream} {
				t.Run(first+" and "+second+"/"+step, func(t *testing.T) {
					t.Parallel()
					runCell(t, newInjector(step, func(m moment) {
						faults[second].action(m)
						faults[first].action(m)
					}))
				})
			}
		}
	}
}

func runCell(t *testing.T, in *injector) {
	f := newFleet(t, fleetOptions{
		nodes: 2,
		dep:   standin.DeploymentOptions{Engines: 3, Services: 2, Engine: modelengine.Options{TokenTime: 2 * time.Millisecond}},
		client: func(*fleet) upstream.Client {
			return injectedClient{engineapi.NewClient(engineapi.ClientOptions{}), in}
		},
		store: func(f *fleet) objectstore.Store {
			options := objectstore.HTTPStoreOptions{URL: f.StoreURL(), CallTimeout: 2 * faultTime}
			return injectedStore{objectstore.NewHTTPStore(options), in, f.ServiceAddress(0)}
		},
	})
	f.injector = in
	in.arm(f)
	body := "filing " + t.Name()
	key := newKey()
	in.at(stepAdmit, "both", moment{address: f.EngineAddress(0), cut: func() {}, silence: func() {}})
	var answer completion
	var filing reply
	var wg sync.WaitGroup
	wg.Go(func() { answer = f.complete(f.nodes[0], matrixTokens) })
	wg.Go(func() { filing = f.file(f.nodes[0], key, body) })
	if in.step == stepAnswer {
		in.at(stepAnswer, "both", moment{address: f.EngineAddress(0), cut: func() {}, silence: func() {}})
	}
	wg.Wait()
	if err := answer.check(matrixTokens); err != nil {
		t.Errorf("completion: %v", err)
	}
	f.checkFiling(filing, key, body)
	in.disarm()
	time.Sleep(faultTime)
	f.checkResend(filing, key, body)
}

// checkFiling checks that the answer to a filing is true.
func (f *fleet) checkFiling(r reply, key, body string) {
	f.t.Helper()
	runs := f.Runs(body)
	switch {
	case r.err != nil:
		f.t.Errorf("filing: no answer: %v", r.err)
	case runs > 1:
		f.t.Errorf("the filing ran %d times", runs)
	case r.notRun() && runs > 0:
		f.t.Errorf("the filing was called not run and ran %d times: %s", runs, r.body)
	case r.verdict == "ran" && runs != 1:
		f.t.Errorf("the filing was called ran and ran %d times", runs)
	case r.verdict == "":
		f.t.Errorf("the answer has no verdict: %d %s", r.status, r.body)
	}
}

// checkResend sends the filing again, to a node that serves, and checks that
// it never runs twice, and that it runs now if it had not.
func (f *fleet) checkResend(first reply, key, body string) {
	f.t.Helper()
	n := f.serving()
	var again reply
	f.eventually("the resend has an outcome", func() bool {
		again = f.file(n, key, body)
		return again.err == nil && again.code() != "request_running" && !retryable(again)
	})
	runs := f.Runs(body)
	switch {
	case runs > 1:
		f.t.Errorf("the filing ran %d times after a resend", runs)
	case first.notRun() && (again.verdict != "ran" || runs != 1):
		f.t.Errorf("first not run, then %s (%s), ran %d times", again.verdict, again.body, runs)
	case first.verdict == "ran" && again.body != first.body:
		f.t.Errorf("the resend's answer is %q, want %q", again.body, first.body)
	case again.verdict == "ran" && runs != 1:
		f.t.Errorf("the resend was called ran and ran %d times", runs)
	}
	f.eventually("a lookup says the same as the resend", func() bool {
		var record ledger.Record
		look := f.call(n, "/v1/requests/"+key, "", callOptions{method: http.MethodGet})
		return json.Unmarshal([]byte(look.body), &record) == nil && record.Verdict.String() == again.verdict
	})
}

// retryable reports whether an answer asks its caller to come back.
func retryable(r reply) bool { return r.notRun() && r.header.Get("Retry-After") != "" }

// serving returns a node that serves, starting one if all have stopped.
func (f *fleet) serving() *testNode {
	for _, n := range f.nodes {
		select {
		case err := <-n.done:
			n.done <- err
			continue
		default:
		}
		if s := f.status(n); s.Node != "" && !s.Leaving {
			return n
		}
	}
	n := f.start(len(f.nodes), fleetOptions{})
	f.eventually("a new node is ready", n.Ready)
	return n
}

// TestCompletionCutAtEveryIndex breaks the stream before each event, in each
// way, and expects one coherent answer.
func TestCompletionCutAtEveryIndex(t *testing.T) {
	t.Parallel()
	ways := map[string]func(i int) modelengine.Fault{
		"cut":               func(i int) modelengine.Fault { return modelengine.Fault{CutAt: i, Once: 1} },
		"cut and forgotten": func(i int) modelengine.Fault { return modelengine.Fault{CutAt: i, Forget: true, Once: 2} },
		"silent":            func(i int) modelengine.Fault { return modelengine.Fault{SilentAt: i, Once: 1} },
		"crash":             func(i int) modelengine.Fault { return modelengine.Fault{CrashAt: i, Once: 1} },
		"crossed":           func(int) modelengine.Fault { return modelengine.Fault{Foreign: true} },
		"doubled":           func(int) modelengine.Fault { return modelengine.Fault{Double: true} },
		"late":              func(int) modelengine.Fault { return modelengine.Fault{Swap: true} },
		"all three": func(i int) modelengine.Fault {
			return modelengine.Fault{Foreign: true, Double: true, Swap: true, CutAt: i, Once: 1}
		},
	}
	for _, continues := range []bool{true, false} {
		for name, fault := range ways {
			t.Run(fmt.Sprintf("%s/continues=%t", name, continues), func(t *testing.T) {
				t.Parallel()
				f := newFleet(t, fleetOptions{nodes: 1, dep: standin.DeploymentOptions{Engines: 2, NoContinue: !continues}})
				for i := 1; i <= matrixTokens+1; i++ {
					struck := f.warmUp()
					struck.SetFault(fault(i))
					answer := f.complete(f.nodes[0], matrixTokens)
					struck.SetFault(modelengine.Fault{})
					struck.Restart()
					check := answer.check
					if !continues && (name == "crash" || name == "cut and forgotten") {
						check = answer.checkCutOrWhole
					}
					if err := check(matrixTokens); err != nil {
						t.Errorf("event %d: %v", i, err)
					}
				}
			})
		}
	}
}

// warmUp earns a retry by requests that succeed, and returns the engine that
// serves their prompt.
func (f *fleet) warmUp() *modelengine.Engine {
	f.t.Helper()
	const requests = 15
	f.eventually("all engines are live", func() bool { return f.sees(f.nodes[0], len(f.nodes)) })
	before := f.Engines[0].Executed()
	for range requests {
		if err := f.complete(f.nodes[0], 1).check(1); err != nil {
			f.t.Fatalf("warm-up: %v", err)
		}
	}
	if f.Engines[0].Executed() > before {
		return f.Engines[0]
	}
	return f.Engines[1]
}
