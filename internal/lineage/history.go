package lineage

import (
	"slices"
	"time"
)

const (
	// maxViewGap is the longest time between two updates of a complete view between
	// which no build can have come and gone.
	maxViewGap = time.Second
	// lingerPeriod is how long after its entry is gone an upstream may still get new
	// streams from VMs that learn it later.
	lingerPeriod = 5 * time.Second
	// historyPeriod is how far back a History goes.
	historyPeriod = 10 * time.Minute
	// maxBuilds limits the builds of a service that are told to other VMs.
	maxBuilds = 16
)

// History holds which builds have served each service, and since when that is known.
type History struct {
	// since is the start of the period in which the view has been complete, and
	// completeAt when it last was. incomplete is set if it is not at present.
	since, completeAt time.Time
	incomplete        bool
	// servedAt holds when each build of each service last served.
	servedAt map[string]map[string]time.Time
}

// NewHistory returns an empty History.
func NewHistory() *History { return &History{servedAt: make(map[string]map[string]time.Time)} }

// Update records the builds that serve each service at now, "" for an unknown build.
// complete is set if no other upstream can be known to another VM, but for the delay
// with which news spread. Update must be called several times per maxViewGap.
func (h *History) Update(now time.Time, serving map[string][]string, complete bool) {
	for service, builds := range serving {
		if h.servedAt[service] == nil {
			h.servedAt[service] = make(map[string]time.Time)
		}
		for _, build := range builds {
			h.servedAt[service][build] = now
		}
	}
	for service, builds := range h.servedAt {
		for build, at := range builds {
			if now.Sub(at) > historyPeriod {
				delete(builds, build)
			}
		}
		if len(builds) == 0 {
			delete(h.servedAt, service)
		}
	}
	if h.incomplete = !complete; h.incomplete {
		return
	}
	if h.completeAt.IsZero() || now.Sub(h.completeAt) > maxViewGap {
		h.since = now
	}
	h.completeAt = now
}

// Served is what a VM knows of the builds of a service.
type Served struct {
	Service string `json:"service"`
	// Builds are the builds that may have served within the period asked for, "" for
	// an unknown one, at most maxBuilds.
	Builds []string `json:"builds,omitempty"`
	// WatchedMS is for how long, in milliseconds, the VM has known of all builds, and 0
	// if it does not know of all at present.
	WatchedMS int64 `json:"watched_ms"`
}

// Served returns which builds may have served a service in the last period of the
// given length.
func (h *History) Served(now time.Time, service string, period time.Duration) Served {
	s := Served{Service: service}
	for build, at := range h.servedAt[service] {
		if now.Sub(at) <= period+lingerPeriod {
			s.Builds = append(s.Builds, build)
		}
	}
	slices.Sort(s.Builds)
	s.Builds = s.Builds[:min(maxBuilds, len(s.Builds))]
	if !h.incomplete && !h.completeAt.IsZero() && now.Sub(h.completeAt) <= maxViewGap {
		s.WatchedMS = min(now.Sub(h.since), historyPeriod).Milliseconds()
	}
	return s
}

// soleBuild returns the build that alone has served within life, as far as the VMs
// that answered know. If only one is known but no VM has watched for long enough, it
// returns "" and the time until then.
func soleBuild(served []Served, life time.Duration) (build string, certainIn time.Duration) {
	var builds []string
	watched := time.Duration(0)
	for _, s := range served {
		watched = max(watched, time.Duration(s.WatchedMS)*time.Millisecond)
		for _, b := range s.Builds {
			if !slices.Contains(builds, b) {
				builds = append(builds, b)
			}
		}
	}
	if len(builds) != 1 || builds[0] == "" {
		return "", 0
	}
	if need := life + lingerPeriod; watched < need {
		return "", need - watched
	}
	return builds[0], 0
}
