package agent

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/radishshelf/radishshelf/dataplane"
	"github.com/radishshelf/radishshelf/fleetconfig"
	"github.com/radishshelf/radishshelf/outcome"
)

// Guards against marking a response as complete whose end is not delimited, and against marking a response without a
// body as truncated.
func TestResponseFraming(t *testing.T) {
	upstream := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch r.URL.Path {
		case "/empty":
			w.WriteHeader(http.StatusNoContent)
		case "/unframed":
			conn, buffer, _ := http.NewResponseController(w).Hijack()
			fmt.Fprint(buffer, "HTTP/1.0 200 OK\r\n\r\nhalf an ans")
			buffer.Flush()
			conn.Close()
		}
	}))
	defer upstream.Close()
	f := startAgent(t, upstream.URL, fleetconfig.UpstreamService, nil)
	for path, complete := range map[string]string{"/empty": "true", "/unframed": "", "/framed": "true"} {
		resp := f.post(path, nil)
		header := resp.Header
		if path != "/empty" {
			header = resp.Trailer
		}
		if got := header.Get(dataplane.TrailerComplete); got != complete || header.Get(dataplane.TrailerResult) == "" {
			t.Errorf("%s: complete = %q, result = %q; want %q and a result", path, got, header.Get(dataplane.TrailerResult), complete)
		}
	}
}

// Guards against a request body that exhausts the memory of the agent, or of which only a part reaches the upstream.
func TestLargeBodyIsNotRun(t *testing.T) {
	s, server := startService(t)
	f := startAgent(t, server.URL, fleetconfig.UpstreamService, func(s *Settings) { s.MaxBodyBytes = 10 })
	_, err := f.client.Do(t.Context(), f.call("r1", http.MethodPost, "/bookings", []byte(`{"id":"much too long"}`)))
	wantRefusal(t, err, outcome.KindPayloadTooLarge, outcome.NotRun)
	if got := s.Executions().Bookings; len(got) != 0 {
		t.Errorf("executions = %v; want none", got)
	}
}
