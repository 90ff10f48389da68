// Package callproof lets own processes prove to each other that they hold the fleet's shared credential, without
// sending it. The caller sends a random nonce and a keyed hash (HMAC-SHA-256) over nonce, method, path and body; the
// reply carries a keyed hash over the same nonce, the status and the body.
//
// Invariants: a handler under Require sees only requests of a process that holds the credential; a caller with
// Transport obeys only replies that such a process made for this very call. The package does not hide contents and does
// not stop a listener on the network from sending a recorded request again: messages must be idempotent or carry a
// sequence number, as heartbeats and syncs do, and TLS keeps listeners out.
package callproof
