package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
)

// fingerprintBytes is the length of a fingerprint before hex encoding; 128 bits make accidental collisions negligible.
const fingerprintBytes = 16

// Fingerprint identifies a request content on a route within its workspace.
// Each part is preceded by its length, so that no two workspaces can produce the same input to the hash.
func Fingerprint(workspace, route string, body []byte) string {
	h := sha256.New()
	for _, part := range [][]byte{[]byte(workspace), []byte(route), body} {
		var length [8]byte
		binary.BigEndian.PutUint64(length[:], uint64(len(part)))
		h.Write(length[:])
		h.Write(part)
	}
	return hex.EncodeToString(h.Sum(nil)[:fingerprintBytes])
}
