package settings

// TLS names the PEM files for mutual TLS between the processes of a fleet. Package fleetauth describes when they are
// read.
type TLS struct {
	CertFile string `json:"cert_file"`
	KeyFile  string `json:"key_file"`
	CAFile   string `json:"ca_file"`
}

func (t *TLS) validate(p *Problems) {
	p.Required("tls.cert_file", t.CertFile, "entry-1.crt")
	p.Required("tls.key_file", t.KeyFile, "entry-1.key")
	p.Required("tls.ca_file", t.CAFile, "ca.crt")
}
