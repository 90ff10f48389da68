package fleet

import (
	"io"
	"net"
	"sync"
	"testing"
)

// Relay forwards TCP connections to a target. It can be disconnected to simulate a network partition.
type Relay struct {
	// Address is the address on which the relay listens.
	Address string

	target       string
	mu           sync.Mutex
	disconnected bool
	conns        map[net.Conn]struct{}
}

// NewRelay starts a relay to target. It is closed when the test ends.
func NewRelay(t testing.TB, target string) *Relay {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	r := &Relay{Address: listener.Addr().String(), target: target, conns: map[net.Conn]struct{}{}}
	go r.serve(listener)
	t.Cleanup(func() {
		_ = listener.Close()
		r.Disconnect()
	})
	return r
}

// Disconnect closes all connections, and every new one until Reconnect is called.
func (r *Relay) Disconnect() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.disconnected = true
	for conn := range r.conns {
		_ = conn.Close()
	}
}

// Reconnect forwards new connections again.
func (r *Relay) Reconnect() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.disconnected = false
}

func (r *Relay) serve(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go r.relayConn(conn)
	}
}

// relayConn forwards a connection until both directions are closed.
func (r *Relay) relayConn(caller net.Conn) {
	if !r.track(caller) {
		return
	}
	defer r.closeConn(caller)
	target, err := net.Dial("tcp", r.target)
	if err != nil || !r.track(target) {
		return
	}
	defer r.closeConn(target)
	done := make(chan struct{}, 2)
	copyOneWay := func(to, from net.Conn) {
		_, _ = io.Copy(to, from)
		if half, ok := to.(*net.TCPConn); ok {
			_ = half.CloseWrite()
		}
		done <- struct{}{}
	}
	go copyOneWay(target, caller)
	go copyOneWay(caller, target)
	<-done
	<-done
}

// track registers an open connection. If the relay is disconnected, it closes the connection and returns false.
func (r *Relay) track(conn net.Conn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.disconnected {
		_ = conn.Close()
		return false
	}
	r.conns[conn] = struct{}{}
	return true
}

func (r *Relay) closeConn(conn net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.conns, conn)
	_ = conn.Close()
}
