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
	// CallerAddress serves callers and trainers, OperatorAddress serves operators, and PeerAddress serves entries and
	// agents.
	CallerAddress   string `json:"caller_address"`
	OperatorAddress string `json:"operator_address"`
	PeerAddress     string `json:"peer_address"`
	// AdvertisedPeerAddress is the peer address that other processes connect to. It is needed when PeerAddress is a
	// wildcard address or when connections pass through a relay.
	AdvertisedPeerAddress string `json:"advertised_peer_address,omitempty"`
	// PlatformAddress is the platform's HTTP interface, host:port.
	PlatformAddress string `json:"platform_address"`
	// Peers are peer addresses of other entries, used until the host list is known.
	Peers []string `json:"peers,omitempty"`
	// OperatorTokenFile is the file with the token that operators must present. If empty, the operator port needs none.
	OperatorTokenFile string `json:"operator_token_file,omitempty"`

	// DefaultTimeout overrides the fleet's request timeout at this entry when it is set. MaxTimeout limits both of them
	// and the timeout that a caller requests.
	DefaultTimeout settings.Duration `json:"default_timeout,omitempty"`
	MaxTimeout     settings.Duration `json:"max_timeout,omitempty"`
	// HeaderTimeout and BodyTimeout limit the time a caller takes to send a request, and StallTimeout the time it takes
	// to read a part of the response.
	HeaderTimeout settings.Duration `json:"header_timeout,omitempty"`
	BodyTimeout   settings.Duration `json:"body_timeout,omitempty"`
	StallTimeout  settings.Duration `json:"stall_timeout,omitempty"`
	// MaxHeaderBytes and MaxBodyBytes limit one request. MaxAnswerBufferBytes is how much of a non-streaming response is
	// buffered until it is complete, so that a truncated response can be refused or retried.
	MaxHeaderBytes       int `json:"max_header_bytes,omitempty"`
	MaxBodyBytes         int `json:"max_body_bytes,omitempty"`
	MaxAnswerBufferBytes int `json:"max_answer_buffer_bytes,omitempty"`
	// MaxRequests limits the requests in progress and MaxConnections the open connections of the caller port.
	// MaxConnectionBytes limits the memory of these connections and of the heads of their requests.
	MaxRequests        int `json:"max_requests,omitempty"`
	MaxConnections     int `json:"max_connections,omitempty"`
	MaxConnectionBytes int `json:"max_connection_bytes,omitempty"`

	// QueueTokens is the token cost that may be in flight at agents before requests are queued. QueueLength limits the
	// number of queued requests.
	QueueTokens int64 `json:"queue_tokens,omitempty"`
	QueueLength int   `json:"queue_length,omitempty"`
	// RetryShare is the retry budget as a fraction of first attempts, from 0 to 1. Retries of attempts that have not run do not
	// spend it.
	RetryShare float64 `json:"retry_share,omitempty"`
	// MaxAttempts limits the attempts of one request.
	MaxAttempts int `json:"max_attempts,omitempty"`
	// ClaimsPerSecond limits the idempotency claims of this entry. All entries together must stay under 100.
	ClaimsPerSecond float64 `json:"claims_per_second,omitempty"`

	// MaxGroupSize limits the samples of one rollout group. SampleBufferBytes limits the completed groups that wait to
	// be stored.
	MaxGroupSize      int `json:"max_group_size,omitempty"`
	SampleBufferBytes int `json:"sample_buffer_bytes,omitempty"`

	// ReadinessDelay is how long the load balancer needs to notice that the entry is not ready.
	ReadinessDelay settings.Duration `json:"readiness_delay,omitempty"`
	// HostListInterval is how often the platform's host list is read.
	HostListInterval settings.Duration `json:"host_list_interval,omitempty"`
	// UsageGrace is how long a usage window stays open for late flushes after its end. UsageInterval is how often the
	// holder of the usage role checks for windows to close.
	UsageGrace    settings.Duration `json:"usage_grace,omitempty"`
	UsageInterval settings.Duration `json:"usage_interval,omitempty"`
	// LeaseDuration, RenewInterval, ActWindow and PauseTolerance set the timing of the leased roles; see lease.Config.
	// They must be the same at all entries.
	LeaseDuration  settings.Duration `json:"lease_duration,omitempty"`
	RenewInterval  settings.Duration `json:"renew_interval,omitempty"`
	ActWindow      settings.Duration `json:"act_window,omitempty"`
	PauseTolerance settings.Duration `json:"pause_tolerance,omitempty"`
}

// Default values of the settings.
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
	// defaultMaxConnectionBytes leaves each connection as much again for its head as it takes itself.
	defaultMaxConnectionBytes = defaultMaxConnections * 32 << 10
	defaultQueueTokens        = 4 << 20
	defaultQueueLength        = 2048
	defaultRetryShare         = 0.1
	defaultMaxAttempts        = 3
	// defaultClaimsPerSecond keeps 50 entries under the fleet's 100 claims per second; small fleets may raise it.
	defaultClaimsPerSecond   = 2
	defaultMaxGroupSize      = 64
	defaultSampleBufferBytes = 16 << 20
	defaultReadinessDelay    = 2 * time.Second
	defaultHostListInterval  = 5 * time.Second
	defaultUsageGrace        = time.Minute
	defaultUsageInterval     = 5 * time.Second
	// maxClaimsPerSecond is the fleet's limit of claim writes per second to the table.
	maxClaimsPerSecond = 100
)

// DefaultSettings returns the values of settings that are not set in the settings file.
func DefaultSettings() Settings {
	return Settings{
		MaxTimeout:    settings.Duration(defaultMaxTimeout),
		HeaderTimeout: settings.Duration(defaultHeaderTimeout), BodyTimeout: settings.Duration(defaultBodyTimeout),
		StallTimeout: settings.Duration(defaultStallTimeout), MaxHeaderBytes: defaultMaxHeaderBytes,
		MaxBodyBytes: defaultMaxBodyBytes, MaxAnswerBufferBytes: defaultMaxAnswerBufferBytes, MaxRequests: defaultMaxRequests,
		MaxConnections: defaultMaxConnections, MaxConnectionBytes: defaultMaxConnectionBytes, QueueTokens: defaultQueueTokens, QueueLength: defaultQueueLength,
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
		p.Add(settings.KindInvalid, "retry_share", "the share is not between 0 and 1", "write for example 0.1")
	}
	if s.ClaimsPerSecond <= 0 || s.ClaimsPerSecond > maxClaimsPerSecond {
		p.Add(settings.KindInvalid, "claims_per_second", "the rate is not between 0 and "+strconv.Itoa(maxClaimsPerSecond),
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
		p.Add(settings.KindConflict, "default_timeout", "the duration is above max_timeout", "lower it or raise max_timeout")
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
		{"max_connections", int64(s.MaxConnections)}, {"max_connection_bytes", int64(s.MaxConnectionBytes)}, {"queue_tokens", s.QueueTokens},
		{"queue_length", int64(s.QueueLength)}, {"max_attempts", int64(s.MaxAttempts)},
		{"max_group_size", int64(s.MaxGroupSize)}, {"sample_buffer_bytes", int64(s.SampleBufferBytes)},
	}
	for _, f := range fields {
		if f.value <= 0 {
			p.Add(settings.KindInvalid, f.name, "the value must be greater than zero", "write a positive number")
		}
	}
}
