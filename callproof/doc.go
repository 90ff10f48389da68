// Package callproof authenticates requests and responses between the processes of a fleet with the shared credential,
// without sending the credential. The caller sends a random nonce and a proof, an HMAC-SHA-256 over nonce, method, path
// and body. The response carries an HMAC over the same nonce, the status and the body.
//
// Invariants: a handler wrapped by Require receives only requests from a process that holds the credential, and a
// caller that uses Transport accepts only responses that such a process made for the same call. The one exception is a
// response with status 401, which needs no proof.
//
// The package neither encrypts messages nor prevents the replay of a recorded request. Messages must therefore be
// idempotent or carry a sequence number, as heartbeats and syncs do, and TLS must be used against eavesdropping.
package callproof
