package fleetauth

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"os"

	"github.com/rotisserie/eris"

	"github.com/radishshelf/radishshelf/settings"
)

// MutualTLS returns the mutual MutualTLS of the ports and calls between own processes, or nil for plain TCP. The files are read
// at every handshake, so that a renewed certificate needs no restart.
func MutualTLS(s *settings.TLS) (*tls.Config, error) {
	if s == nil {
		return nil, nil
	}
	load := certificateLoader(s)
	if _, err := load(); err != nil {
		return nil, err
	}
	pool, err := loadCertPool(s.CAFile)
	if err != nil {
		return nil, err
	}
	config := &tls.Config{
		MinVersion: tls.VersionTLS13, ClientAuth: tls.RequireAndVerifyClientCert, ClientCAs: pool, RootCAs: pool,
		GetCertificate:       func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return load() },
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return load() },
	}
	config.GetConfigForClient = func(*tls.ClientHelloInfo) (*tls.Config, error) {
		fresh := config.Clone()
		pool, err := loadCertPool(s.CAFile)
		if err != nil {
			return nil, err
		}
		fresh.ClientCAs = pool
		return fresh, nil
	}
	return config, nil
}

// ServerTLS returns the TLS of a port for callers that have no certificate of the fleet, such as operators, or nil for
// plain TCP. The files are read at every handshake.
func ServerTLS(s *settings.TLS) (*tls.Config, error) {
	if s == nil {
		return nil, nil
	}
	load := certificateLoader(s)
	if _, err := load(); err != nil {
		return nil, err
	}
	return &tls.Config{
		MinVersion:     tls.VersionTLS13,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return load() },
	}, nil
}

// certificateLoader returns a function that reads the certificate and its key.
func certificateLoader(s *settings.TLS) func() (*tls.Certificate, error) {
	return func() (*tls.Certificate, error) {
		certificate, err := tls.LoadX509KeyPair(s.CertFile, s.KeyFile)
		if err != nil {
			return nil, eris.Wrap(err, "tls certificate")
		}
		return &certificate, nil
	}
}

func loadCertPool(file string) (*x509.CertPool, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, eris.Wrap(err, "tls ca file")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(data) {
		return nil, errors.New("tls ca file holds no certificate in PEM form")
	}
	return pool, nil
}
