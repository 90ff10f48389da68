package fleetauth

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"os"

	"github.com/rotisserie/eris"

	"github.com/radishshelf/radishshelf/settings"
)

// MutualTLS returns the mutual TLS configuration for ports and calls between the processes of a fleet, or nil for plain
// TCP if s is nil. The certificate and key are read at every handshake, so that a renewed certificate needs no restart.
// Servers also read the CA file at every handshake; clients use the one read here.
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

// ServerTLS returns the TLS configuration of a port for callers without a certificate of the fleet, such as operators,
// or nil for plain TCP if s is nil. The certificate and key are read at every handshake.
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

// certificateLoader returns a function that reads the certificate and its key from the files of s.
func certificateLoader(s *settings.TLS) func() (*tls.Certificate, error) {
	return func() (*tls.Certificate, error) {
		certificate, err := tls.LoadX509KeyPair(s.CertFile, s.KeyFile)
		if err != nil {
			return nil, eris.Wrap(err, "load the TLS certificate")
		}
		return &certificate, nil
	}
}

func loadCertPool(file string) (*x509.CertPool, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, eris.Wrap(err, "read the TLS CA file")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(data) {
		return nil, errors.New("the TLS CA file contains no PEM certificate; set ca_file to a PEM file with CA certificates")
	}
	return pool, nil
}
