// Package trainer implements a stand-in trainer. It pulls lots, spends a configurable time on each, publishes the next
// weight version and reports what it has received.
package trainer

import (
	"net/url"
	"time"

	"github.com/radishshelf/radishshelf/settings"
)

// Settings configure a stand-in trainer.
type Settings struct {
	// AdminAddress is the listen address of the admin port, which serves the report.
	AdminAddress string `json:"admin_address"`
	// ServiceURL is the base URL of an entry's caller port, for example "http://127.0.0.1:7001".
	ServiceURL string `json:"service_url"`
	Trainer    string `json:"trainer"`
	// Key is the secret of the key that was granted to the trainer.
	Key string `json:"key"`
	// InitialVersion is the weight version at the first start. Later starts continue from the status of the service.
	InitialVersion int64 `json:"initial_version"`
	// TrainTime is the simulated training time of a lot.
	TrainTime settings.Duration `json:"train_time"`
	// PullWait is how long a pull waits for a lot. RetryInterval is the delay after a failure without Retry-After.
	PullWait      settings.Duration `json:"pull_wait"`
	RetryInterval settings.Duration `json:"retry_interval"`
	// PublishVersions is false for a trainer that pulls lots without publishing weight versions.
	PublishVersions bool   `json:"publish_versions"`
	LogLevel        string `json:"log_level,omitempty"`
}

// Defaults returns the settings used where the file sets none.
func Defaults() Settings {
	return Settings{
		InitialVersion: 1, TrainTime: settings.Duration(2 * time.Second), PullWait: settings.Duration(5 * time.Second),
		RetryInterval: settings.Duration(500 * time.Millisecond), PublishVersions: true,
	}
}

// Validate implements settings.Validator.
func (s *Settings) Validate(p *settings.Problems) {
	p.Address("admin_address", s.AdminAddress)
	p.Required("trainer", s.Trainer, "coach")
	p.Required("key", s.Key, "the secret from radishshelfctl")
	p.Positive("pull_wait", s.PullWait)
	p.Positive("retry_interval", s.RetryInterval)
	if s.PullWait.D() > time.Minute {
		p.Add(settings.KindInvalid, "pull_wait", "a pull may wait at most one minute", `write at most "1m"`)
	}
	if s.TrainTime < 0 || s.InitialVersion < 1 {
		p.Add(settings.KindInvalid, "initial_version", "initial_version is below 1 or train_time is negative",
			"write an initial_version of 1 or more and a train_time of 0 or more")
	}
	base, err := url.Parse(s.ServiceURL)
	if err != nil || base.Scheme == "" || base.Host == "" {
		p.Add(settings.KindInvalid, "service_url", "the value is not a URL with a scheme and a host",
			`write for example "http://127.0.0.1:7001"`)
	}
}

// Level returns the configured log level.
func (s *Settings) Level() string { return s.LogLevel }
