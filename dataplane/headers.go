// Package dataplane holds the HTTP contract between an entry and an agent: POST RunPath with the forwarded request as
// the body, the headers below, and trailers that end a complete answer.
package dataplane

// RunPath is the agent's endpoint for forwarded requests.
const RunPath = "/v1/run"

// Request headers, set by the entry.
const (
	HeaderRequestID = "X-Radishshelf-Request-Id"
	// HeaderAttempt counts tries of one request from 1.
	HeaderAttempt   = "X-Radishshelf-Attempt"
	HeaderWorkspace = "X-Radishshelf-Workspace"
	HeaderPolicy    = "X-Radishshelf-Policy"
	// HeaderTimeout is the time left until the deadline in milliseconds; a duration needs no common clock.
	HeaderTimeout = "X-Radishshelf-Timeout-Ms"
	// HeaderMethod and HeaderTarget are the method and request URI to use at the upstream.
	HeaderMethod = "X-Radishshelf-Method"
	HeaderTarget = "X-Radishshelf-Target"
	// HeaderIdempotent is "true" when the request may be repeated.
	HeaderIdempotent = "X-Radishshelf-Idempotent"
	// HeaderExclusive is "true" when the request must run alone on its upstream, because it is a crash suspect.
	HeaderExclusive = "X-Radishshelf-Exclusive"
	// HeaderFingerprint identifies the request content within its workspace for the crash quarantine.
	HeaderFingerprint = "X-Radishshelf-Fingerprint"
	// HeaderSample is "true" when the answer becomes a training sample and needs version labels.
	HeaderSample = "X-Radishshelf-Sample"
	// HeaderPriority is the engine priority; lower runs first.
	HeaderPriority = "X-Radishshelf-Priority"
)

// Response headers and trailers, set by the agent.
const (
	// HeaderOutcome carries an outcome.Outcome on a refusal or failure.
	HeaderOutcome = "X-Radishshelf-Outcome"
	// HeaderRefusalKind carries an outcome.Kind on a refusal by the agent.
	HeaderRefusalKind = "X-Radishshelf-Refusal-Kind"
	// HeaderLoad carries a JSON Load with every answer.
	HeaderLoad = "X-Radishshelf-Load"
	// TrailerComplete is "true" only after the upstream's answer ended normally.
	TrailerComplete = "X-Radishshelf-Complete"
	// TrailerResult carries a JSON Result.
	TrailerResult = "X-Radishshelf-Result"
)
