package suspect

import (
	"encoding/binary"
	"encoding/hex"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/hibiscuscove/hibiscuscove/internal/roster"
)

// partPrefix begins the fingerprints of prompt parts. Those of whole requests are hex
// digits.
const partPrefix = "part-"

// PartFingerprints returns the fingerprints of the shared parts of a prompt. They are
// unique to the organisation and the model, so that no organisation's requests count
// against the parts of another one.
func PartFingerprints(organisation, model string, shared []roster.Part) []string {
	if len(shared) == 0 {
		return nil
	}
	list := make([]string, len(shared))
	for i, p := range shared {
		list[i] = partFingerprint(organisation, model, p.ID)
	}
	return list
}

func partFingerprint(organisation, model, id string) string {
	h := xxhash.New()
	for _, text := range []string{organisation, model, id} {
		var size [8]byte
		binary.LittleEndian.PutUint64(size[:], uint64(len(text)))
		_, _ = h.Write(size[:])
		_, _ = h.WriteString(text)
	}
	return partPrefix + hex.EncodeToString(h.Sum(nil))
}

// isPart reports whether a fingerprint is that of a prompt part.
func isPart(fingerprint string) bool { return strings.HasPrefix(fingerprint, partPrefix) }
