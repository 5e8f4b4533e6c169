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

// MaxClockSkew is how far clocks of callers and nodes may be apart.
const MaxClockSkew = 5 * time.Minute

const uuidVersion7 = 7

// Key names one request of one organisation.
type Key struct {
	Organisation string
	Key          string
}

// ParseKey checks an Idempotency-Key. It must be a UUID of version 7 (RFC 9562),
// whose time says whether the ledger still covers it: a key older than the
// retention is refused for good, because nobody can tell any more whether its
// request ran.
func ParseKey(now time.Time, organisation, text string, retention time.Duration) (Key, error) {
	id, err := uuid.Parse(text)
	if err != nil || id.Version() != uuidVersion7 {
		return Key{}, verdict.New(verdict.NotRun, http.StatusBadRequest, "bad_idempotency_key",
			"want a UUID of version 7 (RFC 9562)").WithObject("header", "Idempotency-Key")
	}
	made := keyTime(id)
	if made.After(now.Add(MaxClockSkew)) {
		return Key{}, verdict.New(verdict.NotRun, http.StatusBadRequest, "idempotency_key_in_future",
			"the key's time lies in the future").WithObject("header", "Idempotency-Key")
	}
	if made.Add(retention).Before(now) {
		return Key{}, errExpired()
	}
	return Key{Organisation: organisation, Key: id.String()}, nil
}

func errExpired() error {
	return verdict.New(verdict.MayHaveRun, http.StatusConflict, "idempotency_key_expired",
		"the key is older than the ledger's retention and never runs again").WithObject("header", "Idempotency-Key")
}

func keyTime(id uuid.UUID) time.Time {
	sec, nsec := id.Time().UnixTime()
	return time.Unix(sec, nsec)
}

func (k Key) shard(shards uint32) uint32 {
	var size [8]byte
	binary.LittleEndian.PutUint64(size[:], uint64(len(k.Organisation)))
	h := xxhash.New()
	_, _ = h.Write(size[:])
	_, _ = h.WriteString(k.Organisation)
	_, _ = h.WriteString(k.Key)
	return uint32(h.Sum64() % uint64(shards))
}

func keyOf(e *peerrpc.Entry) Key {
	return Key{Organisation: e.GetOrganisation(), Key: e.GetKey()}
}
