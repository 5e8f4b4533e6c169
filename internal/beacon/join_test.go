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

// Guards against address lists without end, of addresses that can't be used, or that a VM
// would send to whoever asks.
func TestAddressListsAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := &memoryNet{conns: make(map[string]*memoryConn), rng: rand.New(rand.NewPCG(1, 1))}
		conn := network.listen("10.0.0.1:7340")
		b := beacon.New(beacon.Options{Conn: conn, Now: time.Now, Log: zerolog.Nop(), Receive: func(time.Time, beacon.Message) {}, Compose: func(time.Time) beacon.Message {
			return beacon.Message{Name: "self", Incarnation: 1, Address: "10.0.0.1:7340", State: beacon.Serving}
		}})
		ctx, cancel := context.WithCancel(t.Context())
		var wg sync.WaitGroup
		wg.Go(func() { b.Run(ctx) })
		foreign := network.listen("10.9.9.9:7340")
		send := func(m beacon.Message) {
			raw, err := beacon.Pack(m)
			if err != nil {
				t.Fatal(err)
			}
			_, _ = foreign.WriteTo(raw, net.UDPAddrFromAddrPort(conn.address))
			time.Sleep(2 * datagramTime)
		}
		for i := range 300 {
			list := []string{"", "no address", "10.0.0.1:99999", "10.0.0.1:7340"}
			for j := range 100 {
				list = append(list, fmt.Sprintf("10.%d.%d.1:7340", 1+i/100, i%100*2+j/50))
			}
			send(beacon.Message{FactsFrom: "foreign", Peers: list})
		}
		if n := b.KnownCount(); n > 2049 {
			t.Errorf("%d VMs known, want 2049 at the most", n)
		}
		// A VM that claims to know nobody, again and again within one interval.
		send(beacon.Message{Name: "other", Incarnation: 1, Sequence: 1, Address: "10.0.0.2:7340", State: beacon.Serving, Known: 1})
		for len(foreign.queue) > 0 {
			<-foreign.queue
		}
		const asked = 90
		for i := range asked {
			send(beacon.Message{Name: "newcomer", Incarnation: 1, Sequence: uint64(i + 1), Address: "10.9.9.9:7340", State: beacon.Starting, Known: 1})
		}
		answers := len(foreign.queue)
		// 64 of each interval, and the VM's own beacons.
		if limit := 64 * 3; answers > limit || answers == 0 {
			t.Errorf("%d datagrams for %d beacons, want 1 to %d", answers, asked, limit)
		}
		cancel()
		wg.Wait()
		time.Sleep(time.Second) // datagrams under way arrive
	})
}
