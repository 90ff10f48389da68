package main

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/twitchtv/twirp"

	"github.com/radishshelf/radishshelf/agent"
	"github.com/radishshelf/radishshelf/configstore"
	"github.com/radishshelf/radishshelf/dataplane"
	"github.com/radishshelf/radishshelf/entry"
	"github.com/radishshelf/radishshelf/entry/peer"
	"github.com/radishshelf/radishshelf/fleetconfig"
	"github.com/radishshelf/radishshelf/operatorclient"
	"github.com/radishshelf/radishshelf/outcome"
	"github.com/radishshelf/radishshelf/rpc"
	"github.com/radishshelf/radishshelf/settings"
	"github.com/radishshelf/radishshelf/standin/certs"
	"github.com/radishshelf/radishshelf/standin/httpapi"
	"github.com/radishshelf/radishshelf/standin/memory"
	"github.com/radishshelf/radishshelf/telemetry"
	"github.com/radishshelf/radishshelf/usage"
)

const fleetCredential = "credential-of-the-fleet"

// tlsCommonSettings returns the common settings of a process in a fleet with TLS and a credential.
func tlsCommonSettings(t *testing.T, ca *certs.Authority, name string) settings.Common {
	t.Helper()
	files, err := ca.Issue(name, 1)
	if err != nil {
		t.Fatal(err)
	}
	credentialFile := filepath.Join(t.TempDir(), "credential")
	if err := os.WriteFile(credentialFile, []byte(fleetCredential), 0o600); err != nil {
		t.Fatal(err)
	}
	return settings.Common{
		Name: name, DataCentre: "sudur", Region: "sudur", StatusAddress: "127.0.0.1:0", TLS: files, CredentialFile: credentialFile,
	}
}

// noopFlusher leaves the usage records in the recorder.
type noopFlusher struct{}

func (noopFlusher) Flush(context.Context) error { return nil }

// startTLSAgent runs an agent of a plain service.
func (c *testCluster) startTLSAgent(common settings.Common) {
	upstream := serveHTTP(c.t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("booked")) }))
	s := agent.DefaultSettings()
	s.Common, s.Kind, s.Serves, s.UpstreamURL = common, fleetconfig.UpstreamService, "desk", "http://"+upstream
	s.AgentAddress, s.ControlAddress = "127.0.0.1:0", "127.0.0.1:0"
	s.Entries = []string{c.entries[0].listeners.peer.Addr().String()}
	s.HeartbeatInterval, s.ProbeInterval = settings.Duration(100*time.Millisecond), settings.Duration(100*time.Millisecond)
	running, err := agent.New(s, agent.Options{
		Logger: zerolog.Nop(), Registry: telemetry.NewRegistry(), Recorder: usage.NewRecorder(s.Name, "run-1"),
		Flusher: noopFlusher{}, Incarnation: "run-1",
	})
	if err != nil {
		c.t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		if err := running.Run(ctx); err != nil {
			c.t.Error(err)
		}
	}()
	c.t.Cleanup(func() {
		cancel()
		<-stopped
	})
}

// checkOperatorPort checks that the operator port accepts a client with the fleet's CA and no other.
func (c *testCluster) checkOperatorPort(ca *certs.Authority) {
	c.t.Helper()
	files, err := ca.Issue("operator", 9)
	if err != nil {
		c.t.Fatal(err)
	}
	pem, err := os.ReadFile(files.CAFile)
	if err != nil {
		c.t.Fatal(err)
	}
	pool := x509.NewCertPool()
	pool.AppendCertsFromPEM(pem)
	address := c.entries[0].listeners.operator.Addr().String()
	if _, err := operatorclient.New(address, operatorclient.Options{TLS: &tls.Config{RootCAs: pool}}).Entries(c.t.Context()); err != nil {
		c.t.Errorf("operator with the CA of the fleet: %v", err)
	}
	for name, config := range map[string]*tls.Config{"without TLS": nil, "with other CAs": {RootCAs: x509.NewCertPool()}} {
		if _, err := operatorclient.New(address, operatorclient.Options{TLS: config}).Entries(c.t.Context()); err == nil {
			c.t.Errorf("operator %s was accepted", name)
		}
	}
}

// Guards against processes that cannot reach each other in a fleet with TLS and a credential, and against requests or
// heartbeats accepted from a process that has a certificate but not the credential.
func TestFleetWithTLSAndCredential(t *testing.T) {
	ca, err := certs.NewAuthority(t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	c := &testCluster{t: t, platform: memory.New(memory.Options{})}
	address := serveHTTP(t, httpapi.NewHandler(c.platform.Services()))
	c.store = configstore.New(c.platform.Services().Table)
	c.write(fleetconfig.KindWorkspace, "hraunvegur", fleetconfig.Workspace{})
	c.write(fleetconfig.KindKey, "k1", fleetconfig.Key{SecretHash: fleetconfig.HashSecret(secret), Workspace: "hraunvegur"})
	c.write(fleetconfig.KindRoute, "book", fleetconfig.Route{PathPrefix: "/book", Service: "desk"})
	var peers []string
	for _, name := range []string{"entry-1", "entry-2"} {
		s := entry.DefaultSettings()
		s.Common = tlsCommonSettings(t, ca, name)
		s.CallerAddress, s.OperatorAddress, s.PeerAddress = "127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:0"
		s.PlatformAddress, s.Peers, s.ReadinessDelay = address, peers, settings.Duration(50*time.Millisecond)
		c.start(s)
		peers = append(peers, c.entries[len(c.entries)-1].listeners.peer.Addr().String())
	}
	c.startTLSAgent(tlsCommonSettings(t, ca, "desk-1"))
	for _, p := range c.entries { // the second entry learns of the agent from the agent or the first entry
		c.await("the entry is ready and knows the upstream", func() bool {
			list := p.fleet.Upstreams(time.Now())
			return p.ready() == nil && len(list) == 1 && list[0].Healthy
		})
		if status, response := c.call(p, "POST", "/book", secret, "x"); status != http.StatusOK || response != "booked" {
			t.Fatalf("call: %d %q", status, response)
		}
	}

	c.checkOperatorPort(ca)
	upstream := c.entries[0].fleet.Upstreams(time.Now())[0]
	for _, credential := range []string{"", "other"} {
		_, err := peer.NewDialer(credential, c.entries[1].tls, time.Second).Dial(peers[0]).Heartbeat(t.Context(), &rpc.HeartbeatRequest{
			Upstream: "desk-9", DataAddress: "127.0.0.1:1", DataCentre: "sudur", Region: "sudur", Kind: "service", Policy: "desk",
			Incarnation: "i", ReportSeq: 1, Healthy: true,
		})
		if twirpErr, ok := err.(twirp.Error); !ok || twirpErr.Code() != twirp.Unauthenticated || len(c.entries[0].fleet.Upstreams(time.Now())) != 1 {
			t.Errorf("credential %q: heartbeat %v; want it refused", credential, err)
		}
		client := dataplane.NewClient(c.entries[1].tls, credential)
		defer client.Close()
		_, err = client.Do(t.Context(), dataplane.Call{
			Address: upstream.DataAddress, RequestID: "r1", Timeout: time.Second, Method: "POST", Target: "/book",
		})
		if refusal, ok := outcome.AsRefusal(err); !ok || refusal.Kind != outcome.KindUnauthorized || refusal.Outcome != outcome.NotRun {
			t.Errorf("credential %q: call %v; want it refused as not run", credential, err)
		}
	}
}
