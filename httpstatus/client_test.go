package httpstatus

import (
	"io"
	"net"
	"net/http"
	"sync"
	"testing"

	"github.com/radishshelf/radishshelf/standin/rawhttp"
)

// Guards against a connection that is used again after a response that ended no request, when that response has no body to
// close.
func TestConnectionOfOddStatusIsNotReused(t *testing.T) {
	var mu sync.Mutex
	conns := map[*net.TCPConn]int{}
	address := rawhttp.Serve(t, func(conn *net.TCPConn, _ *http.Request) bool {
		mu.Lock()
		conns[conn]++
		mu.Unlock()
		_, err := io.WriteString(conn, "HTTP/1.1 600 High\r\nContent-Length: 0\r\n\r\n")
		return err == nil
	})
	client := NewClient(&http.Transport{})
	for range 5 {
		resp, err := client.Get("http://" + address)
		if err == nil {
			resp.Body.Close()
			t.Errorf("status %d passes", resp.StatusCode)
		}
	}
	mu.Lock()
	defer mu.Unlock()
	for _, requests := range conns {
		if requests > 1 {
			t.Errorf("a connection carried %d requests", requests)
		}
	}
}
