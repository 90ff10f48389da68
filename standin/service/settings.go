package service

import "github.com/radishshelf/radishshelf/settings"

// Settings configure a stand-in service.
type Settings struct {
	// Address is the listen address, host:port.
	Address string `json:"address"`
	// StartCount is reported by the health check; 0 selects the start time as Unix time in nanoseconds.
	StartCount int64 `json:"start_count,omitempty"`
	// Delay is the additional time before each call is executed.
	Delay settings.Duration `json:"delay,omitempty"`
	// CrashMarker terminates the process when the URI or the body of a request contains it; empty disables the fault.
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
