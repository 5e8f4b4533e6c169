package entryvm

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"os"
	"time"

	"github.com/hibiscuscove/hibiscuscove/internal/roster"
	"github.com/hibiscuscove/hibiscuscove/internal/strictjson"
)

// Settings are the settings of an entry VM on the users' platform. Times are in
// milliseconds.
type Settings struct {
	// Name is the VM's name, unique in the fleet.
	Name       string `json:"name"`
	DataCentre string `json:"data_centre"`
	// IP is the VM's own address.
	IP string `json:"ip"`
	// CallersListen, ReadyListen, DirectoryListen and ControlListen are where
	// callers, the platform's checks, callers' look-ups and other VMs connect.
	CallersListen   string `json:"callers_listen"`
	ReadyListen     string `json:"ready_listen"`
	DirectoryListen string `json:"directory_listen"`
	ControlListen   string `json:"control_listen"`
	// MetricsListen is where the metrics page is, beside the control address.
	// Empty stands for nowhere.
	MetricsListen string `json:"metrics_listen"`
	// PeerPort is the first of the ports between VMs: datagrams come there.
	PeerPort int `json:"peer_port"`
	// Seeds are control addresses of VMs that may be there.
	Seeds []string `json:"seeds"`
	// StoreAddress is the platform's store.
	StoreAddress string `json:"store_address"`
	MemoryMB     int    `json:"memory_mb"`

	StopMS         int     `json:"stop_ms"`
	EntryTTLMS     int     `json:"entry_ttl_ms"`
	LeaseMS        int     `json:"lease_ms"`
	VersionMS      int     `json:"version_ms"`
	VersionTotalMS int     `json:"version_total_ms"`
	RetryRatio     float64 `json:"retry_ratio"`
	RetrySlack     float64 `json:"retry_slack"`
	RetryWindowMS  int     `json:"retry_window_ms"`
	LogLinesPerS   int     `json:"log_lines_per_s"`
	// PickRule is roster's rule; anything but the default is for comparison.
	PickRule         string  `json:"pick_rule"`
	ReadTokensPerMS  float64 `json:"read_tokens_per_ms"`
	DistanceMS       float64 `json:"distance_ms"`
	SharedWeight     float64 `json:"shared_weight"`
	ConnectTimeoutMS int     `json:"connect_timeout_ms"`
}

// DefaultSettings returns the settings that a file need not name.
func DefaultSettings() Settings {
	return Settings{
		MemoryMB:         128,
		StopMS:           8_000,
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

// LoadSettings reads and checks a file and returns every problem in it.
func LoadSettings(path string) (Settings, []strictjson.Problem, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, nil, fmt.Errorf("entryvm: %w", err)
	}
	s := DefaultSettings()
	problems := strictjson.Decode("settings", raw, &s)
	return s, append(problems, s.Check()...), nil
}

// Check returns every problem of the settings.
func (s Settings) Check() []strictjson.Problem {
	var problems []strictjson.Problem
	add := func(field, format string, args ...any) {
		problems = append(problems, strictjson.Problem{Object: "settings", Field: field, Reason: fmt.Sprintf(format, args...)})
	}
	if s.Name == "" {
		add("name", "is missing")
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
			add(field, "want an IP number and a port, got %q", address)
		}
	}
	if _, err := netip.ParseAddr(s.IP); err != nil {
		add("ip", "want an IP number, got %q", s.IP)
	}
	if !roster.Rule(s.PickRule).Known() {
		add("pick_rule", "%q is none of the empty one, %q and %q", s.PickRule, roster.ByLoad, roster.ByHash)
	}
	numbers := []struct {
		field       string
		value       int
		least, most int
	}{
		{"peer_port", s.PeerPort, 1, 65_535},
		{"memory_mb", s.MemoryMB, 16, 1 << 20},
		{"stop_ms", s.StopMS, 500, 3_600_000},
		{"entry_ttl_ms", s.EntryTTLMS, 100, 60_000},
		{"lease_ms", s.LeaseMS, 100, 600_000},
		{"version_ms", s.VersionMS, 100, 3_600_000},
		{"version_total_ms", s.VersionTotalMS, 100, 3_600_000},
		{"retry_window_ms", s.RetryWindowMS, 100, 3_600_000},
		{"log_lines_per_s", s.LogLinesPerS, 1, 1_000_000},
		{"connect_timeout_ms", s.ConnectTimeoutMS, 1, 10_000},
	}
	for _, n := range numbers {
		if n.value < n.least || n.value > n.most {
			add(n.field, "%d is not between %d and %d", n.value, n.least, n.most)
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
