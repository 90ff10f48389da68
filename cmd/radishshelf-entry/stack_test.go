package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/radishshelf/radishshelf/agent"
	"github.com/radishshelf/radishshelf/dataplane"
	"github.com/radishshelf/radishshelf/fleetconfig"
	"github.com/radishshelf/radishshelf/settings"
	"github.com/radishshelf/radishshelf/standin/engine"
	"github.com/radishshelf/radishshelf/standin/httpapi"
	"github.com/radishshelf/radishshelf/telemetry"
	"github.com/radishshelf/radishshelf/usage"
	"github.com/radishshelf/radishshelf/usagestore"
)

// startEngine runs a stand-in engine with a real agent, which reports to the first entry.
func (c *testCluster) startEngine(name, policy string) {
	s := engine.Defaults()
	s.Policy, s.TokensPerSecond = policy, 5000
	address := serveHTTP(c.t, engine.New(s, engine.Options{Logger: zerolog.Nop()}).Handler())
	a := agent.DefaultSettings()
	a.Name, a.DataCentre, a.Region = name, "sudur", "sudur"
	a.AgentAddress, a.ControlAddress, a.StatusAddress = "127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:0"
	a.UpstreamURL, a.Serves = "http://"+address, policy
	a.Entries = []string{c.entries[0].listeners.peer.Addr().String()}
	a.PlatformAddress = c.entries[0].settings.PlatformAddress
	a.HeartbeatInterval, a.ProbeInterval = settings.Duration(100*time.Millisecond), settings.Duration(100*time.Millisecond)
	registry := telemetry.NewRegistry()
	incarnation := agent.NewIncarnation()
	recorder := usage.NewRecorder(name, incarnation)
	writer := usagestore.NewWriter(httpapi.NewServices(a.PlatformAddress, httpapi.Options{}).Table, func() usage.Window { return usage.Window{} }, time.Now)
	flusher := usagestore.NewFlusher("agent", writer, usagestore.NewRecorderSource(recorder), usagestore.FlusherOptions{}, zerolog.Nop(), registry)
	running, err := agent.New(a, agent.Options{
		Logger: zerolog.Nop(), Registry: registry, Tracer: telemetry.NopTracer(), Recorder: recorder, Flusher: flusher,
		Incarnation: incarnation,
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

func (c *testCluster) call(p *process, method, path, key, body string) (int, string) {
	req, _ := http.NewRequest(method, "http://"+p.listeners.caller.Addr().String()+path, strings.NewReader(body))
	req.Header.Set("Authorization", "Bearer "+key)
	resp, err := callerTransport.RoundTrip(req)
	if err != nil {
		return 0, err.Error()
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, err.Error()
	}
	if resp.StatusCode == http.StatusOK && resp.Header.Get(dataplane.HeaderOutcome) != "ran" && !strings.HasPrefix(path, "/v1/trainers/") {
		c.t.Errorf("%s: the response has no outcome", path)
	}
	return resp.StatusCode, string(data)
}

// Guards against components that do not work together: chat requests, sample groups, a pulled lot, and a published
// version that then serves, across two entries.
func TestEndToEndAcrossEntries(t *testing.T) {
	const trainerKey = "secret-of-the-coach-0002"
	c := startTestCluster(t)
	c.write(fleetconfig.KindPolicy, "toll", fleetconfig.Policy{})
	c.write(fleetconfig.KindTrainer, "coach", fleetconfig.Trainer{Policy: "toll", MaxStaleness: 2, LotSamples: 4})
	c.write(fleetconfig.KindKey, "k2", fleetconfig.Key{SecretHash: fleetconfig.HashSecret(trainerKey), Trainer: "coach"})
	c.startEngine("engine-1", "toll")
	group := func(p *process, id string) (int, string) {
		body := fmt.Sprintf(`{"policy":"toll","trainer":"coach","group":%q,"size":4,"messages":[{"role":"user","content":"fare?"}],"max_tokens":8}`, id)
		return c.call(p, "POST", "/v1/rollout-groups", secret, body)
	}
	for i, p := range c.entries {
		c.await("the engine and the configuration are known", func() bool {
			list := p.fleet.Upstreams(time.Now())
			_, trainerKnown := p.syncer.View().Trainer("coach")
			_, keyKnown := p.syncer.View().Object(fleetconfig.KindKey, "k2")
			return len(list) == 1 && list[0].ActiveVersion == 1 && len(p.rollouts()) == 1 && trainerKnown && keyKnown
		})
		for _, stream := range []bool{false, true} {
			body := fmt.Sprintf(`{"model":"toll","messages":[{"role":"user","content":"fare?"}],"max_tokens":8,"stream":%v}`, stream)
			if status, response := c.call(p, "POST", "/v1/chat/completions", secret, body); status != 200 || strings.Contains(response, "[DONE]") != stream {
				t.Fatalf("stream %v: %d %q", stream, status, response)
			}
		}
		if status, response := group(p, fmt.Sprintf("g%d", i)); status != 200 || strings.Count(response, `"versions":[1]`) != 4 {
			t.Fatalf("group: %d %q", status, response)
		}
	}
	if status, response := c.call(c.entries[1], "POST", "/v1/trainers/coach/pull", trainerKey, `{"after":0,"step":1}`); status != 200 || !strings.Contains(response, "g0/3") {
		t.Fatalf("pull: %d %q", status, response)
	}
	if status, _ := c.call(c.entries[1], "POST", "/v1/trainers/coach/pull", secret, `{"after":0,"step":1}`); status != http.StatusUnauthorized {
		t.Fatalf("a workspace key pulled a lot: %d", status)
	}
	c.platform.Weights.Put("toll", 2, []byte("weights"))
	if status, response := c.call(c.entries[0], "POST", "/v1/trainers/coach/versions", trainerKey, `{"version":2}`); status/100 != 2 {
		t.Fatalf("publish: %d %q", status, response)
	}
	c.await("the published version is active", func() bool { return c.entries[1].fleet.Upstreams(time.Now())[0].ActiveVersion == 2 })
	if status, response := group(c.entries[1], "g9"); status != 200 || strings.Count(response, `"versions":[2]`) != 4 {
		t.Fatalf("group of the new version: %d %q", status, response)
	}
}
