package agent

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"
)

// Guards against a part of an upstream's response that the agent passes on as the whole, because the connection was reset
// while the request was being sent.
func TestResetBesideUpload(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			t.Error(err)
			return
		}
		defer conn.Close()
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\npart") // the agent fails without a response
		time.Sleep(5 * time.Millisecond)
		_ = conn.(*net.TCPConn).SetLinger(0) // resets the connection
	}))
	defer server.Close()
	complete := 0
	const tries = 10
	for range tries {
		resp, _, err := newUpstream(server.URL).send(t.Context(), call{method: http.MethodPost, target: "/x"}, http.Header{}, make([]byte, 8<<20))
		if err != nil {
			continue
		}
		if _, err := io.ReadAll(resp.Body); err == nil {
			complete++
		}
		resp.Body.Close()
	}
	if complete > 0 {
		t.Errorf("%d of %d parts of a response passed for the whole", complete, tries)
	}
}
