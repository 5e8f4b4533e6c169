package permit

import (
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// maxExchangeFailures is the number of failed exchanges in a row after which another
	// issuer is chosen. The one that failed is avoided for avoidPeriod.
	maxExchangeFailures = 3
	avoidPeriod         = 3 * time.Second
)

// delegation is this VM's share of one shard: to which issuer it is delegated, and
// until when it may count there. The zero value is a share that counts nowhere.
type delegation struct {
	issuer string
	stamp  Stamp
	// stampAt is when stamp was received, and boundUntil when the share no longer
	// counts at issuer whatever happens to messages on their way.
	stampAt, boundUntil time.Time
	triedAt             time.Time
	failures            int
	avoided             map[string]time.Time
}

// shardOf returns the shard of an incarnation.
func shardOf(incarnation string) int { return int(xxhash.Sum64String(incarnation) % Shards) }

// preferred returns the candidate that all VMs with the same candidates prefer as
// issuer of a shard, or "".
func (d *delegation) preferred(now time.Time, shard int, candidates []string) string {
	best, bestHash := "", uint64(0)
	for _, name := range candidates {
		if d.avoided[name].After(now) {
			continue
		}
		if hash := xxhash.Sum64String("permits/" + strconv.Itoa(shard) + "/" + name); best == "" || hash > bestHash {
			best, bestHash = name, hash
		}
	}
	return best
}

// next returns the issuer for the next exchange, "" for none, and whether to withdraw
// the share from it.
func (d *delegation) next(now time.Time, shard int, candidates []string) (issuer string, withdraw bool) {
	preferred := d.preferred(now, shard, candidates)
	if preferred == d.issuer {
		return preferred, false
	}
	if now.Before(d.boundUntil) {
		return d.issuer, true
	}
	d.release()
	d.issuer = preferred
	return preferred, false
}

// release makes the share count nowhere.
func (d *delegation) release() {
	d.issuer, d.stamp, d.stampAt, d.boundUntil, d.failures = "", Stamp{}, time.Time{}, time.Time{}, 0
}

// prepare returns the stamp for a request to the issuer, and records that the share
// counts there from now on.
func (d *delegation) prepare(now time.Time, ttl time.Duration) Stamp {
	d.triedAt = now
	if d.stamp != (Stamp{}) {
		d.boundUntil = laterOf(d.boundUntil, d.stampAt.Add(ttl))
	}
	return d.stamp
}

// complete records the response of an issuer that has been asked at now. Responses of
// earlier issuers are ignored.
func (d *delegation) complete(now time.Time, issuer string, withdraw bool, r Response) {
	if issuer != d.issuer {
		return
	}
	d.failures = 0
	if r.Withdrawn {
		d.release()
		if !withdraw {
			d.avoid(now, issuer)
		}
		return
	}
	if !withdraw && (r.Stamp.Process != d.stamp.Process || r.Stamp.MS > d.stamp.MS) {
		d.stamp, d.stampAt = r.Stamp, now
	}
}

// fail records that an exchange with an issuer failed. After maxFailures in a row another
// one is chosen.
func (d *delegation) fail(now time.Time, issuer string, maxFailures int) {
	if issuer != d.issuer {
		return
	}
	if d.failures++; d.failures >= maxFailures {
		d.failures = 0
		d.avoid(now, issuer)
	}
}

func (d *delegation) avoid(now time.Time, issuer string) {
	if d.avoided == nil {
		d.avoided = make(map[string]time.Time)
	}
	for name, until := range d.avoided {
		if !until.After(now) {
			delete(d.avoided, name)
		}
	}
	d.avoided[issuer] = now.Add(avoidPeriod)
}
