package capacity

import "time"

const (
	// reportTime is how long sums are reported after they have changed: a VM of a large
	// fleet hears those of other data centres every 2 s, and some beacons are lost.
	reportTime = 4 * time.Second
	// maxReports and maxReportBytes limit the reports in one beacon.
	maxReports     = 12
	maxReportBytes = 250
	// maxFirstSamples is the number of observations for which the first sums of a peer
	// count. They may be hours old.
	maxFirstSamples = 4
	// maxIncrease limits the observations that one report adds.
	maxIncrease = 4096
	// baselineTTL is how long the last sums of a peer are kept.
	baselineTTL = time.Minute
	// maxBaselines limits the memory for the sums of peers, to about 4 MB.
	maxBaselines = 40_000
	// expireInterval is the time between two looks for sums to forget.
	expireInterval = 2 * time.Second
)

// Reports are the sums of a VM's observations since it started, of those upstreams for
// which they have changed lately. Their CBOR keys are part of the protocol between VMs.
type Reports struct {
	Engines []EngineReport `json:"engines,omitempty" cbor:"1,keyasint,omitempty"`
	Plain   []PlainReport  `json:"plain,omitempty" cbor:"2,keyasint,omitempty"`
}

// EngineReport holds the sums of the events of one incarnation, which is named by a
// hash.
type EngineReport struct {
	_ struct{} `cbor:",toarray"`

	ID                            uint32
	Count, ExpectedMS, ObservedMS uint64
}

// PlainReport holds the sums of the responses of one incarnation of a plain upstream. Levels
// holds the number of responses and the sum of their times in milliseconds by the number of
// requests in flight, from one on.
type PlainReport struct {
	_ struct{} `cbor:",toarray"`

	ID     uint32
	Levels []LevelSums
}

// waitSums are a number of observations, and their summed expected and observed times in
// milliseconds.
type waitSums [3]uint64

func (s waitSums) plus(t waitSums) waitSums {
	return waitSums{s[0] + t[0], s[1] + t[1], s[2] + t[2]}
}

func (s waitSums) floats() sums { return sums{float64(s[0]), float64(s[1]), float64(s[2])} }

// LevelSums are a number of responses and their summed times in milliseconds.
type LevelSums [2]uint64

func (s LevelSums) plus(t LevelSums) LevelSums { return LevelSums{s[0] + t[0], s[1] + t[1]} }

// Empty reports whether there are no reports.
func (r Reports) Empty() bool { return len(r.Engines)+len(r.Plain) == 0 }

// Reports returns what the next beacon carries: sums that have changed lately, in turn. It
// returns nil if there are none.
func (b *Book) Reports(now time.Time) *Reports {
	b.mu.Lock()
	defer b.mu.Unlock()
	var r Reports
	size, start := 0, b.cursor
	for i := range b.entries {
		at := (start + i) % len(b.entries)
		e := b.entries[at]
		if e.changedAt.IsZero() || now.Sub(e.changedAt) > reportTime || b.byID[e.id] != e {
			continue
		}
		size += e.reportBytes()
		if len(r.Engines)+len(r.Plain) >= maxReports || !r.Empty() && size > maxReportBytes {
			break
		}
		b.cursor = (at + 1) % len(b.entries)
		if len(e.ownLevels) > 0 {
			r.Plain = append(r.Plain, PlainReport{ID: e.id, Levels: append([]LevelSums(nil), e.ownLevels...)})
		} else {
			r.Engines = append(r.Engines, EngineReport{ID: e.id, Count: e.own[0], ExpectedMS: e.own[1], ObservedMS: e.own[2]})
		}
	}
	if r.Empty() {
		return nil
	}
	return &r
}

// reportBytes returns the size of the entry's report in CBOR.
func (e *entry) reportBytes() int {
	const headAndID = 1 + 5
	size := headAndID
	if len(e.ownLevels) == 0 {
		for _, n := range e.own {
			size += numberBytes(n)
		}
		return size
	}
	size++
	for _, l := range e.ownLevels {
		size += 1 + numberBytes(l[0]) + numberBytes(l[1])
	}
	return size
}

// numberBytes returns the size of a number in CBOR.
func numberBytes(n uint64) int {
	switch {
	case n < 24:
		return 1
	case n < 1<<8:
		return 2
	case n < 1<<16:
		return 3
	case n < 1<<32:
		return 5
	}
	return 9
}

// peer holds the last sums received from a process of a peer.
type peer struct {
	process int64
	engines map[uint32]engineBaseline
	plain   map[uint32]plainBaseline
}

type engineBaseline struct {
	sums waitSums
	at   time.Time
}

type plainBaseline struct {
	levels []LevelSums
	at     time.Time
}

// Learn adds what the sums of a peer have grown by since the last ones of the same process,
// and returns the number of observations added. A nil r adds nothing.
func (b *Book) Learn(now time.Time, name string, process int64, r *Reports) int {
	if r == nil {
		return 0
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	p := b.peers[name]
	if p == nil || p.process != process {
		b.dropPeer(name)
		p = &peer{process: process, engines: make(map[uint32]engineBaseline), plain: make(map[uint32]plainBaseline)}
		b.peers[name] = p
	}
	added := 0.0
	for _, e := range r.Engines[:min(maxReports, len(r.Engines))] {
		added += b.learnEngine(now, p, e)
	}
	for _, e := range r.Plain[:min(maxReports, len(r.Plain))] {
		added += b.learnPlain(now, p, e)
	}
	return int(added)
}

func (b *Book) learnEngine(now time.Time, p *peer, r EngineReport) float64 {
	e := b.byID[r.ID]
	if e == nil || r.Count == 0 || r.ExpectedMS == 0 {
		return 0
	}
	current := waitSums{r.Count, r.ExpectedMS, r.ObservedMS}
	last, known := p.engines[r.ID]
	if !known {
		if b.baselines >= maxBaselines {
			return 0
		}
		b.baselines++
	}
	p.engines[r.ID] = engineBaseline{current, now}
	increase := current.floats().plus(last.sums.floats().times(-1))
	limit := float64(maxIncrease)
	if !known {
		limit = maxFirstSamples
	}
	if increase.n <= 0 || increase.expected <= 0 || increase.observed < 0 {
		return 0
	}
	if increase.n > limit {
		increase = increase.times(limit / increase.n)
	}
	// The peer may know another usual ratio.
	usual := maxRatio * maxRatio * b.usualRatio(e.upstream.Service)
	increase.observed = min(max(increase.observed, increase.expected/minRatioDivisor), increase.expected*usual)
	e.estimate.add(now, b.bucket(now), increase)
	return increase.n
}

func (b *Book) learnPlain(now time.Time, p *peer, r PlainReport) float64 {
	e := b.byID[r.ID]
	if e == nil || len(r.Levels) > maxLevels {
		return 0
	}
	last, known := p.plain[r.ID]
	if !known {
		if b.baselines >= maxBaselines {
			return 0
		}
		b.baselines++
	}
	p.plain[r.ID] = plainBaseline{r.Levels, now}
	limit := uint64(maxIncrease)
	if !known {
		limit = maxFirstSamples
	}
	added := 0.0
	for i, current := range r.Levels {
		var before LevelSums
		if i < len(last.levels) {
			before = last.levels[i]
		}
		if current[0] <= before[0] || current[1] < before[1] {
			continue
		}
		s := LevelSums{current[0] - before[0], current[1] - before[1]}
		if s[0] > limit {
			s = LevelSums{limit, s[1] / s[0] * limit}
		}
		s[1] = min(max(s[1], s[0]), s[0]*uint64(maxPlainTime.Milliseconds()))
		e.addLevel(now, b.bucket(now), i, s)
		added += float64(s[0])
	}
	return added
}

// dropPeer forgets the sums of a peer.
func (b *Book) dropPeer(name string) {
	if p := b.peers[name]; p != nil {
		b.baselines -= len(p.engines) + len(p.plain)
		delete(b.peers, name)
	}
}

// expirePeers forgets sums that are old or of upstreams that are gone.
func (b *Book) expirePeers(now time.Time) {
	if now.Sub(b.expiredAt) < expireInterval {
		return
	}
	b.expiredAt = now
	for name, p := range b.peers {
		for id, x := range p.engines {
			if b.byID[id] == nil || now.Sub(x.at) > baselineTTL {
				delete(p.engines, id)
				b.baselines--
			}
		}
		for id, x := range p.plain {
			if b.byID[id] == nil || now.Sub(x.at) > baselineTTL {
				delete(p.plain, id)
				b.baselines--
			}
		}
		if len(p.engines)+len(p.plain) == 0 {
			delete(b.peers, name)
		}
	}
}
