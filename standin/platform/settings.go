package platform

import (
	"github.com/radishshelf/radishshelf/hosting"
	"github.com/radishshelf/radishshelf/settings"
)

// Settings is the content of the settings file of standin-platform.
type Settings struct {
	// Address is the listen address, host:port, of the platform, the admin interface and the trace receiver.
	Address string `json:"address"`
	// CheckTerms makes the order service refuse orders whose term is below the highest one that it has seen.
	CheckTerms bool `json:"check_terms,omitempty"`
	// HostLag is the time before an update of the host list becomes visible.
	HostLag settings.Duration `json:"host_lag,omitempty"`
	// WeightBytesPerSecond limits the combined rate of all readers of the weight store; 0 means unlimited.
	WeightBytesPerSecond int64 `json:"weight_bytes_per_second,omitempty"`
	// Hosts is the initial host list.
	Hosts []hosting.Host `json:"hosts,omitempty"`
	// LogLevel is debug, info, warn or error.
	LogLevel string `json:"log_level,omitempty"`
}

// Validate implements settings.Validator.
func (s *Settings) Validate(p *settings.Problems) {
	p.Address("address", s.Address)
	if s.HostLag < 0 {
		p.Add(settings.KindInvalid, "host_lag", "the duration is negative", `write for example "30s"`)
	}
	if s.WeightBytesPerSecond < 0 {
		p.Add(settings.KindInvalid, "weight_bytes_per_second", "the rate is negative", "write 0 for no limit")
	}
	switch s.LogLevel {
	case "", "debug", "info", "warn", "error":
	default:
		p.Add(settings.KindInvalid, "log_level", "the level is unknown", "write debug, info, warn or error")
	}
}

// Level returns the log level of the settings file.
func (s *Settings) Level() string { return s.LogLevel }
