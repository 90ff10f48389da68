package idempotency

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"net/url"
)

// rowPrefix begins the keys of all claim rows.
const rowPrefix = "idem/"

// anonymousWorkspace stands for callers without a key. The sign cannot occur in an escaped workspace name.
const anonymousWorkspace = "@open"

// RowKey returns the row of an idempotency key. Keys of different workspaces never share a row.
func RowKey(workspace, key string) string {
	name := anonymousWorkspace
	if workspace != "" {
		name = url.QueryEscape(workspace)
	}
	sum := sha256.Sum256([]byte(key))
	return rowPrefix + name + "/" + hex.EncodeToString(sum[:])
}

// ContentHash identifies a request. Each part is preceded by its length, so that parts cannot run into each other.
func ContentHash(method, target string, body []byte) string {
	h := sha256.New()
	for _, part := range [][]byte{[]byte(method), []byte(target), body} {
		h.Write(binary.BigEndian.AppendUint64(nil, uint64(len(part))))
		h.Write(part)
	}
	return hex.EncodeToString(h.Sum(nil))
}
