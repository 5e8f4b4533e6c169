package ingress

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/hibiscuscove/hibiscuscove/internal/intake"
	"github.com/hibiscuscove/hibiscuscove/internal/message"
	"github.com/hibiscuscove/hibiscuscove/internal/permit"
	"github.com/hibiscuscove/hibiscuscove/internal/verdict"
)

// codeQuota is the code of a request that is refused since its organisation has used its
// quota.
const codeQuota = "quota"

// maxAwaitedBody is the length up to which the body of a refused request is read and dropped,
// so that its connection can be used again.
const maxAwaitedBody = 64 << 10

// acquireQuota refuses a request that its organisation's quota does not allow. declared is
// the request with the sizes that the caller declares.
func (j *job) acquireQuota(now time.Time, q *intake.Request, declared message.Request) error {
	h, limit := j.h, q.Organisation.Quota
	if h.opts.Quotas == nil || !limit.Limited() {
		return nil
	}
	// The caller's connection says nothing of the quota: an issuer may grant after its end.
	ctx := context.WithoutCancel(j.r.Context())
	units := limit.Cost(declared.PromptTokens, declared.OutputTokens)
	g := h.opts.Quotas.Acquire(ctx, now, permit.QuotaWant{
		Organisation: q.Organisation.Name, Limit: limit, Position: q.Configuration.Position(),
		Units: units,
	})
	if g.Source != "" {
		h.incCounter("quota_decisions." + string(g.Source))
	}
	if !g.Granted {
		h.incCounter("quota_refusals." + string(g.Source))
		if j.r.ContentLength < 0 || j.r.ContentLength > maxAwaitedBody {
			// On a connection that stays open, net/http reads the rest of the body before it
			// sends the response.
			j.w.Header().Set("Connection", "close")
		}
		return verdict.New(verdict.NotRun, http.StatusTooManyRequests, codeQuota, "the organisation has used its quota").WithRetryAfter(g.RetryAfter).
			WithCause(fmt.Errorf("ingress: %d units refused, decided by %s", units, g.Source))
	}
	j.quota = g
	return nil
}

// refundQuota gives back what a request got that has certainly not run.
func (j *job) refundQuota() {
	if !j.quota.Granted || j.answered || j.headSent || j.failure != nil || j.runs > 0 || len(j.legs) > 0 {
		return
	}
	if j.h.opts.Quotas.Refund(j.h.opts.Now(), j.quota) {
		j.h.incCounter("quota_refunds")
	}
}
