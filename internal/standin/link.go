package standin

import (
	"fmt"
	"net"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Link forwards TCP connections to a target on the loopback. It is safe for concurrent use.
type Link struct {
	listener net.Listener
	target   string

	// mu is also held for reading while data are passed on.
	mu    sync.RWMutex
	conns map[*net.TCPConn]bool
	// silenced holds the connections that are open and carry nothing more.
	silenced map[*net.TCPConn]bool
}

// NewLink returns a Link to a target that listens at an address, with port 0 at any port.
func NewLink(address, target string) (*Link, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("standin: %w", err)
	}
	l := &Link{listener: listener, target: target, conns: make(map[*net.TCPConn]bool), silenced: make(map[*net.TCPConn]bool)}
	go l.serve()
	return l, nil
}

// Address returns the address of the Link.
func (l *Link) Address() string { return l.listener.Addr().String() }

// Open returns the number of open connections that carry data, two for each that is forwarded.
func (l *Link) Open() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.conns)
}

// Silence makes all open connections silent for good: neither data nor ends, nor the
// system's keep-alive probes pass, and nothing is acknowledged. New ones work.
func (l *Link) Silence() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		if err := dropIncoming(c); err != nil {
			return err
		}
		l.silenced[c] = true
	}
	clear(l.conns)
	return nil
}

// Close closes the listener and all connections.
func (l *Link) Close() {
	_ = l.listener.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, set := range []map[*net.TCPConn]bool{l.conns, l.silenced} {
		for c := range set {
			_ = c.Close()
		}
	}
}

// maxAckChecks is the number of checks, a millisecond apart, for what has been written to be
// acknowledged.
const maxAckChecks = 200

// dropIncoming makes the system drop all packets that arrive for a connection, once what was
// written has been acknowledged: else the system would send it again and again.
func dropIncoming(c *net.TCPConn) error {
	raw, err := c.SyscallConn()
	if err != nil {
		return fmt.Errorf("standin: %w", err)
	}
	drop := unix.SockFilter{Code: unix.BPF_RET | unix.BPF_K}
	var failed error
	err = raw.Control(func(fd uintptr) {
		for range maxAckChecks {
			if unacknowledged, err := unix.IoctlGetInt(int(fd), unix.TIOCOUTQ); err != nil || unacknowledged == 0 {
				break
			}
			time.Sleep(time.Millisecond)
		}
		failed = unix.SetsockoptSockFprog(int(fd), unix.SOL_SOCKET, syscall.SO_ATTACH_FILTER, &unix.SockFprog{Len: 1, Filter: &drop})
	})
	if err == nil {
		err = failed
	}
	if err != nil {
		return fmt.Errorf("standin: %w", err)
	}
	return nil
}

func (l *Link) serve() {
	for {
		in, err := l.listener.Accept()
		if err != nil {
			return
		}
		go l.forward(in.(*net.TCPConn))
	}
}

func (l *Link) forward(in *net.TCPConn) {
	to, err := net.Dial("tcp", l.target)
	if err != nil {
		_ = in.Close()
		return
	}
	out := to.(*net.TCPConn)
	l.mu.Lock()
	l.conns[in], l.conns[out] = true, true
	l.mu.Unlock()
	go l.copy(in, out)
	l.copy(out, in)
}

// copy copies until one end has ended, and closes both then unless they are silent.
func (l *Link) copy(to, from *net.TCPConn) {
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		l.mu.RLock()
		if n > 0 && !l.silenced[from] {
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
				err = writeErr
			}
		}
		l.mu.RUnlock()
		if err != nil {
			break
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.silenced[from] {
		return
	}
	for _, c := range []*net.TCPConn{from, to} {
		delete(l.conns, c)
		_ = c.Close()
	}
}
