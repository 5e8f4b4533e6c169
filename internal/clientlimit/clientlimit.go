// Package clientlimit derives what clients of a process may hold together from the memory
// of its VM and the descriptors of the process. Package memaccount accounts for the memory,
// package connlimit limits the connections.
//
// # Usage
//
//	limits := clientlimit.New(clientlimit.Options{MemoryMB: 112, Metrics: registry, Log: log})
//	table := limits.Table("callers", 0.5)
//
// Tables must be created before the Limits are used concurrently.
package clientlimit

import (
	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"
	"golang.org/x/sys/unix"

	"github.com/hibiscuscove/hibiscuscove/internal/connlimit"
	"github.com/hibiscuscove/hibiscuscove/internal/memaccount"
)

const (
	mebibyte = 1 << 20
	// callersMemoryShare is the share of the VM's memory for the bodies and responses of
	// callers. It is two fifths of the Go memory limit of an entry VM; buffered responses
	// and the VM's own state take as much.
	callersMemoryShare = 0.15
	// minCallersMemory and minBodies allow a body of the usual and of the configured limit
	// while its buffer grows.
	minCallersMemory = 8 * mebibyte
	minBodies        = 2
	// connMemoryShare is the share of the VM's memory for the connections of all
	// listeners, each of which takes connBytes: buffers, a stack and what describes it.
	connMemoryShare = 0.25
	connBytes       = 16 << 10
	// fileDescriptors are the descriptors that are set apart for files, and
	// connDescriptorShare is the share of the others for accepted connections. The rest
	// is for upstreams, other VMs and the store.
	fileDescriptors     = 200
	connDescriptorShare = 0.7
	// defaultDescriptors is the limit of a process if the system does not tell.
	defaultDescriptors = 1024
	// sourceShare is the share of a listener's connections that one address may have. The
	// callers of a data centre may share one.
	sourceShare = 0.75
)

// Options sets up Limits. MaxBodyBytes may be 0, all other fields are required.
type Options struct {
	// MemoryMB is the VM's memory in MiB.
	MemoryMB int
	// MaxBodyBytes is the limit on one body, if it is known.
	MaxBodyBytes int64
	Metrics      metrics.Registry
	Log          zerolog.Logger
}

// Limits is what limits the clients of all listeners of a process.
type Limits struct {
	Account *memaccount.Account
	Report  *connlimit.Reporter

	maxConns float64
	tables   map[string]*connlimit.Table
}

// New returns the limits of a process.
func New(opts Options) *Limits {
	memory := float64(opts.MemoryMB) * mebibyte
	l := &Limits{
		Account:  memaccount.New(max(minCallersMemory, minBodies*opts.MaxBodyBytes, int64(callersMemoryShare*memory))),
		Report:   connlimit.NewReporter(opts.Metrics, opts.Log),
		maxConns: min(connMemoryShare*memory/connBytes, connDescriptorShare*float64(descriptors()-fileDescriptors)),
		tables:   make(map[string]*connlimit.Table),
	}
	gauge := func(name string, value func(memaccount.Status) int64) {
		_ = opts.Metrics.Register("clients.memory."+name, metrics.NewFunctionalGauge(func() int64 { return value(l.Account.Status()) })) // the names are unique
	}
	gauge("limit", func(s memaccount.Status) int64 { return s.Limit })
	gauge("bodies", func(s memaccount.Status) int64 { return s.Held[memaccount.Bodies] })
	gauge("responses", func(s memaccount.Status) int64 { return s.Held[memaccount.Responses] })
	gauge("evicted", func(s memaccount.Status) int64 { return s.Evicted })
	gauge("refused", func(s memaccount.Status) int64 { return s.Refused })
	return l
}

// descriptors returns the limit on descriptors of the process.
func descriptors() uint64 {
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil || limit.Cur <= 2*fileDescriptors {
		return defaultDescriptors
	}
	return limit.Cur
}

// Table returns the table of connections of a new listener, which gets a share of all
// connections.
func (l *Limits) Table(listener string, share float64) *connlimit.Table {
	conns := max(1, int(share*l.maxConns))
	t := connlimit.NewTable(connlimit.TableOptions{Max: conns, MaxPerSource: max(1, int(sourceShare*float64(conns)))})
	l.tables[listener] = t
	return t
}

// Status is the state of Limits.
type Status struct {
	Memory memaccount.Status `json:"memory"`
	// Connections holds the connections of each listener.
	Connections map[string]connlimit.Status `json:"connections"`
}

// Status returns what clients hold.
func (l *Limits) Status() Status {
	s := Status{Memory: l.Account.Status(), Connections: make(map[string]connlimit.Status)}
	for name, t := range l.tables {
		s.Connections[name] = t.Status()
	}
	return s
}
