package fleet

import (
	"net"
	"strconv"
	"sync"
	"testing"
)

// Ports of the processes, which keep their addresses when they are replaced.
const (
	firstPort = 18000
	lastPort  = 18999
)

var ports = struct {
	sync.Mutex
	next int
}{next: firstPort}

// address returns a loopback address whose port is free now and was not handed out before in this test process.
func address(t testing.TB) string {
	t.Helper()
	ports.Lock()
	defer ports.Unlock()
	for ports.next <= lastPort {
		candidate := net.JoinHostPort("127.0.0.1", strconv.Itoa(ports.next))
		ports.next++
		listener, err := net.Listen("tcp", candidate)
		if err != nil {
			continue
		}
		_ = listener.Close()
		return candidate
	}
	t.Fatalf("no free port from %d to %d", firstPort, lastPort)
	return ""
}
