package fleet

import (
	"net"
	"strconv"
	"sync"
	"syscall"
	"testing"
)

// Ports of the processes, which keep their addresses when they are replaced. A port that was found free is not bound until
// its process starts, so that another test process could be given the same one. Each test process therefore claims a block
// of ports by holding the first port of the block until it ends.
const (
	firstPort = 18000
	lastPort  = 18999
	blockSize = 200
)

// portBlock is a range of ports that belongs to one holder of its first port.
type portBlock struct {
	guardListener net.Listener
	next, last    int
}

// claimPortBlock claims the first block that nobody holds.
func claimPortBlock() (*portBlock, bool) {
	for first := firstPort; first+blockSize-1 <= lastPort; first += blockSize {
		guard, err := net.Listen("tcp", loopbackAddress(first))
		if err != nil {
			continue // held by another test process
		}
		return &portBlock{guardListener: guard, next: first + 1, last: first + blockSize - 1}, true
	}
	return nil, false
}

func loopbackAddress(port int) string { return net.JoinHostPort("127.0.0.1", strconv.Itoa(port)) }

// allocate returns a loopback allocate whose port is free now and was not handed out before.
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

// isPortFree tells whether a loopback port can be bound. It does not listen: a process that is being started meanwhile holds
// a copy of the socket until it runs its program, and a copy that listens would keep the port from its owner.
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

// ports is the block of this test process.
var ports struct {
	sync.Mutex
	block *portBlock
}

// allocateAddress returns a loopback allocateAddress that no other test process hands out.
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
		ports.block = nil // its guard stays bound until the process ends
	}
}
