package configsync

import "github.com/radishshelf/radishshelf/rpc"

// Participant exchanges other shared state in the Sync messages. Its methods are called concurrently and without locks
// held; they must not call Syncer methods that exchange messages with peers.
type Participant interface {
	// FillRequest adds state to a request of this entry; to is nil while nothing is known about the peer.
	FillRequest(to *rpc.EntryInfo, req *rpc.SyncRequest)
	// MergeRequest merges the state in the request of a peer.
	MergeRequest(*rpc.SyncRequest)
	// FillResponse adds state to the response to a peer.
	FillResponse(to *rpc.EntryInfo, resp *rpc.SyncResponse)
	// MergeResponse merges the state in the response of a peer.
	MergeResponse(*rpc.SyncResponse)
}
