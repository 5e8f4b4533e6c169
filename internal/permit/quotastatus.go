package permit

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// QuotaStatus is what a VM knows of quotas, for its state dump.
type QuotaStatus struct {
	// Issuers holds the VM that this one delegates each shard to, "" for none.
	Issuers [QuotaShards]string `json:"issuers"`
	// Organisations holds those that have sent requests to this VM, Issued those whose
	// quota this VM issues.
	Organisations map[string]OrganisationStatus `json:"organisations"`
	Issued        map[string]IssuedQuota        `json:"issued"`
}

// OrganisationStatus is what a VM knows of the quota of an organisation.
type OrganisationStatus struct {
	RatePerS uint64 `json:"rate_per_s"`
	Burst    uint64 `json:"burst"`
	// Revision is that of the configuration that the limit is from.
	Revision uint64 `json:"revision"`
	Issuer   string `json:"issuer"`
	// AskedPerS is what requests at this VM count per second, Advance what was granted in
	// advance, Owed what the VM granted by itself and has to report.
	AskedPerS float64 `json:"asked_per_s"`
	Advance   uint64  `json:"advance,omitempty"`
	Owed      uint64  `json:"owed,omitempty"`
	// Refused is the number of requests refused since the organisation reached its limit.
	Refused int `json:"refused,omitempty"`
}

// IssuedQuota is the state of an organisation's quota at its issuer.
type IssuedQuota struct {
	RatePerS uint64 `json:"rate_per_s"`
	Burst    uint64 `json:"burst"`
	// Share is the share of the fleet that delegates to this issuer, from 0 to 1.
	Share float64 `json:"share"`
	// Level is what can be granted at once, below 0 if requests were larger.
	Level    float64 `json:"level"`
	UsedPerS float64 `json:"used_per_s"`
	// AtLimit is set if requests would be refused now.
	AtLimit bool `json:"at_limit,omitempty"`
}

// Status returns the present state.
func (q *Quotas) Status(now time.Time) QuotaStatus {
	s := QuotaStatus{Organisations: make(map[string]OrganisationStatus), Issued: q.issuer.status(now)}
	q.mu.Lock()
	defer q.mu.Unlock()
	for shard := range q.shards {
		s.Issuers[shard] = q.shards[shard].issuer
	}
	for name, o := range q.states {
		s.Organisations[name] = OrganisationStatus{
			RatePerS: o.limit.Rate, Burst: o.limit.Burst, Revision: o.position.Revision, Issuer: s.Issuers[quotaShardOf(name)],
			AskedPerS: o.used.Rate(now), Advance: o.advance, Owed: o.owed, Refused: o.refused,
		}
	}
	return s
}

// status returns the organisations whose shard is delegated to this issuer.
func (i *quotaIssuer) status(now time.Time) map[string]IssuedQuota {
	i.mu.Lock()
	defer i.mu.Unlock()
	issued := make(map[string]IssuedQuota)
	for name, b := range i.buckets {
		if sum := i.shards[b.shard].sum; sum > 0 {
			b.Advance(now, sum)
			l := b.Limit()
			issued[name] = IssuedQuota{l.Rate, l.Burst, sum, b.Level(), b.Used(now), b.Level() < 0}
		}
	}
	return issued
}

// maxQuotaGauges is the number of organisations with the largest use whose use is shown.
const maxQuotaGauges = 10

// Use returns the use of quotas that this VM issues, as a part of the limit: of the
// organisations with the largest part, and of those at their limit.
func (q *Quotas) Use(now time.Time) map[string]float64 {
	issued := q.issuer.status(now)
	use := func(name string) float64 { return issued[name].UsedPerS / float64(max(1, issued[name].RatePerS)) }
	names := slices.SortedFunc(maps.Keys(issued), func(x, y string) int {
		return cmp.Or(cmp.Compare(use(y), use(x)), cmp.Compare(x, y))
	})
	out := make(map[string]float64)
	for n, name := range names {
		if n < maxQuotaGauges && use(name) > 0 || issued[name].AtLimit {
			out[name] = use(name)
		}
	}
	return out
}
