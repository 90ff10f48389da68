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

// traceBatchTimeout limits how long a finished span waits for its batch to be exported.
const traceBatchTimeout = time.Second

// Tracer starts spans and propagates them over HTTP hops in W3C Trace Context headers.
type Tracer struct {
	tracer     trace.Tracer
	propagator propagation.TextMapPropagator
	shutdown   func(context.Context) error
}

// NopTracer returns a Tracer that records no spans but still propagates trace headers.
func NopTracer() *Tracer {
	return &Tracer{
		tracer: noop.NewTracerProvider().Tracer(""), propagator: propagation.TraceContext{},
		shutdown: func(context.Context) error { return nil },
	}
}

// NewTracer returns a Tracer that exports spans over plain HTTP to an OTLP collector at address, in the form host:port.
// If address is empty, it returns a NopTracer. name identifies the process as the service instance.
func NewTracer(ctx context.Context, address, program, name string) (*Tracer, error) {
	if address == "" {
		return NopTracer(), nil
	}
	exporter, err := otlptracehttp.New(ctx, otlptracehttp.WithEndpoint(address), otlptracehttp.WithInsecure())
	if err != nil {
		return nil, eris.Wrapf(err, "create the trace exporter for %s", address)
	}
	res := resource.NewSchemaless(attribute.String("service.name", program), attribute.String("service.instance.id", name))
	provider := sdktrace.NewTracerProvider(
		sdktrace.WithBatcher(exporter, sdktrace.WithBatchTimeout(traceBatchTimeout)), sdktrace.WithResource(res))
	return &Tracer{
		tracer: provider.Tracer(program), propagator: propagation.TraceContext{}, shutdown: provider.Shutdown,
	}, nil
}

// traceShutdownTimeout limits the export of the last spans at shutdown.
const traceShutdownTimeout = 5 * time.Second

// StartTracing is like NewTracer, but also logs export errors of the whole process to log. The daemon calls stop at
// shutdown to export the last spans.
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
		_ = tracer.Shutdown(ctx) // spans are best effort; those that cannot be exported are lost
	}, nil
}

// Start starts a span with the given name and attributes.
func (t *Tracer) Start(ctx context.Context, name string, attrs ...attribute.KeyValue) (context.Context, trace.Span) {
	return t.tracer.Start(ctx, name, trace.WithAttributes(attrs...))
}

// Extract returns ctx with the span context from the headers of an incoming request.
func (t *Tracer) Extract(ctx context.Context, header http.Header) context.Context {
	return t.propagator.Extract(ctx, propagation.HeaderCarrier(header))
}

// Inject writes the span context of ctx to the headers of an outgoing request.
func (t *Tracer) Inject(ctx context.Context, header http.Header) {
	t.propagator.Inject(ctx, propagation.HeaderCarrier(header))
}

// Shutdown exports the remaining spans and stops the Tracer.
func (t *Tracer) Shutdown(ctx context.Context) error { return t.shutdown(ctx) }
