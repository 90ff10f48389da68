package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"hash"
)

// fingerprintBytes is the length of a fingerprint before hex encoding; 128 bits make accidental collisions negligible.
const fingerprintBytes = 16

// Fingerprint identifies a request within its workspace. target is the method and the path with query: requests
// without a body would otherwise all be the same on a route.
func Fingerprint(workspace, target string, body []byte) string {
	return hashRequest(sha256.New(), workspace, target, body)
}

// hashRequest hashes the parts of a request. Each part is preceded by its length, so that no two workspaces can produce the same
// input to the hash.
func hashRequest(h hash.Hash, workspace, target string, body []byte) string {
	for _, part := range [][]byte{[]byte(workspace), []byte(target), body} {
		var length [8]byte
		binary.BigEndian.PutUint64(length[:], uint64(len(part)))
		h.Write(length[:])
		h.Write(part)
	}
	return hex.EncodeToString(h.Sum(nil)[:fingerprintBytes])
}
