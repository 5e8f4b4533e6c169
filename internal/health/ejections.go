package health

import (
	"cmp"
	"maps"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Outcome is how an upstream has responded to a request.
type Outcome uint8

// The outcomes. Failed is a complete response that reports a failure of the upstream,
// Broken is no complete response in the protocol.
const (
	Sound Outcome = iota
	Failed
	Broken
)

const (
	// maxOutcomes limits the outcomes of an incarnation that count, outcomePeriod their
	// age.
	maxOutcomes   = 8
	outcomePeriod = 5 * time.Second
	// burstPeriod joins responses broken off together, as by a reset of all connections.
	burstPeriod = 20 * time.Millisecond
	// brokenRow responses broken in a row eject an upstream, or brokenMajority if they
	// are most of those that count, or failedMajority failed or broken ones.
	brokenRow      = 2
	brokenMajority = 3
	failedMajority = 5
	// brokenOfFleet is the number of broken responses at minReporters VMs or more that
	// eject an upstream, if they are at least one of brokenOfFleet responses there.
	brokenOfFleet = 3
	minReporters  = 2
	// fleetBurstPeriod joins responses broken off together that different VMs report.
	fleetBurstPeriod = 100 * time.Millisecond
	// soundVeto is the number of sound responses here, without a broken one, against
	// which peers' reports don't count.
	soundVeto = 2
	// firstPause is the time from an ejection to the first trial. It doubles with each
	// one that breaks, up to maxPause.
	firstPause = 300 * time.Millisecond
	maxPause   = time.Second
	// trialsToReturn is the number of sound trials in a row after which an upstream
	// returns.
	trialsToReturn = 2
	// trialTimeout is how long a trial without an outcome delays the next one.
	trialTimeout = 2 * time.Second
	// otherTrialDelay is how long a trial waits for a request that may be repeated,
	// unless the last trial waited for one in vain.
	otherTrialDelay = 2 * time.Second
	// maxTrialDelay limits the time without a trial because those of peers break.
	maxTrialDelay = 2 * time.Second
	// probation is the time after a return in which one broken response ejects.
	probation = 4 * time.Second
	// reportTTL is how long a peer's report counts, and how old the last broken response
	// in a report may be.
	reportTTL = time.Second
	// maxEjectionReports limits the reports in one message, maxReportedRequests the
	// requests in a report.
	maxEjectionReports  = 16
	maxReportedRequests = 4
)

// EjectionReport tells a peer how an incarnation of an upstream has responded lately.
type EjectionReport struct {
	Incarnation string `json:"incarnation" cbor:"1,keyasint"`
	// Requests holds a hash of each request whose response broke.
	Requests []uint32 `json:"requests" cbor:"2,keyasint"`
	// Sound is the number of complete responses in the same period.
	Sound int `json:"sound,omitempty" cbor:"3,keyasint,omitempty"`
	// AgeMS is the time since the last broken response, in milliseconds.
	AgeMS int64 `json:"age_ms" cbor:"4,keyasint"`
}

// Ejections holds the incarnations of upstreams whose responses break, or fail while
// those of the service's other upstreams don't. An ejected upstream gets no requests but
// one trial at a time, until two in a row are sound. At most a third of a service's upstreams are
// ejected, and none while most of them break. Two VMs or more that see responses break
// eject an upstream together. An Ejections is safe for concurrent use.
type Ejections struct {
	vm string

	mu sync.Mutex
	// services maps the known incarnations to their services.
	services map[string]string
	entries  map[string]*ejection
	// reports holds what peers have reported, by peer and incarnation.
	reports map[string]map[string]receivedReport
	// ejected is the number of entries that are ejected. cleared counts requests that
	// other upstreams have completed.
	ejected int
	cleared uint64
}

// receivedReport is a report with the time of the last broken response in it.
type receivedReport struct {
	EjectionReport
	receivedAt, brokenAt time.Time
}

// ejection is what an Ejections holds about one incarnation.
type ejection struct {
	// recent holds the outcomes that count, the oldest first.
	recent []outcome
	// ejectedAt is when it was ejected, zero if it is not, and returnedAt when it last
	// returned.
	ejectedAt, returnedAt time.Time
	// nextTrial is when the next trial is due, lastTrial when the last one began, and
	// pause the time from one that breaks to the next.
	nextTrial, lastTrial time.Time
	pause                time.Duration
	// soundTrials is the number of sound trials in a row.
	soundTrials int
	// inVain is set if the last trial was not a request that may be repeated.
	inVain bool
}

// outcome is the outcome of one request, which is identified by a hash.
type outcome struct {
	at      time.Time
	request uint32
	kind    Outcome
}

// NewEjections returns the empty Ejections of a VM.
func NewEjections(vm string) *Ejections {
	return &Ejections{vm: vm, services: make(map[string]string), entries: make(map[string]*ejection), reports: make(map[string]map[string]receivedReport)}
}

// Observe records the outcome of a request of this VM. request identifies its content:
// responses to one that no upstream completes count once for each upstream. It reports
// whether the upstream is ejected or returns by it.
func (x *Ejections) Observe(now time.Time, service, incarnation, request string, kind Outcome) (ejected, returned bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	e := x.entries[incarnation]
	if e == nil {
		if len(x.entries) >= maxIncarnations {
			return false, false
		}
		e = &ejection{}
		x.entries[incarnation] = e
	}
	x.services[incarnation] = service
	o := outcome{now, uint32(xxhash.Sum64String(request)), kind}
	if kind == Sound {
		x.clear(o.request)
	}
	e.add(o)
	switch {
	case !e.ejectedAt.IsZero() && kind == Sound && e.soundTrials+1 < trialsToReturn:
		e.soundTrials++
		e.nextTrial = now
		return false, false
	case !e.ejectedAt.IsZero() && kind == Sound:
		e.ejectedAt, e.returnedAt, e.recent = time.Time{}, now, nil
		x.ejected--
		return false, true
	case !e.ejectedAt.IsZero():
		e.soundTrials = 0
		e.nextTrial, e.pause = now.Add(e.pause), min(2*e.pause, maxPause)
		return false, false
	}
	return x.check(now, incarnation, e), false
}

// clear makes earlier broken responses to a request count each on their own, since an
// upstream has completed it. The caller holds the lock.
func (x *Ejections) clear(request uint32) {
	for _, e := range x.entries {
		for i, o := range e.recent {
			if o.kind == Broken && o.request == request {
				x.cleared++
				e.recent[i].request = uint32(xxhash.Sum64String(x.vm + " " + strconv.FormatUint(x.cleared, 10)))
			}
		}
	}
}

// add adds an outcome, unless it is a further broken response to the same request, or of
// the same moment.
func (e *ejection) add(o outcome) {
	e.recent = slices.DeleteFunc(e.recent, func(old outcome) bool { return o.at.Sub(old.at) > outcomePeriod })
	if o.kind == Broken && slices.ContainsFunc(e.recent, func(old outcome) bool {
		return old.kind == Broken && (old.request == o.request || o.at.Sub(old.at) < burstPeriod)
	}) {
		return
	}
	e.recent = append(e.recent, o)
	e.recent = e.recent[max(0, len(e.recent)-maxOutcomes):]
}

// count returns the numbers of the outcomes that count, and of the broken ones since the
// last other one.
func (e *ejection) count(now time.Time) (sound, failed, broken, row int) {
	for _, o := range e.recent {
		if now.Sub(o.at) > outcomePeriod {
			continue
		}
		row++
		switch o.kind {
		case Sound:
			sound, row = sound+1, 0
		case Failed:
			failed, row = failed+1, 0
		case Broken:
			broken++
		}
	}
	return sound, failed, broken, row
}

// check ejects an upstream if its outcomes ask for it, and reports whether it did. The
// caller holds the lock.
func (x *Ejections) check(now time.Time, incarnation string, e *ejection) bool {
	sound, failed, broken, row := e.count(now)
	onProbation := row > 0 && !e.returnedAt.IsZero() && now.Sub(e.returnedAt) < probation
	switch {
	case row >= brokenRow, onProbation, broken >= brokenMajority && broken > sound+failed:
	case failed+broken >= failedMajority && failed+broken > sound && x.othersSound(now, incarnation, failed+broken, sound):
	case (sound < soundVeto || broken > 0) && x.brokenInFleet(now, incarnation, e, sound):
	default:
		return false
	}
	if !onProbation {
		e.pause = firstPause
	}
	e.ejectedAt, e.lastTrial, e.nextTrial = now, now, now.Add(e.pause)
	e.pause = min(2*e.pause, maxPause)
	e.soundTrials = 0
	x.ejected++
	return true
}

// othersSound reports whether the share of failures at the service's other upstreams is
// at most half of this one's. The caller holds the lock.
func (x *Ejections) othersSound(now time.Time, incarnation string, failures, sound int) bool {
	otherFailures, otherSound := 0, 0
	for name, other := range x.entries {
		if name == incarnation || x.services[name] != x.services[incarnation] {
			continue
		}
		s, failed, broken, _ := other.count(now)
		otherFailures, otherSound = otherFailures+failed+broken, otherSound+s
	}
	return otherSound > 0 && 2*otherFailures*(failures+sound) <= failures*(otherFailures+otherSound)
}

// brokenInFleet reports whether this VM and its peers together have seen enough broken
// responses, and not all at one moment. The caller holds the lock.
func (x *Ejections) brokenInFleet(now time.Time, incarnation string, e *ejection, sound int) bool {
	requests, reporters, repeated := make(map[uint32]bool), 0, false
	var first, last time.Time // of the times of each VM's last broken response
	report := func(at time.Time, n int) {
		reporters++
		repeated = repeated || n > 1
		if first.IsZero() || at.Before(first) {
			first = at
		}
		if at.After(last) {
			last = at
		}
	}
	var ownAt time.Time
	for _, o := range e.recent {
		if o.kind == Broken && now.Sub(o.at) <= outcomePeriod {
			requests[o.request], ownAt = true, o.at
		}
	}
	if len(requests) > 0 {
		report(ownAt, len(requests))
	}
	for _, list := range x.reports {
		if r, found := list[incarnation]; found && now.Sub(r.receivedAt) <= reportTTL {
			report(r.brokenAt, len(r.Requests))
			sound += r.Sound
			for _, request := range r.Requests {
				requests[request] = true
			}
		}
	}
	broken := len(requests)
	return (repeated || last.Sub(first) >= fleetBurstPeriod) && reporters >= minReporters && broken >= brokenOfFleet && brokenOfFleet*broken >= broken+sound
}

// Learn records the reports of a peer, which replace its earlier ones. It returns the
// incarnations that are ejected by them.
func (x *Ejections) Learn(now time.Time, peer string, reports []EjectionReport) []string {
	x.mu.Lock()
	defer x.mu.Unlock()
	delete(x.reports, peer)
	if len(reports) == 0 || len(x.reports) >= maxIncarnations {
		return nil
	}
	list := make(map[string]receivedReport)
	x.reports[peer] = list
	var ejected []string
	for _, r := range reports[:min(len(reports), maxEjectionReports)] {
		if _, known := x.services[r.Incarnation]; !known || r.AgeMS < 0 || r.AgeMS > reportTTL.Milliseconds() || r.Sound < 0 || r.Sound > maxOutcomes {
			continue
		}
		r.Requests = r.Requests[:min(len(r.Requests), maxReportedRequests)]
		brokenAt := now.Add(-time.Duration(r.AgeMS) * time.Millisecond)
		list[r.Incarnation] = receivedReport{r, now, brokenAt}
		e := x.entries[r.Incarnation]
		if e == nil {
			if len(x.entries) >= maxIncarnations {
				continue
			}
			e = &ejection{}
			x.entries[r.Incarnation] = e
		}
		if e.ejectedAt.IsZero() {
			if x.check(now, r.Incarnation, e) {
				ejected = append(ejected, r.Incarnation)
			}
			continue
		}
		// VMs take turns at trials while these break.
		next := brokenAt.Add(e.pause + x.spread(r.Incarnation, e.pause))
		if latest := e.lastTrial.Add(maxTrialDelay); next.After(latest) {
			next = latest
		}
		if next.After(e.nextTrial) {
			e.nextTrial = next
		}
	}
	return ejected
}

// spread returns a part of a period that differs between VMs.
func (x *Ejections) spread(incarnation string, period time.Duration) time.Duration {
	return time.Duration(xxhash.Sum64String(x.vm+" "+incarnation) % uint64(period))
}

// InForce returns the incarnations that get trials only, nil if there are none.
func (x *Ejections) InForce(now time.Time) map[string]bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.ejected == 0 {
		return nil
	}
	byService := make(map[string][]string)
	for incarnation, e := range x.entries {
		if !e.ejectedAt.IsZero() {
			byService[x.services[incarnation]] = append(byService[x.services[incarnation]], incarnation)
		}
	}
	inForce := make(map[string]bool)
	for service, list := range byService {
		n := 0
		for _, s := range x.services {
			if s == service {
				n++
			}
		}
		if n < 2 || len(list) > (n+1)/2 {
			continue
		}
		slices.SortFunc(list, func(a, b string) int {
			return cmp.Or(x.entries[a].ejectedAt.Compare(x.entries[b].ejectedAt), cmp.Compare(a, b))
		})
		for _, incarnation := range list[:min(len(list), (n+2)/3)] {
			inForce[incarnation] = true
		}
	}
	return inForce
}

// EjectedAfter reports whether an incarnation was ejected later than at.
func (x *Ejections) EjectedAfter(at time.Time, incarnation string) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	e := x.entries[incarnation]
	return e != nil && e.ejectedAt.After(at)
}

// TrialDue reports whether an ejected incarnation may get a trial. Requests that must not
// be repeated are trials only while no others come.
func (x *Ejections) TrialDue(now time.Time, incarnation string, repeatable bool) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.entries[incarnation].trialDue(now, repeatable)
}

// StartTrial reports whether an ejected incarnation may get a trial, and if so records
// that it gets one.
func (x *Ejections) StartTrial(now time.Time, incarnation string, repeatable bool) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	e := x.entries[incarnation]
	if !e.trialDue(now, repeatable) {
		return false
	}
	e.lastTrial, e.nextTrial, e.inVain = now, now.Add(trialTimeout), !repeatable
	return true
}

func (e *ejection) trialDue(now time.Time, repeatable bool) bool {
	if e == nil || e.ejectedAt.IsZero() {
		return false
	}
	due := e.nextTrial
	if !repeatable && !e.inVain {
		due = due.Add(otherTrialDelay)
	}
	return !now.Before(due)
}

// Reports returns reports for peers about the upstreams whose responses broke last.
func (x *Ejections) Reports(now time.Time) []EjectionReport {
	x.mu.Lock()
	defer x.mu.Unlock()
	var list []EjectionReport
	for incarnation, e := range x.entries {
		r := EjectionReport{Incarnation: incarnation, AgeMS: -1}
		for _, o := range slices.Backward(e.recent) {
			age := now.Sub(o.at)
			switch {
			case age > outcomePeriod:
			case o.kind != Broken:
				r.Sound++
			case len(r.Requests) < maxReportedRequests:
				r.Requests = append(r.Requests, o.request)
				if r.AgeMS < 0 {
					r.AgeMS = age.Milliseconds()
				}
			}
		}
		if r.AgeMS >= 0 && r.AgeMS <= reportTTL.Milliseconds() {
			list = append(list, r)
		}
	}
	slices.SortFunc(list, func(a, b EjectionReport) int {
		return cmp.Or(cmp.Compare(a.AgeMS, b.AgeMS), cmp.Compare(a.Incarnation, b.Incarnation))
	})
	return list[:min(len(list), maxEjectionReports)]
}

// Retain removes what is known of incarnations that are not on the list of upstreams, and
// old reports. services maps those on the list to their services.
func (x *Ejections) Retain(now time.Time, services map[string]string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.services = maps.Clone(services)
	maps.DeleteFunc(x.entries, func(incarnation string, e *ejection) bool {
		_, listed := services[incarnation]
		if !listed && !e.ejectedAt.IsZero() {
			x.ejected--
		}
		return !listed
	})
	for peer, list := range x.reports {
		maps.DeleteFunc(list, func(_ string, r receivedReport) bool { return now.Sub(r.receivedAt) > reportTTL })
		if len(list) == 0 {
			delete(x.reports, peer)
		}
	}
}

// Ages returns the time since the ejection in milliseconds, by incarnation.
func (x *Ejections) Ages(now time.Time) map[string]int64 {
	x.mu.Lock()
	defer x.mu.Unlock()
	ages := make(map[string]int64, x.ejected)
	for incarnation, e := range x.entries {
		if !e.ejectedAt.IsZero() {
			ages[incarnation] = now.Sub(e.ejectedAt).Milliseconds()
		}
	}
	return ages
}
