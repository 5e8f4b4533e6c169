package permit

import (
	"math"
	"slices"
	"time"
)

const (
	// burst is the number of permits that all issuers together may have saved up for
	// one upstream.
	burst = 3.0
	// trialInterval is the shortest time between a permit and one for a trial.
	trialInterval = time.Second
	// demandTTL is how long a request for a permit counts as present demand.
	demandTTL = 5 * time.Second
	// useHalfLife is the time after which a permit counts half for its organisation.
	useHalfLife = 4 * time.Second
	// maxOrganisations limits the organisations that a bucket tells apart. Further ones
	// share one account.
	maxOrganisations = 256
	// lowestPriority replaces priorities that are less urgent.
	lowestPriority = 9
	// maxRetryAfter limits how far ahead room is promised.
	maxRetryAfter = 30 * time.Second
)

// Saved permits that a request leaves: to more urgent ones, to first attempts, and to
// organisations that have had less than their part.
const (
	reserveForUrgent = 2.0
	reserveForFirst  = 2.0
	reserveForOthers = 1.0
)

// bucket is an issuer's token bucket for one upstream. Its rate is the limit times the
// share of the fleet that delegates to the issuer.
type bucket struct {
	level float64
	at    time.Time
	// share is the share of the fleet at at.
	share     float64
	lastGrant time.Time
	// askedAt is when a request of each priority last asked for a permit, and firstAt
	// when a first attempt did.
	askedAt  [lowestPriority + 1]time.Time
	firstAt  time.Time
	accounts map[string]*account
}

// account is an organisation's use of a bucket.
type account struct {
	used  float64
	at    time.Time
	asked time.Time
}

func newBucket(now time.Time) *bucket { return &bucket{at: now, accounts: make(map[string]*account)} }

// advance fills the bucket until now. Of two shares at the ends of a period the lower
// one counts, since nothing tells when it changed.
func (b *bucket) advance(now time.Time, rate, share float64) {
	if elapsed := now.Sub(b.at); elapsed > 0 {
		b.level += elapsed.Seconds() * rate * min(b.share, share)
		b.at = now
	}
	b.share = share
	b.level = min(b.level, burst*share)
}

// take decides on a request for a permit.
func (b *bucket) take(now time.Time, rate, share float64, w Want) Grant {
	b.advance(now, rate, share)
	priority := min(lowestPriority, max(0, w.Priority))
	own := b.account(w.Organisation)
	own.asked, b.askedAt[priority] = now, now
	if !w.Retry {
		b.firstAt = now
	}
	need := 1 + b.reserved(now, priority, own, w.Retry)
	if w.Trial && now.Sub(b.lastGrant) < trialInterval {
		return Grant{RetryAfterMS: trialInterval.Milliseconds()}
	}
	// A bucket that can't hold the reserve must not deny for ever.
	need = max(1, min(need, burst*share))
	if b.level >= need {
		b.level--
		b.lastGrant = now
		own.used = own.usedAt(now) + 1
		own.at = now
		return Grant{Granted: true}
	}
	if burst*share < need {
		return Grant{RetryAfterMS: renewInterval.Milliseconds(), HoldMS: renewInterval.Milliseconds()}
	}
	wait := func(level float64) int64 {
		if level <= b.level {
			return 0
		}
		seconds := (level - b.level) / (rate * share)
		return 1 + min(maxRetryAfter.Milliseconds(), int64(seconds*1000))
	}
	return Grant{RetryAfterMS: wait(need), HoldMS: wait(1)}
}

// reserved returns the saved permits that a request must leave: for more urgent ones,
// for first attempts if it is a retry, and for other organisations if its own has had
// more than its part.
func (b *bucket) reserved(now time.Time, priority int, own *account, retry bool) float64 {
	present := func(at time.Time) bool { return now.Sub(at) < demandTTL }
	total := 0.0
	if slices.ContainsFunc(b.askedAt[:priority], present) {
		total += reserveForUrgent
	}
	if retry && present(b.firstAt) {
		total += reserveForFirst
	}
	return total + b.reservedForShares(now, own)
}

func (b *bucket) reservedForShares(now time.Time, own *account) float64 {
	sum, present := 0.0, 0
	for name, a := range b.accounts {
		used := a.usedAt(now)
		if now.Sub(a.asked) > demandTTL {
			if used < 0.01 {
				delete(b.accounts, name)
			}
			continue
		}
		sum += used
		present++
	}
	if present > 1 && own.usedAt(now) > sum/float64(present) {
		return reserveForOthers
	}
	return 0
}

// account returns the account of an organisation.
func (b *bucket) account(organisation string) *account {
	if a := b.accounts[organisation]; a != nil {
		return a
	}
	if len(b.accounts) >= maxOrganisations {
		organisation = ""
	}
	if b.accounts[organisation] == nil {
		b.accounts[organisation] = &account{}
	}
	return b.accounts[organisation]
}

// usedAt returns the permits that the organisation has used lately.
func (a *account) usedAt(now time.Time) float64 {
	if a.used == 0 {
		return 0
	}
	return a.used * math.Exp2(-now.Sub(a.at).Seconds()/useHalfLife.Seconds())
}
