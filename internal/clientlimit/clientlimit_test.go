package clientlimit_test

import (
	"net/netip"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"github.com/hibiscuscove/hibiscuscove/internal/clientlimit"
	"github.com/hibiscuscove/hibiscuscove/internal/connlimit"
)

// Guards against limits that don't fit the memory of the VM, or refuse a single body within
// the configured limit.
func TestLimits(t *testing.T) {
	const mebibyte = 1 << 20
	tests := map[string]struct {
		memoryMB             int
		maxBody              int64
		minAccount, maxConns int
	}{
		"smallest VM":  {112, 4 * mebibyte, 16 * mebibyte, 1_792},
		"tiny VM":      {16, 4 * mebibyte, 8 * mebibyte, 256},
		"large bodies": {112, 64 * mebibyte, 128 * mebibyte, 1_792},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			registry := metrics.NewRegistry()
			l := clientlimit.New(clientlimit.Options{MemoryMB: test.memoryMB, MaxBodyBytes: test.maxBody, Metrics: registry, Log: zerolog.Nop()})
			table := l.Table("callers", 1)
			status := l.Status()
			if status.Memory.Limit < int64(test.minAccount) || status.Memory.Limit > int64(2*test.minAccount) {
				t.Errorf("account of %d bytes, want %d or a little more", status.Memory.Limit, test.minAccount)
			}
			// The limit on descriptors of the test may be lower.
			if n := status.Connections["callers"].Max; n > test.maxConns || n < test.maxConns/8 {
				t.Errorf("%d connections, want up to %d", n, test.maxConns)
			}
			source := netip.MustParseAddr("10.0.0.1")
			added := 0
			for entry, _ := table.Add(time.Unix(0, 0), source, time.Hour, func() {}); entry != nil && added < 4_000; entry, _ = table.Add(time.Unix(0, 0), source, time.Hour, func() {}) {
				entry.SetState(time.Unix(0, 0), connlimit.Active)
				added++
			}
			if most := status.Connections["callers"].Max; added != most*3/4 {
				t.Errorf("one address has %d of %d connections, want three quarters", added, most)
			}
			if gauge, ok := registry.Get("clients.memory.limit").(metrics.Gauge); !ok || gauge.Value() != status.Memory.Limit {
				t.Errorf("gauge %v", registry.Get("clients.memory.limit"))
			}
		})
	}
}
