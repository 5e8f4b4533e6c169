// Package settings parses and validates the settings of a node. Entry VMs on the
// users' platform have other settings, which package entryvm defines.
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
	"cmp"
	"encoding/json"
	"fmt"
	"net/netip"
	"net/url"
	"os"
	"regexp"
	"time"

	"github.com/hibiscuscove/hibiscuscove/internal/strictjson"
)

// Secret is a string that is redacted when it is formatted or encoded as JSON, so
// that it does not appear in logs, dumps or errors.
type Secret string

const redacted = "***"

// String implements fmt.Stringer.
func (Secret) String() string { return redacted }

// GoString implements fmt.GoStringer.
func (Secret) GoString() string { return redacted }

// MarshalJSON implements json.Marshaler.
func (Secret) MarshalJSON() ([]byte, error) { return json.Marshal(redacted) }

// Reveal returns the secret in clear text.
func (s Secret) Reveal() string { return string(s) }

// Settings are the settings of one node. The fields that end in MS are in
// milliseconds.
type Settings struct {
	// Name is the node's name, unique in the fleet.
	Name string `json:"name"`
	// DataCentre is the data centre that the node runs in.
	DataCentre string `json:"data_centre"`
	// Listen is the IP address and port that callers connect to.
	Listen string `json:"listen"`
	// ControlListen is the IP address and port for other nodes and operators.
	ControlListen string `json:"control_listen"`
	// Advertise and ControlAdvertise are the addresses announced to others. The
	// defaults are Listen and ControlListen.
	Advertise        string `json:"advertise"`
	ControlAdvertise string `json:"control_advertise"`
	// PlatformURL is the base URL of the platform's object API.
	PlatformURL string `json:"platform_url"`
	// VMListURL is the base URL of the VM list. It may be empty.
	VMListURL string `json:"vm_list_url"`
	// Peers are control addresses of nodes to join, in addition to the VM list.
	Peers []string `json:"peers"`
	// AdminToken is the bearer token of operators.
	AdminToken Secret `json:"admin_token"`
	// PeerToken is the bearer token for calls between nodes.
	PeerToken Secret `json:"peer_token"`

	// MemoryMB is the VM's memory in MiB, from which the limits on clients follow.
	MemoryMB int `json:"memory_mb"`

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
	// LedgerRetentionMS is how long the ledger retains the outcome of a request.
	LedgerRetentionMS int `json:"ledger_retention_ms"`
	// LedgerAnswerBytes is the maximum size of a recorded response, MaxAnswerBytes at
	// most. Zero means the default, 16 KiB.
	LedgerAnswerBytes int `json:"ledger_answer_bytes"`
	ClaimTimeoutMS    int `json:"claim_timeout_ms"`
}

// defaultLedgerAnswerBytes is the ledger's own default.
const defaultLedgerAnswerBytes = 16 << 10

// Default returns the default settings. Fields without a default are empty.
func Default() Settings {
	return Settings{
		MemoryMB:          1_024,
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
		LedgerAnswerBytes: defaultLedgerAnswerBytes,
		ClaimTimeoutMS:    1_000,
	}
}

// Load reads and parses a file. It returns every problem in it, and an error if
// the file can't be read.
func Load(path string) (Settings, []strictjson.Problem, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, nil, fmt.Errorf("settings: %w", err)
	}
	s, problems := Parse(raw)
	return s, problems, nil
}

// Parse decodes JSON settings over the defaults and returns every problem.
func Parse(raw []byte) (Settings, []strictjson.Problem) {
	s := Default()
	problems := strictjson.Decode("settings", raw, &s)
	s = s.WithAddresses()
	return s, append(problems, s.Check()...)
}

// WithAddresses returns a copy with an empty Advertise set to Listen, and an empty
// ControlAdvertise set to ControlListen.
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

const minTokenLength = 16

type checker struct {
	problems []strictjson.Problem
}

func (c *checker) addProblem(field, format string, args ...any) {
	c.problems = append(c.problems, strictjson.Problem{Object: "settings", Field: field, Reason: fmt.Sprintf(format, args...)})
}

// Check returns every problem in the settings.
func (s Settings) Check() []strictjson.Problem {
	var c checker
	c.checkName("name", s.Name)
	c.checkName("data_centre", s.DataCentre)
	c.checkAddress("listen", s.Listen)
	c.checkAddress("control_listen", s.ControlListen)
	c.checkAddress("advertise", s.Advertise)
	c.checkAddress("control_advertise", s.ControlAdvertise)
	c.checkURL("platform_url", s.PlatformURL)
	if s.VMListURL != "" {
		c.checkURL("vm_list_url", s.VMListURL)
	}
	for i, peer := range s.Peers {
		c.checkAddress(fmt.Sprintf("peers[%d]", i), peer)
	}
	c.checkToken("admin_token", s.AdminToken)
	c.checkToken("peer_token", s.PeerToken)
	c.checkNumbers(s)
	return c.problems
}

func (c *checker) checkNumbers(s Settings) {
	const (
		hourMS   = 3_600_000
		dayMS    = 24 * hourMS
		mebibyte = 1 << 20
	)
	c.checkRange("memory_mb", s.MemoryMB, 16, mebibyte)
	c.checkRange("entry_ttl_ms", s.EntryTTLMS, 100, hourMS)
	c.checkRange("heartbeat_ms", s.HeartbeatMS, 20, 60_000)
	c.checkRange("probe_ms", s.ProbeMS, 20, 60_000)
	c.checkRange("silence_ms", s.SilenceMS, 20, hourMS)
	c.checkRange("max_body_bytes", s.MaxBodyBytes, 1<<10, 64*mebibyte)
	c.checkRange("max_answer_bytes", s.MaxAnswerBytes, 1<<10, 256*mebibyte)
	c.checkRange("max_header_bytes", s.MaxHeaderBytes, 1<<10, mebibyte)
	c.checkRange("max_json_depth", s.MaxJSONDepth, 4, 1_000)
	c.checkRange("max_in_flight", s.MaxInFlight, 1, 1_000_000)
	c.checkRange("max_queue", s.MaxQueue, 1, 1_000_000)
	c.checkRange("caller_timeout_ms", s.CallerTimeoutMS, 100, hourMS)
	c.checkRange("ledger_shards", s.LedgerShards, 1, 4_096)
	c.checkRange("ledger_interval_ms", s.LedgerIntervalMS, 1, 10_000)
	c.checkRange("ledger_retention_ms", s.LedgerRetentionMS, 1_000, 30*dayMS)
	c.checkRange("ledger_answer_bytes", s.LedgerAnswerBytes, 0, 256<<10)
	if recorded := cmp.Or(s.LedgerAnswerBytes, defaultLedgerAnswerBytes); recorded > s.MaxAnswerBytes {
		c.addProblem("ledger_answer_bytes", "%d is more than max_answer_bytes, %d: an answer that was cut there would be recorded as whole", recorded, s.MaxAnswerBytes)
	}
	c.checkRange("claim_timeout_ms", s.ClaimTimeoutMS, 10, 60_000)
}

func (c *checker) checkName(field, value string) {
	if !namePattern.MatchString(value) {
		c.addProblem(field, "want 1 to 63 lower-case letters, digits, dots, dashes and underscores")
	}
}

func (c *checker) checkAddress(field, value string) {
	if _, err := netip.ParseAddrPort(value); err != nil {
		c.addProblem(field, "want an IP number and a port, got %q", value)
	}
}

func (c *checker) checkURL(field, value string) {
	u, err := url.Parse(value)
	if err != nil || u.Host == "" || u.Scheme != "http" && u.Scheme != "https" {
		c.addProblem(field, "want an http or https URL, got %q", value)
		return
	}
	if _, err := netip.ParseAddr(u.Hostname()); err != nil {
		c.addProblem(field, "want an IP number for its host, got %q", u.Hostname())
	}
}

func (c *checker) checkToken(field string, value Secret) {
	if len(value) < minTokenLength {
		c.addProblem(field, "want at least %d characters", minTokenLength)
	}
}

func (c *checker) checkRange(field string, n, lower, upper int) {
	if n < lower || n > upper {
		c.addProblem(field, "%d is not between %d and %d", n, lower, upper)
	}
}

func milliseconds(n int) time.Duration { return time.Duration(n) * time.Millisecond }

// EntryTTL is how long callers may cache a response of /v1/entry.
func (s Settings) EntryTTL() time.Duration { return milliseconds(s.EntryTTLMS) }

// Heartbeat is the time between two heartbeats.
func (s Settings) Heartbeat() time.Duration { return milliseconds(s.HeartbeatMS) }

// Probe is the minimum time between two probes of an upstream.
func (s Settings) Probe() time.Duration { return milliseconds(s.ProbeMS) }

// Silence is how long a connection may receive no data before the call is resumed
// on a new connection.
func (s Settings) Silence() time.Duration { return milliseconds(s.SilenceMS) }

// CallerTimeout limits the duration of one read from or write to a caller.
func (s Settings) CallerTimeout() time.Duration { return milliseconds(s.CallerTimeoutMS) }

// LedgerInterval is the minimum time between two writes of a ledger shard.
func (s Settings) LedgerInterval() time.Duration { return milliseconds(s.LedgerIntervalMS) }

// LedgerRetention is how long the ledger retains the outcome of a request.
func (s Settings) LedgerRetention() time.Duration { return milliseconds(s.LedgerRetentionMS) }

// ClaimTimeout limits the wait for a claim in the ledger.
func (s Settings) ClaimTimeout() time.Duration { return milliseconds(s.ClaimTimeoutMS) }
