package gateway

// peerLoadSums is what the other live processes reported to have in flight at each upstream.
type peerLoadSums struct {
	// valid is unset while a heartbeat has come that is not added up yet.
	valid bool
	// requests counts requests, and tokens what their texts hold.
	requests, tokens map[string]int
}

// loadOfPeers returns what the other processes have in flight at an upstream, in requests and in tokens that their texts hold.
// The caller holds the lock.
func (g *Gateway) loadOfPeers(id string) (requests, tokens int) {
	if !g.peerLoad.valid {
		g.sumPeerLoad()
	}
	return g.peerLoad.requests[id], g.peerLoad.tokens[id]
}

func (g *Gateway) sumPeerLoad() {
	clear(g.peerLoad.requests)
	clear(g.peerLoad.tokens)
	for _, peer := range g.peers.Live() {
		if peer.Host == g.opts.Host {
			continue
		}
		for id, n := range peer.Load {
			g.peerLoad.requests[id] += n
		}
		for id, n := range peer.Tokens {
			g.peerLoad.tokens[id] += n
		}
	}
	g.peerLoad.valid = true
}
