package main

import (
	"context"
	"time"

	"github.com/rs/zerolog"

	"github.com/radishshelf/radishshelf/agent"
	"github.com/radishshelf/radishshelf/command"
	"github.com/radishshelf/radishshelf/standin/httpapi"
	"github.com/radishshelf/radishshelf/telemetry"
	"github.com/radishshelf/radishshelf/usage"
	"github.com/radishshelf/radishshelf/usagestore"
)

const programName = "radishshelf-agent"

func program() command.Program {
	return command.NewDaemon(command.Daemon[agent.Settings]{
		Name: programName, Short: "Agent beside an upstream: admission, drain, fencing, version labels and usage",
		Defaults: agent.DefaultSettings, Run: run,
	})
}

func run(ctx context.Context, s agent.Settings, log zerolog.Logger) error {
	tracer, stop, err := telemetry.StartTracing(ctx, log, s.TraceAddress, programName, s.Name)
	if err != nil {
		return err
	}
	defer stop()
	registry := telemetry.NewRegistry()
	incarnation := agent.NewIncarnation()
	recorder := usage.NewRecorder(s.Name, incarnation)
	services := httpapi.NewServices(s.PlatformAddress, httpapi.Options{})
	writer := usagestore.NewWriter(services.Table, recorder.Window, time.Now)
	options := usagestore.FlusherOptions{Interval: s.UsageFlushInterval.D()}
	flusher := usagestore.NewFlusher("agent", writer, usagestore.NewRecorderSource(recorder), options, log, registry)
	a, err := agent.New(s, agent.Options{
		Logger: log, Registry: registry, Tracer: tracer, Recorder: recorder, Flusher: flusher, Incarnation: incarnation,
	})
	if err != nil {
		return err
	}
	return a.Run(ctx)
}
