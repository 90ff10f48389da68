package service

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/rs/zerolog"
)

func post(t *testing.T, url, body string) (int, string) {
	t.Helper()
	resp, err := http.Post(url, "application/json", strings.NewReader(body))
	if err != nil {
		return 0, err.Error()
	}
	defer resp.Body.Close()
	data, _ := io.ReadAll(resp.Body)
	return resp.StatusCode, string(data)
}

// Guards against a second execution of a booking that is not counted, faults without effect, and malformed requests
// without an error response.
func TestBookingsCountExecutions(t *testing.T) {
	var crashed atomic.Bool
	s := New(Settings{}, Options{Logger: zerolog.Nop(), Exit: func(int) { crashed.Store(true) }})
	server := httptest.NewServer(s.Handler())
	defer server.Close()
	for range 2 {
		if status, body := post(t, server.URL+"/bookings", `{"id":"b1"}`); status != http.StatusCreated {
			t.Errorf("booking: %d %s", status, body)
		}
	}
	post(t, server.URL+"/admin/faults", `{"reset_after_executing":true,"crash_marker":"boom"}`)
	if status, _ := post(t, server.URL+"/bookings", `{"id":"b2"}`); status != 0 {
		t.Errorf("status = %d; want a broken connection", status)
	}
	if got := s.Executions().Bookings; got["b1"] != 2 || got["b2"] != 1 {
		t.Errorf("bookings = %v; want b1 twice and b2 once", got)
	}
	if status, _ := post(t, server.URL+"/bookings", `{"id":"boom"}`); status != 0 || !crashed.Load() {
		t.Errorf("status = %d, crashed = %v; want a crash", status, crashed.Load())
	}
	for _, path := range []string{"/bookings", "/score", "/admin/faults"} {
		if status, body := post(t, server.URL+path, `{"x`); status != http.StatusBadRequest || !strings.Contains(body, "error") {
			t.Errorf("%s: %d %s; want 400 with an error", path, status, body)
		}
	}
}
