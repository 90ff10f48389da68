package fleet

import (
	"bytes"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/radishshelf/radishshelf/hosting"
	"github.com/radishshelf/radishshelf/standin/memory"
	standin "github.com/radishshelf/radishshelf/standin/platform"
)

// Paths of the platform protocol that are recorded or passed to the call hook.
const (
	reportPath = "/v1/usage/report"
	placePath  = "/v1/orders/place"
	commitPath = "/v1/table/commit"
	// maxRecordedBytes limits the body of a recorded call.
	maxRecordedBytes = 4 << 20
)

// Platform is the stand-in platform. It records the usage reports and orders that it receives.
type Platform struct {
	Address string
	Memory  *memory.Platform

	mu       sync.Mutex
	calls    []ReceivedCall
	callHook func(path string, body []byte)
}

// SetCallHook makes the platform call f for each report, order and table commit before it takes effect. A nil f removes the
// hook.
func (p *Platform) SetCallHook(f func(path string, body []byte)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.callHook = f
}

// ReceivedCall is a usage report or order that reached the platform, accepted or not.
type ReceivedCall struct {
	Path string
	// ID is the id of the report or order, Term the fencing term of its sender.
	ID         string
	Term       int64
	Body       []byte
	ReceivedAt time.Time
	// Accepted reports whether the platform accepted the call.
	Accepted bool
}

func newPlatform(t testing.TB, s standin.Settings) *Platform {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	inner := standin.NewServer(s, zerolog.Nop())
	p := &Platform{Address: listener.Addr().String(), Memory: inner.Memory}
	server := &http.Server{Handler: p.recordCalls(inner.Handler()), ReadHeaderTimeout: stopTimeout}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
	return p
}

// SetOutage starts or ends an outage of the table and the object store.
func (p *Platform) SetOutage(on bool) {
	p.Memory.Table.Faults.Set(memory.Faults{Outage: on})
	p.Memory.Objects.Faults.Set(memory.Faults{Outage: on})
}

// Reports returns the received usage reports in order of arrival.
func (p *Platform) Reports() []ReceivedCall { return p.received(reportPath) }

// Placements returns the received orders in order of arrival.
func (p *Platform) Placements() []ReceivedCall { return p.received(placePath) }

func (p *Platform) received(path string) []ReceivedCall {
	p.mu.Lock()
	defer p.mu.Unlock()
	var list []ReceivedCall
	for _, call := range p.calls {
		if call.Path == path {
			list = append(list, call)
		}
	}
	return list
}

// recordCalls wraps the handler of the platform to record calls and to run the call hook.
func (p *Platform) recordCalls(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != reportPath && r.URL.Path != placePath && r.URL.Path != commitPath {
			next.ServeHTTP(w, r)
			return
		}
		at := time.Now()
		body, err := io.ReadAll(io.LimitReader(r.Body, maxRecordedBytes))
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		r.Body = io.NopCloser(bytes.NewReader(body))
		p.mu.Lock()
		hook := p.callHook
		p.mu.Unlock()
		if hook != nil {
			hook(r.URL.Path, body)
		}
		if r.URL.Path == commitPath {
			next.ServeHTTP(w, r)
			return
		}
		status := &statusWriter{ResponseWriter: w, status: http.StatusOK}
		// Holding the lock keeps the recorded order equal to the order in which the platform handled the calls.
		p.mu.Lock()
		defer p.mu.Unlock()
		next.ServeHTTP(status, r)
		p.calls = append(p.calls, newReceivedCall(r.URL.Path, body, at, status.status == http.StatusOK))
	})
}

func newReceivedCall(path string, body []byte, at time.Time, accepted bool) ReceivedCall {
	call := ReceivedCall{Path: path, ReceivedAt: at, Accepted: accepted, Body: body}
	if path == reportPath {
		var report hosting.UsageReport
		_ = json.Unmarshal(body, &report) // the platform refuses an invalid body; it is recorded without id
		call.ID, call.Term, call.Body = report.ID, report.Term, report.Body
		return call
	}
	var order hosting.Order
	_ = json.Unmarshal(body, &order)
	call.ID, call.Term = order.ID, order.Term
	return call
}

// statusWriter records the status of a response.
type statusWriter struct {
	http.ResponseWriter
	status int
}

func (w *statusWriter) WriteHeader(status int) {
	w.status = status
	w.ResponseWriter.WriteHeader(status)
}
