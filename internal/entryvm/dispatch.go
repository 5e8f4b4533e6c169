package entryvm

import (
	"context"
	"slices"
	"time"

	"github.com/hibiscuscove/hibiscuscove/internal/beacon"
	"github.com/hibiscuscove/hibiscuscove/internal/costmodel"
	"github.com/hibiscuscove/hibiscuscove/internal/dispatch"
	"github.com/hibiscuscove/hibiscuscove/internal/wait"
)

// dispatchInterval is the time between two updates of what the dispatching depends on: the
// upstreams, and the VMs that dispatch.
const dispatchInterval = 100 * time.Millisecond

// minDispatcherPart is the inverse of the least part of the VMs that must dispatch. A VM that
// knows fewer, since it or all have just started, it is cut off, or most are of an older build,
// would ask boards that know a small part of the load and take the upstreams to be idle.
const minDispatcherPart = 3

// dispatching is a VM's part in the dispatching of requests.
type dispatching struct {
	agent *dispatch.Agent
	board *dispatch.Board
}

func (v *VM) buildDispatch(policy costmodel.Policy) {
	v.dispatch.board = dispatch.NewBoard(dispatch.BoardOptions{Policy: policy, StoredTokens: v.upstreams.StoredTokens})
	v.dispatch.agent = dispatch.NewAgent(dispatch.AgentOptions{
		Name: v.settings.Name, Process: v.incarnation, Now: v.opts.Now, Board: v.dispatch.board,
		Call: v.beacon.Call, Notify: v.beacon.Notify, On: v.dispatchesService, Metrics: v.metrics, Log: v.log,
	})
}

// dispatchesService reports whether the requests of a service are placed by dispatchers.
func (v *VM) dispatchesService(service string) bool {
	wanted := slices.Contains(v.settings.Terms, termPressure) || v.capacity.Uneven(service)
	return wanted && v.upstreams.PartialView()
}

// dispatchingOn reports whether the requests of any service are placed by dispatchers.
func (v *VM) dispatchingOn() bool {
	return slices.ContainsFunc(v.configuredServices(), v.dispatchesService)
}

// dispatches reports whether other VMs may choose this one to dispatch requests. A VM that
// has just started does not know all others yet.
func (v *VM) dispatches(now time.Time) bool {
	return v.ready() && v.limits.Joined(now) && v.dispatchingOn()
}

// configuredServices returns the names of the services that have upstreams.
func (v *VM) configuredServices() []string {
	var names []string
	if c := v.configuration.Current(); c != nil {
		for _, s := range c.Services() {
			if s.StoreAddress == "" {
				names = append(names, s.Name)
			}
		}
	}
	return names
}

// maintainDispatch keeps the dispatching up to date until ctx ends.
func (v *VM) maintainDispatch(ctx context.Context) {
	on := false
	for wait.For(ctx, dispatchInterval) {
		now := v.opts.Now()
		before := on
		on = v.dispatchingOn()
		if on != before {
			v.log.Info().Bool("on", on).Strs("terms", v.settings.Terms).Msg("dispatching of requests")
		}
		if on || before {
			v.dispatch.agent.Sync(now, v.dispatchedServices(now), v.dispatcherCandidates(now))
		}
	}
}

// dispatcherCandidates returns the VMs that dispatch, none if they are too few.
func (v *VM) dispatcherCandidates(now time.Time) []dispatch.Dispatcher {
	var list []dispatch.Dispatcher
	if v.dispatches(now) {
		list = append(list, dispatch.Dispatcher{Name: v.settings.Name, LinkMbps: int(v.settings.LinkMbps)})
	}
	for _, p := range v.beacon.Alive(now) {
		if p.Dispatches && p.Calls && p.State == beacon.Serving {
			list = append(list, dispatch.Dispatcher{Name: p.Name, LinkMbps: p.LinkMbps})
		}
	}
	if minDispatcherPart*len(list) < v.fleetSize(now) {
		return nil
	}
	return list
}

// dispatchedServices returns the services whose requests are dispatched, with their upstreams.
// Those that must get no requests now are not pickable.
func (v *VM) dispatchedServices(now time.Time) []dispatch.Service {
	c := v.configuration.Current()
	if c == nil {
		return nil
	}
	ejected := v.ejections.InForce(now)
	allPickable := len(ejected) == 0 && !v.drains.Any() && !v.backoffs.Any(now) && !v.limits.Any(now)
	var list []dispatch.Service
	for _, s := range c.Services() {
		if s.StoreAddress != "" || !v.dispatchesService(s.Name) {
			continue
		}
		members := v.upstreams.Candidates(now, s.Name)
		for i := range members {
			if allPickable {
				break
			}
			incarnation := members[i].Upstream.Incarnation()
			members[i].State.Pickable = !v.drains.Leaving(incarnation) && !ejected[incarnation] && v.backoffs.Available(now, incarnation) &&
				!v.limits.Limited(now, incarnation)
		}
		list = append(list, dispatch.Service{Name: s.Name, Engine: s.Engine, CacheTokens: s.CacheTokens, Members: members})
	}
	return list
}
