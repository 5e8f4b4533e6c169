package experiment

import (
	"time"

	"github.com/hibiscuscove/hibiscuscove/internal/enginemodel"
	"github.com/hibiscuscove/hibiscuscove/internal/roster"
)

// Class is a class of requests with the same route and statistics.
type Class struct {
	Name string
	// RequestsPerS is the mean rate over the whole deployment.
	RequestsPerS float64
	// Shared are the levels of shared parts, the outermost first.
	Shared []Level
	// Unshared and Output are the sizes of the unshared part and of the response.
	Unshared, Output Size
	// Target is the time within which the first token should arrive, and Timeout the
	// time after which the caller gives up.
	Target, Timeout time.Duration
	// LateUtility is the utility of a response after the target. A response within the
	// target has the utility 1.
	LateUtility float64
	// Priority orders requests that wait on an engine, the lowest number first.
	// MaxAttempts limits the runs of a Resumable request. Others run once.
	Priority, MaxAttempts int
	Resumable             bool
}

// Level is a set of shared parts. Each prompt contains one of them.
type Level struct {
	// Parts is the number of parts, Tokens the size of each.
	Parts  int
	Tokens Size
	// Skew is the exponent of the Zipf distribution of their popularity. Zero is
	// uniform.
	Skew float64
}

// Size is a lognormal distribution of sizes in tokens.
type Size struct {
	Mean float64
	// Spread is the standard deviation of the natural logarithm.
	Spread float64
}

// Deployment is the configuration of a fleet and its traffic.
type Deployment struct {
	Name         string
	DataCentres  int
	VMs, Engines int
	Engine       enginemodel.Options
	// StoreTokens is the capacity of the prompt store.
	StoreTokens          int
	StoreLinkTokensPerMS float64
	// NearDelay is the one-way network delay within a data centre, and FarDelay the
	// delay between two.
	NearDelay, FarDelay time.Duration
	Classes             []Class
	// EventLag is the delay of cache events, and EventLoss the share of them that is
	// lost.
	EventLag      time.Duration
	EventLoss     float64
	VersionLimits roster.VersionLimits
}

// deployments returns the users' deployments with the figures of their documentation.
func deployments() []Deployment {
	const (
		// tokenKB is the KV memory of a token in kB. It converts rates of links to tokens.
		tokenKB    = 35.136
		gbitPerS   = 1e9 / 8 / 1e3 / tokenKB / 1e3 // in tokens per millisecond
		engineLink = 740 * gbitPerS
		// tokensPerEvent is the number of tokens in a stream event. The users'
		// documentation gives the length of responses in events.
		tokensPerEvent = 7
		checkTarget    = 500 * time.Millisecond
		replyTarget    = 400 * time.Millisecond
		replyTimeout   = 12 * time.Second
	)
	checkClass := func(name string, perS float64, subjects int, out float64) Class {
		return Class{
			Name: name, RequestsPerS: perS, Shared: []Level{{4, Size{2_520, 0.4}, 0}, {subjects, Size{3_780, 0.7}, 0.3}}, Unshared: Size{2_890, 1},
			Output: Size{out * tokensPerEvent, 1.4}, Target: checkTarget, Timeout: 5 * time.Second, LateUtility: 0.3, MaxAttempts: 2, Resumable: true,
		}
	}
	replyClass := func(name string, perS float64, templates, subjects int, out float64) Class {
		return Class{
			Name: name, RequestsPerS: perS, Shared: []Level{{templates, Size{119, 0.4}, 0}, {subjects, Size{79, 0.7}, 0.3}}, Unshared: Size{628, 1},
			Output: Size{out * tokensPerEvent, 0.69}, Target: replyTarget, Timeout: replyTimeout, LateUtility: 0.3, Priority: 1, MaxAttempts: 1,
		}
	}
	engineOptions := func(slots, memory, fullSpeedLoads int) enginemodel.Options {
		return enginemodel.Options{Slots: slots, MaxQueue: 3 * slots, CacheTokens: memory, LinkTokensPerMS: engineLink, FullSpeedLoads: fullSpeedLoads}
	}
	viewerEngine := engineOptions(24, 61_148, 18)
	viewerEngine.PrefillTokensPerMS, viewerEngine.StepMS = 38.4, 4.73
	stream := func(c Class, target, timeout time.Duration, priority int) Class {
		c.Target, c.Timeout, c.Priority = target, timeout, priority
		return c
	}
	limits := roster.VersionLimits{MaxSpan: 13_500 * time.Millisecond, MaxTotal: 19_500 * time.Millisecond}
	grownLimits := roster.VersionLimits{MaxSpan: 18_500 * time.Millisecond, MaxTotal: 26_500 * time.Millisecond}
	return []Deployment{
		{
			Name: "association", DataCentres: 4, VMs: 9, Engines: 18, Engine: engineOptions(48, 116_169, 3),
			StoreTokens: 1_473_821, StoreLinkTokensPerMS: 110 * gbitPerS, NearDelay: 200 * time.Microsecond, FarDelay: 900 * time.Microsecond,
			Classes: []Class{checkClass("grade-check", 64.9, 245, 10.4), replyClass("lot-reply", 65.2, 20, 554, 58)}, EventLag: 80 * time.Millisecond, EventLoss: 0.01, VersionLimits: limits,
		},
		{
			Name: "plegado", DataCentres: 3, VMs: 8, Engines: 12, Engine: engineOptions(128, 143_148, 2),
			StoreTokens: 1_008_478, StoreLinkTokensPerMS: 78 * gbitPerS, NearDelay: 200 * time.Microsecond, FarDelay: 500 * time.Microsecond,
			Classes: []Class{checkClass("spec-read", 44.8, 169, 13), replyClass("ticket-sum", 62.3, 40, 235, 73)}, EventLag: 200 * time.Millisecond, EventLoss: 0.01, VersionLimits: limits,
		},
		{
			Name: "association-grown", DataCentres: 4, VMs: 65, Engines: 140, Engine: engineOptions(12, 99_839, 28),
			StoreTokens: 3_190_122, StoreLinkTokensPerMS: 230 * gbitPerS, NearDelay: 200 * time.Microsecond, FarDelay: 900 * time.Microsecond,
			Classes: []Class{checkClass("grade-check", 466, 1_647, 7.4), replyClass("lot-reply", 221, 40, 1_760, 42)}, EventLag: 80 * time.Millisecond, EventLoss: 0.01, VersionLimits: grownLimits,
		},
		{
			Name: "plegado-grown", DataCentres: 4, VMs: 84, Engines: 140, Engine: engineOptions(12, 109_634, 28),
			StoreTokens: 3_153_675, StoreLinkTokensPerMS: 230 * gbitPerS, NearDelay: 200 * time.Microsecond, FarDelay: 900 * time.Microsecond,
			Classes: []Class{checkClass("spec-read", 567, 1_647, 7.4), replyClass("ticket-sum", 269, 40, 1_760, 42)}, EventLag: 200 * time.Millisecond, EventLoss: 0.01, VersionLimits: grownLimits,
		},
		{
			Name: "map-viewer", DataCentres: 3, VMs: 58, Engines: 90, Engine: viewerEngine,
			StoreTokens: 2_100_000, StoreLinkTokensPerMS: 150 * gbitPerS, NearDelay: 200 * time.Microsecond, FarDelay: 700 * time.Microsecond,
			Classes: []Class{
				stream(checkClass("survey-read", 135, 640, 9), 800*time.Millisecond, 5*time.Second, 1),
				stream(replyClass("place-sum", 237, 40, 1_760, 49), 500*time.Millisecond, 15*time.Second, 0),
			}, EventLag: 80 * time.Millisecond, EventLoss: 0.01, VersionLimits: grownLimits,
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
