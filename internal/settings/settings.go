// Package settings reads and checks the settings of a node.
//
// # Usage
//
//	s, problems := settings.Parse(raw)
//	for _, p := range problems {
//		fmt.Fprintln(os.Stderr, p)
//	}
//
// Settings are immutable values.
package settings

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"net/url"
	"os"
	"regexp"
	"time"

	"github.com/hibiscuscove/hibiscuscove/internal/strictjson"
)

// Secret is a text that never shows in logs, dumps or errors.
type Secret string

const redacted = "***"

// String implements fmt.Stringer.
func (Secret) String() string { return redacted }

// GoString implements fmt.GoStringer.
func (Secret) GoString() string { return redacted }

// MarshalJSON implements json.Marshaler.
func (Secret) MarshalJSON() ([]byte, error) { return json.Marshal(redacted) }

// Reveal returns the text itself.
func (s Secret) Reveal() string { return string(s) }

// Settings are the settings of one node. Times are in milliseconds.
type Settings struct {
	// Name is the node's name, unique in the fleet.
	Name string `json:"name"`
	// DataCentre is where the node runs.
	DataCentre string `json:"data_centre"`
	// Listen is the IP number and port that callers connect to.
	Listen string `json:"listen"`
	// ControlListen is the IP number and port for other nodes and operators.
	ControlListen string `json:"control_listen"`
	// Advertise and ControlAdvertise are told to others. Empty ones stand for
	// Listen and ControlListen.
	Advertise        string `json:"advertise"`
	ControlAdvertise string `json:"control_advertise"`
	// PlatformURL is the base URL of the platform's object API.
	PlatformURL string `json:"platform_url"`
	// VMListURL is the base URL of the list of VMs. It may be empty.
	VMListURL string `json:"vm_list_url"`
	// Peers are control addresses to join by, beside the list of VMs.
	Peers []string `json:"peers"`
	// AdminToken is the operators' credential.
	AdminToken Secret `json:"admin_token"`
	// PeerToken is the credential between nodes.
	PeerToken Secret `json:"peer_token"`

	EntryTTLMS       int `json:"entry_ttl_ms"`
	HeartbeatMS      int `json:"heartbeat_ms"`
	ProbeMS          int `json:"probe_ms"`
	SilenceMS        int `json:"silence_ms"`
	MaxBodyBytes     int `json:"max_body_bytes"`
	MaxAnswerBytes   int `json:"max_answer_bytes"`
	MaxHeaderBytes   int `json:"max_header_bytes"`
	MaxJSONDepth     int `json:"max_json_depth"`
	MaxInFlight      int `json:"max_in_flight"`
	MaxQueue         int `json:"max_queue"`
	CallerTimeoutMS  int `json:"caller_timeout_ms"`
	LedgerShards     int `json:"ledger_shards"`
	LedgerIntervalMS int `json:"ledger_interval_ms"`
	// LedgerRetentionMS is how long the outcome of a request is known.
	LedgerRetentionMS int `json:"ledger_retention_ms"`
	// LedgerAnswerBytes bounds a recorded answer.
	LedgerAnswerBytes int `json:"ledger_answer_bytes"`
	ClaimTimeoutMS    int `json:"claim_timeout_ms"`
}

// Default returns the settings that a file need not name.
func Default() Settings {
	return Settings{
		EntryTTLMS:        5_000,
		HeartbeatMS:       500,
		ProbeMS:           500,
		SilenceMS:         2_000,
		MaxBodyBytes:      8 << 20,
		MaxAnswerBytes:    16 << 20,
		MaxHeaderBytes:    32 << 10,
		MaxJSONDepth:      64,
		MaxInFlight:       4_096,
		MaxQueue:          4_096,
		CallerTimeoutMS:   30_000,
		LedgerShards:      16,
		LedgerIntervalMS:  50,
		LedgerRetentionMS: 6 * 3_600_000,
		LedgerAnswerBytes: 16 << 10,
		ClaimTimeoutMS:    1_000,
	}
}

// Load reads and checks a file. Its error names every problem.
func Load(path string) (Settings, []strictjson.Problem, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, nil, fmt.Errorf("settings: %w", err)
	}
	s, problems := Parse(raw)
	return s, problems, nil
}

// Parse reads settings on top of the defaults and returns every problem.
func Parse(raw []byte) (Settings, []strictjson.Problem) {
	s := Default()
	problems := strictjson.Decode("settings", raw, &s)
	s = s.WithAddresses()
	return s, append(problems, s.Check()...)
}

// WithAddresses returns the settings with Listen and ControlListen in place of
// an empty Advertise and ControlAdvertise.
func (s Settings) WithAddresses() Settings {
	if s.Advertise == "" {
		s.Advertise = s.Listen
	}
	if s.ControlAdvertise == "" {
		s.ControlAdvertise = s.ControlListen
	}
	return s
}

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9._-]{0,61}[a-z0-9])?$`)

const leastTokenLength = 16

type check struct {
	problems []strictjson.Problem
}

func (c *check) add(field, format string, args ...any) {
	c.problems = append(c.problems, strictjson.Problem{Object: "settings", Field: field, Reason: fmt.Sprintf(format, args...)})
}

// Check returns every problem of the settings.
func (s Settings) Check() []strictjson.Problem {
	var c check
	c.name("name", s.Name)
	c.name("data_centre", s.DataCentre)
	c.address("listen", s.Listen)
	c.address("control_listen", s.ControlListen)
	c.address("advertise", s.Advertise)
	c.address("control_advertise", s.ControlAdvertise)
	c.url("platform_url", s.PlatformURL)
	if s.VMListURL != "" {
		c.url("vm_list_url", s.VMListURL)
	}
	for i, peer := range s.Peers {
		c.address(fmt.Sprintf("peers[%d]", i), peer)
	}
	c.token("admin_token", s.AdminToken)
	c.token("peer_token", s.PeerToken)
	c.numbers(s)
	return c.problems
}

func (c *check) numbers(s Settings) {
	const (
		hourMS = 3_600_000
		dayMS  = 24 * hourMS
		mega   = 1 << 20
	)
	c.between("entry_ttl_ms", s.EntryTTLMS, 100, hourMS)
	c.between("heartbeat_ms", s.HeartbeatMS, 20, 60_000)
	c.between("probe_ms", s.ProbeMS, 20, 60_000)
	c.between("silence_ms", s.SilenceMS, 20, hourMS)
	c.between("max_body_bytes", s.MaxBodyBytes, 1<<10, 64*mega)
	c.between("max_answer_bytes", s.MaxAnswerBytes, 1<<10, 256*mega)
	c.between("max_header_bytes", s.MaxHeaderBytes, 1<<10, mega)
	c.between("max_json_depth", s.MaxJSONDepth, 4, 1_000)
	c.between("max_in_flight", s.MaxInFlight, 1, 1_000_000)
	c.between("max_queue", s.MaxQueue, 1, 1_000_000)
	c.between("caller_timeout_ms", s.CallerTimeoutMS, 100, hourMS)
	c.between("ledger_shards", s.LedgerShards, 1, 4_096)
	c.between("ledger_interval_ms", s.LedgerIntervalMS, 1, 10_000)
	c.between("ledger_retention_ms", s.LedgerRetentionMS, 1_000, 30*dayMS)
	c.between("ledger_answer_bytes", s.LedgerAnswerBytes, 0, 256<<10)
	c.between("claim_timeout_ms", s.ClaimTimeoutMS, 10, 60_000)
}

func (c *check) name(field, value string) {
	if !namePattern.MatchString(value) {
		c.add(field, "want 1 to 63 lower-case letters, digits, dots, dashes and underscores")
	}
}

func (c *check) address(field, value string) {
	if _, err := netip.ParseAddrPort(value); err != nil {
		c.add(field, "want an IP number and a port, got %q", value)
	}
}

func (c *check) url(field, value string) {
	u, err := url.Parse(value)
	if err != nil || u.Host == "" || u.Scheme != "http" && u.Scheme != "https" {
		c.add(field, "want an http or https URL, got %q", value)
		return
	}
	if _, err := netip.ParseAddr(u.Hostname()); err != nil {
		c.add(field, "want an IP number for its host, got %q", u.Hostname())
	}
}

func (c *check) token(field string, value Secret) {
	if len(value) < leastTokenLength {
		c.add(field, "want at least %d characters", leastTokenLength)
	}
}

func (c *check) between(field string, n, least, most int) {
	if n < least || n > most {
		c.add(field, "%d is not between %d and %d", n, least, most)
	}
}

func milliseconds(n int) time.Duration { return time.Duration(n) * time.Millisecond }

// EntryTTL is how long callers may keep an answer of /v1/entry.
func (s Settings) EntryTTL() time.Duration { return milliseconds(s.EntryTTLMS) }

// Heartbeat is the time between two heartbeats.
func (s Settings) Heartbeat() time.Duration { return milliseconds(s.HeartbeatMS) }

// Probe is the least time between two probes of an upstream.
func (s Settings) Probe() time.Duration { return milliseconds(s.ProbeMS) }

// Silence is how long a connection may be silent before it is tried anew.
func (s Settings) Silence() time.Duration { return milliseconds(s.SilenceMS) }

// CallerTimeout bounds one read from or write to a caller.
func (s Settings) CallerTimeout() time.Duration { return milliseconds(s.CallerTimeoutMS) }

// LedgerInterval is the least time between two writes of a ledger shard.
func (s Settings) LedgerInterval() time.Duration { return milliseconds(s.LedgerIntervalMS) }

// LedgerRetention is how long the outcome of a request is known.
func (s Settings) LedgerRetention() time.Duration { return milliseconds(s.LedgerRetentionMS) }

// ClaimTimeout bounds the wait for a claim.
func (s Settings) ClaimTimeout() time.Duration { return milliseconds(s.ClaimTimeoutMS) }
