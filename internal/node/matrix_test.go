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

// faultTime is the duration of faults that end by themselves. It is longer than the
// time after which these tests' nodes declare a silent member dead.
const faultTime = 400 * time.Millisecond

var allSteps = []string{
	stepAdmit, stepClaim, stepPick, stepConnect, stepSend, stepFirstToken,
	stepMidStream, stepEnd, stepRecord, stepRespond,
}

// upstreamSteps are the steps at which a request is assigned to an upstream.
var upstreamSteps = []string{stepPick, stepConnect, stepSend, stepFirstToken, stepMidStream, stepEnd}

// ledgerSteps are the steps that need the platform's store.
var ledgerSteps = []string{stepAdmit, stepClaim, stepRecord}

// fault is one row of the matrix: an action and the steps at which to run it.
type fault struct {
	steps  []string
	action func(sc stepContext)
}

func afterFaultTime(f func()) { time.AfterFunc(faultTime, f) }

func crashUpstream(restartAfter time.Duration) func(sc stepContext) {
	return func(sc stepContext) {
		u, found := sc.f.Upstream(sc.address)
		if !found {
			return
		}
		u.Crash()
		time.AfterFunc(restartAfter, u.Restart)
	}
}

func storeFault(sf standin.StoreFault) func(sc stepContext) {
	return func(sc stepContext) {
		sc.f.Store.SetFault(sf)
		afterFaultTime(func() { sc.f.Store.SetFault(standin.StoreFault{}) })
	}
}

// faults are the faults that can strike while a request is processed. Faults of
// whole processes (killed, stopped by a signal) are in the process tests.
var faults = map[string]fault{
	"engine crash":            {upstreamSteps, crashUpstream(faultTime)},
	"engine restarts at once": {upstreamSteps, crashUpstream(10 * time.Millisecond)},
	"silent connection":       {upstreamSteps, func(sc stepContext) { sc.silence() }},
	"cut connection":          {upstreamSteps, func(sc stepContext) { sc.cut() }},
	"platform down":           {allSteps, storeFault(standin.StoreFault{Down: true})},
	"platform slow":           {allSteps, storeFault(standin.StoreFault{DelayMS: 100})},
	"platform hangs":          {ledgerSteps, storeFault(standin.StoreFault{Hang: true})},
	"store response lost":     {ledgerSteps, storeFault(standin.StoreFault{LoseResponses: 1})},
	"store write lost":        {ledgerSteps, storeFault(standin.StoreFault{LoseWrites: 1})},
	"node paused":             {allSteps, func(stepContext) { time.Sleep(faultTime) }},
	"graceful stop":           {allSteps, func(sc stepContext) { sc.f.nodes[0].stop() }},
	"all nodes stop": {allSteps, func(sc stepContext) {
		for _, n := range sc.f.nodes {
			n.stop()
		}
	}},
	"VM leaving": {upstreamSteps, func(sc stepContext) {
		u, found := sc.f.Upstream(sc.address)
		if !found {
			return
		}
		u.SetState(upstream.StateLeaving)
		afterFaultTime(func() { u.SetState(upstream.StateLive) })
	}},
	"concurrent operators": {allSteps, raceOperators},
	"upstream cut off": {upstreamSteps, func(sc stepContext) {
		in := sc.f.injector
		in.block(sc.address, true)
		afterFaultTime(func() { in.block(sc.address, false) })
	}},
}

// raceOperators sends three configuration changes at the same time: two of the same
// object and one of another.
func raceOperators(sc stepContext) {
	var wg sync.WaitGroup
	for i := range 3 {
		set := sc.f.Configuration()
		object := set.Routes[min(i, 1)]
		object.MaxAttempts = 4 + i
		raw, _ := json.Marshal(map[string]any{"generation": 1, "routes": []any{object}})
		wg.Go(func() {
			n := sc.f.nodes[i%len(sc.f.nodes)]
			_, _ = sc.f.admin(n, http.MethodPost, "apply", admin.ApplyRequest{ID: newKey(), Set: raw})
		})
	}
	wg.Wait()
}

// TestFaultMatrix injects each fault at each of its steps of a streamed completion
// and of a filing that run concurrently. The completion must be coherent, and the
// filing must run at most once and as its verdict says.
func TestFaultMatrix(t *testing.T) {
	t.Parallel()
	for name, row := range faults {
		for _, step := range row.steps {
			t.Run(name+"/"+step, func(t *testing.T) {
				t.Parallel()
				runFault(t, newInjector(step, row.action))
			})
		}
	}
}

// TestFaultPairs injects two faults at once at the steps where a request is
// claimed, sent and streamed, where a failure has the most effect.
func TestFaultPairs(t *testing.T) {
	t.Parallel()
	names := []string{"engine crash", "silent connection", "platform down", "store response lost", "node paused", "graceful stop", "VM leaving"}
	for i, first := range names {
		for _, second := range names[i+1:] {
			for _, step := range []string{stepClaim, stepSend, stepMidStream} {
				t.Run(first+" and "+second+"/"+step, func(t *testing.T) {
					t.Parallel()
					runFault(t, newInjector(step, func(sc stepContext) {
						faults[second].action(sc)
						faults[first].action(sc)
					}))
				})
			}
		}
	}
}

// runFault runs a streamed completion and a filing concurrently with a fault and
// checks both.
func runFault(t *testing.T, in *injector) {
	f := newFleet(t, fleetOptions{
		nodes: 2,
		dep:   standin.DeploymentOptions{Engines: 3, Services: 2, Engine: modelengine.Options{TokenInterval: 2 * time.Millisecond}},
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
	in.runAt(stepAdmit, "both", stepContext{address: f.EngineAddress(0), cut: func() {}, silence: func() {}})
	var completed completion
	var filing response
	var wg sync.WaitGroup
	wg.Go(func() { completed = f.complete(f.nodes[0], matrixTokens) })
	wg.Go(func() { filing = f.sendFiling(f.nodes[0], key, body) })
	if in.step == stepRespond {
		in.runAt(stepRespond, "both", stepContext{address: f.EngineAddress(0), cut: func() {}, silence: func() {}})
	}
	wg.Wait()
	if err := completed.check(matrixTokens); err != nil {
		t.Errorf("completion: %v", err)
	}
	f.checkFiling(filing, key, body)
	in.disarm()
	time.Sleep(faultTime)
	f.checkResend(filing, key, body)
}

// checkFiling checks that the verdict of a filing's response agrees with how often
// the filing ran.
func (f *fleet) checkFiling(r response, key, body string) {
	f.t.Helper()
	runs := f.Runs(body)
	switch {
	case r.err != nil:
		f.t.Errorf("filing: no response: %v", r.err)
	case runs > 1:
		f.t.Errorf("the filing ran %d times", runs)
	case r.notRun() && runs > 0:
		f.t.Errorf("the filing's verdict is not_run, but it ran %d times: %s", runs, r.body)
	case r.verdict == "ran" && runs != 1:
		f.t.Errorf("the filing's verdict is ran, but it ran %d times", runs)
	case r.verdict == "":
		f.t.Errorf("the response has no verdict: %d %s", r.status, r.body)
	}
}

// checkResend sends the filing again to a serving node and checks that it does not
// run twice, and that it runs now if its first verdict was not_run.
func (f *fleet) checkResend(first response, key, body string) {
	f.t.Helper()
	n := f.serving()
	var resend response
	f.eventually("the resend has an outcome", func() bool {
		resend = f.sendFiling(n, key, body)
		return resend.err == nil && resend.code() != "request_running" && !retryable(resend)
	})
	runs := f.Runs(body)
	switch {
	case runs > 1:
		f.t.Errorf("the filing ran %d times after a resend", runs)
	case first.notRun() && (resend.verdict != "ran" || runs != 1):
		f.t.Errorf("first verdict not_run, then %s (%s), ran %d times", resend.verdict, resend.body, runs)
	case first.verdict == "ran" && resend.body != first.body:
		f.t.Errorf("the resend's response is %q, want %q", resend.body, first.body)
	case resend.verdict == "ran" && runs != 1:
		f.t.Errorf("the resend's verdict is ran, but the filing ran %d times", runs)
	}
	f.eventually("a lookup of the key returns the resend's verdict", func() bool {
		var record ledger.Record
		lookup := f.call(n, "/v1/requests/"+key, "", callOptions{method: http.MethodGet})
		return json.Unmarshal([]byte(lookup.body), &record) == nil && record.Verdict.String() == resend.verdict
	})
}

// retryable reports whether a response asks the caller to send the request again.
func retryable(r response) bool { return r.notRun() && r.header.Get("Retry-After") != "" }

// serving returns a node that is serving. It starts one if all have stopped.
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

// TestCompletionCutAtEveryIndex breaks the upstream's stream in each way before each
// event. The caller must get one coherent answer, or an explicit error if the answer
// can't be continued.
func TestCompletionCutAtEveryIndex(t *testing.T) {
	t.Parallel()
	faultsByName := map[string]func(i int) modelengine.Fault{
		"cut":               func(i int) modelengine.Fault { return modelengine.Fault{CutAt: i, Count: 1} },
		"cut and forgotten": func(i int) modelengine.Fault { return modelengine.Fault{CutAt: i, ForgetStreams: true, Count: 2} },
		"silent":            func(i int) modelengine.Fault { return modelengine.Fault{SilentAt: i, Count: 1} },
		"crash":             func(i int) modelengine.Fault { return modelengine.Fault{CrashAt: i, Count: 1} },
		"foreign events":    func(int) modelengine.Fault { return modelengine.Fault{ForeignEvents: true} },
		"repeated events":   func(int) modelengine.Fault { return modelengine.Fault{DuplicateEvents: true} },
		"swapped events":    func(int) modelengine.Fault { return modelengine.Fault{SwapEvents: true} },
		"foreign, repeated and swapped events, cut": func(i int) modelengine.Fault {
			return modelengine.Fault{ForeignEvents: true, DuplicateEvents: true, SwapEvents: true, CutAt: i, Count: 1}
		},
	}
	for _, continues := range []bool{true, false} {
		for name, fault := range faultsByName {
			t.Run(fmt.Sprintf("%s/continues=%t", name, continues), func(t *testing.T) {
				t.Parallel()
				f := newFleet(t, fleetOptions{nodes: 1, dep: standin.DeploymentOptions{Engines: 2, NoContinuation: !continues}})
				for i := 1; i <= matrixTokens+1; i++ {
					engine := f.warmUp()
					engine.SetFault(fault(i))
					got := f.complete(f.nodes[0], matrixTokens)
					engine.SetFault(modelengine.Fault{})
					engine.Restart()
					check := got.check
					if !continues && (name == "crash" || name == "cut and forgotten") {
						check = got.checkCutOrComplete
					}
					if err := check(matrixTokens); err != nil {
						t.Errorf("event %d: %v", i, err)
					}
				}
			})
		}
	}
}

// warmUp sends requests that succeed, which fills the retry budget for one retry,
// and returns the engine that serves their prompt.
func (f *fleet) warmUp() *modelengine.Engine {
	f.t.Helper()
	const requests = 15
	f.eventually("all engines are live", func() bool { return f.seesAllLive(f.nodes[0], len(f.nodes)) })
	before := f.Engines[0].Runs()
	for range requests {
		if err := f.complete(f.nodes[0], 1).check(1); err != nil {
			f.t.Fatalf("warm-up: %v", err)
		}
	}
	if f.Engines[0].Runs() > before {
		return f.Engines[0]
	}
	return f.Engines[1]
}
