package beacon

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"time"

	"github.com/fxamacker/cbor/v2"
)

const (
	// maxCallBytes limits the body of a direct message, so that its datagram is not
	// fragmented.
	maxCallBytes = 1200
	// maxPendingCalls limits the calls that wait for a reply.
	maxPendingCalls = 1024
)

// Errors of direct messages.
var (
	// ErrUnknownPeer means that no beacon of the VM has been received.
	ErrUnknownPeer = errors.New("beacon: the VM is not known")
	// ErrTooManyCalls means that maxPendingCalls calls wait for a reply already.
	ErrTooManyCalls = errors.New("beacon: too many calls wait for a reply")
)

// Direct is a message from one VM to another one that is not the sender's state. VMs of
// builds that don't know such messages ignore them, since they carry no name.
type Direct struct {
	From string `cbor:"1,keyasint"`
	Kind string `cbor:"2,keyasint"`
	// ID is that of a call, and 0 if no reply is awaited.
	ID uint64 `cbor:"3,keyasint,omitempty"`
	// Reply is set in the reply to the call with the same ID.
	Reply bool   `cbor:"4,keyasint,omitempty"`
	Body  []byte `cbor:"5,keyasint,omitempty"`
}

// directMessage is a Message that carries only a Direct.
type directMessage struct {
	Direct *Direct `cbor:"36,keyasint"`
}

func packDirect(d *Direct) ([]byte, error) {
	if len(d.Body) > maxCallBytes {
		return nil, fmt.Errorf("beacon: a direct message of %d bytes, %d are allowed", len(d.Body), maxCallBytes)
	}
	raw, err := cbor.Marshal(directMessage{d})
	if err != nil {
		return nil, fmt.Errorf("beacon: pack: %w", err)
	}
	return raw, nil
}

// Call sends one request datagram to a VM and waits for its reply until ctx ends. It does
// not repeat lost datagrams. The VM may have handled a request whose reply is missing.
func (b *Beacon) Call(ctx context.Context, peer, kind string, body []byte) ([]byte, error) {
	reply := make(chan []byte, 1)
	b.mu.Lock()
	if len(b.calls) >= maxPendingCalls {
		b.mu.Unlock()
		return nil, ErrTooManyCalls
	}
	b.nextCall++
	id := b.nextCall
	b.calls[id] = pendingCall{peer, reply}
	b.mu.Unlock()
	defer func() {
		b.mu.Lock()
		defer b.mu.Unlock()
		delete(b.calls, id)
	}()
	if err := b.sendDirect(peer, &Direct{Kind: kind, ID: id, Body: body}); err != nil {
		return nil, err
	}
	select {
	case answer := <-reply:
		return answer, nil
	case <-ctx.Done():
		return nil, fmt.Errorf("beacon: call %q to %s: %w", kind, peer, ctx.Err())
	}
}

// Notify sends one datagram to a VM. It may be lost.
func (b *Beacon) Notify(peer, kind string, body []byte) error {
	return b.sendDirect(peer, &Direct{Kind: kind, Body: body})
}

// pendingCall is a call that waits for its reply.
type pendingCall struct {
	peer  string
	reply chan<- []byte
}

// sendDirect sends a direct message to a peer. It sets its From.
func (b *Beacon) sendDirect(peer string, d *Direct) error {
	b.mu.Lock()
	p := b.peers[peer]
	d.From = b.opts.Name
	b.mu.Unlock()
	if p == nil {
		return ErrUnknownPeer
	}
	target, err := netip.ParseAddrPort(p.Address)
	if err != nil {
		return fmt.Errorf("beacon: address of %s: %w", peer, err)
	}
	raw, err := packDirect(d)
	if err != nil {
		return err
	}
	if _, err := b.opts.Conn.WriteTo(raw, net.UDPAddrFromAddrPort(target)); err != nil {
		return fmt.Errorf("beacon: send to %s: %w", peer, err)
	}
	return nil
}

// handleDirect handles a received direct message. from is the address that it came from.
func (b *Beacon) handleDirect(now time.Time, from net.Addr, d *Direct) {
	if d.Reply {
		b.mu.Lock()
		call, waiting := b.calls[d.ID]
		if waiting && call.peer == d.From {
			delete(b.calls, d.ID)
			call.reply <- d.Body // has room for the only reply
		}
		b.mu.Unlock()
		return
	}
	if b.opts.Serve == nil {
		return
	}
	body := b.opts.Serve(now, d.From, d.Kind, d.Body)
	if d.ID == 0 || body == nil {
		return
	}
	raw, err := packDirect(&Direct{From: b.opts.Name, Kind: d.Kind, ID: d.ID, Reply: true, Body: body})
	if err != nil {
		b.opts.Log.Error().Err(err).Str("kind", d.Kind).Msg("reply not sent")
		return
	}
	_, _ = b.opts.Conn.WriteTo(raw, from) // the caller counts a lost reply as none
}
