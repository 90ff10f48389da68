package agent

import (
	"fmt"
	"net/http"
	"testing"

	"github.com/radishshelf/radishshelf/rpc"
)

// departedEntries is the number of entries that join and leave in a test.
const departedEntries = 100

// entryAddress returns the address of the n-th entry that joins. 127.0.0.1:1 is the configured entry of these tests.
func entryAddress(n int) string { return fmt.Sprintf("127.0.1.%d:1", n) }

// Guards against memory for the missed heartbeats of entries that have left, in the order in which a miss and the
// announcement may arrive.
func TestMissesOfDepartedEntriesAreForgotten(t *testing.T) {
	entries := newEntryList("agent-1", []string{"127.0.0.1:1"})
	for n := range departedEntries {
		address := entryAddress(n)
		entries.update([]*rpc.EntryInfo{{PeerAddress: address}})
		entries.recordMiss(address)
		entries.update([]*rpc.EntryInfo{{PeerAddress: address, Leaving: true}})
		if n%2 == 0 {
			entries.recordMiss(address)
		}
	}
	entries.recordMiss("127.0.0.1:1")
	entries.update([]*rpc.EntryInfo{{PeerAddress: "127.0.0.1:1", Leaving: true}})
	if len(entries.misses) != 1 || entries.misses["127.0.0.1:1"] != 1 {
		t.Errorf("misses of %d entries are kept; want that of the configured entry", len(entries.misses))
	}
}

// Guards against a client kept for every entry that has ever been a target of heartbeats.
func TestClientsOfDepartedEntriesAreForgotten(t *testing.T) {
	h := &heartbeatSender{client: &http.Client{}, scheme: "http", peers: map[string]rpc.Peer{}}
	for n := range departedEntries {
		h.selectPeers([]string{"127.0.0.1:1", entryAddress(n)})
	}
	if len(h.peers) != 2 {
		t.Errorf("%d clients are kept; want 2", len(h.peers))
	}
}
