package experiment

import (
	"time"

	"github.com/hibiscuscove/hibiscuscove/internal/enginemodel"
	"github.com/hibiscuscove/hibiscuscove/internal/roster"
)

// Class is a kind of request.
type Class struct {
	Name string
	// PerS is the rate over the whole deployment.
	PerS float64
	// Shared are the levels of shared parts, the outermost first.
	Shared           []Level
	Own, Out         Size
	Target, Patience time.Duration
	// LateWorth is what an answer after the target is worth of one within it.
	LateWorth             float64
	Priority, MaxAttempts int
	Resumable             bool
}

// Level is a set of parts, one of which is in each prompt.
type Level struct {
	Things int
	Tokens Size
	// Skew is the exponent by which things differ in popularity.
	Skew float64
}

// Size is drawn from a lognormal distribution.
type Size struct {
	Mean float64
	// Spread is the standard deviation of the logarithm.
	Spread float64
}

// Deployment is a fleet and its traffic.
type Deployment struct {
	Name                 string
	DataCentres          int
	VMs, Engines         int
	Engine               enginemodel.Options
	StoreTokens          int
	StoreLinkTokensPerMS float64
	NearDelay, FarDelay  time.Duration
	Classes              []Class
	EventLag             time.Duration
	EventLoss            float64
	VersionLimits        roster.VersionLimits
}

// The users' deployments, with the figures of their pages.
func deployments() []Deployment {
	const (
		// tokenKB is the memory of a token, by which links' rates are told in tokens.
		tokenKB    = 35.136
		gbitPerS   = 1e9 / 8 / 1e3 / tokenKB / 1e3 // tokens in a millisecond
		engineLink = 740 * gbitPerS
		// eventTokens is how many tokens come with each event that the pages count.
		eventTokens  = 7
		checkTarget  = 500 * time.Millisecond
		replyTarget  = 400 * time.Millisecond
		longPatience = 12 * time.Second
	)
	check := func(name string, perS float64, subjects int, out float64) Class {
		return Class{
			Name: name, PerS: perS, Shared: []Level{{4, Size{2_520, 0.4}, 0}, {subjects, Size{3_780, 0.7}, 0.3}}, Own: Size{2_890, 1},
			Out: Size{out * eventTokens, 1.4}, Target: checkTarget, Patience: 5 * time.Second, LateWorth: 0.3, MaxAttempts: 2, Resumable: true,
		}
	}
	reply := func(name string, perS float64, templates, subjects int, out float64) Class {
		return Class{
			Name: name, PerS: perS, Shared: []Level{{templates, Size{119, 0.4}, 0}, {subjects, Size{79, 0.7}, 0.3}}, Own: Size{628, 1},
			Out: Size{out * eventTokens, 0.69}, Target: replyTarget, Patience: longPatience, LateWorth: 0.3, Priority: 1, MaxAttempts: 1,
		}
	}
	engine := func(slots, memory, loads int) enginemodel.Options {
		return enginemodel.Options{Slots: slots, Queue: 3 * slots, MemoryTokens: memory, LinkTokensPerMS: engineLink, LoadsAtOnce: loads}
	}
	limits := roster.VersionLimits{MaxSpan: 13_500 * time.Millisecond, MaxTotal: 19_500 * time.Millisecond}
	grownLimits := roster.VersionLimits{MaxSpan: 18_500 * time.Millisecond, MaxTotal: 26_500 * time.Millisecond}
	return []Deployment{
		{
			Name: "association", DataCentres: 4, VMs: 9, Engines: 18, Engine: engine(48, 116_169, 3),
			StoreTokens: 1_473_821, StoreLinkTokensPerMS: 110 * gbitPerS, NearDelay: 200 * time.Microsecond, FarDelay: 900 * time.Microsecond,
			Classes: []Class{check("grade-check", 64.9, 245, 10.4), reply("lot-reply", 65.2, 20, 554, 58)}, EventLag: 80 * time.Millisecond, EventLoss: 0.01, VersionLimits: limits,
		},
		{
			Name: "plegado", DataCentres: 3, VMs: 8, Engines: 12, Engine: engine(128, 143_148, 2),
			StoreTokens: 1_008_478, StoreLinkTokensPerMS: 78 * gbitPerS, NearDelay: 200 * time.Microsecond, FarDelay: 500 * time.Microsecond,
			Classes: []Class{check("spec-read", 44.8, 169, 13), reply("ticket-sum", 62.3, 40, 235, 73)}, EventLag: 200 * time.Millisecond, EventLoss: 0.01, VersionLimits: limits,
		},
		{
			Name: "association-grown", DataCentres: 4, VMs: 65, Engines: 140, Engine: engine(12, 99_839, 28),
			StoreTokens: 3_190_122, StoreLinkTokensPerMS: 230 * gbitPerS, NearDelay: 200 * time.Microsecond, FarDelay: 900 * time.Microsecond,
			Classes: []Class{check("grade-check", 466, 1_647, 7.4), reply("lot-reply", 221, 40, 1_760, 42)}, EventLag: 80 * time.Millisecond, EventLoss: 0.01, VersionLimits: grownLimits,
		},
		{
			Name: "plegado-grown", DataCentres: 4, VMs: 84, Engines: 140, Engine: engine(12, 109_634, 28),
			StoreTokens: 3_153_675, StoreLinkTokensPerMS: 230 * gbitPerS, NearDelay: 200 * time.Microsecond, FarDelay: 900 * time.Microsecond,
			Classes: []Class{check("spec-read", 567, 1_647, 7.4), reply("ticket-sum", 269, 40, 1_760, 42)}, EventLag: 200 * time.Millisecond, EventLoss: 0.01, VersionLimits: grownLimits,
		},
	}
}

// Deployments returns the deployments by name.
func Deployments() map[string]Deployment {
	all := make(map[string]Deployment)
	for _, d := range deployments() {
		all[d.Name] = d
	}
	return all
}
