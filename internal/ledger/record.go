package ledger

import (
	"time"

	"github.com/hibiscuscove/hibiscuscove/internal/peerrpc"
	"github.com/hibiscuscove/hibiscuscove/internal/verdict"
)

// State is the state of a key as reported to callers.
type State string

// The states of a key.
const (
	// StateNotFound means that the key has no record.
	StateNotFound State = "not_found"
	// StateNotRun means that the claim was released before the request was
	// dispatched.
	StateNotRun State = "not_run"
	// StateRunning means that the key is claimed and the request has been
	// dispatched or is about to be.
	StateRunning State = "running"
	// StateRan means that the request ran and its outcome is recorded.
	StateRan State = "ran"
	// StateMayHaveRun means that it is unknown whether the request ran.
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

// Record is the state of a key and the response of its request.
type Record struct {
	State   State           `json:"state"`
	Verdict verdict.Verdict `json:"verdict"`
	At      time.Time       `json:"at,omitzero"`
	// Status, ContentType and Body are the recorded response of the request.
	Status      int    `json:"status,omitempty"`
	ContentType string `json:"content_type,omitempty"`
	Body        []byte `json:"-"`
	// BodyDropped means that the body was too large to be recorded.
	BodyDropped bool `json:"body_dropped,omitempty"`
}

// toRecord converts an entry to a Record. A nil entry means that the key has no
// record.
func (l *Ledger) toRecord(now time.Time, e *peerrpc.Entry) Record {
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

// claimState returns the state of a claimed key. If the claim's deadline has
// passed by more than MaxClockSkew, or its holder is no longer live, the request
// may have run.
func (l *Ledger) claimState(now time.Time, e *peerrpc.Entry) State {
	if now.UnixMilli() > e.GetDeadlineUnixMs()+MaxClockSkew.Milliseconds() {
		return StateMayHaveRun
	}
	ownClaim := e.GetHolder() == l.opts.Holder && e.GetHolderIncarnation() == l.opts.Incarnation
	if ownClaim || l.opts.Peers == nil || l.opts.Peers.Live(e.GetHolder(), e.GetHolderIncarnation()) {
		return StateRunning
	}
	return StateMayHaveRun
}
