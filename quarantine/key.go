package quarantine

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
)

// keyBytes is the length of a key, equal to that of the hash.
const keyBytes = sha256.Size

// Key computes keyed fingerprints, so that the content of a request cannot be recovered from its fingerprint by hashing
// likely contents. All processes that compare fingerprints need the same key.
type Key []byte

// NewKey returns a random key.
func NewKey() Key {
	key := make(Key, keyBytes)
	_, _ = rand.Read(key) // documented to never return an error
	return key
}

// Fingerprint is the keyed form of the package-level function Fingerprint.
func (k Key) Fingerprint(workspace, target string, body []byte) string {
	return hashRequest(hmac.New(sha256.New, k), workspace, target, body)
}
