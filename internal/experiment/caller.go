package experiment

import (
	"slices"
	"strings"
	"time"

	"github.com/hibiscuscove/hibiscuscove/internal/enginemodel"
	"github.com/hibiscuscove/hibiscuscove/internal/roster"
)

const (
	// The limits of one attempt are those of the ingress.
	rejectedTries = 3
	unsentTries   = 4
	connectLimit  = 60 * time.Millisecond
	// busyReturn is when callers come back after a refusal for want of engines.
	busyReturn = 150 * time.Millisecond
	// outdatedGrace is how long after a version's naming older ones cost nothing,
	// and outdatedCost what they cost then.
	outdatedGrace = 1500 * time.Millisecond
	outdatedCost  = 0.2
	// storm is how many times impatient callers repeat, at once.
	storm = 3
)

// call is one request of a caller.
type call struct {
	f        *fleet
	class    Class
	prompt   prompt
	sent     time.Time
	attempts int
	vm       *vm
	tried    []string
	rejected int
	unsent   int
	runs     int
	estimate float64
	began    time.Time
	settled  bool
	gotFirst bool
}

// arrive lets the next request of a class come.
func (f *fleet) arrive(class int) {
	p := f.prompts[class]
	f.loop.After(p.wait(f.load), func() {
		if f.loop.Now().After(f.ends) {
			return
		}
		c := &call{f: f, class: p.class, prompt: p.next(f.hot), sent: f.loop.Now()}
		f.result.Requests++
		f.loop.After(p.class.Patience, func() { c.settle(&f.result.Failed) })
		c.send()
		f.arrive(class)
	})
}

// settle counts the call's end once.
func (c *call) settle(count *int) {
	if !c.settled {
		c.settled = true
		*count++
	}
}

// send is one attempt of the caller, at a VM that is up.
func (c *call) send() {
	if c.settled {
		return
	}
	var up []*vm
	for _, v := range c.f.vms {
		if v.up {
			up = append(up, v)
		}
	}
	if len(up) == 0 {
		c.refused(busyReturn)
		return
	}
	c.attempts++
	c.vm = up[c.f.rng.IntN(len(up))]
	c.tried, c.rejected, c.unsent = nil, 0, 0
	c.try()
}

// try gives the request to the engine that the VM picks.
func (c *call) try() {
	f, now := c.f, c.f.loop.Now()
	if c.settled || !c.vm.up {
		return
	}
	query := roster.Query{
		Service: service, Model: model, Parts: c.prompt.shared, UnsharedTokens: c.prompt.own, OutputTokens: c.prompt.out, Exclude: c.tried,
	}
	choice, found := c.vm.table.Pick(now, query)
	if !found && len(c.tried) > 0 {
		query.Exclude = nil
		choice, found = c.vm.table.Pick(now, query)
	}
	if !found {
		c.refused(busyReturn)
		return
	}
	if len(c.tried) == 0 {
		if back, late := choice.Late(c.class.Target, c.class.Patience-now.Sub(c.sent), f.rng.Int64N); late {
			c.refused(back)
			return
		}
	}
	c.tried = append(c.tried, choice.Upstream.ID)
	e := f.engine(choice.Upstream.ID)
	v, delay := c.vm, f.delay(c.vm.dc, e.dc)
	if !e.Up() || e.upstream.ID != choice.Upstream.ID {
		f.loop.After(connectLimit, func() {
			v.table.ReportUnreachable(f.loop.Now(), choice.Upstream.ID)
			c.unsent++
			if c.unsent < unsentTries {
				c.try()
				return
			}
			c.refused(busyReturn)
		})
		return
	}
	shared := 0
	for _, p := range c.prompt.shared {
		shared += p.Tokens
	}
	stay := v.table.Start(now, choice.Upstream, roster.Load{
		Requests: 1, WaitingTokens: choice.MissingTokens, Tokens: shared + c.prompt.own + c.prompt.out,
	}, c.prompt.shared, c.prompt.own+c.prompt.out)
	c.estimate, c.began = choice.FirstTokenMS, now
	f.loop.After(delay, func() {
		if e.Offer(c.run(e, choice, stay, delay)) {
			return
		}
		f.loop.After(delay, func() { c.turnedAway(e, stay) })
	})
}

func (c *call) turnedAway(e *engine, stay *roster.InFlight) {
	stay.Finish()
	c.f.result.TurnedAway++
	c.vm.table.SetLoading(c.f.loop.Now(), e.upstream.ID)
	c.rejected++
	if c.rejected < rejectedTries {
		c.try()
		return
	}
	c.refused(busyReturn)
}

// refused ends an attempt without a run. Callers come back once.
func (c *call) refused(back time.Duration) {
	most := 2
	if c.f.impatient {
		most, back = 1+storm, 0
	}
	if c.attempts >= most || c.runs > 0 {
		c.settle(&c.f.result.Refused)
		return
	}
	c.f.loop.After(back, c.send)
}

// run is the request as the engine gets it.
func (c *call) run(e *engine, choice roster.Choice, stay *roster.InFlight, delay time.Duration) *enginemodel.Request {
	f := c.f
	version := choice.Upstream.Version
	r := &enginemodel.Request{
		OutputTokens: c.prompt.out, Priority: c.class.Priority, Version: version,
		Own: enginemodel.Part{ID: partName(version, c.prompt.ownID), Tokens: c.prompt.own},
	}
	for _, p := range c.prompt.shared {
		r.Parts = append(r.Parts, enginemodel.Part{ID: partName(version, p.ID), Tokens: p.Tokens})
	}
	switch source := choice.Source; {
	case source.ID == "store":
		r.Source = f.store
	case source.ID != "":
		from := f.engine(source.ID)
		r.Source, r.Far = from, from.dc != e.dc
	}
	if choice.SaveTo != "" {
		r.Save = f.store
	}
	r.Read = f.read
	r.First = func() {
		f.loop.After(delay, func() {
			stay.FirstToken(f.loop.Now(), choice.WaitMS)
			c.first(version)
		})
	}
	r.End = func() {
		f.loop.After(delay, func() {
			stay.Finish()
			c.end(version)
		})
	}
	r.BrokeOff = func() { f.loop.After(delay, func() { c.brokeOff(stay) }) }
	return r
}

// read counts the tokens of a shared part that an engine has to read.
func (f *fleet) read(p enginemodel.Part, tokens int) {
	now := f.loop.Now()
	f.result.SharedTokens += p.Tokens
	f.result.ReadTokens += tokens
	if last, known := f.lastUse[p.ID]; known && now.Sub(last) < againWindow {
		f.result.AgainTokens += tokens
	}
	f.lastUse[p.ID] = now
}

func (c *call) first(version int64) {
	now := c.f.loop.Now()
	if c.settled || c.gotFirst {
		return
	}
	c.gotFirst = true
	worth := 1.0
	if now.Sub(c.sent) > c.class.Target {
		worth = c.class.LateWorth
	}
	if version < c.f.version && now.Sub(c.f.namedAt) > outdatedGrace {
		worth *= 1 - outdatedCost
	}
	c.f.result.Worth += worth
	c.f.result.firsts = append(c.f.result.firsts, now.Sub(c.sent))
	c.f.result.errors = append(c.f.result.errors, c.estimate-float64(now.Sub(c.began))/float64(time.Millisecond))
	if now.Sub(c.sent) <= c.class.Target {
		c.settle(&c.f.result.InTarget)
		return
	}
	c.settle(&c.f.result.Late)
}

func (c *call) end(version int64) {
	if version < c.f.version {
		c.f.result.Outdated++
	}
}

// brokeOff sends the request elsewhere if it may run once more.
func (c *call) brokeOff(stay *roster.InFlight) {
	stay.Finish()
	c.runs++
	if c.gotFirst {
		return // its first token was counted; the stream goes on or breaks
	}
	if c.class.Resumable && c.runs < c.class.MaxAttempts {
		c.try()
		return
	}
	c.settle(&c.f.result.Failed)
}

// engine returns the engine of an ID, or of the start before it at the same place.
func (f *fleet) engine(id string) *engine {
	id = strings.TrimRight(id, "+")
	i := slices.IndexFunc(f.engines, func(e *engine) bool { return strings.TrimRight(e.upstream.ID, "+") == id })
	return f.engines[i]
}
