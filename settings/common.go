package settings

// Common holds the settings that all daemons share.
type Common struct {
	// Name identifies the process in logs, leases and reports; it is unique in the fleet.
	Name string `json:"name"`
	// DataCentre and Region are where the process runs.
	DataCentre string `json:"data_centre"`
	Region     string `json:"region"`
	// StatusAddress is the IP address and port that serve /healthz, /readyz and /metrics.
	StatusAddress string `json:"status_address"`
	// LogLevel is debug, info, warn or error; empty means info.
	LogLevel string `json:"log_level,omitempty"`
	// TraceAddress is the IP address and port of an OTLP/HTTP collector; tracing is off if it is empty.
	TraceAddress string `json:"trace_address,omitempty"`
	// TLS configures mutual TLS between the processes of the fleet; nil means plain TCP.
	TLS *TLS `json:"tls,omitempty"`
	// CredentialFile is the file with the shared secret with which the processes of the fleet authenticate to each
	// other; empty means none.
	CredentialFile string `json:"credential_file,omitempty"`
}

// ValidateCommon records the errors of the common fields in p.
func (c *Common) ValidateCommon(p *Problems) {
	p.Required("name", c.Name, "entry-1")
	p.Required("data_centre", c.DataCentre, "sudur")
	p.Required("region", c.Region, "sudur")
	p.Address("status_address", c.StatusAddress)
	if c.TraceAddress != "" {
		p.Address("trace_address", c.TraceAddress)
	}
	switch c.LogLevel {
	case "", "debug", "info", "warn", "error":
	default:
		p.Add(KindInvalid, "log_level", "the level is unknown", "write debug, info, warn or error")
	}
	if c.TLS != nil {
		c.TLS.validate(p)
	}
}

// Level returns LogLevel.
func (c *Common) Level() string { return c.LogLevel }
