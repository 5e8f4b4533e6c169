package dispatch

import (
	"math"
	"slices"
	"time"
)

const (
	// shareHalfLife is the half-life of what organisations had, and classHalfLife that of how
	// often priorities were served.
	shareHalfLife = 2 * time.Second
	classHalfLife = 4 * time.Second
	// levelInterval is how long a fair level is used, which takes a sort to compute.
	levelInterval = 50 * time.Millisecond
	// shareMargin is the part of the fair level by which an organisation may miss it.
	shareMargin = 0.1
	// minRefused is the decayed number of refusals from which on capacity counts as scarce,
	// and minRequests that of requests from which on a rate of service means something.
	minRefused  = 0.5
	minRequests = 8
	// classMargin is by how much a less urgent priority may be served more often than a more
	// urgent one. The limit of the requirements is 0.05.
	classMargin = 0.02
	// starvedClass and starvedOrganisation are the parts of the rate at which all requests
	// are served below which a priority and an organisation are helped. The limit of the
	// requirements is a quarter. That of an organisation is close to it, since one that sends
	// far more than its share is to be served less often than the others.
	starvedClass        = 0.35
	starvedOrganisation = 0.3
	// rounding is the relative error of sums that are equal.
	rounding = 1e-6
	// forgetBelow is the decayed number of requests below which an organisation is forgotten.
	forgetBelow = 0.01
)

// decayed is what was placed and refused, decayed to a time. Work is in tokens, which is 1
// for a request to a plain service.
type decayed struct {
	at                        time.Time
	work, refusedWork         float64
	requests, refusedRequests float64
}

// decay brings the sums to now.
func (d *decayed) decay(now time.Time, halfLife time.Duration) {
	if elapsed := now.Sub(d.at); elapsed > 0 {
		factor := math.Exp2(-float64(elapsed) / float64(halfLife))
		d.work *= factor
		d.refusedWork *= factor
		d.requests *= factor
		d.refusedRequests *= factor
		d.at = now
	}
}

func (d *decayed) add(work float64, refused bool) {
	if refused {
		d.refusedWork += work
		d.refusedRequests++
		return
	}
	d.work += work
	d.requests++
}

// served returns the part of the requests that was not refused, 1 if there were few.
func (d *decayed) served() float64 {
	all := d.requests + d.refusedRequests
	if all < minRequests {
		return 1
	}
	return d.requests / all
}

// shares holds what the organisations and the priorities had of one group.
type shares struct {
	organisations map[string]*decayed
	classes       [levels]decayed
	all           decayed
	// level is the most work that an organisation has under max-min fairness, infinite if
	// nobody wants more than it has.
	level   float64
	levelAt time.Time
}

func newShares() *shares {
	return &shares{organisations: make(map[string]*decayed), level: math.Inf(1)}
}

// record counts a decision on a request.
func (s *shares) record(now time.Time, organisation string, level int, work float64, refused bool) {
	o := s.organisations[organisation]
	if o == nil {
		o = &decayed{at: now}
		s.organisations[organisation] = o
	}
	o.decay(now, shareHalfLife)
	o.add(work, refused)
	s.classes[level].decay(now, classHalfLife)
	s.classes[level].add(work, refused)
	s.all.decay(now, classHalfLife)
	s.all.add(work, refused)
}

// standing is how an organisation and a priority stand in a group.
type standing struct {
	// over and under are set if the organisation had more or less than its share while
	// others or it itself were refused.
	over, under bool
	// ahead is set if the priority was served more often than a more urgent one.
	ahead bool
	// starved is set if the organisation or the priority was served far less than all.
	starved bool
	// percent is the organisation's work in percent of the fair level, 0 if there is none.
	percent int
}

// restricted reports whether requests must leave room for others.
func (st standing) restricted() bool { return !st.starved && (st.over || st.ahead) }

// standing returns how an organisation and a priority stand now.
func (s *shares) standing(now time.Time, organisation string, level int) standing {
	var st standing
	s.all.decay(now, classHalfLife)
	if s.all.refusedRequests < minRefused {
		return st
	}
	if now.Sub(s.levelAt) >= levelInterval {
		s.updateLevel(now)
	}
	o := s.organisations[organisation]
	if o == nil {
		o = &decayed{at: now}
	}
	o.decay(now, shareHalfLife)
	if !math.IsInf(s.level, 1) && s.level > 0 {
		st.percent = int(100 * o.work / s.level)
		othersRefused := 0.0
		for name, other := range s.organisations {
			if name != organisation {
				othersRefused += other.refusedRequests
			}
		}
		st.over = o.work > (1+shareMargin)*s.level && othersRefused >= minRefused
		st.under = o.work < (1-shareMargin)*s.level && o.refusedRequests >= minRefused
	}
	class := &s.classes[level]
	class.decay(now, classHalfLife)
	for i := range level {
		urgent := &s.classes[i]
		urgent.decay(now, classHalfLife)
		if urgent.refusedRequests >= minRefused && class.served() > urgent.served()+classMargin {
			st.ahead = true
		}
	}
	st.starved = class.served() < starvedClass*s.all.served() || o.served() < starvedOrganisation*s.all.served()
	return st
}

// updateLevel computes the fair level: each organisation has what it wants up to the level,
// and together they have what was placed.
func (s *shares) updateLevel(now time.Time) {
	s.levelAt = now
	wants := make([]float64, 0, len(s.organisations))
	capacity := 0.0
	for name, o := range s.organisations {
		o.decay(now, shareHalfLife)
		if o.requests+o.refusedRequests < forgetBelow {
			delete(s.organisations, name)
			continue
		}
		wants = append(wants, o.work+o.refusedWork)
		capacity += o.work
	}
	slices.Sort(wants)
	s.level = math.Inf(1)
	for i, want := range wants {
		if fair := capacity / float64(len(wants)-i); want > fair*(1+rounding) {
			s.level = fair
			return
		}
		capacity -= want
	}
}
