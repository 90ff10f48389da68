// Package trainer is a stand-in trainer: it pulls lots, spends a configurable time on each, publishes the next weight
// version and reports what it has received.
package trainer

import (
	"net/url"
	"time"

	"github.com/radishshelf/radishshelf/settings"
)

// Settings configure one stand-in trainer.
type Settings struct {
	// AdminAddress serves the report.
	AdminAddress string `json:"admin_address"`
	// ServiceURL is the base address of an entry's caller port, for example "http://127.0.0.1:7001".
	ServiceURL string `json:"service_url"`
	Trainer    string `json:"trainer"`
	// Key is the secret that the operator granted to the trainer.
	Key string `json:"key"`
	// InitialVersion is the weight version at the first start; later starts continue from the service's status.
	InitialVersion int64 `json:"initial_version"`
	// TrainTime is spent on each lot.
	TrainTime settings.Duration `json:"train_time"`
	// PullWait is how long one pull waits for a lot, RetryInterval the pause after a failure without Retry-After.
	PullWait      settings.Duration `json:"pull_wait"`
	RetryInterval settings.Duration `json:"retry_interval"`
	// PublishVersions is false for a trainer that only takes lots.
	PublishVersions bool   `json:"publish_versions"`
	LogLevel        string `json:"log_level,omitempty"`
}

// Defaults returns the settings that a file overrides.
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
		p.Add(settings.KindInvalid, "pull_wait", "one pull waits at most one minute", `write at most "1m"`)
	}
	if s.TrainTime < 0 || s.InitialVersion < 1 {
		p.Add(settings.KindInvalid, "initial_version", "the version is below 1 or train_time below zero",
			"number versions from 1 and write a positive train_time")
	}
	base, err := url.Parse(s.ServiceURL)
	if err != nil || base.Scheme == "" || base.Host == "" {
		p.Add(settings.KindInvalid, "service_url", "the value is not an address with a scheme",
			`write for example "http://127.0.0.1:7001"`)
	}
}

// Level returns the log level of the settings file.
func (s *Settings) Level() string { return s.LogLevel }
