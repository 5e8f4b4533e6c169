package beacon

import (
	"maps"
	"slices"

	"github.com/fxamacker/cbor/v2"
)

// listOverhead is what the key and the head of a list take in a message, at most.
const listOverhead = 12

// Fit encodes a message as a datagram that every VM accepts. If it is too long, lists are
// cut: first the prompts sent, then other estimates, and last what VMs must know of leases,
// versions and upstreams that leave. What is left out differs from one sequence number to
// the next, so that each entry has its turn. It returns the number of entries left out.
func Fit(m Message) (raw []byte, cut int, err error) {
	raw, err = Pack(m)
	if err != nil || len(raw) <= maxDatagram {
		return raw, 0, err
	}
	short := m
	short.Desired, short.DesiredUncertain, short.UpstreamsLeaving, short.Watchers, short.Ejections, short.Limits = nil, nil, nil, nil, nil, nil
	short.Updated, short.Changing, short.Loading, short.Suspected, short.SuspectReports = nil, nil, nil, nil, nil
	short.Loads, short.Avoided, short.Peers, short.Capacity, short.Sent = nil, nil, nil, nil, nil
	raw, err = Pack(short)
	if err != nil {
		return nil, 0, err
	}
	f := fitting{room: maxDatagram - len(raw), turn: m.Sequence}
	short.Desired = fill(&f, m.Desired)
	short.DesiredUncertain = fill(&f, m.DesiredUncertain)
	short.UpstreamsLeaving = fill(&f, m.UpstreamsLeaving)
	short.Watchers = fill(&f, m.Watchers)
	short.Ejections = fill(&f, m.Ejections)
	short.Limits = fill(&f, m.Limits)
	short.Updated = fill(&f, m.Updated)
	short.Changing = fill(&f, m.Changing)
	short.Loading = fill(&f, m.Loading)
	short.Suspected = fill(&f, m.Suspected)
	short.SuspectReports = fill(&f, m.SuspectReports)
	short.Loads = f.fillLoads(m.Loads)
	short.Avoided = fill(&f, m.Avoided)
	short.Peers = fill(&f, m.Peers)
	if m.Capacity != nil && len(fill(&f, []any{m.Capacity})) > 0 {
		short.Capacity = m.Capacity
	}
	short.Sent = fill(&f, m.Sent)
	raw, err = Pack(short)
	return raw, f.cut, err
}

// fitting is the state of cutting a message.
type fitting struct {
	// room is the number of bytes that are left.
	room int
	// turn decides where lists begin that are cut.
	turn uint64
	// cut is the number of entries left out.
	cut int
}

// fill returns the entries of a list for which there is room.
func fill[T any](f *fitting, list []T) []T {
	if len(list) == 0 {
		return nil
	}
	f.room -= listOverhead
	sizes, total := make([]int, len(list)), 0
	for i, entry := range list {
		raw, err := cbor.Marshal(entry)
		if err != nil {
			raw = make([]byte, maxDatagram) // never sent
		}
		sizes[i] = len(raw)
		total += len(raw)
	}
	if total <= f.room {
		f.room -= total
		return list
	}
	var kept []T
	first := int(f.turn % uint64(len(list)))
	for n := range list {
		i := (first + n) % len(list)
		if sizes[i] > f.room {
			f.cut++
			continue
		}
		f.room -= sizes[i]
		kept = append(kept, list[i])
	}
	return kept
}

// fillLoads is fill for Message.Loads.
func (f *fitting) fillLoads(loads map[string][3]int) map[string][3]int {
	type load struct {
		_    struct{} `cbor:",toarray"`
		ID   string
		Load [3]int
	}
	var list []load
	for _, id := range slices.Sorted(maps.Keys(loads)) {
		list = append(list, load{ID: id, Load: loads[id]})
	}
	kept := make(map[string][3]int)
	for _, l := range fill(f, list) {
		kept[l.ID] = l.Load
	}
	return kept
}
