package fleetconfig

// DefaultsName is the name of the only Defaults object.
const DefaultsName = "fleet"

// Defaults are the fleet-wide values; an Exception overrides one of them for one scope.
type Defaults struct {
	// TokensPerSecond limits the tokens of each workspace; 0 means unlimited.
	TokensPerSecond float64 `json:"tokens_per_second,omitempty"`
	// MaxTokens limits the completion of one request, in tokens.
	MaxTokens int64 `json:"max_tokens,omitempty"`
	// RequestTimeoutMs is the timeout of a request that sets none, in milliseconds.
	RequestTimeoutMs int64 `json:"request_timeout_ms,omitempty"`
	// MaxEntries is the maximum number of entries, from which the static quota share is computed.
	MaxEntries int `json:"max_entries,omitempty"`
	// UsageWindowSeconds is the length of a usage window, in seconds.
	UsageWindowSeconds int64 `json:"usage_window_seconds,omitempty"`
	// MinUpstreams and MaxUpstreams limit the number of upstreams ordered for each data centre and kind.
	MinUpstreams int `json:"min_upstreams,omitempty"`
	MaxUpstreams int `json:"max_upstreams,omitempty"`
}
