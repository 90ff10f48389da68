package fleetconfig

// DefaultsName is the name of the only Defaults object.
const DefaultsName = "fleet"

// Defaults are the fleet-wide values; an Exception overrides one of them for one scope.
type Defaults struct {
	// TokensPerSecond limits each workspace; 0 means unlimited.
	TokensPerSecond float64 `json:"tokens_per_second,omitempty"`
	// MaxTokens bounds the completion of one request.
	MaxTokens int64 `json:"max_tokens,omitempty"`
	// RequestTimeoutMs is the deadline of a request that names none, in milliseconds.
	RequestTimeoutMs int64 `json:"request_timeout_ms,omitempty"`
	// MaxEntries is the largest number of entries; the static quota share is computed from it.
	MaxEntries int `json:"max_entries,omitempty"`
	// UsageWindowSeconds is the length of a usage window.
	UsageWindowSeconds int64 `json:"usage_window_seconds,omitempty"`
	// MinUpstreams and MaxUpstreams bound the orders for each data centre and kind.
	MinUpstreams int `json:"min_upstreams,omitempty"`
	MaxUpstreams int `json:"max_upstreams,omitempty"`
}
