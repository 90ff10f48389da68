package slopes

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/radishshelf/radishshelf/agent/engineapi"
	"github.com/radishshelf/radishshelf/dataplane"
	"github.com/radishshelf/radishshelf/entry"
	"github.com/radishshelf/radishshelf/prefixindex"
	"github.com/radishshelf/radishshelf/rpc"
	"github.com/radishshelf/radishshelf/standin/memory"
	"github.com/radishshelf/radishshelf/usage"
)

const (
	// dataCallers is below the slots of the agent, so that nothing is queued there.
	dataCallers     = 48
	dataTimeout     = 30 * time.Second
	dataPromptBytes = 3200
)

var errDataPath = errors.New("a request on the measured data path failed")

// dataPath is a client, an entry, an agent and a stand-in engine over loopback.
type dataPath struct {
	sidecar *sidecar
	server  *http.Server
	entry   *entry.Entry
	fleet   *entry.Fleet
	url     string
	client  *http.Client
	direct  *dataplane.Client
	agent   string
	cancel  context.CancelFunc
}

// newDataPath starts the path. The entry also knows that many other upstreams of the policy, which are not healthy.
func newDataPath(others int) (*dataPath, error) {
	taker := &reportTaker{}
	reports, err := serve(rpc.NewPeerServer(taker))
	if err != nil {
		return nil, err
	}
	p := memory.New(memory.Options{})
	c, err := startSidecar(0, 1, []string{reports.address}, p.Table)
	if err != nil {
		return nil, err
	}
	d := &dataPath{sidecar: c, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: dataCallers}}, direct: dataplane.NewClient(nil, "")}
	for end := time.Now().Add(settleTimeout); taker.address() == "" && time.Now().Before(end); {
		time.Sleep(5 * time.Millisecond)
	}
	d.agent = taker.address()
	if d.agent == "" {
		return nil, errNotReady
	}
	d.startEntry(others)
	served, err := serve(d.entry)
	if err != nil {
		return nil, err
	}
	d.server, d.url = served.server, "http://"+served.address+engineapi.PathChat
	return d, nil
}

func (d *dataPath) startEntry(others int) {
	settings := entry.DefaultSettings()
	config := newFixedConfig()
	d.fleet = entry.NewFleet("dc-0", "region-0", rand.New(rand.NewSource(1)))
	now := time.Now().Add(dataTimeout) // so that the views stay alive without heartbeats
	own := reportOfUpstream(0, 1, "planner", 1)
	own.DataAddress = d.agent
	d.fleet.Heartbeat(own, prefixindex.Event{}, nil, now)
	for i := range others {
		report := reportOfUpstream(i+1, 8, "planner", 1)
		report.Healthy = false
		d.fleet.Heartbeat(report, prefixindex.Event{}, nil, now)
	}
	ctx, cancel := context.WithCancel(context.Background())
	d.cancel = cancel
	d.entry = entry.New(entry.Options{
		Settings: settings, Log: zerolog.New(io.Discard), Config: config, Fleet: d.fleet, Client: d.direct,
		Quota: entry.NewQuotaShares("entry-0", config), Usage: usage.NewRetainer("entry-0", 10*maxRetained),
	})
	go d.entry.Run(ctx)
}

func (d *dataPath) close() {
	d.cancel()
	_ = d.server.Close()
	d.entry.Close()
	d.client.CloseIdleConnections()
	d.direct.Close()
	d.sidecar.close()
}

func dataBody(tokens int) string {
	return fmt.Sprintf(`{"model":"planner","stream":true,"max_tokens":%d,"messages":[{"role":"user","content":%q}]}`,
		tokens, strings.Repeat("abcd", dataPromptBytes/4))
}

// viaEntry runs one request as a caller does.
func (d *dataPath) viaEntry(tokens int) error { return d.post(d.url, tokens) }

// viaEngine sends the request to the stand-in engine, for the cost of client and engine alone.
func (d *dataPath) viaEngine(tokens int) error {
	return d.post(d.sidecar.engine.url+engineapi.PathChat, tokens)
}

func (d *dataPath) post(url string, tokens int) error {
	req, err := http.NewRequest(http.MethodPost, url, strings.NewReader(dataBody(tokens)))
	if err != nil {
		return err
	}
	req.Header.Set("Authorization", "Bearer "+dataSecret)
	req.Header.Set("Content-Type", "application/json")
	resp, err := d.client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK || !strings.Contains(string(data), engineapi.DoneEvent) {
		return fmt.Errorf("%w: status %d: %.300s", errDataPath, resp.StatusCode, data)
	}
	return nil
}

// viaAgent sends the request to the agent with the client of the entry.
func (d *dataPath) viaAgent(i, tokens int) error {
	answer, err := d.direct.Do(context.Background(), dataplane.Call{
		Address: d.agent, RequestID: fmt.Sprintf("r-%d-%d", tokens, i), Attempt: 1, Workspace: "planner", Policy: "planner",
		Timeout: dataTimeout, Method: http.MethodPost, Target: engineapi.PathChat, Idempotent: true, Fingerprint: "f",
		Header: http.Header{"Content-Type": []string{"application/json"}}, Body: []byte(dataBody(tokens)),
	})
	if err != nil {
		return err
	}
	_, err = io.Copy(io.Discard, answer)
	return errors.Join(err, answer.Close())
}

// costPerRequest returns the processor time in microseconds of one request, with a few callers at a time.
func costPerRequest(count int, run func(i int) error) (float64, error) {
	var failed error
	var once sync.Once
	cost := costOfEach(1, func(int) {
		var group sync.WaitGroup
		for caller := range dataCallers {
			group.Go(func() {
				for i := caller; i < count; i += dataCallers {
					if err := run(i); err != nil {
						once.Do(func() { failed = err })
						return
					}
				}
			})
		}
		group.Wait()
	})
	return cost / float64(count), failed
}

func measureDataPath(r *Report) error {
	r.heading("data path: cpu of one streamed request by generated tokens, each token its own event and flush")
	d, err := newDataPath(0)
	if err != nil {
		return err
	}
	defer d.close()
	all := newSeries("datapath.cpu_client_entry_agent_engine", "tokens", "us")
	agent := newSeries("datapath.cpu_client_agent_engine", "tokens", "us")
	engine := newSeries("datapath.cpu_client_engine", "tokens", "us")
	entryOnly := newSeries("datapath.cpu_entry", "tokens", "us")
	agentOnly := newSeries("datapath.cpu_agent", "tokens", "us")
	for _, size := range []int{1, 50, 150, 300} {
		count := 1920
		if size > 1 {
			count = 480
		}
		if size > 200 {
			count = 240 // keeps the whole program under four minutes
		}
		paths := []func(i int) error{
			func(int) error { return d.viaEntry(size) },
			func(i int) error { return d.viaAgent(i, size) },
			func(int) error { return d.viaEngine(size) },
		}
		costs := make([]float64, len(paths))
		for i, path := range paths {
			if _, err := costPerRequest(dataCallers, path); err != nil { // opens the connections
				return err
			}
			if costs[i], err = costPerRequest(count, path); err != nil {
				return err
			}
		}
		all.add(size, costs[0])
		agent.add(size, costs[1])
		engine.add(size, costs[2])
		entryOnly.add(size, costs[0]-costs[1])
		agentOnly.add(size, costs[1]-costs[2])
	}
	r.print(all, agent, engine, entryOnly, agentOnly)
	r.heading("data path: cpu of one request of one token by upstreams that the entry knows")
	return dataPathByUpstreams(r)
}

func dataPathByUpstreams(r *Report) error {
	cpu := newSeries("datapath.cpu_by_upstreams", "upstreams", "us")
	for _, size := range []int{1, 100, 340, 680} {
		d, err := newDataPath(size - 1)
		if err != nil {
			return err
		}
		run := func(int) error { return d.viaEntry(1) }
		_, err = costPerRequest(dataCallers, run)
		cost := 0.0
		if err == nil {
			cost, err = costPerRequest(1920, run)
		}
		d.close()
		if err != nil {
			return err
		}
		cpu.add(size, cost)
	}
	r.print(cpu)
	return nil
}
