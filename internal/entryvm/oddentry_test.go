package entryvm_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// Guards against VMs that end, or stop following the list, at entries of another writer.
func TestOddEntriesStopNoVM(t *testing.T) {
	entry := func(name, spec string) string {
		return fmt.Sprintf(`{"metadata":{"name":%q,"revision":3},"spec":%s}`, name, spec)
	}
	deep := strings.Repeat(`{"a":[`, 40_000) + strings.Repeat(`]}`, 40_000)
	sound := `{"backend":"lm","address":"127.0.77.40:9","slots":8,"state":"ready","models":[{"name":"m","version":1}]}`
	list := strings.Join([]string{
		entry("odd-1", deep), entry("odd-2", `{"backend":"lm","address":"127.0.77.40:9","slots":1e999,"state":"ready"}`), entry("i-1", sound),
		entry("odd-3", `{"backend":"lm","address":"127.0.77.40:99999","slots":8,"state":"ready"}`), deep, `{"metadata":7}`,
		entry("odd-4", `{"backend":"lm","address":"127.0.77.40:9","slots":9223372036854775807,"state":"ready"}`),
	}, ",")
	ports := freePorts(t, "127.0.77.40")
	serveStore(t, fmt.Sprintf("127.0.77.40:%d", ports[5]), configurationOf(3), list)
	vm, _ := startVM(t, ports, 40)
	waitFor(t, "the configuration", func() bool { return vm.ConfigurationVersion() == 7 })
	time.Sleep(500 * time.Millisecond)
	if diff := cmp.Diff([]string{"i-1"}, vm.UpstreamIDs()); diff != "" {
		t.Errorf("upstreams (-want +got):\n%s", diff)
	}
}
