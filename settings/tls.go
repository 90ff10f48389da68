package settings

// TLS names the files of the mutual TLS between own processes. They are read again when they change.
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
