package fleet

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"

	standin "github.com/radishshelf/radishshelf/standin/platform"
)

// readyTimeout bounds the start of the processes. It is generous because other tests run on the same machine.
const readyTimeout = 30 * time.Second

// Entry is an entry process with its listen addresses.
type Entry struct {
	*Process
	CallerAddress, OperatorAddress, PeerAddress, StatusAddress string
	DataCentre                                                 string
}

// Upstream is an engine or plain service process with its agent.
type Upstream struct {
	*Process
	Agent *Process
	// URL is the base URL of the upstream itself, not of its agent.
	URL                string
	agentStatusAddress string
}

// Fleet is a set of running processes and the stand-in platform.
type Fleet struct {
	Platform *Platform
	Entries  []*Entry
	Engines  []*Upstream
	Desks    []*Upstream
	Trainer  *Process
	// TrainerURL is the base URL of the trainer's admin endpoints.
	TrainerURL string
	// Relays carry the connections of the entry selected by Options.RelayEntry.
	Relays []*Relay
	// Recorders are the proxies in front of the engines if Options.RecordEngines is set.
	Recorders []*Recorder

	t        testing.TB
	dir      string
	binaries Binaries
	opts     Options
}

// New starts a fleet, waits until every process is ready and writes its configuration. The fleet is stopped when the test
// ends. The logs of a failed test are kept.
func New(t testing.TB, binaries Binaries, opts Options) *Fleet {
	t.Helper()
	reserveProcesses(t, opts)
	dir, err := os.MkdirTemp("", "radishshelf-fleet-")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if t.Failed() {
			t.Logf("logs are in %s", dir)
			return
		}
		_ = os.RemoveAll(dir)
	})
	f := &Fleet{
		Platform: newPlatform(t, standin.Settings{CheckTerms: !opts.IgnoreTerms}),
		t:        t, dir: dir, binaries: binaries, opts: opts,
	}
	f.addEntries()
	for i, dataCentre := range opts.Engines {
		f.addEngine(i+1, dataCentre)
	}
	for i := range opts.Desks {
		f.addDesk(i+1, opts.Entries[i%len(opts.Entries)])
	}
	f.waitAllReady()
	f.configure()
	if opts.Trainer {
		f.addTrainer()
	}
	return f
}

func (f *Fleet) waitAllReady() {
	f.t.Helper()
	for _, e := range f.Entries {
		f.WaitReady(e.StatusAddress)
	}
	for _, u := range append(append([]*Upstream{}, f.Engines...), f.Desks...) {
		f.WaitReady(u.agentStatusAddress)
	}
	for _, e := range f.Entries {
		f.waitUpstreams(e)
	}
}

// waitUpstreams waits until every agent has reported a healthy upstream to an entry.
func (f *Fleet) waitUpstreams(e *Entry) {
	f.t.Helper()
	want := len(f.Engines) + len(f.Desks)
	Eventually(f.t, readyTimeout, fmt.Sprintf("%d live upstreams at %s", want, e.Name), func() bool {
		hosts, err := operatorClient(e).Hosts(f.t.Context())
		live := 0
		for _, h := range hosts {
			if h.Role == "upstream" && h.State == "live" && h.Detail == "" {
				live++
			}
		}
		return err == nil && live == want
	})
}

// startProcess writes the settings file of a process and starts it.
func (f *Fleet) startProcess(name, program string, s Settings) *Process {
	f.t.Helper()
	data, err := json.MarshalIndent(s, "", "  ")
	if err != nil {
		f.t.Fatal(err)
	}
	path := filepath.Join(f.dir, name+".json")
	if err := os.WriteFile(path, data, 0o600); err != nil {
		f.t.Fatal(err)
	}
	p := newProcess(f.t, f.dir, name, f.binaries.path(program), path)
	p.Start()
	return p
}
