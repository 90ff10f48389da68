package main

import (
	"context"
	"os"
	"time"

	"github.com/radishshelf/radishshelf/agent"
	"github.com/radishshelf/radishshelf/command"
	"github.com/radishshelf/radishshelf/logging"
	"github.com/radishshelf/radishshelf/platform/httpapi"
	"github.com/radishshelf/radishshelf/settings"
	"github.com/radishshelf/radishshelf/telemetry"
	"github.com/radishshelf/radishshelf/usage"
	"github.com/radishshelf/radishshelf/usagestore"
)

const (
	programName = "radishshelf-agent"
	// traceShutdown bounds the export of the last spans.
	traceShutdown = 5 * time.Second
)

func program() command.Program {
	return command.Program{
		Name: programName, Short: "Agent beside an upstream: admission, drain, fencing, version labels and usage",
		Check: func(path string) error {
			s := agent.DefaultSettings()
			return settings.LoadFile(path, &s)
		},
		Run: run,
	}
}

func run(ctx context.Context, path, logLevel string) error {
	s := agent.DefaultSettings()
	if err := settings.LoadFile(path, &s); err != nil {
		return err
	}
	if logLevel == "" {
		logLevel = s.LogLevel
	}
	logger, err := logging.New(os.Stderr, programName, logLevel)
	if err != nil {
		return err
	}
	telemetry.LogErrors(logger)
	tracer, err := telemetry.NewTracer(ctx, s.TraceAddress, programName, s.Name)
	if err != nil {
		return err
	}
	defer func() {
		ctx, cancel := context.WithTimeout(context.Background(), traceShutdown)
		defer cancel()
		_ = tracer.Shutdown(ctx)
	}()
	registry := telemetry.NewRegistry()
	incarnation := agent.NewIncarnation()
	recorder := usage.NewRecorder(s.Name, incarnation)
	services := httpapi.NewServices(s.PlatformAddress, httpapi.Options{})
	writer := usagestore.NewWriter(services.Table, recorder.Window, time.Now)
	options := usagestore.FlusherOptions{Interval: s.UsageFlushInterval.D()}
	flusher := usagestore.NewFlusher("agent", writer, usagestore.FromRecorder(recorder), options, logger, registry)
	a, err := agent.New(s, agent.Options{
		Logger: logger, Registry: registry, Tracer: tracer, Recorder: recorder, Flusher: flusher, Incarnation: incarnation,
	})
	if err != nil {
		return err
	}
	return a.Run(ctx)
}
