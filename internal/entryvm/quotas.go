package entryvm

import (
	"context"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/hibiscuscove/hibiscuscove/internal/permit"
	"github.com/hibiscuscove/hibiscuscove/internal/quota"
	"github.com/hibiscuscove/hibiscuscove/internal/routing"
	"github.com/hibiscuscove/hibiscuscove/internal/wait"
)

// Kinds of direct messages.
const (
	directPermit       = "permit"
	directPermitReturn = "permit_return"
)

const (
	// quotaGaugeInterval is the time between two updates of the gauges of quotas.
	quotaGaugeInterval = time.Second
	// The gauges show the use of an organisation's quota in permille of its limit.
	quotaGauge = "quota_use_permille."
	permille   = 1000
)

func (v *VM) buildQuotas() {
	var from *routing.Config
	var limits *quota.Limits
	v.quotas = permit.NewQuotas(permit.QuotaOptions{
		Name: v.settings.Name, Process: v.incarnation, Now: v.opts.Now, FleetSize: v.fleetSize, Candidates: v.quotaCandidates,
		Tolerance: quota.Tolerance{Over: v.settings.QuotaOver, Units: uint64(v.settings.QuotaSlack)},
		// Only the goroutine of Quotas.Run calls it.
		Limits: func() *quota.Limits {
			if c := v.configuration.Current(); c != nil && c != from {
				from, limits = c, c.Quotas()
			}
			return limits
		},
		Exchange: v.exchangeQuota, Return: v.returnQuota, Log: v.log,
	})
}

// hasQuotas reports whether the configuration has a quota.
func (v *VM) hasQuotas() bool {
	c := v.configuration.Current()
	return c != nil && len(c.Quotas().ByOrganisation) > 0
}

// issuesQuotas reports whether other VMs may choose this one to issue quotas.
func (v *VM) issuesQuotas(now time.Time) bool {
	return v.ready() && v.hasQuotas() && v.quotas.Joined(now)
}

// quotaCandidates returns the names of the VMs that may issue quotas.
func (v *VM) quotaCandidates(now time.Time) []string {
	var names []string
	if v.issuesQuotas(now) {
		names = append(names, v.settings.Name)
	}
	for _, p := range v.beacon.Alive(now) {
		if p.IssuesQuotas && p.Calls {
			names = append(names, p.Name)
		}
	}
	return names
}

// exchangeQuota sends a request for quotas to another VM.
func (v *VM) exchangeQuota(ctx context.Context, vm string, q permit.QuotaRequest) (permit.QuotaResponse, error) {
	raw, err := q.Encode()
	if err != nil {
		return permit.QuotaResponse{}, err
	}
	metrics.GetOrRegisterCounter("quota_calls.sent", v.metrics).Inc(1)
	raw, err = v.beacon.Call(ctx, vm, directPermit, raw)
	if err != nil {
		metrics.GetOrRegisterCounter("quota_calls.failed", v.metrics).Inc(1)
		return permit.QuotaResponse{}, err
	}
	return permit.DecodeQuota[permit.QuotaResponse](raw)
}

// serveQuota handles a request of another VM.
func (v *VM) serveQuota(now time.Time, from string, body []byte) []byte {
	q, err := permit.DecodeQuota[permit.QuotaRequest](body)
	if err != nil {
		metrics.GetOrRegisterCounter("quota_calls.undecoded", v.metrics).Inc(1)
		return nil
	}
	metrics.GetOrRegisterCounter("quota_calls.served", v.metrics).Inc(1)
	raw, err := v.quotas.Handle(now, from, q).Encode()
	if err != nil {
		return nil
	}
	return raw
}

// returnQuota gives parts of quotas back to another VM.
func (v *VM) returnQuota(vm string, r permit.QuotaReturn) {
	raw, err := r.Encode()
	if err != nil {
		return
	}
	// What is lost counts as used.
	_ = v.beacon.Notify(vm, directPermitReturn, raw)
}

// serveQuotaReturn handles what another VM gives back.
func (v *VM) serveQuotaReturn(now time.Time, from string, body []byte) []byte {
	r, err := permit.DecodeQuota[permit.QuotaReturn](body)
	if err != nil {
		metrics.GetOrRegisterCounter("quota_calls.undecoded", v.metrics).Inc(1)
		return nil
	}
	v.quotas.TakeBack(now, from, r)
	return nil
}

// updateQuotaGauges shows the use of the quotas that this VM issues until ctx ends.
func (v *VM) updateQuotaGauges(ctx context.Context) {
	shown := make(map[string]bool)
	for wait.For(ctx, quotaGaugeInterval) {
		if !v.hasQuotas() && len(shown) == 0 {
			continue
		}
		use := v.quotas.Use(v.opts.Now())
		for organisation := range shown {
			if _, present := use[organisation]; !present {
				v.metrics.Unregister(quotaGauge + organisation)
				delete(shown, organisation)
			}
		}
		for organisation, part := range use {
			metrics.GetOrRegisterGauge(quotaGauge+organisation, v.metrics).Update(int64(part * permille))
			shown[organisation] = true
		}
	}
}
