package gateway

// peerLoadSums holds the load that the other live processes report for each upstream, summed over these processes.
type peerLoadSums struct {
	// valid is unset after a heartbeat has arrived that is not included in the sums yet.
	valid bool
	// requests counts requests in flight, and tokens the engine memory that their texts occupy.
	requests, tokens map[string]int
}

// loadOfPeers returns what the other live processes have in flight at an upstream: the number of requests and the
// tokens that their texts occupy. The caller holds g.mu.
func (g *Gateway) loadOfPeers(id string) (requests, tokens int) {
	if !g.peerLoad.valid {
		g.sumPeerLoad()
	}
	return g.peerLoad.requests[id], g.peerLoad.tokens[id]
}

// sumPeerLoad recomputes the sums. The caller holds g.mu.
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
