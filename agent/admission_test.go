package agent

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/radishshelf/radishshelf/outcome"
)

// Guards against a refusal and a log line that name the deadline as the reason when the caller has disconnected.
func TestEndedWaitNamesItsReason(t *testing.T) {
	cancelled, cancel := context.WithCancel(t.Context())
	cancel()
	expired, cancel := context.WithDeadline(t.Context(), time.Now())
	defer cancel()
	tests := []struct {
		name, message string
		ctx           context.Context
		status        int
	}{
		{"caller disconnects", "the caller closed the connection", cancelled, statusCallerGone},
		{"deadline passes", "the deadline passed", expired, http.StatusServiceUnavailable},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			a := newAdmission(1, 1)
			a.markReady()
			if err := a.acquire(t.Context(), &slotRequest{}); err != nil {
				t.Fatal(err)
			}
			refusal, ok := outcome.AsRefusal(a.acquire(tt.ctx, &slotRequest{}))
			if !ok || refusal.Outcome != outcome.NotRun {
				t.Fatalf("got %v; want a refusal with outcome not-run", refusal)
			}
			if !strings.HasPrefix(refusal.Message, tt.message) || refusal.Status != tt.status {
				t.Errorf("got %d %q; want %d %q", refusal.Status, refusal.Message, tt.status, tt.message)
			}
		})
	}
}

// Guards against the same wrong reason when the caller disconnects while its body is read.
func TestDisconnectDuringBodyNamesItsReason(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	a := &Agent{settings: DefaultSettings(), suspects: newSuspects(testRetention)}
	r := httptest.NewRequest(http.MethodPost, "/", strings.NewReader("body"))
	_, err := a.checkAndReadBody(ctx, httptest.NewRecorder(), r, call{timeout: time.Second})
	refusal, ok := outcome.AsRefusal(err)
	if !ok || refusal.Message != "the caller closed the connection while the body was read" {
		t.Errorf("got %v; want that the caller closed the connection", err)
	}
}
