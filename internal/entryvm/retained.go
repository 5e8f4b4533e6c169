package entryvm

import (
	"context"
	"errors"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/hibiscuscove/hibiscuscove/internal/beacon"
	"github.com/hibiscuscove/hibiscuscove/internal/pageserver"
	"github.com/hibiscuscove/hibiscuscove/internal/registry"
	"github.com/hibiscuscove/hibiscuscove/internal/routing"
)

// retainedCollection is the name of the collection with the configuration in force, if
// the store came back from a copy without it. VMs that start then would otherwise know
// only the copy's.
const retainedCollection = "retained-configuration"

// retainedRetryDelay is how long after a failed download of the retained configuration the
// next one may start.
const retainedRetryDelay = 150 * time.Millisecond

// retained returns the configuration in force if it is of an earlier era than what the
// store has, and nil otherwise.
func (v *VM) retained() *routing.Config {
	c := v.configuration.Current()
	if c == nil || c.Era() >= v.configurationFollower.Position().Era {
		return nil
	}
	return c
}

// retainedPage returns a page with the retained configuration, or without items.
func (v *VM) retainedPage() (pageserver.Key, any) {
	page := registry.Page[routing.Document]{Items: []registry.Item[routing.Document]{}}
	if c := v.retained(); c != nil {
		page.Era, page.Revision = c.Era(), c.Revision()
		page.Items = append(page.Items, registry.Item[routing.Document]{Name: retainedCollection, Revision: c.Revision(), Value: c.Document()})
	}
	return pageserver.Key{Era: page.Era, Revision: page.Revision}, page
}

// fetchRetained starts a download of a peer's retained configuration if it is newer
// than the one in force here.
func (v *VM) fetchRetained(m beacon.Message) {
	if c := v.configuration.Current(); m.Retained == 0 || c != nil && c.Version() >= m.Retained {
		return
	}
	v.startFetch(retainedCollection, m.Name, func(ctx context.Context) bool {
		var page registry.Page[routing.Document]
		_, err := v.fetchPage(ctx, m.Control, retainedCollection, registry.Position{}, &page)
		if err != nil || len(page.Items) == 0 {
			// The next beacon starts another download.
			defer time.Sleep(retainedRetryDelay)
		}
		if errors.Is(err, pageserver.ErrBusy) {
			metrics.GetOrRegisterCounter("peer_fetches.busy", v.metrics).Inc(1)
			return false
		}
		if err != nil || len(page.Items) == 0 {
			v.log.Warn().Str("peer", m.Name).AnErr("error", err).Msg("retained configuration not fetched")
			return false
		}
		c := routing.New(page.Revision, page.Items[0].Value).WithEra(page.Era)
		if v.configuration.Retain(c) {
			v.applyServices(c)
			v.log.Info().Str("peer", m.Name).Int64("version", c.Version()).Uint64("era", c.Era()).Msg("configuration of an earlier era in force")
		}
		return true
	})
}
