package fleet

import (
	"net"
	"strconv"
	"sync"
	"syscall"
	"testing"
)

// Ports of the processes. A process keeps its ports across restarts. A port that was found free is not bound until its
// process starts, so another test process could pick the same one. Each test process therefore claims a block of ports by
// listening on the first port of the block until it exits.
const (
	firstPort = 18000
	lastPort  = 18999
	blockSize = 200
)

// portBlock is a range of ports owned by the test process that listens on its first port.
type portBlock struct {
	guardListener net.Listener
	next, last    int
}

// claimPortBlock claims the first block that no test process owns. It returns false if there is none.
func claimPortBlock() (*portBlock, bool) {
	for first := firstPort; first+blockSize-1 <= lastPort; first += blockSize {
		guard, err := net.Listen("tcp", loopbackAddress(first))
		if err != nil {
			continue // owned by another test process
		}
		return &portBlock{guardListener: guard, next: first + 1, last: first + blockSize - 1}, true
	}
	return nil, false
}

func loopbackAddress(port int) string { return net.JoinHostPort("127.0.0.1", strconv.Itoa(port)) }

// allocate returns a loopback address whose port is free and was not allocated before. It returns false when the block is
// used up.
func (b *portBlock) allocate() (string, bool) {
	for b.next <= b.last {
		port := b.next
		b.next++
		if isPortFree(port) {
			return loopbackAddress(port), true
		}
	}
	return "", false
}

// isPortFree reports whether a loopback port can be bound. It does not listen on the port: a process forked at that moment
// inherits the socket until it calls exec, and an inherited listening socket would keep the port in use.
func isPortFree(port int) bool {
	socket, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	if err != nil {
		return false
	}
	defer syscall.Close(socket)
	if err := syscall.SetsockoptInt(socket, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1); err != nil {
		return false
	}
	return syscall.Bind(socket, &syscall.SockaddrInet4{Port: port, Addr: [4]byte{127, 0, 0, 1}}) == nil
}

// ports holds the current block of this test process.
var ports struct {
	sync.Mutex
	block *portBlock
}

// allocateAddress returns a loopback address that no other test process allocates. It claims another block when the current
// one is used up.
func allocateAddress(t testing.TB) string {
	t.Helper()
	ports.Lock()
	defer ports.Unlock()
	for {
		if ports.block == nil {
			claimed, ok := claimPortBlock()
			if !ok {
				t.Fatalf("no free block of ports from %d to %d", firstPort, lastPort)
			}
			ports.block = claimed
		}
		if free, ok := ports.block.allocate(); ok {
			return free
		}
		ports.block = nil // the listener on its first port stays open until the process exits
	}
}
