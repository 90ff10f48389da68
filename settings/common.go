package settings

// Common holds the settings that every daemon has.
type Common struct {
	// Name identifies the process in logs, leases and reports; it is unique in the fleet.
	Name string `json:"name"`
	// DataCentre and Region say where the process runs.
	DataCentre string `json:"data_centre"`
	Region     string `json:"region"`
	// StatusAddress serves /healthz, /readyz and /metrics.
	StatusAddress string `json:"status_address"`
	// LogLevel is debug, info, warn or error.
	LogLevel string `json:"log_level,omitempty"`
	// TraceAddress is the host:port of an OTLP/HTTP collector; traces are off when it is empty.
	TraceAddress string `json:"trace_address,omitempty"`
	// TLS protects the ports between own processes; plain TCP when nil.
	TLS *TLS `json:"tls,omitempty"`
	// Credential is the file with the secret that own processes show each other; none when empty.
	CredentialFile string `json:"credential_file,omitempty"`
}

// ValidateCommon records the faults of the common fields.
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

// Level returns the log level of the settings file.
func (c *Common) Level() string { return c.LogLevel }
