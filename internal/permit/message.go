package permit

import "time"

const (
	// Shards is the number of groups of upstreams. Each group has an issuer of its own.
	Shards = 4
	// shareTTL is how long an issuer counts a share after the stamp that was sent back.
	shareTTL = 2 * time.Second
)

// Stamp is a time by the clock of one process that issues permits. The zero value is
// no stamp.
type Stamp struct {
	Process int64 `json:"process" cbor:"1,keyasint"`
	// MS is in milliseconds since the start of the process.
	MS int64 `json:"ms" cbor:"2,keyasint"`
}

// Request delegates a VM's share of a shard to an issuer, and may ask for a permit.
type Request struct {
	VM    string `json:"vm"`
	Shard int    `json:"shard"`
	// FleetSize is the number of VMs that the sender knows, itself included.
	FleetSize int `json:"fleet_size"`
	// Stamp is the last one that the issuer sent to this VM.
	Stamp Stamp `json:"stamp"`
	// Withdraw takes the share back.
	Withdraw bool `json:"withdraw,omitempty"`
	// Want is nil if no permit is needed.
	Want *Want `json:"want,omitempty"`
}

// Want describes the request for which a permit is needed.
type Want struct {
	// Limit is what the VM knows of the upstream's limit.
	Limit        Report `json:"limit"`
	Organisation string `json:"organisation,omitempty"`
	// Priority is 0 for the most urgent requests.
	Priority int `json:"priority"`
	// Retry is set if the request has been sent to an upstream before.
	Retry bool `json:"retry,omitempty"`
	// Trial is set if the request is only to find out whether the limit has ended.
	Trial bool `json:"trial,omitempty"`
}

// Response is an issuer's response to a Request.
type Response struct {
	Stamp Stamp `json:"stamp"`
	// Withdrawn is set if the issuer does not count the VM's share, and won't with the
	// stamps it has given so far.
	Withdrawn bool  `json:"withdrawn,omitempty"`
	Grant     Grant `json:"grant"`
	// Limit is what the issuer knows of the limit, nil without a Want.
	Limit *Report `json:"limit,omitempty"`
}

// Grant is the decision on a Want.
type Grant struct {
	Granted bool `json:"granted"`
	// RetryAfterMS is when room for this request is expected, in milliseconds.
	RetryAfterMS int64 `json:"retry_after_ms,omitempty"`
	// HoldMS is for how long nobody gets a permit, in milliseconds. It may be shorter:
	// then the room that is left is for requests that go before this one.
	HoldMS int64 `json:"hold_ms,omitempty"`
}

// RetryAfter returns RetryAfterMS as a duration.
func (g Grant) RetryAfter() time.Duration { return time.Duration(g.RetryAfterMS) * time.Millisecond }
