package operatorclient

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/radishshelf/radishshelf/fleetconfig"
	"github.com/radishshelf/radishshelf/httpstatus"
	"github.com/radishshelf/radishshelf/standin/rawhttp"
)

// Guards against a refusal that an operator is told although the response ends no request, and against a wait for another
// response.
func TestOddStatus(t *testing.T) {
	const body = `{"kind":"conflict","message":"the object has another revision"}`
	for _, status := range []string{"000 None", "099 Low", "-00 Minus", "101 Switching Protocols", "150 Interim", "600 High"} {
		address := rawhttp.ServeText(t, fmt.Sprintf("HTTP/1.1 %s\r\nContent-Length: %d\r\n\r\n%s", status, len(body), body))
		_, err := New(address, Options{Timeout: 5 * time.Second}).Put(t.Context(), fleetconfig.KindWorkspace, "w", 1, 2)
		var odd *httpstatus.Error
		if !errors.As(err, &odd) {
			t.Errorf("status %s: %v, want no response because of the status", status, err)
		}
	}
}

// Guards against a change that an operator is told was made, because of a part of a response.
func TestResetBesideCall(t *testing.T) {
	address := rawhttp.Serve(t, func(conn *net.TCPConn, _ *http.Request) bool {
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\n{}") // without it the call fails as well
		time.Sleep(5 * time.Millisecond)
		_ = conn.SetLinger(0) // resets the connection
		return false
	})
	for range 10 {
		result, err := New(address, Options{}).Put(t.Context(), fleetconfig.KindWorkspace, "w", make([]byte, 8<<20), 2)
		if err == nil {
			t.Errorf("%+v passed for a whole response", result)
		}
	}
}

// Guards against a change, with the operator's credential, that is redirected to another address.
func TestRedirectionIsNotFollowed(t *testing.T) {
	calls := make(chan string, 8)
	other := rawhttp.Serve(t, func(_ *net.TCPConn, r *http.Request) bool {
		calls <- r.URL.Path
		return false
	})
	for _, status := range []string{"302 Found", "307 Temporary Redirect"} {
		address := rawhttp.ServeText(t, fmt.Sprintf("HTTP/1.1 %s\r\nLocation: http://%s/\r\nContent-Length: 0\r\n\r\n", status, other))
		if _, err := New(address, Options{}).Put(t.Context(), fleetconfig.KindWorkspace, "w", 1, 2); err == nil {
			t.Errorf("status %s: no error", status)
		}
	}
	if len(calls) > 0 {
		t.Errorf("the other address was called at %s", <-calls)
	}
}
