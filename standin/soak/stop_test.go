package soak

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/radishshelf/radishshelf/platform/platformtest"
)

// slowRequest is a request whose body arrives late.
type slowRequest struct {
	conn net.Conn
	body string
}

// openRequest sends the header of a request that must not run twice.
func openRequest(t *testing.T, p *process, id, body string) *slowRequest {
	t.Helper()
	conn, err := net.Dial("tcp", p.address())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	fmt.Fprintf(conn, "POST %s%s HTTP/1.1\r\nHost: %s\r\nRadishshelf-Attempt-Id: %s\r\nRadishshelf-Credential: %s\r\n"+
		"Content-Length: %d\r\n\r\n%s", platformtest.BillPath, id, platformtest.Host, id, platformtest.APIKey, len(body), body[:1])
	return &slowRequest{conn: conn, body: body[1:]}
}

// finish sends the rest of the body and returns the complete response.
func (r *slowRequest) finish() (*http.Response, error) {
	if _, err := io.WriteString(r.conn, r.body); err != nil {
		return nil, err
	}
	response, err := http.ReadResponse(bufio.NewReader(r.conn), nil)
	if err != nil {
		return nil, err
	}
	body, err := io.ReadAll(response.Body)
	response.Body = io.NopCloser(bytes.NewReader(body))
	return response, err
}

// Guards against requests that are cut off without a response at the end of a planned stop: those that were complete late in
// the grace period, over connections opened before, have to be refused as not run unless they can end in time, and those
// still in flight at its end have to be answered.
func TestPlannedStopAnswersEveryRequest(t *testing.T) {
	s, p := startGateway(t, 9802, 0)
	config := bytes.ReplaceAll(platformtest.Config(2), []byte(`"timeout_ms":3000`), []byte(`"timeout_ms":20000`))
	s.store.Put(platformtest.OperatorTable, "config", config)
	u := s.mustAddUpstream(t, "desk-0", platformtest.PlainService)
	if err := s.waitReady(); err != nil {
		t.Fatal(err)
	}
	u.ProcessingTime = 10 * time.Second
	for _, id := range []string{"early", "late"} {
		s.checker.recordSend(id, true)
	}
	early, late := openRequest(t, p, "early", "body"), openRequest(t, p, "late", "body")
	time.Sleep(300 * time.Millisecond)
	var callers sync.WaitGroup
	callers.Go(func() {
		response, err := early.finish()
		if err != nil || response.StatusCode != http.StatusBadGateway {
			t.Errorf("a request in flight at the end of the grace period: %v, %v; want a complete response with status 502", response, err)
		}
	})
	time.Sleep(100 * time.Millisecond)
	stopped := time.Now()
	callers.Go(func() {
		if !p.stop(syscall.SIGTERM) {
			t.Error("the process did not exit within its grace period")
		}
	})
	time.Sleep(4 * time.Second)
	sent := time.Now()
	response, err := late.finish()
	if err != nil || response.StatusCode != http.StatusServiceUnavailable || response.Header.Get("Retry-After") == "" {
		t.Errorf("a request that was complete after 4 s: %v, %v; want a refusal with a time to come back", response, err)
	}
	if took := time.Since(sent); took > time.Second {
		t.Errorf("the refusal took %s", took)
	}
	callers.Wait()
	if took := time.Since(stopped); took > 8*time.Second {
		t.Errorf("the process exited after %s, its grace period is 8 s", took)
	}
	s.checker.mu.Lock()
	defer s.checker.mu.Unlock()
	if s.checker.runs["late"] > 0 || s.checker.runs["early"] != 1 {
		t.Errorf("runs: %v, want one of the early request only", s.checker.runs)
	}
}
