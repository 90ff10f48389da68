package entry

import (
	"strconv"
	"time"

	"github.com/radishshelf/radishshelf/lease"
	"github.com/radishshelf/radishshelf/settings"
)

// Settings are the settings of radishshelf-entry.
type Settings struct {
	settings.Common
	// CallerAddress serves callers and trainers, OperatorAddress operators, PeerAddress entries and agents.
	CallerAddress   string `json:"caller_address"`
	OperatorAddress string `json:"operator_address"`
	PeerAddress     string `json:"peer_address"`
	// AdvertisedPeerAddress is the peer address that other processes are told, where it differs from PeerAddress because
	// that names all interfaces or the way leads through a relay.
	AdvertisedPeerAddress string `json:"advertised_peer_address,omitempty"`
	// PlatformAddress is the platform's HTTP interface, host:port.
	PlatformAddress string `json:"platform_address"`
	// Peers are peer addresses of other entries that are tried before the host list is known.
	Peers []string `json:"peers,omitempty"`
	// OperatorTokenFile holds the token that operators present; the operator port needs none when it is empty.
	OperatorTokenFile string `json:"operator_token_file,omitempty"`

	// DefaultTimeout replaces the fleet's request timeout at this entry when it is set; MaxTimeout bounds both and what
	// callers ask for.
	DefaultTimeout settings.Duration `json:"default_timeout,omitempty"`
	MaxTimeout     settings.Duration `json:"max_timeout,omitempty"`
	// HeaderTimeout, BodyTimeout and StallTimeout bound how slowly a caller may send or read.
	HeaderTimeout settings.Duration `json:"header_timeout,omitempty"`
	BodyTimeout   settings.Duration `json:"body_timeout,omitempty"`
	StallTimeout  settings.Duration `json:"stall_timeout,omitempty"`
	// MaxHeaderBytes and MaxBodyBytes bound one request; MaxAnswerBufferBytes is how much of a plain answer is held
	// back until it is complete, so that a truncated one can be refused or repeated.
	MaxHeaderBytes       int `json:"max_header_bytes,omitempty"`
	MaxBodyBytes         int `json:"max_body_bytes,omitempty"`
	MaxAnswerBufferBytes int `json:"max_answer_buffer_bytes,omitempty"`
	// MaxRequests bounds the requests in progress and MaxConnections the open connections of the caller port.
	MaxRequests    int `json:"max_requests,omitempty"`
	MaxConnections int `json:"max_connections,omitempty"`

	// QueueTokens is the token cost that may be in flight at agents before requests wait; QueueLength bounds those
	// that wait.
	QueueTokens int64 `json:"queue_tokens,omitempty"`
	QueueLength int   `json:"queue_length,omitempty"`
	// RetryShare is the retry budget as a share of first tries, from 0 to 1.
	RetryShare float64 `json:"retry_share,omitempty"`
	// MaxAttempts bounds the tries of one request.
	MaxAttempts int `json:"max_attempts,omitempty"`
	// ClaimsPerSecond bounds the idempotency claims of this entry; all entries together stay under 100.
	ClaimsPerSecond float64 `json:"claims_per_second,omitempty"`

	// MaxGroupSize bounds the samples of one rollout group, and SampleBufferBytes the completed groups that wait for
	// the store.
	MaxGroupSize      int `json:"max_group_size,omitempty"`
	SampleBufferBytes int `json:"sample_buffer_bytes,omitempty"`

	// ReadinessDelay is how long the balancer needs to notice that the entry is not ready.
	ReadinessDelay settings.Duration `json:"readiness_delay,omitempty"`
	// HostListInterval is the time between two reads of the platform's host list.
	HostListInterval settings.Duration `json:"host_list_interval,omitempty"`
	// UsageGrace is how long a usage window stays open after its end, for late flushes, and UsageInterval how often the
	// holder of role usage looks for windows to finish.
	UsageGrace    settings.Duration `json:"usage_grace,omitempty"`
	UsageInterval settings.Duration `json:"usage_interval,omitempty"`
	// LeaseDuration, RenewInterval, ActWindow and PauseTolerance are the timing of the leased roles, as in lease.Config.
	// They must be equal at all entries.
	LeaseDuration  settings.Duration `json:"lease_duration,omitempty"`
	RenewInterval  settings.Duration `json:"renew_interval,omitempty"`
	ActWindow      settings.Duration `json:"act_window,omitempty"`
	PauseTolerance settings.Duration `json:"pause_tolerance,omitempty"`
}

// Defaults of the settings.
const (
	defaultMaxTimeout           = 30 * time.Minute
	defaultHeaderTimeout        = 10 * time.Second
	defaultBodyTimeout          = 30 * time.Second
	defaultStallTimeout         = 30 * time.Second
	defaultMaxHeaderBytes       = 32 << 10
	defaultMaxBodyBytes         = 4 << 20
	defaultMaxAnswerBufferBytes = 1 << 20
	defaultMaxRequests          = 4096
	defaultMaxConnections       = 8192
	defaultQueueTokens          = 4 << 20
	defaultQueueLength          = 2048
	defaultRetryShare           = 0.1
	defaultMaxAttempts          = 3
	// defaultClaimsPerSecond keeps 50 entries under the fleet's 100 claims per second; small fleets may raise it.
	defaultClaimsPerSecond   = 2
	defaultMaxGroupSize      = 64
	defaultSampleBufferBytes = 16 << 20
	defaultReadinessDelay    = 2 * time.Second
	defaultHostListInterval  = 5 * time.Second
	defaultUsageGrace        = time.Minute
	defaultUsageInterval     = 5 * time.Second
	// maxClaimsPerSecond is the fleet's budget of claim writes per second at the table.
	maxClaimsPerSecond = 100
)

// DefaultSettings returns the values that hold where the settings file is silent.
func DefaultSettings() Settings {
	return Settings{
		MaxTimeout:    settings.Duration(defaultMaxTimeout),
		HeaderTimeout: settings.Duration(defaultHeaderTimeout), BodyTimeout: settings.Duration(defaultBodyTimeout),
		StallTimeout: settings.Duration(defaultStallTimeout), MaxHeaderBytes: defaultMaxHeaderBytes,
		MaxBodyBytes: defaultMaxBodyBytes, MaxAnswerBufferBytes: defaultMaxAnswerBufferBytes, MaxRequests: defaultMaxRequests,
		MaxConnections: defaultMaxConnections, QueueTokens: defaultQueueTokens, QueueLength: defaultQueueLength,
		RetryShare: defaultRetryShare, MaxAttempts: defaultMaxAttempts, ClaimsPerSecond: defaultClaimsPerSecond,
		MaxGroupSize: defaultMaxGroupSize, SampleBufferBytes: defaultSampleBufferBytes,
		ReadinessDelay:   settings.Duration(defaultReadinessDelay),
		HostListInterval: settings.Duration(defaultHostListInterval),
		UsageGrace:       settings.Duration(defaultUsageGrace),
		UsageInterval:    settings.Duration(defaultUsageInterval),
		LeaseDuration:    settings.Duration(lease.DefaultDuration),
		RenewInterval:    settings.Duration(lease.DefaultRenewInterval),
		ActWindow:        settings.Duration(lease.DefaultActWindow),
		PauseTolerance:   settings.Duration(lease.DefaultPauseTolerance),
	}
}

// Validate implements settings.Validator.
func (s *Settings) Validate(p *settings.Problems) {
	s.ValidateCommon(p)
	s.validateAddresses(p)
	s.validateTimes(p)
	s.validateLease(p)
	s.validateCounts(p)
	if s.RetryShare < 0 || s.RetryShare > 1 {
		p.Add(settings.KindInvalid, "retry_share", "the share is outside 0 to 1", "write for example 0.1")
	}
	if s.ClaimsPerSecond <= 0 || s.ClaimsPerSecond > maxClaimsPerSecond {
		p.Add(settings.KindInvalid, "claims_per_second", "the rate is outside 0 to "+strconv.Itoa(maxClaimsPerSecond),
			"write the fleet's 100 per second divided by the number of entries")
	}
}

func (s *Settings) validateAddresses(p *settings.Problems) {
	p.Address("caller_address", s.CallerAddress)
	p.Address("operator_address", s.OperatorAddress)
	p.Address("peer_address", s.PeerAddress)
	p.Address("platform_address", s.PlatformAddress)
	if s.AdvertisedPeerAddress != "" {
		p.Address("advertised_peer_address", s.AdvertisedPeerAddress)
	}
	for i, peer := range s.Peers {
		p.Address("peers["+strconv.Itoa(i)+"]", peer)
	}
	p.DistinctAddresses(
		[]string{"status_address", "caller_address", "operator_address", "peer_address", "platform_address"},
		[]string{s.StatusAddress, s.CallerAddress, s.OperatorAddress, s.PeerAddress, s.PlatformAddress})
}

func (s *Settings) validateTimes(p *settings.Problems) {
	p.Positive("max_timeout", s.MaxTimeout)
	if s.DefaultTimeout < 0 {
		p.Add(settings.KindInvalid, "default_timeout", "the duration is negative", `write for example "60s", or leave it out`)
	}
	p.Positive("header_timeout", s.HeaderTimeout)
	p.Positive("body_timeout", s.BodyTimeout)
	p.Positive("stall_timeout", s.StallTimeout)
	p.Positive("host_list_interval", s.HostListInterval)
	p.Positive("usage_grace", s.UsageGrace)
	p.Positive("usage_interval", s.UsageInterval)
	if s.DefaultTimeout > s.MaxTimeout {
		p.Add(settings.KindConflict, "default_timeout", "it is above max_timeout", "lower it or raise max_timeout")
	}
	if s.ReadinessDelay < 0 {
		p.Add(settings.KindInvalid, "readiness_delay", "the duration is negative", `write for example "2s"`)
	}
}

func (s *Settings) validateCounts(p *settings.Problems) {
	fields := []struct {
		name  string
		value int64
	}{
		{"max_header_bytes", int64(s.MaxHeaderBytes)}, {"max_body_bytes", int64(s.MaxBodyBytes)},
		{"max_answer_buffer_bytes", int64(s.MaxAnswerBufferBytes)}, {"max_requests", int64(s.MaxRequests)},
		{"max_connections", int64(s.MaxConnections)}, {"queue_tokens", s.QueueTokens},
		{"queue_length", int64(s.QueueLength)}, {"max_attempts", int64(s.MaxAttempts)},
		{"max_group_size", int64(s.MaxGroupSize)}, {"sample_buffer_bytes", int64(s.SampleBufferBytes)},
	}
	for _, f := range fields {
		if f.value <= 0 {
			p.Add(settings.KindInvalid, f.name, "the value must be greater than zero", "write a positive number")
		}
	}
}
