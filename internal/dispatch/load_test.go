package dispatch_test

import (
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/hibiscuscove/hibiscuscove/internal/dispatch"
)

var usual = demand{factor: 1, longFactor: 1, shortFactor: 1}

// between returns the usual load with a change from 4 s to 7 s.
func between(change func(d *demand)) func(at time.Duration) demand {
	return func(at time.Duration) demand {
		d := usual
		if at >= 4*time.Second && at < 7*time.Second {
			change(&d)
		}
		return d
	}
}

// always returns the usual load with a change.
func always(change func(d *demand)) func(at time.Duration) demand {
	d := usual
	change(&d)
	return func(time.Duration) demand { return d }
}

func inTimePart(c *tally) float64 { return float64(c.inTime) / float64(max(1, c.requests)) }

// Under each load, dispatchers must bring more first tokens in time than VMs that decide by
// themselves, whose part is given as it was measured on the code before, and serve no
// organisation, kind or size far less than all.
func TestLoads(t *testing.T) {
	tests := map[string]struct {
		demand        func(at time.Duration) demand
		organisations int
		// before is the part in time without dispatchers, least the part that is wanted.
		before, least float64
	}{
		"usual load": {always(func(*demand) {}), 16, 0.645, 0.77},
		"one organisation at 7.5 times its usual load": {between(func(d *demand) { d.flood = 7.5 }), 16, 0.383, 0.65},
		"two load spikes at once":                      {between(func(d *demand) { d.factor, d.hot, d.flood = 1.7, 0.3, 5 }), 16, 0.264, 0.53},
		"a hot prompt":                                 {between(func(d *demand) { d.hot = 0.36 }), 16, 0.620, 0.80},
		"a burst of the urgent kind":                   {between(func(d *demand) { d.shortFactor = 4 }), 16, 0.285, 0.58},
		"a burst of the less urgent kind":              {between(func(d *demand) { d.longFactor = 2.5 }), 16, 0.275, 0.53},
		"many small organisations beside a large one":  {always(func(d *demand) { d.flood = 30 }), 71, 0.050, 0.52},
		"callers that retry beside new ones":           {between(func(d *demand) { d.factor, d.impatient = 1.7, 0.3 }), 16, 0.330, 0.62},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFleet(true, test.organisations, test.demand).run(8 * time.Second)
			all := f.total()
			long, short := f.perKind["long"], f.perKind["short"]
			t.Logf("in time %.3f, before %.3f, served %.3f; long %.3f served, %.3f in time, short %.3f, %.3f", inTimePart(&all), test.before, all.servedPart(),
				long.servedPart(), inTimePart(long), short.servedPart(), inTimePart(short))
			if got := inTimePart(&all); got < test.least {
				t.Errorf("%.3f of the first tokens are in time, want %.3f", got, test.least)
			}
			if long.servedPart() > short.servedPart()+0.05 {
				t.Errorf("the less urgent kind is served at %.3f, the more urgent one at %.3f", long.servedPart(), short.servedPart())
			}
			for kind, c := range f.perKind {
				if c.servedPart() < all.servedPart()/4 {
					t.Errorf("%s requests are served at %.3f, all at %.3f", kind, c.servedPart(), all.servedPart())
				}
			}
			for o, c := range f.perOrganisation {
				if c.requests >= 30 && c.servedPart() < all.servedPart()/4 {
					t.Errorf("organisation %d is served at %.3f, all at %.3f", o, c.servedPart(), all.servedPart())
				}
			}
			if large := f.bySize[true]; large.servedPart() < long.servedPart()/2 {
				t.Errorf("the largest tenth of the long requests is served at %.3f, all of them at %.3f", large.servedPart(), long.servedPart())
			}
			if f.rejected > f.requests/100 {
				t.Errorf("engines rejected %d of %d requests", f.rejected, f.requests)
			}
		})
	}
}

// While one organisation sends 7.5 times its usual load, the others must hardly notice.
func TestOneOrganisationDoesNotCrowdOutTheOthers(t *testing.T) {
	f := newFleet(true, 16, always(func(d *demand) { d.flood = 7.5 })).run(8 * time.Second)
	flood := f.perOrganisation[0]
	var others tally
	for o, c := range f.perOrganisation {
		if o != 0 {
			others.requests += c.requests
			others.served += c.served
		}
	}
	t.Logf("served %.3f of the organisation with the load, %.3f of the others", flood.servedPart(), others.servedPart())
	if others.servedPart() < 0.8 || others.servedPart() < flood.servedPart()+0.1 {
		t.Errorf("served %.3f of the organisation with the load, %.3f of the others", flood.servedPart(), others.servedPart())
	}
}

// Goodput must not fall in an overload: at twice the demand as many first tokens are in time.
// Within 2 s after a spike ends, as many are in time as before.
func TestOverload(t *testing.T) {
	single := newFleet(true, 16, always(func(*demand) {})).run(8 * time.Second).total()
	double := newFleet(true, 16, always(func(d *demand) { d.factor = 2 })).run(8 * time.Second).total()
	t.Logf("first tokens in time: %d at the single demand, %d at twice the demand", single.inTime, double.inTime)
	if float64(double.inTime) < 0.95*float64(single.inTime) {
		t.Errorf("%d first tokens in time at twice the demand, %d at the single demand", double.inTime, single.inTime)
	}
	f := newFleet(true, 16, func(at time.Duration) demand {
		d := between(func(d *demand) { d.factor = 1.7 })(at)
		d.factor *= 0.8
		return d
	}).run(12 * time.Second)
	lateness := func(c *tally) float64 { return 1 - float64(c.inTime)/float64(c.served) }
	before, after := lateness(f.perSecond[3]), lateness(f.perSecond[9])
	t.Logf("%.3f of the first tokens late 2 s after a load spike, %.3f before", after, before)
	if after > before+0.05 {
		t.Errorf("%.3f of the first tokens late 2 s after a load spike, %.3f before", after, before)
	}
}

// failures are injected from 4 s on.
const failureAt = 4 * time.Second

// A failure of dispatchers must cost little: VMs decide by themselves until they ask another
// one, and no request is lost or sent twice. The store of the platform does not matter: the
// simulated fleet has none.
func TestFailures(t *testing.T) {
	tests := map[string]struct {
		inject func(f *fleet)
		// least is the part of the first tokens in time from 4 s after the failure on.
		least float64
	}{
		"a dispatcher crashes":                      {func(f *fleet) { f.dispatcherOf("0").down = true }, 0.85},
		"a dispatcher is cut off":                   {func(f *fleet) { f.dispatcherOf("0").cut = true }, 0.85},
		"all VMs start at once during a load spike": {func(f *fleet) { f.restartAll() }, 0.80},
		"an engine crashes with leases":             {func(f *fleet) { f.engines[5].Crash(time.Second, func() {}) }, 0.85},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFleet(true, 16, always(func(d *demand) { d.factor = 0.8 }))
			f.loop.After(failureAt, func() { test.inject(f) })
			f.run(11 * time.Second)
			var late tally
			for second := 8; second < 11; second++ {
				c := f.perSecond[second]
				late.requests += c.requests
				late.inTime += c.inTime
			}
			t.Logf("in time %.3f from 4 s after the failure on; fall-backs: %d timeout, %d unknown, %d no dispatcher", inTimePart(&late),
				f.fallbacks("timeout"), f.fallbacks("unknown"), f.fallbacks("no_dispatcher"))
			if got := inTimePart(&late); got < test.least {
				t.Errorf("%.3f in time from 4 s after the failure on, want %.3f", got, test.least)
			}
		})
	}
}

// dispatcherOf returns the VM that dispatches a group.
func (f *fleet) dispatcherOf(group string) *simVM {
	return f.vmNamed(f.vms[0].agent.Status(f.loop.Now()).Dispatchers["lm/"+group])
}

// A new dispatcher must learn of the requests that run: each VM tells it of its open leases.
func TestNewDispatcherLearnsOpenLeases(t *testing.T) {
	f := newFleet(true, 16, always(func(*demand) {})).run(4 * time.Second)
	old := f.dispatcherOf("0")
	old.down = true
	f.run(time.Second)
	moved := int64(0)
	for _, v := range f.vms {
		moved += metrics.GetOrRegisterCounter("dispatch.leases_moved", v.metrics).Count()
	}
	now := f.dispatcherOf("0")
	if now == old || moved == 0 {
		t.Errorf("dispatcher %s after %s, %d leases moved", now.name, old.name, moved)
	}
}

// The same VMs with a partial view, without and with dispatchers: the figures before and
// after.
func TestPartialViewsOf74VMs(t *testing.T) {
	load := always(func(d *demand) { d.factor = 1.3 })
	before, after := newFleet(false, 16, load).run(8*time.Second).total(), newFleet(true, 16, load).run(8*time.Second).total()
	t.Logf("in time %.3f before, %.3f after; served %.3f, %.3f", inTimePart(&before), inTimePart(&after), before.servedPart(), after.servedPart())
	if inTimePart(&after) < 3*inTimePart(&before) {
		t.Errorf("in time %.3f without dispatchers, %.3f with them", inTimePart(&before), inTimePart(&after))
	}
}

// Load: long prompts beside streams that run. Guards against prompts that are prefilled between
// the events of running streams while another engine has none, and against streams that are
// sent where prompts have just been prefilled.
func TestLongPromptsAwayFromStreams(t *testing.T) {
	b := newBoard(engines(2, 1_000_000))
	streamAt := make(map[string]int)
	for id := range uint64(4) {
		q := short(1 + id)
		q.Parts, q.Exclude = nil, []string{"lm-01"}
		streamAt[b.Place(start, "vm", q).Upstream]++
		b.Progress(after(50), "vm", dispatch.Progress{ID: 1 + id, Begun: true, FirstTokenMS: 50})
	}
	huge := func(id uint64) dispatch.Request {
		q := long(id, "p")
		q.Parts, q.UnsharedTokens = nil, 16_000
		return q
	}
	for id := range uint64(2) {
		if got := b.Place(after(2_000), "vm", huge(100+id)); streamAt[got.Upstream] > 0 {
			t.Errorf("long prompt %d placed at %s beside %d running streams", id, got.Upstream, streamAt[got.Upstream])
		}
		b.Progress(after(2_300), "vm", dispatch.Progress{ID: 100 + id, Begun: true, FirstTokenMS: 300})
		b.Progress(after(2_400), "vm", dispatch.Progress{ID: 100 + id, Ended: true})
	}
	q := short(200)
	q.Parts = nil
	if got := b.Place(after(2_500), "vm", q); streamAt[got.Upstream] == 0 {
		t.Errorf("stream placed at %s, where prompts were prefilled 0.5 s ago", got.Upstream)
	}
}
