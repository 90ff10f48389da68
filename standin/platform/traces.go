package platform

import (
	"compress/gzip"
	"encoding/hex"
	"io"
	"net/http"
	"sync"

	collector "go.opentelemetry.io/proto/otlp/collector/trace/v1"
	tracepb "go.opentelemetry.io/proto/otlp/trace/v1"
	"google.golang.org/protobuf/proto"
)

// Limits of the trace receiver.
const (
	maxTraceBytes = 8 << 20
	// maxSpans limits the number of spans in memory; the oldest ones are dropped.
	maxSpans = 100_000
)

const serviceNameKey = "service.name"

// traceReceiver receives OTLP/HTTP traces in protobuf format and keeps the latest spans.
type traceReceiver struct {
	mu    sync.Mutex
	spans []Span
}

func newTraceReceiver() *traceReceiver { return &traceReceiver{} }

func (t *traceReceiver) register(mux *http.ServeMux) {
	mux.HandleFunc("POST /v1/traces", t.receive)
	mux.HandleFunc("GET /admin/spans", func(w http.ResponseWriter, r *http.Request) {
		writeJSON(w, t.list(r.URL.Query().Get("trace_id")))
	})
}

func (t *traceReceiver) receive(w http.ResponseWriter, r *http.Request) {
	data, err := readTrace(w, r)
	if err != nil {
		http.Error(w, "read the request body: "+err.Error(), http.StatusBadRequest)
		return
	}
	var request collector.ExportTraceServiceRequest
	if err := proto.Unmarshal(data, &request); err != nil {
		http.Error(w, "request body is not an OTLP trace in protobuf: "+err.Error(), http.StatusBadRequest)
		return
	}
	t.add(spansOf(&request))
	response, err := proto.Marshal(&collector.ExportTraceServiceResponse{})
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/x-protobuf")
	_, _ = w.Write(response) // fails only if the client has disconnected
}

func readTrace(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	var body io.Reader = http.MaxBytesReader(w, r.Body, maxTraceBytes)
	if r.Header.Get("Content-Encoding") == "gzip" {
		decompressed, err := gzip.NewReader(body)
		if err != nil {
			return nil, err
		}
		body = io.LimitReader(decompressed, maxTraceBytes)
	}
	return io.ReadAll(body)
}

func spansOf(request *collector.ExportTraceServiceRequest) []Span {
	var spans []Span
	for _, resource := range request.GetResourceSpans() {
		service := serviceOf(resource)
		for _, scope := range resource.GetScopeSpans() {
			for _, s := range scope.GetSpans() {
				spans = append(spans, Span{
					TraceID: hex.EncodeToString(s.GetTraceId()), SpanID: hex.EncodeToString(s.GetSpanId()),
					ParentID: hex.EncodeToString(s.GetParentSpanId()), Service: service, Name: s.GetName(),
				})
			}
		}
	}
	return spans
}

func serviceOf(resource *tracepb.ResourceSpans) string {
	for _, attribute := range resource.GetResource().GetAttributes() {
		if attribute.GetKey() == serviceNameKey {
			return attribute.GetValue().GetStringValue()
		}
	}
	return ""
}

func (t *traceReceiver) add(spans []Span) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.spans = append(t.spans, spans...)
	if excess := len(t.spans) - maxSpans; excess > 0 {
		t.spans = append([]Span(nil), t.spans[excess:]...)
	}
}

// list returns the spans of one trace, or all spans when traceID is empty.
func (t *traceReceiver) list(traceID string) []Span {
	t.mu.Lock()
	defer t.mu.Unlock()
	found := []Span{}
	for _, s := range t.spans {
		if traceID == "" || s.TraceID == traceID {
			found = append(found, s)
		}
	}
	return found
}
