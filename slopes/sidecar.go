package slopes

import (
	"context"
	"fmt"
	"time"

	"github.com/rs/zerolog"

	"github.com/radishshelf/radishshelf/agent"
	"github.com/radishshelf/radishshelf/hosting"
	"github.com/radishshelf/radishshelf/telemetry"
	"github.com/radishshelf/radishshelf/usage"
	"github.com/radishshelf/radishshelf/usagestore"
)

// sidecar is a real agent with its stand-in engine.
type sidecar struct {
	engine *engine
	cancel context.CancelFunc
	done   chan struct{}
}

// startSidecar runs the i-th agent, which reports to entries. The agent gets no platform address, since the stand-in
// engine fetches no weights.
func startSidecar(i, dataCentres int, entries []string, table hosting.Table) (*sidecar, error) {
	e, err := newEngine()
	if err != nil {
		return nil, err
	}
	s := agent.DefaultSettings()
	s.Name = fmt.Sprintf("engine-%04d", i)
	s.DataCentre, s.Region = place(i, dataCentres)
	s.Serves, s.Slots, s.Entries, s.UpstreamURL = "planner", 64, entries, e.url
	s.AgentAddress, s.ControlAddress, s.StatusAddress = "127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:0"
	incarnation := agent.NewIncarnation()
	recorder := usage.NewRecorder(s.Name, incarnation)
	registry := telemetry.NewRegistry()
	flusher := usagestore.NewFlusher("agent", usagestore.NewWriter(table, recorder.Window, time.Now),
		usagestore.FromRecorder(recorder), usagestore.FlusherOptions{}, zerolog.Nop(), registry)
	a, err := agent.New(s, agent.Options{
		Logger: zerolog.Nop(), Registry: registry, Recorder: recorder, Flusher: flusher, Incarnation: incarnation,
	})
	if err != nil {
		e.close()
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	c := &sidecar{engine: e, cancel: cancel, done: make(chan struct{})}
	go func() {
		defer close(c.done)
		_ = a.Run(ctx)
	}()
	return c, nil
}

func (c *sidecar) close() {
	c.cancel()
	<-c.done
	c.engine.close()
}
