package main

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/radishshelf/radishshelf/configstore"
	"github.com/radishshelf/radishshelf/dataplane"
	"github.com/radishshelf/radishshelf/entry"
	"github.com/radishshelf/radishshelf/fleetconfig"
	"github.com/radishshelf/radishshelf/rpc"
	"github.com/radishshelf/radishshelf/settings"
	"github.com/radishshelf/radishshelf/standin/httpapi"
	"github.com/radishshelf/radishshelf/standin/memory"
	"github.com/radishshelf/radishshelf/telemetry"
)

const secret = "secret-of-hraunvegur-0001"

// callerTransport disables keep-alive: a dialled but unused connection delays the shutdown of a server by 5 s.
var callerTransport = &http.Transport{DisableKeepAlives: true}

// testCluster is two entries that share one platform, on loopback.
type testCluster struct {
	t        *testing.T
	platform *memory.Platform
	store    *configstore.Store
	entries  []*process
	stops    []context.CancelFunc
	stopped  []chan struct{}
}

func startTestCluster(t *testing.T) *testCluster {
	c := &testCluster{t: t, platform: memory.New(memory.Options{})}
	address := serveHTTP(t, httpapi.NewHandler(c.platform.Services()))
	c.store = configstore.New(c.platform.Services().Table)
	c.write(fleetconfig.KindWorkspace, "hraunvegur", fleetconfig.Workspace{})
	c.write(fleetconfig.KindKey, "k1", fleetconfig.Key{SecretHash: fleetconfig.HashSecret(secret), Workspace: "hraunvegur"})
	c.write(fleetconfig.KindRoute, "book", fleetconfig.Route{PathPrefix: "/book", Service: "desk"})
	var peers []string
	for _, name := range []string{"entry-1", "entry-2"} {
		s := entry.DefaultSettings()
		s.Name, s.DataCentre, s.Region = name, "sudur", "sudur"
		s.CallerAddress, s.OperatorAddress, s.PeerAddress, s.StatusAddress = "127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:0"
		s.PlatformAddress, s.Peers, s.ClaimsPerSecond = address, peers, 50
		s.ReadinessDelay = settings.Duration(50 * time.Millisecond)
		c.start(s)
		peers = append(peers, c.entries[len(c.entries)-1].listeners.peer.Addr().String())
	}
	for _, p := range c.entries {
		c.await("the entry is ready", func() bool { return p.ready() == nil })
	}
	return c
}

func serveHTTP(t *testing.T, h http.Handler) string {
	s := httptest.NewServer(h)
	t.Cleanup(s.Close)
	return s.Listener.Addr().String()
}

func (c *testCluster) start(s entry.Settings) {
	p, err := newProcess(s, zerolog.Nop(), telemetry.NopTracer())
	if err != nil {
		c.t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		if err := p.serve(ctx); err != nil {
			c.t.Error(err)
		}
	}()
	c.entries, c.stops, c.stopped = append(c.entries, p), append(c.stops, cancel), append(c.stopped, stopped)
	c.t.Cleanup(func() {
		cancel()
		<-stopped
	})
}

func (c *testCluster) write(kind fleetconfig.Kind, name string, value any) int64 {
	revision, err := c.store.Write(context.Background(), kind, name, value, 0)
	if err != nil {
		c.t.Fatal(err)
	}
	return revision
}

func (c *testCluster) await(condition string, done func() bool) {
	c.t.Helper()
	for end := time.Now().Add(10 * time.Second); !done(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			c.t.Fatal("not within 10 s: " + condition)
		}
	}
}

// startFakeAgent starts an agent served by serve that sends heartbeats to one entry only.
func (c *testCluster) startFakeAgent(to *process, serve func(w http.ResponseWriter, r *http.Request)) {
	address := serveHTTP(c.t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.ReadAll(r.Body)
		w.Header().Set(dataplane.HeaderRequestID, r.Header.Get(dataplane.HeaderRequestID))
		w.Header().Set("Trailer", dataplane.TrailerComplete+", "+dataplane.TrailerResult)
		serve(w, r)
	}))
	ctx, cancel := context.WithCancel(context.Background())
	c.t.Cleanup(cancel)
	client := to.dialer.Dial(to.listeners.peer.Addr().String())
	go func() {
		for seq := int64(1); ctx.Err() == nil; seq++ {
			_, _ = client.Heartbeat(ctx, &rpc.HeartbeatRequest{
				Upstream: "desk-1", DataAddress: address, DataCentre: "sudur", Region: "sudur", Kind: "service", Policy: "desk",
				Incarnation: "i1", ReportSeq: seq, Healthy: true, Slots: 4,
			})
			time.Sleep(100 * time.Millisecond)
		}
	}()
	for _, p := range c.entries {
		c.await("the entry knows the upstream", func() bool { return len(p.fleet.Upstreams(time.Now())) == 1 })
	}
}

func writeComplete(w http.ResponseWriter, body string) {
	_, _ = io.WriteString(w, body)
	w.Header().Set(dataplane.TrailerComplete, "true")
}

func (c *testCluster) book(p *process, idempotencyKey, body string) (status int, response, outcome string) {
	req, _ := http.NewRequest("POST", "http://"+p.listeners.caller.Addr().String()+"/book", strings.NewReader(body))
	req.Header.Set("X-Api-Key", secret)
	req.Header.Set("Idempotency-Key", idempotencyKey)
	resp, err := callerTransport.RoundTrip(req)
	if err != nil {
		return 0, err.Error(), ""
	}
	defer resp.Body.Close()
	data, _ := io.ReadAll(resp.Body)
	return resp.StatusCode, string(data), resp.Header.Get(dataplane.HeaderOutcome)
}

// Guards against a request that runs twice when its caller resends it through another entry after losing the response
// or the entry, or while the store is down.
func TestResendThroughOtherEntry(t *testing.T) {
	c := startTestCluster(t)
	var runs atomic.Int32
	release := make(chan struct{})
	defer close(release)
	c.startFakeAgent(c.entries[0], func(w http.ResponseWriter, _ *http.Request) {
		switch runs.Add(1) {
		case 2:
			<-release
		case 3:
			panic(http.ErrAbortHandler)
		}
		writeComplete(w, "booked")
	})
	for _, p := range []*process{c.entries[0], c.entries[1], c.entries[0]} {
		if status, body, outcome := c.book(p, "once", "charter"); status != 200 || body != "booked" || outcome != "ran" {
			t.Fatalf("got %d %q %s", status, body, outcome)
		}
	}
	if status, body, _ := c.book(c.entries[1], "once", "other"); status != http.StatusUnprocessableEntity {
		t.Fatalf("the idempotency key with another body: %d %q", status, body)
	}
	if n := runs.Load(); n != 1 {
		t.Fatalf("the booking ran %d times", n)
	}
	// Simulates the loss of the first entry while the request runs there: its claim stays.
	go c.book(c.entries[0], "lost", "charter")
	c.await("the request runs", func() bool { return runs.Load() == 2 })
	if status, body, outcome := c.book(c.entries[1], "lost", "charter"); status != http.StatusConflict || outcome != "may-have-run" {
		t.Fatalf("the resend: %d %q %s", status, body, outcome)
	}
	for i, p := range c.entries {
		want := []int{http.StatusBadGateway, http.StatusConflict}[i]
		if status, body, outcome := c.book(p, "reset", "charter"); status != want || outcome != "may-have-run" {
			t.Fatalf("after a reset, through entry %d: %d %q %s", i+1, status, body, outcome)
		}
	}
	table, _ := c.platform.FaultInjector(memory.ServiceTable)
	table.Set(memory.Faults{Outage: true})
	if status, body, outcome := c.book(c.entries[1], "down", "charter"); status != 503 || outcome != "not-run" {
		t.Fatalf("while the store is down: %d %q %s", status, body, outcome)
	}
	table.Set(memory.Faults{})
	if n := runs.Load(); n != 3 {
		t.Fatalf("the bookings ran %d times", n)
	}
}

// Guards against an idempotency claim that remains after an agent reported "not-run", and a withdrawn key that another
// entry still accepts.
func TestClaimReleaseAndKeyWithdrawal(t *testing.T) {
	c := startTestCluster(t)
	var refuse atomic.Bool
	refuse.Store(true)
	c.startFakeAgent(c.entries[1], func(w http.ResponseWriter, _ *http.Request) {
		if refuse.Load() {
			w.Header().Set(dataplane.HeaderRefusalKind, "leaving")
			w.Header().Set(dataplane.HeaderOutcome, "not-run")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		writeComplete(w, "booked")
	})
	if status, body, outcome := c.book(c.entries[0], "k", "x"); status != 503 || outcome != "not-run" {
		t.Fatalf("got %d %q %s", status, body, outcome)
	}
	refuse.Store(false)
	if status, body, _ := c.book(c.entries[1], "k", "x"); status != 200 {
		t.Fatalf("after the release: %d %q", status, body)
	}
	object, _ := c.entries[0].syncer.View().Object(fleetconfig.KindKey, "k1")
	var key fleetconfig.Key
	if err := json.Unmarshal(object.Value, &key); err != nil {
		t.Fatal(err)
	}
	key.Withdrawn = true
	if _, err := c.store.Write(context.Background(), fleetconfig.KindKey, "k1", key, object.Revision); err != nil {
		t.Fatal(err)
	}
	for _, p := range c.entries {
		c.await("the withdrawn key is refused", func() bool {
			status, _, _ := c.book(p, "k", "x")
			return status == http.StatusUnauthorized
		})
	}
}

// Guards against a shutdown that cuts off a request in flight, and a port that crashes on malformed input.
func TestShutdownAndMalformedInput(t *testing.T) {
	c := startTestCluster(t)
	started, finish := make(chan struct{}, 1), make(chan struct{})
	c.startFakeAgent(c.entries[0], func(w http.ResponseWriter, _ *http.Request) {
		started <- struct{}{}
		<-finish
		writeComplete(w, "booked")
	})
	p := c.entries[0]
	for _, l := range []net.Listener{p.listeners.caller, p.listeners.operator, p.listeners.peer, p.listeners.status} {
		conn, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		_, _ = io.WriteString(conn, "\x00\xff not http\r\n\r\n")
		if response, _ := io.ReadAll(conn); !strings.Contains(string(response), "400") {
			t.Fatalf("malformed input got %q", response)
		}
		conn.Close()
	}
	if _, err := p.dialer.Dial(p.listeners.peer.Addr().String()).Heartbeat(context.Background(), &rpc.HeartbeatRequest{}); err == nil {
		t.Fatal("an empty heartbeat was accepted")
	}
	response := make(chan string)
	go func() {
		_, body, _ := c.book(p, "slow", "x")
		response <- body
	}()
	<-started
	c.stops[0]()
	c.await("readiness is withdrawn", func() bool { return p.ready() != nil })
	time.Sleep(200 * time.Millisecond)
	close(finish)
	if body := <-response; body != "booked" {
		t.Fatalf("the request in flight got %q", body)
	}
	<-c.stopped[0]
}
