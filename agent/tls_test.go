package agent

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/radishshelf/radishshelf/dataplane"
	"github.com/radishshelf/radishshelf/fleetauth"
	"github.com/radishshelf/radishshelf/fleetconfig"
	"github.com/radishshelf/radishshelf/outcome"
	"github.com/radishshelf/radishshelf/rpc"
	"github.com/radishshelf/radishshelf/settings"
	"github.com/radishshelf/radishshelf/telemetry"
	"github.com/radishshelf/radishshelf/usage"
)

// writeTLS writes a self-signed certificate for 127.0.0.1 and its key, and returns settings that also use it as the CA.
func writeTLS(t *testing.T) *settings.TLS {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "fleet"}, IsCA: true, BasicConstraintsValid: true,
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour), IPAddresses: []net.IP{{127, 0, 0, 1}},
		KeyUsage: x509.KeyUsageDigitalSignature | x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		t.Fatal(err)
	}
	keyDER, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	out := &settings.TLS{CertFile: filepath.Join(dir, "crt"), KeyFile: filepath.Join(dir, "key"), CAFile: filepath.Join(dir, "crt")}
	for file, block := range map[string]*pem.Block{
		out.CertFile: {Type: "CERTIFICATE", Bytes: der}, out.KeyFile: {Type: "EC PRIVATE KEY", Bytes: keyDER},
	} {
		if err := os.WriteFile(file, pem.EncodeToMemory(block), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	return out
}

// Guards against ports that serve a client without a certificate of the fleet, and against heartbeats that fail with
// TLS.
func TestMutualTLS(t *testing.T) {
	s, upstream := startService(t)
	files := writeTLS(t)
	config, err := fleetauth.MutualTLS(files)
	if err != nil {
		t.Fatal(err)
	}
	entry := &fakeEntry{name: "entry-1"}
	server := httptest.NewUnstartedServer(rpc.NewPeerServer(entry))
	server.TLS = config.Clone()
	server.StartTLS()
	defer server.Close()
	cfg := DefaultSettings()
	cfg.Name, cfg.Serves, cfg.Kind, cfg.UpstreamURL, cfg.TLS = "agent-1", "fares", fleetconfig.UpstreamService, upstream.URL, files
	cfg.AgentAddress, cfg.ControlAddress, cfg.StatusAddress = "127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:0"
	cfg.Entries = []string{strings.TrimPrefix(server.URL, "https://")}
	cfg.HeartbeatInterval = settings.Duration(50 * time.Millisecond)
	recorder := usage.NewRecorder("agent-1", "run-1")
	a, err := New(cfg, Options{
		Logger: zerolog.Nop(), Registry: telemetry.NewRegistry(), Recorder: recorder, Flusher: memoryFlusher{recorder},
	})
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- a.Run(ctx) }()
	defer func() {
		stop()
		<-done
	}()
	if !waitFor(func() bool { return entry.lastReport().Healthy }) {
		t.Fatal("no heartbeat over TLS")
	}
	c := dataplane.Call{
		Address: entry.lastReport().DataAddress, RequestID: "r1", Timeout: testTimeout, Method: http.MethodGet, Target: "/fares/a/b",
	}
	pool := config.RootCAs
	withoutCert := dataplane.NewClient(&tls.Config{RootCAs: pool}, "")
	defer withoutCert.Close()
	_, err = withoutCert.Do(t.Context(), c)
	if _, refused := outcome.AsRefusal(err); !refused || len(s.Executions().RequestIDs) != 0 {
		t.Errorf("a client without a certificate: %v, executions %v; want a refusal and none", err, s.Executions().RequestIDs)
	}
	withCert := dataplane.NewClient(&tls.Config{RootCAs: pool, GetClientCertificate: config.GetClientCertificate}, "")
	defer withCert.Close()
	if _, err := withCert.Do(t.Context(), c); err != nil {
		t.Errorf("a client with a certificate: %v", err)
	}
}
