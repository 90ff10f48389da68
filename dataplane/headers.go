// Package dataplane defines the HTTP protocol between an entry and an agent: POST RunPath with the body of the
// forwarded request, the headers below, and trailers that mark a response as complete.
package dataplane

// RunPath is the agent's endpoint for forwarded requests.
const RunPath = "/v1/run"

// Request headers, set by the entry.
const (
	HeaderRequestID = "X-Radishshelf-Request-Id"
	// HeaderAttempt counts the attempts of a request from 1.
	HeaderAttempt   = "X-Radishshelf-Attempt"
	HeaderWorkspace = "X-Radishshelf-Workspace"
	HeaderPolicy    = "X-Radishshelf-Policy"
	// HeaderTimeout is the time left until the deadline in milliseconds; a duration needs no synchronized clocks.
	HeaderTimeout = "X-Radishshelf-Timeout-Ms"
	// HeaderMethod and HeaderTarget are the method and request URI for the upstream.
	HeaderMethod = "X-Radishshelf-Method"
	HeaderTarget = "X-Radishshelf-Target"
	// HeaderIdempotent is "true" when the request may be repeated.
	HeaderIdempotent = "X-Radishshelf-Idempotent"
	// HeaderExclusive is "true" when the request must run alone on its upstream, because it is a crash suspect.
	HeaderExclusive = "X-Radishshelf-Exclusive"
	// HeaderFingerprint identifies the content of a request within its workspace, for the crash quarantine.
	HeaderFingerprint = "X-Radishshelf-Fingerprint"
	// HeaderSample is "true" when the response becomes a training sample and needs version labels.
	HeaderSample = "X-Radishshelf-Sample"
	// HeaderPriority is the engine priority; lower values run first.
	HeaderPriority = "X-Radishshelf-Priority"
)

// Response headers and trailers, set by the agent.
const (
	// HeaderOutcome carries an outcome.Outcome on a refusal or failure.
	HeaderOutcome = "X-Radishshelf-Outcome"
	// HeaderRefusalKind carries an outcome.Kind on a refusal by the agent.
	HeaderRefusalKind = "X-Radishshelf-Refusal-Kind"
	// HeaderLoad carries a JSON Load in every response.
	HeaderLoad = "X-Radishshelf-Load"
	// TrailerComplete is "true" only if the upstream's response ended normally.
	TrailerComplete = "X-Radishshelf-Complete"
	// TrailerResult carries a JSON Result.
	TrailerResult = "X-Radishshelf-Result"
)
