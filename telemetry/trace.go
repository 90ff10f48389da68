package telemetry

import (
	"context"
	"net/http"
	"time"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/sdk/resource"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"
)

// traceBatchTimeout bounds how long a finished span waits for its batch.
const traceBatchTimeout = time.Second

// Tracer starts spans and carries them over HTTP hops in W3C trace context headers.
type Tracer struct {
	tracer     trace.Tracer
	propagator propagation.TextMapPropagator
	shutdown   func(context.Context) error
}

// NopTracer returns a Tracer that records nothing and still passes trace headers on.
func NopTracer() *Tracer {
	return &Tracer{
		tracer: noop.NewTracerProvider().Tracer(""), propagator: propagation.TraceContext{},
		shutdown: func(context.Context) error { return nil },
	}
}

// NewTracer exports spans to an OTLP/HTTP collector at address, host:port. An empty address turns traces off.
func NewTracer(ctx context.Context, address, program, name string) (*Tracer, error) {
	if address == "" {
		return NopTracer(), nil
	}
	exporter, err := otlptracehttp.New(ctx, otlptracehttp.WithEndpoint(address), otlptracehttp.WithInsecure())
	if err != nil {
		return nil, eris.Wrapf(err, "trace exporter for %s", address)
	}
	res := resource.NewSchemaless(attribute.String("service.name", program), attribute.String("service.instance.id", name))
	provider := sdktrace.NewTracerProvider(
		sdktrace.WithBatcher(exporter, sdktrace.WithBatchTimeout(traceBatchTimeout)), sdktrace.WithResource(res))
	return &Tracer{
		tracer: provider.Tracer(program), propagator: propagation.TraceContext{}, shutdown: provider.Shutdown,
	}, nil
}

// traceShutdownTimeout bounds the export of the last spans.
const traceShutdownTimeout = 5 * time.Second

// StartTracing is NewTracer for a daemon: errors of the exporter go to log, and stop exports the last spans.
func StartTracing(
	ctx context.Context, log zerolog.Logger, address, program, name string,
) (tracer *Tracer, stop func(), err error) {
	otel.SetErrorHandler(otel.ErrorHandlerFunc(func(err error) { log.Warn().Err(err).Msg("trace export failed") }))
	tracer, err = NewTracer(ctx, address, program, name)
	if err != nil {
		return nil, nil, err
	}
	return tracer, func() {
		ctx, cancel := context.WithTimeout(context.Background(), traceShutdownTimeout)
		defer cancel()
		_ = tracer.Shutdown(ctx) // what cannot be exported now is lost; spans are best effort
	}, nil
}

// Start begins a span named after one hop.
func (t *Tracer) Start(ctx context.Context, name string, attrs ...attribute.KeyValue) (context.Context, trace.Span) {
	return t.tracer.Start(ctx, name, trace.WithAttributes(attrs...))
}

// Extract returns ctx with the span context that the caller sent.
func (t *Tracer) Extract(ctx context.Context, header http.Header) context.Context {
	return t.propagator.Extract(ctx, propagation.HeaderCarrier(header))
}

// Inject writes the span context of ctx to the headers of the next hop.
func (t *Tracer) Inject(ctx context.Context, header http.Header) {
	t.propagator.Inject(ctx, propagation.HeaderCarrier(header))
}

// Shutdown exports the spans that still wait.
func (t *Tracer) Shutdown(ctx context.Context) error { return t.shutdown(ctx) }
