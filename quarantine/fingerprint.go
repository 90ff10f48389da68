package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"hash"
)

// fingerprintBytes is the length of a fingerprint before hex encoding; 128 bits make accidental collisions negligible.
const fingerprintBytes = 16

// Fingerprint identifies a request within its workspace. target is the method and the path with the query; without it, all
// requests without a body on one route would have the same fingerprint.
func Fingerprint(workspace, target string, body []byte) string {
	return hashRequest(sha256.New(), workspace, target, body)
}

// hashRequest hashes the parts of a request. Each part is prefixed with its length, so that requests of different workspaces
// never produce the same hash input.
func hashRequest(h hash.Hash, workspace, target string, body []byte) string {
	for _, part := range [][]byte{[]byte(workspace), []byte(target), body} {
		var length [8]byte
		binary.BigEndian.PutUint64(length[:], uint64(len(part)))
		h.Write(length[:])
		h.Write(part)
	}
	return hex.EncodeToString(h.Sum(nil)[:fingerprintBytes])
}
