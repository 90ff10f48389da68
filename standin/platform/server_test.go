package platform

import (
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/rs/zerolog"

	"github.com/radishshelf/radishshelf/hosting"
	"github.com/radishshelf/radishshelf/standin/httpapi"
	"github.com/radishshelf/radishshelf/telemetry"
)

func request(t *testing.T, method, url, body string) (int, string) {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), method, url, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return resp.StatusCode, string(data)
}

// Guards against faults that are set over the admin interface but have no effect on the service, and against unhelpful
// responses to an unknown service or invalid faults.
func TestAdmin(t *testing.T) {
	server := httptest.NewServer(NewServer(Settings{}, zerolog.Nop()).Handler())
	defer server.Close()
	services := httpapi.NewServices(server.Listener.Addr().String(), httpapi.Options{})
	order := hosting.Order{ID: "o1", DataCentre: "wien", Kind: "engine", Count: 2, Term: 1}
	for _, step := range []struct {
		faults string
		kind   hosting.ErrorKind
	}{
		{`{"outage":true}`, hosting.KindUnavailable},
		{`{"lose_replies":1,"delay":"1ms"}`, hosting.KindUnknown},
	} {
		if code, body := request(t, "PUT", server.URL+"/admin/faults/orders", step.faults); code != http.StatusOK {
			t.Fatalf("faults %s: %d %s", step.faults, code, body)
		}
		if err := services.Orders.Place(t.Context(), order); !hosting.IsKind(err, step.kind) {
			t.Errorf("Place with %s = %v; want %s", step.faults, err, step.kind)
		}
	}
	if _, body := request(t, "GET", server.URL+"/admin/orders", ""); !strings.Contains(body, `"received":1`) {
		t.Errorf("orders = %s; want one that was received once", body)
	}
	if code, body := request(t, "PUT", server.URL+"/admin/faults/tabel", `{}`); code != http.StatusNotFound ||
		!strings.Contains(body, "table") {
		t.Errorf("unknown service: %d %s", code, body)
	}
	if code, _ := request(t, "PUT", server.URL+"/admin/faults/table", `{"outage":"yes"}`); code != http.StatusBadRequest {
		t.Errorf("invalid faults: %d", code)
	}
}

// Guards against spans that the trace exporter of the daemons sends but the receiver cannot decode.
func TestTraceReceiver(t *testing.T) {
	server := httptest.NewServer(NewServer(Settings{}, zerolog.Nop()).Handler())
	defer server.Close()
	tracer, err := telemetry.NewTracer(t.Context(), server.Listener.Addr().String(), "radishshelf-entry", "entry-1")
	if err != nil {
		t.Fatal(err)
	}
	ctx, parent := tracer.Start(t.Context(), "caller request")
	_, child := tracer.Start(ctx, "agent hop")
	child.End()
	parent.End()
	if err := tracer.Shutdown(t.Context()); err != nil {
		t.Fatal(err)
	}
	_, body := request(t, "GET", server.URL+"/admin/spans?trace_id="+parent.SpanContext().TraceID().String(), "")
	var spans []Span
	if err := json.Unmarshal([]byte(body), &spans); err != nil {
		t.Fatal(err)
	}
	if len(spans) != 2 || spans[0].Service != "radishshelf-entry" || spans[0].ParentID != spans[1].SpanID {
		t.Errorf("spans = %+v; want a child and its parent", spans)
	}
}
