package permit

import (
	"context"
	"time"

	"github.com/hibiscuscove/hibiscuscove/internal/quota"
	"github.com/hibiscuscove/hibiscuscove/internal/registry"
)

// Source says who has decided on a request.
type Source string

// The sources of decisions.
const (
	// ByIssuer is a decision of the issuer, ByAdvance one from what it has granted in
	// advance, and ByWait a refusal while the issuer is known to refuse.
	ByIssuer  Source = "issuer"
	ByAdvance Source = "advance"
	ByWait    Source = "wait"
	// BySelf is a decision by this VM's own share, since no issuer has replied.
	BySelf Source = "self"
)

// QuotaWant describes a request that needs a part of a quota.
type QuotaWant struct {
	Organisation string
	// Limit is the organisation's limit in the configuration at Position.
	Limit    quota.Limit
	Position registry.Position
	// Units is what the request counts.
	Units uint64
}

// QuotaGrant is the decision on a request. It is needed to give its units back.
type QuotaGrant struct {
	quota.Decision
	Source Source

	organisation string
	units        uint64
	at           time.Time
	issuer       issuerProcess
	// owed is set if the units were granted here and are going to be charged at an issuer.
	owed bool
}

// Acquire decides on a request. It waits for a reply of the issuer for
// quotaAttempts * quotaReplyTimeout, and for lastReplyTimeout if the request would be refused
// otherwise.
func (q *Quotas) Acquire(ctx context.Context, now time.Time, w QuotaWant) QuotaGrant {
	if !w.Limit.Limited() || w.Units == 0 {
		return QuotaGrant{Decision: quota.Decision{Granted: true}}
	}
	w.Limit = w.Limit.WithTolerance(q.opts.Tolerance)
	g := QuotaGrant{organisation: w.Organisation, units: w.Units, at: now}
	shard := quotaShardOf(w.Organisation)
	q.mu.Lock()
	o := q.state(now, w)
	o.used.Add(now, float64(w.Units))
	o.asked.Add(now, 1)
	if o.advance >= w.Units && now.Before(o.advanceUntil) {
		o.advance -= w.Units
		g.Granted, g.Source, g.issuer = true, ByAdvance, o.advanceFrom
		q.mu.Unlock()
		return g
	}
	if now.Before(o.waitUntil) {
		g.Source = ByWait
		g.RetryAfter = o.spread.Next(now, o.waitUntil.Sub(now), q.ownInterval(w))
		q.refuse(now, o, w, g)
		q.mu.Unlock()
		return g
	}
	s := &q.shards[shard]
	issuer := s.issuer
	if issuer == "" {
		issuer = s.target
	}
	unknown := issuer == "" || now.Before(s.avoided[issuer])
	if unknown || now.Before(s.silentUntil) {
		g = q.decideAlone(now, o, w, g)
		if unknown && !g.Granted {
			q.refuse(now, o, w, g)
		}
		if unknown || g.Granted {
			q.mu.Unlock()
			return g
		}
	}
	r := QuotaRequest{Shard: shard, FleetSize: q.fleetSize}
	if issuer == s.issuer {
		r = q.request(now, shard, false)
	}
	q.lastID++
	// What is left of an advance from this issuer is used together with what it grants now.
	// Others that ask meanwhile must not use or report the same units.
	var left uint64
	if now.Before(o.advanceUntil) && o.advanceFrom.vm == issuer {
		left, o.advance = o.advance, 0
	}
	r.Ask = &QuotaAsk{
		ID: q.lastID, Organisation: w.Organisation, Units: w.Units - left, Advance: o.wantedAdvance(now), Owed: o.owed,
		Era: w.Position.Era, Revision: w.Position.Revision,
		Rate: w.Limit.Rate, Burst: w.Limit.Burst, Tokens: w.Limit.Tokens, PlainTokens: w.Limit.PlainTokens,
	}
	o.owed = 0
	q.mu.Unlock()
	response, err := q.exchange(ctx, issuer, r, quotaReplyTimeout)
	if err != nil {
		q.mu.Lock()
		g = q.decideAlone(q.opts.Now(), o, w, g)
		q.mu.Unlock()
		if !g.Granted {
			response, err = q.exchangeLast(ctx, issuer, r)
		}
	}
	now = q.opts.Now()
	if err != nil {
		// The request may have arrived.
		q.giveBack(now, issuer, QuotaReturn{Cancelled: r.Ask.ID})
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	if err != nil {
		o.owed += r.Ask.Owed
		if !g.Granted {
			q.refuse(now, o, w, g)
		}
	} else {
		g = q.complete(now, o, w, g, issuerProcess{issuer, response.Stamp.Process}, r.Ask, response)
	}
	if left > 0 && (!g.Granted || g.Source != ByIssuer) {
		o.advance += left
	}
	return g
}

// complete applies an issuer's response to a request. The caller holds the lock.
func (q *Quotas) complete(now time.Time, o *organisation, w QuotaWant, g QuotaGrant, from issuerProcess, ask *QuotaAsk, r QuotaResponse) QuotaGrant {
	if r.Undecided {
		o.owed += ask.Owed
		q.shards[quotaShardOf(w.Organisation)].silentUntil = now.Add(silentHold)
		if g = q.decideAlone(now, o, w, g); !g.Granted {
			q.refuse(now, o, w, g)
		}
		return g
	}
	g.Source, g.Decision = ByIssuer, quota.Decision{Granted: r.Granted}
	if r.Granted {
		if r.Lifted {
			g.units = 0
			return g
		}
		g.issuer = from
		if r.Advance > 0 {
			q.dropAdvance(o, w.Organisation)
			o.advance, o.advanceFrom, o.advanceUntil = r.Advance, from, now.Add(advanceTTL)
		}
		return g
	}
	g.RetryAfter = time.Duration(r.RetryAfterMS) * time.Millisecond
	if wait := time.Duration(r.WaitMS) * time.Millisecond; wait >= minWait {
		o.waitUntil = now.Add(wait)
	}
	q.refuse(now, o, w, g)
	return g
}

// decideAlone decides by this VM's own share. The caller holds the lock.
func (q *Quotas) decideAlone(now time.Time, o *organisation, w QuotaWant, g QuotaGrant) QuotaGrant {
	s := &q.shards[quotaShardOf(w.Organisation)]
	// After a start the share may still count where the process before has delegated it.
	bound := now.Before(s.boundUntil) || !q.Joined(now)
	g.Source = BySelf
	if left := quietPeriod - now.Sub(q.startedAt); left > 0 {
		g.RetryAfter = o.spread.Next(now, left, q.ownInterval(w))
		return g
	}
	g.Decision = o.local.Take(now, w.Limit, 1/float64(max(1, q.fleetSize)), bound, w.Units)
	if !g.Granted {
		// The issuer, or another one, may reply by then.
		g.RetryAfter = max(g.RetryAfter, o.spread.Next(now, silentHold, q.ownInterval(w)))
	}
	if g.Granted && bound {
		o.owed += w.Units
		g.owed = true
	}
	return g
}

// ownInterval returns the time between two requests like this one at this VM's share of the
// rate.
func (q *Quotas) ownInterval(w QuotaWant) time.Duration {
	return time.Duration(min(1, float64(w.Units)*float64(q.fleetSize)/float64(w.Limit.Rate)) * float64(time.Second))
}

// refuse records a refusal. The caller holds the lock.
func (q *Quotas) refuse(now time.Time, o *organisation, w QuotaWant, g QuotaGrant) {
	if o.refusedAt.IsZero() {
		s := &q.shards[quotaShardOf(w.Organisation)]
		q.opts.Log.Info().Str("organisation", w.Organisation).Uint64("rate", w.Limit.Rate).Uint64("burst", w.Limit.Burst).Uint64("revision", w.Position.Revision).
			Uint64("units", w.Units).Str("decided_by", string(g.Source)).Str("issuer", s.issuer).Int("vms", q.fleetSize).
			Float64("asked_per_s", o.used.Rate(now)).Dur("retry_after", g.RetryAfter).Msg("organisation at its quota")
	}
	o.refused++
	o.refusedAt = now
}

// state returns what is known of the organisation of a request. The caller holds the lock.
func (q *Quotas) state(now time.Time, w QuotaWant) *organisation {
	o := q.states[w.Organisation]
	if o == nil {
		o = &organisation{limit: w.Limit, position: w.Position}
		q.states[w.Organisation] = o
	}
	if o.position.Before(w.Position) {
		if o.limit != w.Limit {
			// What was granted or refused under the old limit says nothing of the new one.
			q.dropAdvance(o, w.Organisation)
			o.waitUntil = now
		}
		o.limit, o.position = w.Limit, w.Position
	}
	return o
}

// wantedAdvance returns the units that the VM is going to need soon, 0 if that is less than
// a request.
func (o *organisation) wantedAdvance(now time.Time) uint64 {
	if o.asked.Rate(now)*advancePeriod.Seconds() < 1 {
		return 0
	}
	return uint64(o.used.Rate(now) * advancePeriod.Seconds())
}

// dropAdvance gives back what was granted in advance. The caller holds the lock.
func (q *Quotas) dropAdvance(o *organisation, name string) {
	if o.advance > 0 {
		q.giveBackLater(o.advanceFrom, name, o.advance)
		o.advance = 0
	}
}

// giveBackLater gives units back with the next Renew. The caller holds the lock.
func (q *Quotas) giveBackLater(to issuerProcess, name string, units uint64) {
	if q.returns[to] == nil {
		q.returns[to] = make(map[string]uint64)
	}
	q.returns[to][name] += units
}

// Refund gives back what was granted to a request that has certainly not run. It must be
// called at most once for a grant. It reports whether there was something to give back.
func (q *Quotas) Refund(now time.Time, g QuotaGrant) bool {
	if !g.Granted || g.units == 0 || now.Sub(g.at) > maxRefundAge {
		return false
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	o := q.states[g.organisation]
	if o == nil {
		return false
	}
	if g.Source != BySelf {
		q.giveBackLater(g.issuer, g.organisation, g.units)
		return true
	}
	if g.owed {
		o.owed -= min(o.owed, g.units)
	}
	o.local.Return(g.units)
	return true
}

// maintain gives back what was granted in advance and not used, and forgets organisations
// that have no quota any more. The caller holds the lock.
func (q *Quotas) maintain(now time.Time) {
	for name, o := range q.states {
		if !now.Before(o.advanceUntil) {
			q.dropAdvance(o, name)
		}
		if !o.refusedAt.IsZero() && now.Sub(o.refusedAt) >= belowAfter {
			q.opts.Log.Info().Str("organisation", name).Uint64("rate", o.limit.Rate).Int("refused", o.refused).
				Float64("asked_per_s", o.used.Rate(now)).Msg("organisation below its quota again")
			o.refused, o.refusedAt = 0, time.Time{}
		}
		if _, limited := q.limits.ByOrganisation[name]; !limited && o.position.Before(q.limits.Position) && o.refusedAt.IsZero() {
			delete(q.states, name)
		}
	}
}
