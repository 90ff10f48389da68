package fleet

import "testing"

// Guards against two test processes that are given the same port: both found it free, and the second process to bind it
// failed to start. Two claims in one process stand for two processes.
func TestBlocksAreDisjoint(t *testing.T) {
	first, ok := claimBlock()
	if !ok {
		t.Fatal("no free block")
	}
	defer first.guard.Close()
	second, ok := claimBlock()
	if !ok {
		t.Fatal("no second free block")
	}
	defer second.guard.Close()
	seen := map[string]bool{}
	for range 20 {
		for _, b := range []*block{first, second} {
			a, ok := b.address()
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
