package ledger

import (
	"time"

	"github.com/hibiscuscove/hibiscuscove/internal/peerrpc"
	"github.com/hibiscuscove/hibiscuscove/internal/verdict"
)

// State is what a caller is told of a key.
type State string

// The states of a key.
const (
	// StateNotFound means that no request with the key had been claimed.
	StateNotFound State = "not_found"
	// StateNotRun means that the request was refused before it was dispatched.
	StateNotRun State = "not_run"
	// StateRunning means that the request has been dispatched or is about to be.
	StateRunning State = "running"
	// StateRan means that the request ran and its outcome is recorded.
	StateRan State = "ran"
	// StateMayHaveRun means that nobody can tell any more.
	StateMayHaveRun State = "may_have_run"
)

func (s State) reason() string {
	switch s {
	case StateRunning:
		return "a request with this key is running; ask again for its outcome"
	case StateRan:
		return "the request has run already"
	case StateMayHaveRun:
		return "the request may have run and is never sent again"
	default:
		return "the request has not run"
	}
}

func (s State) retryAfter() time.Duration {
	if s == StateRunning || s == StateNotRun {
		return busyRetryAfter
	}
	return 0
}

// Record is what the ledger knows of a key.
type Record struct {
	State   State           `json:"state"`
	Verdict verdict.Verdict `json:"verdict"`
	At      time.Time       `json:"at,omitzero"`
	// Status, ContentType and Body are the recorded answer of a request that ran.
	Status      int    `json:"status,omitempty"`
	ContentType string `json:"content_type,omitempty"`
	Body        []byte `json:"-"`
	// BodyDropped says that the answer was too large to be kept.
	BodyDropped bool `json:"body_dropped,omitempty"`
}

// record turns an entry into what a caller is told. A claim whose holder is
// gone, or whose deadline has long passed, may have run.
func (l *Ledger) record(now time.Time, e *peerrpc.Entry) Record {
	if e == nil {
		return Record{State: StateNotFound, Verdict: verdict.NotRun}
	}
	r := Record{At: time.UnixMilli(e.GetAtUnixMs()).UTC()}
	switch e.GetState() {
	case peerrpc.EntryState_ENTRY_STATE_RELEASED:
		r.State = StateNotRun
		r.Verdict = verdict.NotRun
	case peerrpc.EntryState_ENTRY_STATE_RAN:
		r.State = StateRan
		r.Verdict = verdict.Ran
	case peerrpc.EntryState_ENTRY_STATE_CLAIMED:
		r.State = l.claimState(now, e)
		r.Verdict = verdict.MayHaveRun
	default:
		r.State = StateMayHaveRun
		r.Verdict = verdict.MayHaveRun
	}
	if a := e.GetAnswer(); a != nil {
		r.Status = int(a.GetStatus())
		r.ContentType = a.GetContentType()
		r.Body = a.GetBody()
		r.BodyDropped = a.GetBodyDropped()
	}
	return r
}

func (l *Ledger) claimState(now time.Time, e *peerrpc.Entry) State {
	if now.UnixMilli() > e.GetDeadlineUnixMs()+MaxClockSkew.Milliseconds() {
		return StateMayHaveRun
	}
	mine := e.GetHolder() == l.opts.Holder && e.GetHolderIncarnation() == l.opts.Incarnation
	if mine || l.opts.Peers == nil || l.opts.Peers.Live(e.GetHolder(), e.GetHolderIncarnation()) {
		return StateRunning
	}
	return StateMayHaveRun
}
