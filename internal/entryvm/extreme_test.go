package entryvm_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"net/http"
	"net/http/httptest"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/hibiscuscove/hibiscuscove/internal/beacon"
	"github.com/hibiscuscove/hibiscuscove/internal/lineage"
	"github.com/hibiscuscove/hibiscuscove/internal/permit"
	"github.com/hibiscuscove/hibiscuscove/platform"
)

// fill sets all numbers of a value to one and gives lists and maps an element.
func fill(v reflect.Value, number int64, text string) {
	switch v.Kind() {
	case reflect.Struct:
		for i := range v.NumField() {
			fill(v.Field(i), number, text)
		}
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), 2, 2))
		fill(v.Index(0), number, text)
		fill(v.Index(1), number, text)
	case reflect.Array:
		for i := range v.Len() {
			fill(v.Index(i), number, text)
		}
	case reflect.Map:
		key, value := reflect.New(v.Type().Key()).Elem(), reflect.New(v.Type().Elem()).Elem()
		fill(key, number, text)
		fill(value, number, text)
		v.Set(reflect.MakeMap(v.Type()))
		v.SetMapIndex(key, value)
	case reflect.Int, reflect.Int64:
		v.SetInt(number)
	case reflect.Uint64:
		v.SetUint(uint64(number))
	case reflect.Float64:
		v.SetFloat(float64(number))
	case reflect.Bool:
		v.SetBool(number > 0)
	case reflect.String:
		v.SetString(text)
	}
}

// Guards against a message of another VM that ends the process, and so all its requests:
// what receives messages runs outside the handlers of requests.
func TestExtremeMessagesEndNothing(t *testing.T) {
	ports := freePorts(t, "127.0.77.12")
	serveStore(t, fmt.Sprintf("127.0.77.12:%d", ports[5]), `{"metadata":{"name":"main","revision":9},"spec":{"version":7,
		"services":[{"name":"lm","engine":{"slots":4,"kv_capacity_tokens":9000,"models":[{"name":"m"}]}}],"routes":[{"name":"r","hostname":"desk.example","path_prefix":"/talk/","kind":"streaming","timeout_ms":400,
		"traffic_split":[{"backend":"lm","weight":100}],"max_attempts":2,"resumable":true,"session_affinity":true,"target_latency_ms":200}]}}`,
		`{"metadata":{"name":"e-1","revision":5},"spec":{"backend":"lm","address":"127.0.77.12:1","zone":"sur-a","slots":4,"state":"ready","born":3,
		"models":[{"name":"m","version":1}]}}`)
	vm, _ := startVM(t, ports, 12)
	call := func() {
		r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, fmt.Sprintf("http://127.0.77.12:%d/talk/a", ports[1]), strings.NewReader("body"))
		if err != nil {
			t.Fatal(err)
		}
		r.Host, r.Header = "desk.example", http.Header{"Request-Attempt-Id": {"a1"}, "Model": {"m"}, "Token-Count": {"90,8"}, platform.HeaderPromptPrefix: {"1a:50,2b:40"}}
		resp, err := http.DefaultClient.Do(r)
		if err != nil {
			t.Fatal(err)
		}
		if _ = resp.Body.Close(); resp.StatusCode != http.StatusServiceUnavailable {
			t.Errorf("status %d, want 503: no upstream can be reached", resp.StatusCode)
		}
	}
	waitFor(t, "the configuration", func() bool { return vm.ConfigurationVersion() == 7 })
	peer := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.WriteString(w, []string{`{"revision":18446744073709551615,"items":[{},{"deleted":true}]}`, `[]`, `{"items":null}`}[len(r.URL.RawQuery)%3])
	}))
	t.Cleanup(peer.Close)
	numbers := []int64{math.MaxInt64, math.MinInt64, -1, 0, 1, math.MaxInt64 / 1_000_000, 1 << 32}
	texts := []string{"e-1", "e-1@3", "", strings.Repeat("x", 300)}
	control := strings.TrimPrefix(peer.URL, "http://")
	sendBeacons(t, fmt.Sprintf("127.0.77.12:%d", ports[0]), control, 2*time.Second, func(n int, m *beacon.Message) {
		filled := beacon.Message{}
		fill(reflect.ValueOf(&filled).Elem(), numbers[n%len(numbers)], texts[n%len(texts)])
		filled.Name, filled.Incarnation, filled.Sequence, filled.Address, filled.Control = fmt.Sprint("peer-", n), 1, m.Sequence, m.Address, control
		if n%4 != 0 {
			filled.FactsFrom = ""
		}
		if n < 100 {
			filled.UpstreamsLeaving = nil // they get no requests any more
		}
		*m = filled
		if n%8 == 0 {
			call()
		}
	})
	if vm.PeerCount() == 0 {
		t.Error("the VM has taken no beacon")
	}
	for path, value := range map[string]any{"permits": new(permit.Request), "streams": new(lineage.Question)} {
		for i, number := range numbers {
			fill(reflect.ValueOf(value).Elem(), number, texts[i%len(texts)])
			raw, err := json.Marshal(value)
			if err != nil {
				t.Fatal(err)
			}
			resp, err := http.Post(fmt.Sprintf("http://127.0.77.12:%d/v1/%s", ports[4], path), "application/json", bytes.NewReader(raw))
			if err != nil {
				t.Fatalf("%s with %s: %v", path, raw, err)
			}
			_ = resp.Body.Close()
		}
	}
	resp, err := http.Get(fmt.Sprintf("http://127.0.77.12:%d/v1/dump", ports[4]))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	if raw, err := io.ReadAll(resp.Body); err != nil || !json.Valid(raw) {
		t.Errorf("dump of %d bytes is no JSON: %v", len(raw), err)
	}
}
