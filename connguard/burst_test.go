package connguard

import (
	"net"
	"net/http"
	"runtime"
	"testing"
	"time"

	"github.com/radishshelf/radishshelf/connlimit"
)

// Guards against a burst of connections that displaces an ordinary one whose request has arrived, but was not read yet. The
// process has one processor, as a small host has, so that connections are accepted faster than they are read.
func TestBurstLeavesTimeToReadRequests(t *testing.T) {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	// A loaded machine may take longer than usual from the first attempt to read to the handler.
	s := prepareServer(connlimit.Limits{Connections: 4, Bytes: 1 << 20, ReadTime: 200 * time.Millisecond}, Heads{})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s.address = listener.Addr().String()
	var ordinary []*client
	for range 5 {
		for range 10 {
			s.dial(t)
		}
		c := s.dial(t)
		c.send(t, get("/ordinary"))
		ordinary = append(ordinary, c)
	}
	for range 10 {
		s.dial(t)
	}
	go func() { _ = s.Serve(s.guard.Listener(listener)) }() // returns when the server is closed
	t.Cleanup(func() { s.Close() })
	for _, c := range ordinary {
		c.wantAnswer(t, http.StatusOK, "/ordinary ")
	}
}
