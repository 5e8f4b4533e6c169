package beacon_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"os"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"github.com/hibiscuscove/hibiscuscove/internal/beacon"
)

const (
	// datagramTime is what a VM with a fifth of a core needs for a datagram, and
	// socketQueue the number of datagrams that its socket holds.
	datagramTime = 1500 * time.Microsecond
	socketQueue  = 250
	datagramLoss = 0.01
	linkDelay    = time.Millisecond
)

// memoryNet passes datagrams between slow VMs in virtual time.
type memoryNet struct {
	mu    sync.Mutex
	conns map[string]*memoryConn
	rng   *rand.Rand
}

// memoryConn is one VM's socket.
type memoryConn struct {
	net.PacketConn
	network *memoryNet
	address netip.AddrPort
	queue   chan []byte
	closed  chan struct{}
}

func (n *memoryNet) listen(address string) *memoryConn {
	c := &memoryConn{network: n, address: netip.MustParseAddrPort(address), queue: make(chan []byte, socketQueue), closed: make(chan struct{})}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.conns[address] = c
	return c
}

func (c *memoryConn) WriteTo(p []byte, to net.Addr) (int, error) {
	n := c.network
	n.mu.Lock()
	defer n.mu.Unlock()
	target := n.conns[to.String()]
	if target == nil || n.rng.Float64() < datagramLoss {
		return len(p), nil
	}
	raw := append([]byte(nil), p...)
	time.AfterFunc(linkDelay, func() {
		select {
		case target.queue <- raw:
		default: // the socket's queue is full
		}
	})
	return len(p), nil
}

func (c *memoryConn) ReadFrom(p []byte) (int, net.Addr, error) {
	select {
	case raw := <-c.queue:
		time.Sleep(datagramTime)
		return copy(p, raw), net.UDPAddrFromAddrPort(c.address), nil
	case <-c.closed:
		return 0, nil, errors.New("closed")
	}
}

func (c *memoryConn) SetReadDeadline(time.Time) error {
	close(c.closed)
	return nil
}

// Guards against VMs that know few others for many seconds after all have started at once,
// and so take a large fleet for a small one.
func TestVMsThatStartTogetherFindOneAnother(t *testing.T) {
	// Peers must be known before the VMs count as in touch.
	const limit = 3 * time.Second
	sizes := []int{8, 84, 195}
	if n, err := strconv.Atoi(os.Getenv("JOIN_VMS")); err == nil {
		sizes = append(sizes, n)
	}
	for _, vms := range sizes {
		t.Run(fmt.Sprint(vms, " VMs"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { startTogether(t, vms, limit) })
		})
	}
}

// startTogether starts VMs that know three of them, and checks that each knows nine tenths
// of the others in time.
func startTogether(t *testing.T, vms int, limit time.Duration) {
	t.Helper()
	network := &memoryNet{conns: make(map[string]*memoryConn), rng: rand.New(rand.NewPCG(1, uint64(vms)))}
	ctx, cancel := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	all := make([]*beacon.Beacon, vms)
	address := func(i int) string { return fmt.Sprintf("10.0.%d.%d:7340", i/200, i%200+1) }
	for i := range all {
		all[i] = beacon.New(beacon.Options{
			Conn: network.listen(address(i)), Now: time.Now, Log: zerolog.Nop(), Receive: func(time.Time, beacon.Message) {},
			Compose: func(time.Time) beacon.Message {
				return beacon.Message{Name: fmt.Sprint("vm-", i), Incarnation: 1, Address: address(i), State: beacon.Starting, DataCentre: fmt.Sprint("dc-", i%6)}
			},
		})
		for seed := range 3 {
			all[i].Add(time.Now(), address(seed*vms/3))
		}
		delay := 300 * time.Millisecond * time.Duration(i) / time.Duration(vms)
		wg.Go(func() {
			time.Sleep(delay)
			all[i].Run(ctx)
		})
	}
	time.Sleep(limit)
	synctest.Wait()
	least := vms
	for _, b := range all {
		least = min(least, b.KnownCount())
	}
	t.Logf("%d VMs: each knows %d at least", vms, least)
	if least*10 < vms*9 {
		t.Errorf("after %v a VM knows %d of %d VMs, want nine tenths", limit, least, vms)
	}
	cancel()
	wg.Wait()
	time.Sleep(time.Second) // datagrams under way arrive
}
