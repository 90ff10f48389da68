package callproof_test

import (
	"context"
	"crypto/tls"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/radishshelf/radishshelf/agent"
	"github.com/radishshelf/radishshelf/callproof"
	"github.com/radishshelf/radishshelf/fleetauth"
	"github.com/radishshelf/radishshelf/fleetconfig"
	"github.com/radishshelf/radishshelf/rpc"
	"github.com/radishshelf/radishshelf/settings"
	"github.com/radishshelf/radishshelf/standin/certs"
	"github.com/radishshelf/radishshelf/telemetry"
	"github.com/radishshelf/radishshelf/usage"
)

const (
	testSecret            = "fleet-secret"
	testTimeout           = 10 * time.Second
	testHeartbeatInterval = 30 * time.Millisecond
)

// authority is the certificate authority of a test fleet.
type authority struct {
	*certs.Authority
	t *testing.T
}

func newAuthority(t *testing.T) authority {
	t.Helper()
	a, err := certs.NewAuthority(t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	return authority{a, t}
}

func (a authority) issue(name string, serial int64) *settings.TLS {
	a.t.Helper()
	files, err := a.Issue(name, serial)
	if err != nil {
		a.t.Fatal(err)
	}
	return files
}

// fakeEntry counts heartbeats and responds to each with a usage window length, which an agent applies if it accepts the
// response.
type fakeEntry struct {
	rpc.Peer
	heartbeats atomic.Int64
	address    atomic.Pointer[string]
}

func (f *fakeEntry) Heartbeat(_ context.Context, r *rpc.HeartbeatRequest) (*rpc.HeartbeatResponse, error) {
	f.heartbeats.Add(1)
	f.address.Store(&r.DataAddress)
	return &rpc.HeartbeatResponse{Entry: "entry-1", UsageWindowSeconds: 60}, nil
}

// startAgent runs an agent that sends heartbeats to an entry. It returns the agent's usage recorder, whose window
// length is set by the heartbeat responses that the agent accepts.
func startAgent(t *testing.T, entryAddress string, files *settings.TLS) (*usage.Recorder, *telemetry.Registry) {
	t.Helper()
	upstream := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	t.Cleanup(upstream.Close)
	secretFile := filepath.Join(t.TempDir(), "secret")
	if err := os.WriteFile(secretFile, []byte(testSecret), 0o600); err != nil {
		t.Fatal(err)
	}
	s := agent.DefaultSettings()
	s.Name, s.Serves, s.Kind, s.UpstreamURL, s.TLS = "agent-1", "fares", fleetconfig.UpstreamService, upstream.URL, files
	s.AgentAddress, s.ControlAddress, s.StatusAddress = "127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:0"
	s.Entries, s.CredentialFile, s.HeartbeatInterval = []string{entryAddress}, secretFile, settings.Duration(testHeartbeatInterval)
	recorder, registry := usage.NewRecorder("agent-1", "run-1"), telemetry.NewRegistry()
	a, err := agent.New(s, agent.Options{
		Logger: zerolog.Nop(), Registry: registry, Recorder: recorder, Flusher: noFlusher{}, Incarnation: "run-1",
	})
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- a.Run(ctx) }()
	t.Cleanup(func() {
		stop()
		if err := <-done; err != nil {
			t.Errorf("agent: %v", err)
		}
	})
	return recorder, registry
}

type noFlusher struct{}

func (noFlusher) Flush(context.Context) error { return nil }

func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(testTimeout); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if condition() {
			return
		}
	}
	t.Fatalf("%s: not seen within %s", what, testTimeout)
}

// Guards against an agent that accepts the heartbeat response of a process without the credential, or sends the
// credential to it.
func TestAgentIgnoresUnauthenticatedHeartbeatResponses(t *testing.T) {
	for _, tt := range []struct {
		name     string
		secret   string
		accepted bool
	}{{"entry with the credential", testSecret, true}, {"entry with another credential", "other", false}, {"entry without", "", false}} {
		t.Run(tt.name, func(t *testing.T) {
			fake := &fakeEntry{}
			handler := callproof.Require(tt.secret, rpc.NewPeerServer(fake))
			var calls, leaked atomic.Int64
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				calls.Add(1)
				for _, values := range r.Header {
					if strings.Contains(strings.Join(values, " "), testSecret) {
						leaked.Add(1)
					}
				}
				handler.ServeHTTP(w, r)
			}))
			defer server.Close()
			recorder, registry := startAgent(t, server.Listener.Addr().String(), nil)
			eventually(t, "heartbeats", func() bool { return calls.Load() >= 5 })
			if tt.accepted {
				eventually(t, "accepted response", func() bool { return recorder.Window().Length == time.Minute })
			}
			failures := registry.GetOrCreateCounter("radishshelf_agent_heartbeat_failures_total").Get()
			if accepted := recorder.Window().Length == time.Minute; accepted != tt.accepted || (failures > 0) == tt.accepted || leaked.Load() > 0 {
				t.Errorf("accepted %t, %d failures, %d leaks; want accepted %t and no leak", accepted, failures, leaked.Load(), tt.accepted)
			}
		})
	}
}

// Guards against TLS between the processes of a fleet that does not verify the peer, and against a renewed certificate
// that is used only after a restart.
func TestRenewedCertificateIsUsed(t *testing.T) {
	ca := newAuthority(t)
	entryTLS, err := fleetauth.MutualTLS(ca.issue("entry-1", 10))
	if err != nil {
		t.Fatal(err)
	}
	fake := &fakeEntry{}
	var agentSerial atomic.Int64
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		agentSerial.Store(r.TLS.PeerCertificates[0].SerialNumber.Int64())
		w.Header().Set("Connection", "close") // forces the next heartbeat to open a new connection
		callproof.Require(testSecret, rpc.NewPeerServer(fake)).ServeHTTP(w, r)
	}))
	server.TLS = entryTLS.Clone()
	server.StartTLS()
	defer server.Close()
	startAgent(t, server.Listener.Addr().String(), ca.issue("agent-1", 20))
	eventually(t, "heartbeat over TLS", func() bool { return fake.heartbeats.Load() > 0 && agentSerial.Load() == 20 })

	dial := func(address string) (serial int64) {
		conn, err := tls.Dial("tcp", address, entryTLS)
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		return conn.ConnectionState().PeerCertificates[0].SerialNumber.Int64()
	}
	agentAddress, entryAddress := *fake.address.Load(), server.Listener.Addr().String()
	if a, e := dial(agentAddress), dial(entryAddress); a != 20 || e != 10 {
		t.Fatalf("serials %d and %d; want 20 and 10", a, e)
	}
	ca.issue("agent-1", 21)
	ca.issue("entry-1", 11)
	if a, e := dial(agentAddress), dial(entryAddress); a != 21 || e != 11 {
		t.Errorf("serials after the renewal %d and %d; want 21 and 11", a, e)
	}
	eventually(t, "renewed client certificate", func() bool { return agentSerial.Load() == 21 })

	foreignTLS, err := fleetauth.MutualTLS(newAuthority(t).issue("entry-9", 90))
	if err != nil {
		t.Fatal(err)
	}
	if conn, err := tls.Dial("tcp", agentAddress, foreignTLS); err == nil {
		conn.Close()
		t.Error("a process with another certificate authority accepted the agent's certificate")
	}
	foreignTLS.RootCAs = entryTLS.RootCAs // trusts the agent, but its own certificate is still from the other authority
	conn, err := tls.Dial("tcp", agentAddress, foreignTLS)
	if err != nil {
		return
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(testTimeout))
	if _, err := conn.Read(make([]byte, 1)); err == nil || strings.Contains(err.Error(), "timeout") {
		t.Errorf("the agent accepted a certificate of another authority: %v", err)
	}
}
