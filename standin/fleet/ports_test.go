package fleet

import (
	"net"
	"os/exec"
	"sync"
	"testing"
)

// Guards against two test processes that are given the same port: both found it free, and the second process to bind it
// failed to start. Two claims in one process stand for two processes.
func TestPortBlocksAreDisjoint(t *testing.T) {
	first, ok := claimPortBlock()
	if !ok {
		t.Fatal("no free block")
	}
	defer first.guardListener.Close()
	second, ok := claimPortBlock()
	if !ok {
		t.Fatal("no second free block")
	}
	defer second.guardListener.Close()
	seen := map[string]bool{}
	for range 20 {
		for _, b := range []*portBlock{first, second} {
			a, ok := b.allocate()
			if !ok {
				t.Fatal("a block is used up after 20 addresses")
			}
			if seen[a] {
				t.Fatalf("%s was handed out twice", a)
			}
			seen[a] = true
		}
	}
}

// Guards against a port that looks free and then can't be listened on: a process that another test starts at that moment
// holds copies of all open sockets until it runs its program, also of one that only looked whether the port was free.
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
			t.Fatalf("listen on a port found free: %v", err)
		}
		_ = listener.Close()
	}
}
