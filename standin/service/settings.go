package service

import "github.com/radishshelf/radishshelf/settings"

// Settings configure one stand-in service.
type Settings struct {
	Address string `json:"address"`
	// StartCount is reported by the health check; 0 takes the start time in nanoseconds.
	StartCount int64 `json:"start_count,omitempty"`
	// Delay is added to every call.
	Delay settings.Duration `json:"delay,omitempty"`
	// CrashMarker ends the process when a request contains it; empty turns it off.
	CrashMarker string `json:"crash_marker,omitempty"`
	LogLevel    string `json:"log_level,omitempty"`
}

// Validate implements settings.Validator.
func (s *Settings) Validate(p *settings.Problems) {
	p.Address("address", s.Address)
	if s.Delay < 0 {
		p.Add(settings.KindInvalid, "delay", "the duration is below zero", `write for example "20ms"`)
	}
}

// Level returns the log level of the settings file.
func (s *Settings) Level() string { return s.LogLevel }
