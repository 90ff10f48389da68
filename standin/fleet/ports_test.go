package fleet

import (
	"net"
	"os/exec"
	"sync"
	"testing"
)

// Guards against two test processes that allocate the same port because both find it free, so that the second process to
// bind it fails to start. Two claims in one process stand for two test processes.
func TestPortBlocksAreDisjoint(t *testing.T) {
	first, ok := claimPortBlock()
	if !ok {
		t.Fatal("no free block of ports")
	}
	defer first.guardListener.Close()
	second, ok := claimPortBlock()
	if !ok {
		t.Fatal("no second free block of ports")
	}
	defer second.guardListener.Close()
	seen := map[string]bool{}
	for range 20 {
		for _, b := range []*portBlock{first, second} {
			a, ok := b.allocate()
			if !ok {
				t.Fatal("the block is used up after fewer than 20 addresses")
			}
			if seen[a] {
				t.Fatalf("%s was allocated twice", a)
			}
			seen[a] = true
		}
	}
}

// Guards against an allocated port that cannot be bound: a process forked at that moment inherits all open sockets until it
// calls exec, including the socket with which isPortFree probed the port.
func TestAllocatedPortsCanBeBoundWhileProcessesStart(t *testing.T) {
	program, err := exec.LookPath("true")
	if err != nil {
		t.Fatal(err)
	}
	var starters sync.WaitGroup
	stop := make(chan struct{})
	for range 4 {
		starters.Go(func() {
			for {
				select {
				case <-stop:
					return
				default:
					_ = exec.Command(program).Run()
				}
			}
		})
	}
	defer starters.Wait()
	defer close(stop)
	for range 2000 {
		candidate := &portBlock{next: lastPort + 1, last: lastPort + blockSize}
		found, ok := candidate.allocate()
		if !ok {
			t.Fatal("no port is free")
		}
		listener, err := net.Listen("tcp", found)
		if err != nil {
			t.Fatalf("listen on an allocated port: %v", err)
		}
		_ = listener.Close()
	}
}
