package engine

import (
	"time"

	"github.com/radishshelf/radishshelf/settings"
)

// Settings configure a stand-in engine.
type Settings struct {
	// Address is the listen address, host:port, of the data, control and admin interfaces.
	Address string `json:"address"`
	Policy  string `json:"policy"`
	// InitialVersion is the weight version that is active after every start.
	InitialVersion int64 `json:"initial_version"`
	// StartCount is reported in every response; 0 selects the start time as Unix time in nanoseconds.
	StartCount int64 `json:"start_count,omitempty"`
	// Slots is the number of requests that run concurrently, QueueLimit the number that may wait for a slot.
	Slots      int `json:"slots"`
	QueueLimit int `json:"queue_limit"`
	// TokensPerSecond is the generation rate of one slot, PromptTokensPerSecond its prefill rate.
	TokensPerSecond       float64 `json:"tokens_per_second"`
	PromptTokensPerSecond float64 `json:"prompt_tokens_per_second"`
	// DefaultTokens is the completion length for requests without max_tokens. MaxTokens limits the length of every
	// completion.
	DefaultTokens int `json:"default_tokens"`
	MaxTokens     int `json:"max_tokens"`
	// CacheBlocks is the capacity of the prefix cache. A block covers CacheBlockBytes bytes of the messages as they were
	// sent. Entries look up blocks of 64 tokens of 4 bytes each.
	CacheBlocks     int `json:"cache_blocks"`
	CacheBlockBytes int `json:"cache_block_bytes"`
	// CacheEventDelay is the delay before cache events are reported. If CacheEventGap is above 0, every CacheEventGap-th
	// event is dropped.
	CacheEventDelay settings.Duration `json:"cache_event_delay"`
	CacheEventGap   int64             `json:"cache_event_gap,omitempty"`
	// StatusLag is the maximum age of the reported load and versions.
	StatusLag settings.Duration `json:"status_lag"`
	// StageTime and ActivateTime are added to the duration of stage and activate orders.
	StageTime    settings.Duration `json:"stage_time"`
	ActivateTime settings.Duration `json:"activate_time"`
	// CheckFencing makes the engine refuse orders whose term is below the highest term that it has seen.
	CheckFencing bool `json:"check_fencing"`
	// CrashMarker terminates the process when a prompt contains it; empty disables the fault.
	CrashMarker string `json:"crash_marker,omitempty"`
	LogLevel    string `json:"log_level,omitempty"`
	// TraceAddress is the host:port of an OTLP/HTTP collector; tracing is off when it is empty.
	TraceAddress string `json:"trace_address,omitempty"`
}

// Defaults returns the settings that apply when the settings file does not set them.
func Defaults() Settings {
	return Settings{
		Policy: "default", InitialVersion: 1, Slots: 8, QueueLimit: 64,
		TokensPerSecond: 200, PromptTokensPerSecond: 20000, DefaultTokens: 32, MaxTokens: 4096, CacheBlocks: 4096,
		CacheBlockBytes: 256,
		CacheEventDelay: settings.Duration(200 * time.Millisecond), CheckFencing: true,
	}
}

// Validate implements settings.Validator.
func (s *Settings) Validate(p *settings.Problems) {
	p.Address("address", s.Address)
	p.Required("policy", s.Policy, "planner")
	requirePositive(p, "slots", float64(s.Slots))
	requirePositive(p, "tokens_per_second", s.TokensPerSecond)
	requirePositive(p, "prompt_tokens_per_second", s.PromptTokensPerSecond)
	requirePositive(p, "default_tokens", float64(s.DefaultTokens))
	requirePositive(p, "cache_block_bytes", float64(s.CacheBlockBytes))
	requirePositive(p, "max_tokens", float64(s.MaxTokens))
	if s.QueueLimit < 0 || s.CacheBlocks < 0 || s.CacheEventGap < 0 || s.InitialVersion < 0 {
		p.Add(settings.KindInvalid, "", "a count is below zero", "write zero or a positive number")
	}
}

func requirePositive(p *settings.Problems, field string, value float64) {
	if value <= 0 {
		p.Add(settings.KindInvalid, field, "the value must be greater than zero", "write a positive number")
	}
}

// Level returns the log level of the settings file.
func (s *Settings) Level() string { return s.LogLevel }
