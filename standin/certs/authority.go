// Package certs implements a certificate authority that issues the certificates of a fleet in tests.
package certs

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"fmt"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"time"

	"github.com/radishshelf/radishshelf/settings"
)

// validity is the period before and after the time of issue during which a certificate is valid.
const validity = time.Hour

// Authority issues certificates for 127.0.0.1 and writes them to a directory.
type Authority struct {
	dir  string
	key  *ecdsa.PrivateKey
	cert *x509.Certificate
}

// NewAuthority returns an Authority with a new key and writes its certificate to dir.
func NewAuthority(dir string) (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, err
	}
	template := newTemplate("test fleet", 1)
	template.IsCA, template.BasicConstraintsValid, template.KeyUsage = true, true, x509.KeyUsageCertSign
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return nil, err
	}
	a := &Authority{dir: dir, key: key}
	if a.cert, err = x509.ParseCertificate(der); err != nil {
		return nil, err
	}
	return a, a.write("ca.crt", "CERTIFICATE", der)
}

// Issue writes a certificate and key for the process name and returns the TLS settings that use them. They replace an
// earlier certificate and key of the same name, from which the new certificate differs by its serial number.
func (a *Authority) Issue(name string, serial int64) (*settings.TLS, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, err
	}
	template := newTemplate(name, serial)
	template.IPAddresses = []net.IP{net.IPv4(127, 0, 0, 1)}
	der, err := x509.CreateCertificate(rand.Reader, template, a.cert, &key.PublicKey, a.key)
	if err != nil {
		return nil, err
	}
	keyDER, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		return nil, err
	}
	if err := a.write(name+".key", "EC PRIVATE KEY", keyDER); err != nil {
		return nil, err
	}
	if err := a.write(name+".crt", "CERTIFICATE", der); err != nil {
		return nil, err
	}
	return &settings.TLS{CertFile: a.path(name + ".crt"), KeyFile: a.path(name + ".key"), CAFile: a.path("ca.crt")}, nil
}

func newTemplate(name string, serial int64) *x509.Certificate {
	now := time.Now()
	return &x509.Certificate{
		SerialNumber: big.NewInt(serial), Subject: pkix.Name{CommonName: name}, NotBefore: now.Add(-validity),
		NotAfter: now.Add(validity), KeyUsage: x509.KeyUsageDigitalSignature,
	}
}

func (a *Authority) path(file string) string { return filepath.Join(a.dir, file) }

func (a *Authority) write(file, blockType string, der []byte) error {
	data := pem.EncodeToMemory(&pem.Block{Type: blockType, Bytes: der})
	if err := os.WriteFile(a.path(file), data, 0o600); err != nil {
		return fmt.Errorf("write certificate: %w", err)
	}
	return nil
}
