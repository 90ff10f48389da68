package engine

import (
	"time"

	"github.com/radishshelf/radishshelf/settings"
)

// Settings configure one stand-in engine.
type Settings struct {
	// Address serves the data and control calls.
	Address string `json:"address"`
	Policy  string `json:"policy"`
	// InitialVersion is active after every start.
	InitialVersion int64 `json:"initial_version"`
	// StartCount is reported with every answer; 0 takes the start time in nanoseconds.
	StartCount int64 `json:"start_count,omitempty"`
	// Slots run at once; QueueLimit more wait.
	Slots      int `json:"slots"`
	QueueLimit int `json:"queue_limit"`
	// TokensPerSecond is the generation rate of one slot, PromptTokensPerSecond the rate at which it reads a prompt.
	TokensPerSecond       float64 `json:"tokens_per_second"`
	PromptTokensPerSecond float64 `json:"prompt_tokens_per_second"`
	// DefaultTokens is the completion length of a request that names none; MaxTokens bounds it.
	DefaultTokens int `json:"default_tokens"`
	MaxTokens     int `json:"max_tokens"`
	// CacheBlocks is the size of the prefix cache; a block covers CacheBlockBytes of the messages as they were sent.
	// Entries look for blocks of 64 tokens of 4 bytes.
	CacheBlocks     int `json:"cache_blocks"`
	CacheBlockBytes int `json:"cache_block_bytes"`
	// CacheEventDelay is how late cache events arrive; every CacheEventGap-th event is lost when it is above 0.
	CacheEventDelay settings.Duration `json:"cache_event_delay"`
	CacheEventGap   int64             `json:"cache_event_gap,omitempty"`
	// StatusLag is the age of the load and version reports.
	StatusLag settings.Duration `json:"status_lag"`
	// StageTime and ActivateTime are added to the work of the orders.
	StageTime    settings.Duration `json:"stage_time"`
	ActivateTime settings.Duration `json:"activate_time"`
	// CheckFencing makes the engine refuse an order with an older term than it has seen.
	CheckFencing bool `json:"check_fencing"`
	// CrashMarker ends the process when a prompt contains it; empty turns it off.
	CrashMarker string `json:"crash_marker,omitempty"`
	LogLevel    string `json:"log_level,omitempty"`
	// TraceAddress is the host:port of an OTLP/HTTP collector; traces are off when it is empty.
	TraceAddress string `json:"trace_address,omitempty"`
}

// Defaults returns the settings that a file overrides.
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
	positive(p, "slots", float64(s.Slots))
	positive(p, "tokens_per_second", s.TokensPerSecond)
	positive(p, "prompt_tokens_per_second", s.PromptTokensPerSecond)
	positive(p, "default_tokens", float64(s.DefaultTokens))
	positive(p, "cache_block_bytes", float64(s.CacheBlockBytes))
	positive(p, "max_tokens", float64(s.MaxTokens))
	if s.QueueLimit < 0 || s.CacheBlocks < 0 || s.CacheEventGap < 0 || s.InitialVersion < 0 {
		p.Add(settings.KindInvalid, "", "a count is below zero", "write zero or a positive number")
	}
}

func positive(p *settings.Problems, field string, value float64) {
	if value <= 0 {
		p.Add(settings.KindInvalid, field, "the value must be greater than zero", "write a positive number")
	}
}

// Level returns the log level of the settings file.
func (s *Settings) Level() string { return s.LogLevel }
