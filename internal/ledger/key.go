package ledger

import (
	"encoding/binary"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"

	"github.com/hibiscuscove/hibiscuscove/internal/peerrpc"
	"github.com/hibiscuscove/hibiscuscove/internal/verdict"
)

// MaxClockSkew is the maximum difference between the clocks of callers and nodes.
const MaxClockSkew = 5 * time.Minute

const uuidVersion7 = 7

const codeKeyExpired = "idempotency_key_expired"

// Key identifies one request of one organisation.
type Key struct {
	Organisation string
	Key          string
}

// ParseKey parses the value of an Idempotency-Key header. It must be a UUID of
// version 7 (RFC 9562), which contains its creation time. A key older than the
// retention is refused for good: its entry may have been removed, so it is
// unknown whether its request ran. A key from more than MaxClockSkew in the
// future is refused as well. Errors carry a verdict.
func ParseKey(now time.Time, organisation, text string, retention time.Duration) (Key, error) {
	id, err := uuid.Parse(text)
	if err != nil || id.Version() != uuidVersion7 {
		return Key{}, verdict.New(verdict.NotRun, http.StatusBadRequest, "bad_idempotency_key",
			"want a UUID of version 7 (RFC 9562)").WithObject("header", "Idempotency-Key")
	}
	created := creationTime(id)
	if created.After(now.Add(MaxClockSkew)) {
		return Key{}, verdict.New(verdict.NotRun, http.StatusBadRequest, "idempotency_key_in_future",
			"the key's time lies in the future").WithObject("header", "Idempotency-Key")
	}
	if created.Add(retention).Before(now) {
		return Key{}, expiredKeyError()
	}
	return Key{Organisation: organisation, Key: id.String()}, nil
}

// isExpiredKey reports whether an error of ParseKey means that the key is older than
// the retention.
func isExpiredKey(err error) bool {
	return err != nil && verdict.FromError(err).Code == codeKeyExpired
}

// expiredKeyError returns the error for a key that is older than the retention.
func expiredKeyError() error {
	return verdict.New(verdict.MayHaveRun, http.StatusConflict, codeKeyExpired,
		"the key is older than the ledger's retention and never runs again").WithObject("header", "Idempotency-Key")
}

// creationTime returns the creation time in a UUID of version 7.
func creationTime(id uuid.UUID) time.Time {
	sec, nsec := id.Time().UnixTime()
	return time.Unix(sec, nsec)
}

// shardIndex returns the index of the key's shard in a ledger of the given
// number of shards. The organisation's length is hashed first, so that the
// boundary between organisation and key is unambiguous.
func (k Key) shardIndex(shardCount uint32) uint32 {
	var length [8]byte
	binary.LittleEndian.PutUint64(length[:], uint64(len(k.Organisation)))
	h := xxhash.New()
	_, _ = h.Write(length[:])
	_, _ = h.WriteString(k.Organisation)
	_, _ = h.WriteString(k.Key)
	return uint32(h.Sum64() % uint64(shardCount))
}

func keyOf(e *peerrpc.Entry) Key {
	return Key{Organisation: e.GetOrganisation(), Key: e.GetKey()}
}
