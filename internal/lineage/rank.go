package lineage

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// rankedPeer is a Peer with the hash of its name, which is not 0.
type rankedPeer struct {
	Peer
	hash uint64
}

func newRankedPeers(peers []Peer) []rankedPeer {
	list := make([]rankedPeer, len(peers))
	for i, p := range peers {
		list[i] = rankedPeer{p, max(1, xxhash.Sum64String(p.Name))}
	}
	return list
}

// key returns the hash of a stream. The service does not count, since whoever takes the
// stream up may not know it.
func (s Stream) key() uint64 { return xxhash.Sum64String(s.Organisation + "/" + s.ID) }

// weight mixes the hashes of a stream and of a VM with the finalizer of SplitMix64.
func weight(key, vm uint64) uint64 {
	x := key ^ vm
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// firstPeers returns the first n peers for a stream by rendezvous hashing.
func firstPeers(key uint64, peers []rankedPeer, n int) []rankedPeer {
	first := make([]rankedPeer, 0, n+1)
	for _, p := range peers {
		w := weight(key, p.hash)
		i := len(first)
		for i > 0 && weight(key, first[i-1].hash) < w {
			i--
		}
		if i < n {
			first = slices.Insert(first, i, p)
			first = first[:min(n, len(first))]
		}
	}
	return first
}

// ranking holds the hashes of the VMs that are told of a stream, then zeros.
type ranking [copies]uint64

// rank returns the ranking of a stream.
func rank(key uint64, peers []rankedPeer) ranking {
	var r ranking
	for i, p := range firstPeers(key, peers, copies) {
		r[i] = p.hash
	}
	return r
}

func (r ranking) contains(hash uint64) bool { return slices.Contains(r[:], hash) }

// affected reports whether the ranking may change, or has a VM that has started again.
func (r ranking) affected(key uint64, added, removed []uint64) bool {
	if slices.ContainsFunc(removed, r.contains) {
		return true
	}
	last := r[copies-1]
	return slices.ContainsFunc(added, func(hash uint64) bool { return last == 0 || weight(key, hash) >= weight(key, last) })
}

// difference returns the hashes of the peers that are only in one of two lists. A VM
// that has started again is in both.
func difference(before, after []rankedPeer) (added, removed []uint64) {
	if slices.Equal(before, after) {
		return nil, nil
	}
	return only(after, before), only(before, after)
}

// only returns the hashes of the peers that are in list and not in other.
func only(list, other []rankedPeer) []uint64 {
	known := make(map[Peer]bool, len(other))
	for _, p := range other {
		known[p.Peer] = true
	}
	var hashes []uint64
	for _, p := range list {
		if !known[p.Peer] {
			hashes = append(hashes, p.hash)
		}
	}
	return hashes
}
