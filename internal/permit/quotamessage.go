package permit

import (
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/hibiscuscove/hibiscuscove/internal/quota"
	"github.com/hibiscuscove/hibiscuscove/internal/registry"
)

// QuotaRequest delegates a VM's share of a shard of organisations to an issuer, and may
// ask for a part of a quota. Its CBOR keys are part of the protocol between VMs.
type QuotaRequest struct {
	Shard     int   `cbor:"1,keyasint"`
	FleetSize int   `cbor:"2,keyasint"`
	Stamp     Stamp `cbor:"3,keyasint"`
	// TTLMS is how long the share counts after Stamp, in milliseconds.
	TTLMS    int64     `cbor:"4,keyasint"`
	Withdraw bool      `cbor:"5,keyasint,omitempty"`
	Ask      *QuotaAsk `cbor:"6,keyasint,omitempty"`
}

// QuotaAsk asks for a part of an organisation's quota.
type QuotaAsk struct {
	// ID is the same if the request is repeated because no reply has come.
	ID           uint64 `cbor:"1,keyasint"`
	Organisation string `cbor:"2,keyasint"`
	Units        uint64 `cbor:"3,keyasint"`
	// Advance is what the VM expects to need soon in addition.
	Advance uint64 `cbor:"4,keyasint,omitempty"`
	// Owed is what the VM has granted by itself while its share counted at an issuer.
	Owed uint64 `cbor:"5,keyasint,omitempty"`
	// The limit is that of the sender's configuration, which has this era and revision.
	Era         uint64 `cbor:"6,keyasint,omitempty"`
	Revision    uint64 `cbor:"7,keyasint"`
	Rate        uint64 `cbor:"8,keyasint"`
	Burst       uint64 `cbor:"9,keyasint"`
	Tokens      bool   `cbor:"10,keyasint,omitempty"`
	PlainTokens uint64 `cbor:"11,keyasint,omitempty"`
}

// limit returns the limit and the position of its configuration.
func (q *QuotaAsk) limit() (quota.Limit, registry.Position) {
	return quota.Limit{Rate: q.Rate, Burst: q.Burst, Tokens: q.Tokens, PlainTokens: q.PlainTokens},
		registry.Position{Era: q.Era, Revision: q.Revision}
}

// QuotaResponse is an issuer's response to a QuotaRequest.
type QuotaResponse struct {
	Stamp Stamp `cbor:"1,keyasint"`
	// Withdrawn is set if the issuer does not count the VM's share, and won't with the
	// stamps it has given so far.
	Withdrawn bool `cbor:"2,keyasint,omitempty"`
	// Granted is set if the request may be sent. Advance units are granted in addition.
	Granted bool   `cbor:"3,keyasint,omitempty"`
	Advance uint64 `cbor:"4,keyasint,omitempty"`
	// RetryAfterMS and WaitMS are those of quota.Decision, in milliseconds.
	RetryAfterMS int64 `cbor:"5,keyasint,omitempty"`
	WaitMS       int64 `cbor:"6,keyasint,omitempty"`
	// Undecided is set if no share counts at the issuer, so that it can't decide.
	Undecided bool `cbor:"7,keyasint,omitempty"`
	// Lifted is set if the organisation has no limit in the issuer's configuration, which
	// is newer than the VM's.
	Lifted bool `cbor:"8,keyasint,omitempty"`
}

// QuotaReturn gives parts of quotas back to the issuer that granted them.
type QuotaReturn struct {
	ID uint64 `cbor:"1,keyasint"`
	// Process is that of the issuer's stamps.
	Process int64           `cbor:"2,keyasint,omitempty"`
	Units   []ReturnedUnits `cbor:"3,keyasint,omitempty"`
	// Cancelled is the ID of a QuotaAsk to which no reply has come, or 0.
	Cancelled uint64 `cbor:"4,keyasint,omitempty"`
}

// ReturnedUnits is what is given back for one organisation.
type ReturnedUnits struct {
	_            struct{} `cbor:",toarray"`
	Organisation string
	Units        uint64
}

// Encode returns the message as CBOR.
func (q QuotaRequest) Encode() ([]byte, error) { return encode(q) }

// Encode returns the message as CBOR.
func (r QuotaResponse) Encode() ([]byte, error) { return encode(r) }

// Encode returns the message as CBOR.
func (r QuotaReturn) Encode() ([]byte, error) { return encode(r) }

func encode(message any) ([]byte, error) {
	raw, err := cbor.Marshal(message)
	if err != nil {
		return nil, fmt.Errorf("permit: encode: %w", err)
	}
	return raw, nil
}

// DecodeQuota decodes a QuotaRequest, a QuotaResponse or a QuotaReturn.
func DecodeQuota[T QuotaRequest | QuotaResponse | QuotaReturn](raw []byte) (message T, err error) {
	if err := cbor.Unmarshal(raw, &message); err != nil {
		return message, fmt.Errorf("permit: decode: %w", err)
	}
	return message, nil
}

// QuotaShards is the number of groups of organisations. Each group has an issuer of its
// own.
const QuotaShards = 8

const (
	// quotaTTL is how long an issuer counts a share of quotas after the stamp. It is
	// shorter than shareTTL, since requests of all organisations depend on the issuer.
	quotaTTL = 1200 * time.Millisecond
	// In fleets of more than largeFleet VMs shares count for largeQuotaTTL, so that
	// renewals take an issuer less processor time: at 910 VMs 1,140 calls a second
	// in place of 2,280.
	largeFleet    = 200
	largeQuotaTTL = 2400 * time.Millisecond
	// maxQuotaTTL limits what a VM may ask for.
	maxQuotaTTL = 5 * time.Second
	// renewalsPerTTL is the number of renewals in the lifetime of a share: two of them may
	// be lost.
	renewalsPerTTL = 3
)

func quotaTTLOf(fleetSize int) time.Duration {
	if fleetSize > largeFleet {
		return largeQuotaTTL
	}
	return quotaTTL
}
