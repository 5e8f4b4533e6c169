package entryvm

import (
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/hibiscuscove/hibiscuscove/internal/dispatch"
)

// directHandler handles a direct message of another VM and returns the reply, nil for none.
type directHandler func(now time.Time, from string, body []byte) []byte

// directHandlers returns the handlers of direct messages by their kind.
func (v *VM) directHandlers() map[string]directHandler {
	return map[string]directHandler{
		directPermit:          v.serveQuota,
		directPermitReturn:    v.serveQuotaReturn,
		dispatch.KindPlace:    v.dispatch.agent.HandlePlace,
		dispatch.KindPlaced:   v.dispatch.agent.HandlePlaced,
		dispatch.KindProgress: v.dispatch.agent.HandleProgress,
	}
}

// serveDirect handles a direct message of another VM. Kinds that this build does not know
// get no reply.
func (v *VM) serveDirect(now time.Time, from, kind string, body []byte) []byte {
	handle, known := v.direct[kind]
	if !known {
		metrics.GetOrRegisterCounter("direct.unknown", v.metrics).Inc(1)
		return nil
	}
	return handle(now, from, body)
}
