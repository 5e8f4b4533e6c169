package lineage

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"
)

const (
	// copies is the number of other VMs that are told of a stream.
	copies = 4
	// maxAsked is the number of VMs asked for a stream: one may have joined since.
	maxAsked = copies + 1
	// askTimeout limits how long the answers are waited for.
	askTimeout = 100 * time.Millisecond
	// maxQuestions limits the streams for which other VMs are being asked.
	maxQuestions = 64
	// maxServices limits the services of a question.
	maxServices = 8
	// tickInterval is the interval of Run.
	tickInterval = 200 * time.Millisecond
	// repeatDelay is the time to the second announcement of a stream, and
	// announceInterval between further ones while it is open.
	repeatDelay      = tickInterval / 2
	announceInterval = time.Second
	// peersTTL is how long a list of peers is used.
	peersTTL = 100 * time.Millisecond
	// maxMessageBytes limits the texts of one message, so that it fits into an Ethernet
	// frame, and maxMessages the messages to one VM in a tick.
	maxMessageBytes  = 1_000
	factOverhead     = 16
	maxMessages      = 32
	maxQueuedStreams = maxFacts
)

// Peer is another VM that runs and is not about to stop. Incarnation changes with each
// start of the VM.
type Peer struct {
	Name        string
	Incarnation int64
}

// AgentOptions configures an Agent. All fields but AwakeNow and Log are required.
type AgentOptions struct {
	// Now returns the current time.
	Now func() time.Time
	// AwakeNow, if it is set, returns the current time of a clock that does not stand
	// still while the VM is suspended, when it sees nothing of what other VMs do.
	AwakeNow func() time.Time
	// Peers returns the other VMs, ordered by name.
	Peers func(now time.Time) []Peer
	// Ask sends a question to another VM.
	Ask func(ctx context.Context, vm string, q Question) (Answer, error)
	// Send sends facts to another VM, which passes them to Learn. It must not block.
	Send func(vm string, facts []Fact)
	Log  zerolog.Logger
}

// Agent is this VM's part in the knowledge of streams. It implements Streams.
type Agent struct {
	opts AgentOptions

	mu      sync.Mutex
	tracker *Tracker
	history *History
	// peers are the other VMs as of peersAt, and toldPeers those that have been told
	// of the streams for which they come first.
	peers, toldPeers []rankedPeer
	peersAt          time.Time
	expiredAt        time.Time
	// queue holds the streams that are still to be told to each VM, by the hash of its
	// name.
	queue map[uint64][]Stream
	// questions counts the streams for which other VMs are being asked.
	questions int
	counts    Counts
}

// Counts are what an Agent has done since it was started.
type Counts struct {
	// Announced counts the facts sent, in Messages messages, and Learned the facts from
	// other VMs that were new.
	Announced, Messages, Learned int64
	// Dropped counts the streams that there was no room for, and Conflicts those for
	// which VMs named different builds.
	Dropped, Conflicts int64
	// Questions counts the questions of other VMs.
	Questions int64
}

// Status is the state of an Agent, for the VM's state dump.
type Status struct {
	Streams int               `json:"streams"`
	Open    int               `json:"open"`
	Counts  Counts            `json:"counts"`
	Builds  map[string]Served `json:"builds"`
	Peers   int               `json:"peers"`
	Queued  int               `json:"queued"`
}

// NewAgent returns an Agent.
func NewAgent(opts AgentOptions) *Agent {
	return &Agent{opts: opts, tracker: NewTracker(), history: NewHistory(), queue: make(map[uint64][]Stream)}
}

// Run announces open streams and expires old ones until ctx ends.
func (a *Agent) Run(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			a.Tick(a.opts.Now())
		}
	}
}

// Tick announces the open streams that are due, and tells VMs that now come first for
// a stream. Run calls it every tickInterval.
func (a *Agent) Tick(now time.Time) {
	peers := newRankedPeers(a.opts.Peers(now))
	a.mu.Lock()
	if now.Sub(a.expiredAt) >= announceInterval {
		a.expiredAt = now
		a.tracker.Expire(now)
	}
	a.peers, a.peersAt = peers, now
	a.tellNewcomers(now, peers)
	for _, s := range a.tracker.due(now) {
		a.enqueue(s, a.tracker.entries[s].first)
	}
	messages := a.nextMessages(now)
	a.mu.Unlock()
	a.send(messages)
}

// tellNewcomers queues each stream for the VMs that come first for it now and did not
// before. The caller holds the lock.
func (a *Agent) tellNewcomers(now time.Time, peers []rankedPeer) {
	added, removed := difference(a.toldPeers, peers)
	a.toldPeers = peers
	if len(added)+len(removed) == 0 {
		return
	}
	changed := make(map[Stream]ranking)
	for s, e := range a.tracker.entries {
		if e.expired(now) || !e.first.affected(e.key, added, removed) {
			continue
		}
		before := e.first
		e.first = rank(e.key, peers)
		newcomers := e.first
		for i, hash := range newcomers {
			if before.contains(hash) && !slices.Contains(added, hash) {
				newcomers[i] = 0
			}
		}
		changed[s] = newcomers
	}
	for _, s := range slices.SortedFunc(maps.Keys(changed), a.tracker.byAge) {
		a.enqueue(s, changed[s])
	}
}

// HandOver queues all streams for the VMs that come first for them. It is called when
// this VM begins to stop; Run must go on for a while.
func (a *Agent) HandOver(now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.tellNewcomers(now, a.currentPeers(now))
	for _, s := range slices.SortedFunc(maps.Keys(a.tracker.entries), a.tracker.byAge) {
		a.enqueue(s, a.tracker.entries[s].first)
	}
}

// enqueue queues a stream for VMs. The caller holds the lock.
func (a *Agent) enqueue(s Stream, vms ranking) {
	for _, hash := range vms {
		switch {
		case hash == 0:
		case len(a.queue[hash]) >= maxQueuedStreams:
			a.counts.Dropped++
		default:
			a.queue[hash] = append(a.queue[hash], s)
		}
	}
}

// message is a message to a VM.
type message struct {
	vm    string
	facts []Fact
}

// nextMessages takes the next messages from the queues. The caller holds the lock.
func (a *Agent) nextMessages(now time.Time) []message {
	var messages []message
	names := make(map[uint64]string, len(a.peers))
	for _, p := range a.peers {
		names[p.hash] = p.Name
	}
	for vm, queue := range a.queue {
		if names[vm] == "" {
			delete(a.queue, vm)
			continue
		}
		for n := 0; n < maxMessages && len(queue) > 0; n++ {
			m := message{vm: names[vm]}
			size := 0
			for len(queue) > 0 && size < maxMessageBytes {
				if f, known := a.tracker.Lookup(now, queue[0]); known {
					m.facts = append(m.facts, f)
					size += f.size() + len(f.Build) + factOverhead
				}
				queue = queue[1:]
			}
			if len(m.facts) > 0 {
				messages = append(messages, m)
			}
		}
		if len(queue) == 0 {
			delete(a.queue, vm)
		} else {
			a.queue[vm] = queue
		}
	}
	return messages
}

func (a *Agent) send(messages []message) {
	facts := 0
	for _, m := range messages {
		a.opts.Send(m.vm, m.facts)
		facts += len(m.facts)
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.counts.Messages += int64(len(messages))
	a.counts.Announced += int64(facts)
}

// currentPeers returns the other VMs. The caller holds the lock.
func (a *Agent) currentPeers(now time.Time) []rankedPeer {
	if now.Sub(a.peersAt) >= peersTTL || a.peersAt.IsZero() {
		a.peers, a.peersAt = newRankedPeers(a.opts.Peers(now)), now
	}
	return a.peers
}

// Begin implements Streams.
func (a *Agent) Begin(now time.Time, s Stream, build string) {
	f := Fact{Stream: s, Build: build}
	if !f.usable() {
		return
	}
	a.mu.Lock()
	before, known := a.tracker.Lookup(now, s)
	if a.tracker.Open(now, s, build) {
		a.rankNew(s)
	} else {
		a.counts.Dropped++
	}
	if known && before.Build != build {
		a.recordConflict(before, build)
		f.Build = ""
	}
	first := firstPeers(s.key(), a.currentPeers(now), copies)
	a.mu.Unlock()
	messages := make([]message, len(first))
	for i, p := range first {
		messages[i] = message{p.Name, []Fact{f}}
	}
	a.send(messages)
}

// End implements Streams.
func (a *Agent) End(now time.Time, s Stream) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.tracker.Close(now, s)
}

// Learn records facts of another VM.
func (a *Agent) Learn(now time.Time, facts []Fact) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, f := range facts {
		a.learn(now, f)
	}
}

func (a *Agent) learn(now time.Time, f Fact) {
	before, known := a.tracker.Lookup(now, f.Stream)
	if !a.tracker.Merge(now, f) {
		return
	}
	a.counts.Learned++
	a.rankNew(f.Stream)
	if known && before.Build != "" {
		a.recordConflict(before, f.Build)
	}
}

// rankNew sets which VMs come first for a stream that has just been recorded. The caller
// holds the lock.
func (a *Agent) rankNew(s Stream) {
	if e := a.tracker.entries[s]; e.first == (ranking{}) {
		e.first = rank(e.key, a.toldPeers)
	}
}

// recordConflict records that two builds were named for a stream. The caller holds the
// lock.
func (a *Agent) recordConflict(f Fact, build string) {
	a.counts.Conflicts++
	a.opts.Log.Warn().Str("stream", f.ID).Str("service", f.Service).Str("build", f.Build).Str("other", build).Msg("builds of a stream differ")
}

// awake returns the present time for the history.
func (a *Agent) awake(now time.Time) time.Time {
	if a.opts.AwakeNow == nil {
		return now
	}
	return a.opts.AwakeNow()
}

// UpdateBuilds records which builds serve; see History.Update.
func (a *Agent) UpdateBuilds(now time.Time, serving map[string][]string, complete bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.history.Update(a.awake(now), serving, complete)
}

// Handle answers a question of another VM.
func (a *Agent) Handle(now time.Time, q Question) Answer {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.counts.Questions++
	return a.answer(now, q)
}

// answer returns what this VM knows. The caller holds the lock.
func (a *Agent) answer(now time.Time, q Question) Answer {
	var out Answer
	for _, service := range q.Services[:min(maxServices, len(q.Services))] {
		if f, known := a.tracker.Lookup(now, Stream{q.Stream, q.Organisation, service}); known {
			out.Facts = append(out.Facts, f)
		}
		out.Served = append(out.Served, a.history.Served(a.awake(now), service, time.Duration(q.LifeMS)*time.Millisecond))
	}
	return out
}

// Resolve implements Streams.
func (a *Agent) Resolve(ctx context.Context, now time.Time, q Query) Resolution {
	if !q.Begun && q.Stream == "" {
		return Resolution{Action: Any, Source: FromNone}
	}
	if q.Life <= 0 || q.Life > MaxLife {
		q.Life = MaxLife
	}
	question := Question{Stream: q.Stream, Organisation: q.Organisation, Services: q.Services, LifeMS: q.Life.Milliseconds()}
	a.mu.Lock()
	own := a.answer(now, question)
	first := firstPeers(Stream{ID: q.Stream, Organisation: q.Organisation}.key(), a.currentPeers(now), maxAsked)
	if a.questions >= maxQuestions {
		first = nil
	}
	a.mu.Unlock()
	if r, found := fromFacts(q, own.Facts, FromLocal); found {
		return r
	}
	answers := a.ask(ctx, first, question)
	served := own.Served[:min(1, len(own.Served))]
	answered := 0
	for r := range answers {
		if r.err != nil {
			continue
		}
		answered++
		if resolution, found := fromFacts(q, r.Facts, FromPeer); found {
			a.Learn(a.opts.Now(), r.Facts)
			resolution.Peer, resolution.Asked, resolution.Answered = r.vm, len(first), answered
			return resolution
		}
		if len(r.Served) > 0 {
			served = append(served, r.Served[0])
		}
	}
	return fromHistory(q, served, len(first), answered)
}

// response is the answer of a VM.
type response struct {
	Answer
	vm  string
	err error
}

// ask asks VMs and returns their answers as they come, then closes the channel.
func (a *Agent) ask(ctx context.Context, vms []rankedPeer, q Question) <-chan response {
	answers := make(chan response, len(vms))
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	a.mu.Lock()
	a.questions++
	a.mu.Unlock()
	var wg sync.WaitGroup
	for _, p := range vms {
		wg.Go(func() {
			answer, err := a.opts.Ask(ctx, p.Name, q)
			answers <- response{answer, p.Name, err}
		})
	}
	go func() {
		wg.Wait()
		cancel()
		a.mu.Lock()
		a.questions--
		a.mu.Unlock()
		close(answers)
	}()
	return answers
}

// Status returns the present state.
func (a *Agent) Status(now time.Time) Status {
	a.mu.Lock()
	defer a.mu.Unlock()
	s := Status{Streams: a.tracker.Len(), Counts: a.counts, Builds: make(map[string]Served), Peers: len(a.peers)}
	for _, e := range a.tracker.entries {
		if e.open > 0 {
			s.Open++
		}
	}
	for service := range a.history.servedAt {
		s.Builds[service] = a.history.Served(a.awake(now), service, MaxLife)
	}
	for _, queue := range a.queue {
		s.Queued += len(queue)
	}
	return s
}
