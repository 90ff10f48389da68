package callproof

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"strconv"
)

// Headers that carry the nonce of a request and the proof of a request or response.
const (
	HeaderNonce = "X-Radishshelf-Nonce"
	HeaderProof = "X-Radishshelf-Proof"
)

const (
	nonceBytes = 16
	// maxNonceBytes is the maximum size of a received nonce.
	maxNonceBytes = 64
)

// The direction is part of the HMAC input, so that the proof of a request is not valid as the proof of a response.
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

// proof returns the HMAC of the parts. Each part is preceded by its length, so that different lists of parts cannot
// produce the same input.
func proof(credential string, parts ...[]byte) string {
	h := hmac.New(sha256.New, []byte(credential))
	for _, part := range parts {
		h.Write(binary.BigEndian.AppendUint64(nil, uint64(len(part))))
		h.Write(part)
	}
	return hex.EncodeToString(h.Sum(nil))
}

func equal(got, want string) bool { return hmac.Equal([]byte(got), []byte(want)) }
