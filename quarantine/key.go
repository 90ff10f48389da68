package quarantine

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
)

// keyBytes is the length of a key, that of the hash.
const keyBytes = sha256.Size

// Key makes fingerprints from which the text of a request can't be found by trying likely ones. All processes that compare
// fingerprints need the same key.
type Key []byte

// NewKey returns a random key.
func NewKey() Key {
	key := make(Key, keyBytes)
	_, _ = rand.Read(key) // never fails, as its documentation says
	return key
}

// Fingerprint identifies a request within its workspace, as the function of the same name does.
func (k Key) Fingerprint(workspace, target string, body []byte) string {
	return hashRequest(hmac.New(sha256.New, k), workspace, target, body)
}
