// Package entry is the process between callers and agents: it authenticates requests, bounds and queues them, picks an
// upstream, passes the answer on and keeps the guarantees of the answer and of the key.
//
// Invariants of the request path:
//   - the workspace comes only from the presented key;
//   - no byte that contains the presented secret is sent to an agent;
//   - "not run" is stated only when no byte of the request reached an agent or the agent said so;
//   - an answer that lacks the agent's complete marker is never ended cleanly.
package entry
