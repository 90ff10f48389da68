package agent

import (
	"net/url"
	"strconv"
	"time"

	"github.com/radishshelf/radishshelf/fleetconfig"
	"github.com/radishshelf/radishshelf/settings"
)

// Settings configure one agent.
type Settings struct {
	settings.Common
	// AgentAddress is the address of the data port, on which entries forward requests.
	AgentAddress string `json:"agent_address"`
	// ControlAddress is the address on which AgentControl is served.
	ControlAddress string `json:"control_address"`
	// UpstreamURL is the base URL of the agent's upstream.
	UpstreamURL string `json:"upstream_url"`
	// AdvertisedUpstreamURL is the base URL from which other engines copy weights of the upstream, if it differs from
	// UpstreamURL.
	AdvertisedUpstreamURL string `json:"advertised_upstream_url,omitempty"`
	// Kind is "engine" or "service".
	Kind string `json:"kind"`
	// Serves is the policy that an engine serves, or the name of a plain service.
	Serves string `json:"serves"`
	// Slots is the number of requests that run at the same time; up to QueueLimit more wait for a slot.
	Slots      int `json:"slots"`
	QueueLimit int `json:"queue_limit"`
	// MaxBodyBytes limits the body of a forwarded request.
	MaxBodyBytes int64 `json:"max_body_bytes"`
	// Entries are the peer addresses of entries; more are learned from heartbeat replies.
	Entries []string `json:"entries"`
	// PlatformAddress is the host:port of the platform, which stores usage rows and weights.
	PlatformAddress string `json:"platform_address"`
	// HealthPath is the path of the health check of a plain service.
	HealthPath         string            `json:"health_path"`
	HeartbeatInterval  settings.Duration `json:"heartbeat_interval"`
	ProbeInterval      settings.Duration `json:"probe_interval"`
	UsageFlushInterval settings.Duration `json:"usage_flush_interval"`
	// SuspectTime is how long the fingerprint of a crash suspect is kept.
	SuspectTime settings.Duration `json:"suspect_time"`
}

// Limits on settings values.
const (
	maxSlots      = 4096
	maxQueueLimit = 65536
	maxEntries    = 1024
)

// DefaultSettings returns the default values, which a settings file overrides.
func DefaultSettings() Settings {
	return Settings{
		Kind: fleetconfig.UpstreamEngine, Slots: 8, QueueLimit: 32, MaxBodyBytes: 8 << 20, HealthPath: "/healthz",
		HeartbeatInterval: settings.Duration(time.Second), ProbeInterval: settings.Duration(time.Second),
		UsageFlushInterval: settings.Duration(20 * time.Second),
		SuspectTime:        settings.Duration(10 * time.Minute),
	}
}

// Validate implements settings.Validator.
func (s *Settings) Validate(p *settings.Problems) {
	s.ValidateCommon(p)
	p.Address("agent_address", s.AgentAddress)
	p.Address("control_address", s.ControlAddress)
	p.Address("platform_address", s.PlatformAddress)
	p.DistinctAddresses([]string{"agent_address", "control_address", "status_address"},
		[]string{s.AgentAddress, s.ControlAddress, s.StatusAddress})
	p.Required("serves", s.Serves, "planner")
	s.validateUpstream(p)
	s.validateEntries(p)
	checkRange(p, "slots", s.Slots, 1, maxSlots)
	checkRange(p, "queue_limit", s.QueueLimit, 0, maxQueueLimit)
	if s.MaxBodyBytes <= 0 {
		p.Add(settings.KindInvalid, "max_body_bytes", "the size must be greater than zero", "write for example 8388608")
	}
	p.Positive("heartbeat_interval", s.HeartbeatInterval)
	p.Positive("probe_interval", s.ProbeInterval)
	p.Positive("usage_flush_interval", s.UsageFlushInterval)
	p.Positive("suspect_time", s.SuspectTime)
}

func (s *Settings) validateUpstream(p *settings.Problems) {
	const remedy = `write a base URL, for example "http://127.0.0.1:8000"`
	u, err := url.Parse(s.UpstreamURL)
	switch {
	case s.UpstreamURL == "":
		p.Add(settings.KindMissing, "upstream_url", "the URL is missing", remedy)
	case err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https"):
		p.Add(settings.KindInvalid, "upstream_url", strconv.Quote(s.UpstreamURL)+" is not an HTTP URL", remedy)
	case u.Path != "" && u.Path != "/", u.RawQuery != "":
		p.Add(settings.KindInvalid, "upstream_url", "the URL has a path or query", remedy)
	}
	if s.Kind != fleetconfig.UpstreamEngine && s.Kind != fleetconfig.UpstreamService {
		p.Add(settings.KindInvalid, "kind", strconv.Quote(s.Kind)+" is unknown", `write "engine" or "service"`)
	}
	if s.HealthPath == "" || s.HealthPath[0] != '/' {
		p.Add(settings.KindInvalid, "health_path", "the path does not begin with /", `write for example "/healthz"`)
	}
}

func (s *Settings) validateEntries(p *settings.Problems) {
	if len(s.Entries) == 0 {
		p.Add(settings.KindMissing, "entries", "no entry is named", `list peer addresses, for example ["127.0.0.1:7103"]`)
	}
	checkRange(p, "entries", len(s.Entries), 0, maxEntries)
	for i, address := range s.Entries {
		p.Address("entries["+strconv.Itoa(i)+"]", address)
	}
}

func checkRange(p *settings.Problems, field string, value, low, high int) {
	if value < low || value > high {
		p.Add(settings.KindInvalid, field, strconv.Itoa(value)+" is out of range",
			"write a number from "+strconv.Itoa(low)+" to "+strconv.Itoa(high))
	}
}
