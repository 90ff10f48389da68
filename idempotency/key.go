package idempotency

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"net/url"
)

// rowPrefix is the key prefix of all claim rows.
const rowPrefix = "idem/"

// anonymousWorkspace replaces the workspace name for callers without an API key. The character '@' cannot occur in an
// escaped workspace name.
const anonymousWorkspace = "@open"

// RowKey returns the key of the claim row for an idempotency key. Keys of different workspaces never share a row.
func RowKey(workspace, key string) string {
	name := anonymousWorkspace
	if workspace != "" {
		name = url.QueryEscape(workspace)
	}
	sum := sha256.Sum256([]byte(key))
	return rowPrefix + name + "/" + hex.EncodeToString(sum[:])
}

// ContentHash returns a hash of method, target and body. Each part is preceded by its length, so that different
// requests cannot produce the same hash input.
func ContentHash(method, target string, body []byte) string {
	h := sha256.New()
	for _, part := range [][]byte{[]byte(method), []byte(target), body} {
		h.Write(binary.BigEndian.AppendUint64(nil, uint64(len(part))))
		h.Write(part)
	}
	return hex.EncodeToString(h.Sum(nil))
}
