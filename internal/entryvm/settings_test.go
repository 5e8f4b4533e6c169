package entryvm_test

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/hibiscuscove/hibiscuscove/internal/entryvm"
)

// placeholderValues maps the placeholders of the settings template to the values
// that the platform fills in.
var placeholderValues = map[string]string{
	"node|json": `"edge-a-1"`, "zone|json": `"a"`, "ip|json": `"10.1.0.30"`, "ip": "10.1.0.30",
	"listen.front|json": `"10.1.0.30:8782"`, "listen.ready|json": `"10.1.0.30:8789"`,
	"listen.directory|json": `"10.1.0.30:8780"`, "listen.control|json": `"10.1.0.30:8783"`,
	"port_range.0": "7340", "platform.address|json": `"10.200.1.7:8784"`, "limits.memory_mb": "134", "limits.link_mbps": "1000.0",
	"bounds.grace_s": "8", "bounds.drain_ms": "2500", "bounds.contact_ms": "3000", "bounds.lease_ms": "3000", "bounds.version_ms": "15000", "bounds.version_all_ms": "21000", "bounds.retry_budget_ratio": "0.2",
	"bounds.budget_slack": "58", "bounds.budget_window_s": "10",
	"contracts|json": `["pressure","a word of a later build"]`,
}

func fillTemplate(t *testing.T) string {
	t.Helper()
	raw, err := os.ReadFile("../../deploy/settings.json.tmpl")
	if err != nil {
		t.Fatal(err)
	}
	section := regexp.MustCompile(`\{\{#seeds\}\}.*\{\{/seeds\}\}`)
	text := section.ReplaceAllString(string(raw), `"10.1.0.30:8783","10.2.0.22:8783"`)
	for name, value := range map[string]string{"bounds.quota_over": "0.1", "bounds.quota_slack": "110000"} {
		text = regexp.MustCompile(`\{\{#`+name+`\}\}(.*)\{\{\.\}\}(.*)\{\{/`+name+`\}\}`).ReplaceAllString(text, "${1}"+value+"${2}")
	}
	return regexp.MustCompile(`\{\{[^}]*\}\}`).ReplaceAllStringFunc(text, func(placeholder string) string {
		value, found := placeholderValues[strings.Trim(placeholder, "{}")]
		if !found {
			t.Errorf("the template uses %s, which the platform does not define", placeholder)
		}
		return value
	})
}

func loadSettings(t *testing.T, text string) (entryvm.Settings, []string) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "settings.json")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	s, problems, err := entryvm.LoadSettings(path)
	if err != nil {
		t.Fatal(err)
	}
	var lines []string
	for _, p := range problems {
		lines = append(lines, p.String())
	}
	return s, lines
}

// TestSettingsTemplate checks that the deployed template, filled in, yields valid
// settings with the defaults elsewhere.
func TestSettingsTemplate(t *testing.T) {
	got, problems := loadSettings(t, fillTemplate(t))
	if diff := cmp.Diff([]string(nil), problems); diff != "" {
		t.Errorf("problems (-want +got):\n%s", diff)
	}
	want := entryvm.DefaultSettings()
	want.Name, want.DataCentre, want.IP = "edge-a-1", "a", "10.1.0.30"
	want.CallersListen, want.ReadyListen = "10.1.0.30:8782", "10.1.0.30:8789"
	want.DirectoryListen, want.ControlListen = "10.1.0.30:8780", "10.1.0.30:8783"
	want.MetricsListen = "10.1.0.30:9464"
	want.PeerPort, want.StoreAddress, want.MemoryMB, want.LinkMbps = 7340, "10.200.1.7:8784", 134, 1000
	want.Seeds = []string{"10.1.0.30:8783", "10.2.0.22:8783"}
	want.RetrySlack = 58
	want.DrainMS = 2500
	want.QuotaOver, want.QuotaSlack = 0.1, 110_000
	want.Terms = []string{"pressure", "a word of a later build"}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("settings (-want +got):\n%s", diff)
	}
}

// TestInvalidSettings checks that each mistake in a settings file is reported with the
// name of its field.
func TestInvalidSettings(t *testing.T) {
	tests := map[string]struct{ from, to, field string }{
		"no name":              {`"edge-a-1"`, `""`, "name"},
		"name as IP":           {`"ip": "10.1.0.30"`, `"ip": "host"`, "ip"},
		"store without port":   {`"10.200.1.7:8784"`, `"10.200.1.7"`, "store_address"},
		"port too large":       {`7340`, `70000`, "peer_port"},
		"no link":              {`1000.0`, `0`, "link_mbps"},
		"wrong type":           {`134`, `"much"`, "memory_mb"},
		"unknown field":        {`"peer_port"`, `"pear_port"`, "pear_port"},
		"empty placeholder":    {`3000`, ``, ""},
		"unknown rule":         {`"peer_port"`, `"pick_rule": "luck", "peer_port"`, "pick_rule"},
		"metrics without port": {`"10.1.0.30:9464"`, `"10.1.0.30"`, "metrics_listen"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			_, problems := loadSettings(t, strings.Replace(fillTemplate(t), test.from, test.to, 1))
			if text := strings.Join(problems, "\n"); text == "" || !strings.Contains(text, test.field) {
				t.Errorf("problems %q, want one for the field %q", text, test.field)
			}
		})
	}
}

// Guards against RECOVER: no VM starts again after a figure of the platform's bounds has become
// a fraction, or is spelled with a point. Each figure is tried in each spelling.
func TestSettingsTakeNumbersInAnySpelling(t *testing.T) {
	figures := []string{
		"bounds.grace_s", "bounds.drain_ms", "bounds.contact_ms", "bounds.lease_ms", "bounds.version_ms", "bounds.version_all_ms",
		"bounds.retry_budget_ratio", "bounds.budget_slack", "bounds.budget_window_s", "limits.memory_mb", "limits.link_mbps",
	}
	for _, name := range figures {
		plain := placeholderValues[name]
		t.Run(name, func(t *testing.T) {
			defer func() { placeholderValues[name] = plain }()
			want, _ := loadSettings(t, fillTemplate(t))
			for _, spelling := range []string{plain + "e0", strings.TrimSuffix(plain, ".0") + ".0", strings.TrimSuffix(plain, ".0") + "0e-1"} {
				if strings.Contains(plain, ".") && strings.Count(spelling, ".") > 1 || name == "bounds.retry_budget_ratio" && !strings.HasSuffix(spelling, "e0") {
					continue // no number, or another one
				}
				placeholderValues[name] = spelling
				got, problems := loadSettings(t, fillTemplate(t))
				if diff := cmp.Diff(want, got); diff != "" || problems != nil {
					t.Errorf("%s: problems %q, settings (-want +got):\n%s", spelling, problems, diff)
				}
			}
		})
	}
	fractions := map[string]struct {
		name, value string
		get         func(entryvm.Settings) any
		want        any
	}{
		"time to stop":     {"bounds.grace_s", "7.5", func(s entryvm.Settings) any { return s.StopMS }, 7_500},
		"budget's window":  {"bounds.budget_window_s", "9.25", func(s entryvm.Settings) any { return s.RetryWindowMS }, 9_250},
		"milliseconds":     {"bounds.drain_ms", "2000.5", func(s entryvm.Settings) any { return s.DrainMS }, 2_001},
		"budget's slack":   {"bounds.budget_slack", "57.5", func(s entryvm.Settings) any { return s.RetrySlack }, 57.5},
		"ratio as integer": {"bounds.retry_budget_ratio", "1", func(s entryvm.Settings) any { return s.RetryRatio }, 1.0},
	}
	for name, test := range fractions {
		t.Run(name, func(t *testing.T) {
			plain := placeholderValues[test.name]
			defer func() { placeholderValues[test.name] = plain }()
			placeholderValues[test.name] = test.value
			got, problems := loadSettings(t, fillTemplate(t))
			if diff := cmp.Diff(test.want, test.get(got)); diff != "" || problems != nil {
				t.Errorf("problems %q, value (-want +got):\n%s", problems, diff)
			}
		})
	}
	refused := map[string]struct{ name, value, field string }{
		"negative":       {"bounds.grace_s", "-1", "stop_s"},
		"far too large":  {"bounds.budget_window_s", "1e9", "retry_window_s"},
		"fraction of MB": {"limits.memory_mb", "134.5", "memory_mb"},
		"too large, ms":  {"bounds.lease_ms", "1e12", "lease_ms"},
	}
	for name, test := range refused {
		t.Run(name, func(t *testing.T) {
			plain := placeholderValues[test.name]
			defer func() { placeholderValues[test.name] = plain }()
			placeholderValues[test.name] = test.value
			_, problems := loadSettings(t, fillTemplate(t))
			if text := strings.Join(problems, "\n"); !strings.Contains(text, test.field) {
				t.Errorf("problems %q, want one for the field %q", text, test.field)
			}
		})
	}
}
