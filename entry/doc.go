// Package entry implements the request path between callers and agents: it authenticates requests, limits and queues
// them, selects an upstream, forwards the response and enforces the guarantees for responses and keys.
//
// Invariants of the request path:
//   - the workspace is derived only from the presented key;
//   - no byte that contains the presented secret is sent to an agent;
//   - "not run" is reported only when no byte of the request reached an agent, or when the agent reported it;
//   - a response that lacks the agent's complete marker is never ended cleanly.
package entry
