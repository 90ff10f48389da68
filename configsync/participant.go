package configsync

import "github.com/radishshelf/radishshelf/rpc"

// Participant lets other shared state travel with Sync. Its methods are called concurrently and without locks held;
// they must not call back into the Syncer's exchange.
type Participant interface {
	// FillRequest adds to a request of this entry; to is nil while nothing is known of the peer.
	FillRequest(to *rpc.EntryInfo, req *rpc.SyncRequest)
	// MergeRequest takes over what the request of a peer carries.
	MergeRequest(*rpc.SyncRequest)
	// FillResponse adds to the answer to a peer.
	FillResponse(to *rpc.EntryInfo, resp *rpc.SyncResponse)
	// MergeResponse takes over what the answer of a peer carries.
	MergeResponse(*rpc.SyncResponse)
}
