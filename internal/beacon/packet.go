package beacon

import (
	"errors"
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"github.com/hibiscuscove/hibiscuscove/internal/lineage"
)

// maxDatagram is the maximum size in bytes of a received datagram.
const maxDatagram = 16 << 10

// Pack encodes a message as a datagram. It uses CBOR with integer keys, which
// takes less than half of JSON's size and a third of its time to decode.
func Pack(m Message) ([]byte, error) {
	if m.FactsFrom != "" {
		return packFacts(m)
	}
	raw, err := cbor.Marshal(m)
	if err != nil {
		return nil, fmt.Errorf("beacon: pack: %w", err)
	}
	return raw, nil
}

// factsMessage is a Message that carries only facts or addresses.
type factsMessage struct {
	Peers     []string       `cbor:"21,keyasint,omitempty"`
	Streams   []lineage.Fact `cbor:"26,keyasint"`
	FactsFrom string         `cbor:"27,keyasint"`
}

// packFacts encodes a message with FactsFrom. It leaves out all other fields, also those
// that are not omitted when they are empty.
func packFacts(m Message) ([]byte, error) {
	raw, err := cbor.Marshal(factsMessage{m.Peers, m.Streams, m.FactsFrom})
	if err != nil {
		return nil, fmt.Errorf("beacon: pack: %w", err)
	}
	return raw, nil
}

var errNoName = errors.New("beacon: unpack: the message has no name")

// Unpack decodes the message of a datagram.
func Unpack(datagram []byte) (Message, error) {
	var m Message
	if err := cbor.Unmarshal(datagram, &m); err != nil {
		return Message{}, fmt.Errorf("beacon: unpack: %w", err)
	}
	if m.Direct != nil {
		if m.Direct.From == "" {
			return Message{}, errNoName
		}
		return Message{Name: m.Direct.From, Direct: m.Direct}, nil
	}
	if m.FactsFrom != "" {
		return Message{Name: m.FactsFrom, FactsFrom: m.FactsFrom, Peers: m.Peers, Streams: m.Streams}, nil
	}
	if m.Name == "" {
		return Message{}, errNoName
	}
	return m, nil
}
