package callproof

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"strconv"
)

// Headers of the proof, on the request and on the reply.
const (
	HeaderNonce = "X-Radishshelf-Nonce"
	HeaderProof = "X-Radishshelf-Proof"
)

const (
	nonceBytes = 16
	// maxNonceBytes bounds a nonce of another process.
	maxNonceBytes = 64
)

// Directions keep a request proof from being sent back as the proof of a reply.
const (
	directionRequest  = "request"
	directionResponse = "reply"
)

func newNonce() string {
	nonce := make([]byte, nonceBytes)
	_, _ = rand.Read(nonce) // never fails
	return hex.EncodeToString(nonce)
}

func requestProof(credential, nonce, method, path string, body []byte) string {
	return proof(credential, []byte(directionRequest), []byte(nonce), []byte(method), []byte(path), body)
}

func responseProof(credential, nonce string, status int, body []byte) string {
	return proof(credential, []byte(directionResponse), []byte(nonce), []byte(strconv.Itoa(status)), body)
}

// proof hashes the parts, each preceded by its length, so that parts cannot run into each other.
func proof(credential string, parts ...[]byte) string {
	h := hmac.New(sha256.New, []byte(credential))
	for _, part := range parts {
		h.Write(binary.BigEndian.AppendUint64(nil, uint64(len(part))))
		h.Write(part)
	}
	return hex.EncodeToString(h.Sum(nil))
}

func equal(got, want string) bool { return hmac.Equal([]byte(got), []byte(want)) }
