package entryvm

import (
	"encoding/json"
	"fmt"
	"math"
	"net/netip"
	"os"
	"time"

	"github.com/hibiscuscove/hibiscuscove/internal/costmodel"
	"github.com/hibiscuscove/hibiscuscove/internal/strictjson"
)

// Settings are the settings of an entry VM on the users' platform, read from a
// JSON file. Fields that end in MS are in milliseconds.
type Settings struct {
	// Name is unique in the fleet.
	Name       string `json:"name"`
	DataCentre string `json:"data_centre"`
	// IP is the address that other VMs use to send datagrams to this one.
	IP string `json:"ip"`
	// CallersListen, ReadyListen, DirectoryListen and ControlListen are the
	// addresses, IP and port, for callers' requests, for the platform's readiness
	// checks, for callers that look up a VM, and for other VMs and operators.
	CallersListen   string `json:"callers_listen"`
	ReadyListen     string `json:"ready_listen"`
	DirectoryListen string `json:"directory_listen"`
	ControlListen   string `json:"control_listen"`
	// MetricsListen is an additional address for the metrics page, which the
	// control address serves as well. It may be empty.
	MetricsListen string `json:"metrics_listen"`
	// PeerPort is the UDP port for beacons, the first of the ports for traffic
	// between VMs. It is the same on all VMs.
	PeerPort int `json:"peer_port"`
	// Seeds are control addresses of VMs that may be running.
	Seeds []string `json:"seeds"`
	// StoreAddress is the address of the platform's store.
	StoreAddress string `json:"store_address"`
	// MemoryMB is the VM's memory in MiB.
	MemoryMB int `json:"memory_mb"`
	// LinkMbps is the bandwidth of the VM's link in Mbit/s.
	LinkMbps float64 `json:"link_mbps"`

	// StopMS is the time from the platform's stop signal until it kills the VM. StopS, in
	// seconds, goes before it if it is set.
	StopMS int     `json:"stop_ms"`
	StopS  float64 `json:"stop_s,omitempty"`
	// DrainMS is how long upstreams that leave go on serving.
	DrainMS int `json:"drain_ms"`
	// ContactMS is the time after a disruption, such as an outage of the store, from which
	// on the VM must have what has changed meanwhile.
	ContactMS int `json:"contact_ms"`
	// EntryTTLMS is how long callers may cache the addresses of a look-up.
	EntryTTLMS int `json:"entry_ttl_ms"`
	// LeaseMS is the minimum time between the orders of two holders of the
	// rollout lease.
	LeaseMS int `json:"lease_ms"`
	// VersionMS and VersionTotalMS limit how long older weights may be used after
	// operators have set a newer desired version: in one undisrupted interval, and in
	// the sum of such intervals; see roster.VersionLimits.
	VersionMS      int `json:"version_ms"`
	VersionTotalMS int `json:"version_total_ms"`
	// RetryRatio, RetrySlack and RetryWindowMS set the retry budget; see
	// retry.BudgetOptions. RetryWindowS, in seconds, goes before RetryWindowMS if it is
	// set.
	RetryRatio    float64 `json:"retry_ratio"`
	RetrySlack    float64 `json:"retry_slack"`
	RetryWindowMS int     `json:"retry_window_ms"`
	RetryWindowS  float64 `json:"retry_window_s,omitempty"`
	// QuotaOver and QuotaSlack are what organisations may get beyond their quotas in 8 s; see
	// quota.Tolerance.
	QuotaOver    float64 `json:"quota_over"`
	QuotaSlack   int     `json:"quota_slack"`
	LogLinesPerS int     `json:"log_lines_per_s"`
	// PickRule is a costmodel.Rule. Rules other than the default exist for
	// comparison only.
	PickRule string `json:"pick_rule"`
	// PrefillTokensPerMS, DistanceMS and SharedWeight are described in costmodel.Policy.
	PrefillTokensPerMS float64 `json:"read_tokens_per_ms"`
	DistanceMS         float64 `json:"distance_ms"`
	SharedWeight       float64 `json:"shared_weight"`
	ConnectTimeoutMS   int     `json:"connect_timeout_ms"`
	// Terms names what the deployment calls for. Unknown words are ignored.
	Terms []string `json:"terms"`
}

// termPressure is the word in Settings.Terms for a deployment whose callers compete for too
// little capacity.
const termPressure = "pressure"

// DefaultSettings returns the values of settings that a file may omit.
func DefaultSettings() Settings {
	return Settings{
		MemoryMB:         128,
		LinkMbps:         10,
		StopMS:           8_000,
		DrainMS:          2_000,
		ContactMS:        3_000,
		EntryTTLMS:       1_000,
		LeaseMS:          3_000,
		VersionMS:        15_000,
		VersionTotalMS:   21_000,
		RetryRatio:       0.2,
		RetrySlack:       50,
		RetryWindowMS:    10_000,
		LogLinesPerS:     400,
		ConnectTimeoutMS: 60,
	}
}

// LoadSettings reads a file over the default settings and returns every problem
// in it. It returns an error only if the file can't be read.
func LoadSettings(path string) (Settings, []strictjson.Problem, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, nil, fmt.Errorf("entryvm: %w", err)
	}
	s := DefaultSettings()
	problems := append(strictjson.Decode("settings", raw, &s), s.checkSeconds()...)
	if len(problems) == 0 {
		s = s.withSeconds()
	}
	return s, append(problems, s.Check()...), nil
}

// maxSeconds is the largest value of settings in seconds.
const maxSeconds = 3_600

// checkSeconds returns a problem for each invalid value in seconds.
func (s Settings) checkSeconds() []strictjson.Problem {
	var problems []strictjson.Problem
	for field, value := range map[string]float64{"stop_s": s.StopS, "retry_window_s": s.RetryWindowS} {
		if value < 0 || value > maxSeconds {
			problems = append(problems, strictjson.Problem{Object: "settings", Field: field, Reason: fmt.Sprintf("%g is not between 0 and %d", value, maxSeconds)})
		}
	}
	return problems
}

// withSeconds returns the settings with the values that are given in seconds.
func (s Settings) withSeconds() Settings {
	if s.StopS > 0 {
		s.StopMS = int(math.Round(s.StopS * 1000))
	}
	if s.RetryWindowS > 0 {
		s.RetryWindowMS = int(math.Round(s.RetryWindowS * 1000))
	}
	s.StopS, s.RetryWindowS = 0, 0
	return s
}

// Check returns a problem for each invalid value.
func (s Settings) Check() []strictjson.Problem {
	var problems []strictjson.Problem
	addProblem := func(field, format string, args ...any) {
		problems = append(problems, strictjson.Problem{Object: "settings", Field: field, Reason: fmt.Sprintf(format, args...)})
	}
	if s.Name == "" {
		addProblem("name", "is missing")
	}
	addresses := map[string]string{
		"callers_listen": s.CallersListen, "ready_listen": s.ReadyListen, "directory_listen": s.DirectoryListen,
		"control_listen": s.ControlListen, "store_address": s.StoreAddress,
	}
	if s.MetricsListen != "" {
		addresses["metrics_listen"] = s.MetricsListen
	}
	for field, address := range addresses {
		if _, err := netip.ParseAddrPort(address); err != nil {
			addProblem(field, "want an IP number and a port, got %q", address)
		}
	}
	if _, err := netip.ParseAddr(s.IP); err != nil {
		addProblem("ip", "want an IP number, got %q", s.IP)
	}
	if !costmodel.Rule(s.PickRule).Known() {
		addProblem("pick_rule", "%q is none of the empty one, %q, %q and %q", s.PickRule, costmodel.ByLoad, costmodel.ByHash, costmodel.ByRandom)
	}
	if s.LinkMbps < 1 || s.LinkMbps > 1e6 {
		addProblem("link_mbps", "%g is not between 1 and 1000000", s.LinkMbps)
	}
	if s.QuotaOver < 0 || s.QuotaOver > 1 {
		addProblem("quota_over", "%g is not between 0 and 1", s.QuotaOver)
	}
	ranges := []struct {
		field            string
		value            int
		minimum, maximum int
	}{
		{"peer_port", s.PeerPort, 1, 65_535},
		{"memory_mb", s.MemoryMB, 16, 1 << 20},
		{"stop_ms", s.StopMS, 500, 3_600_000},
		{"drain_ms", s.DrainMS, 0, 600_000},
		{"contact_ms", s.ContactMS, 1_000, 600_000},
		{"entry_ttl_ms", s.EntryTTLMS, 100, 60_000},
		{"lease_ms", s.LeaseMS, 100, 600_000},
		{"version_ms", s.VersionMS, 100, 3_600_000},
		{"version_total_ms", s.VersionTotalMS, 100, 3_600_000},
		{"retry_window_ms", s.RetryWindowMS, 100, 3_600_000},
		{"quota_slack", s.QuotaSlack, 0, 1 << 40},
		{"log_lines_per_s", s.LogLinesPerS, 1, 1_000_000},
		{"connect_timeout_ms", s.ConnectTimeoutMS, 1, 10_000},
	}
	for _, r := range ranges {
		if r.value < r.minimum || r.value > r.maximum {
			addProblem(r.field, "%d is not between %d and %d", r.value, r.minimum, r.maximum)
		}
	}
	return problems
}

// String returns the settings as JSON, for logs.
func (s Settings) String() string {
	raw, err := json.Marshal(s)
	if err != nil {
		return err.Error()
	}
	return string(raw)
}

func milliseconds(n int) time.Duration { return time.Duration(n) * time.Millisecond }
