package gateway

// othersLoad is what the other live processes reported to have in flight at each upstream.
type othersLoad struct {
	// known is unset while a heartbeat has come that is not added up yet.
	known bool
	// requests counts requests, and tokens what their texts hold.
	requests, tokens map[string]int
}

// loadOfOthers returns what the other processes have in flight at an upstream, in requests and in tokens that their texts hold.
// The caller holds the lock.
func (g *Gateway) loadOfOthers(id string) (requests, tokens int) {
	if !g.others.known {
		g.addUpOthers()
	}
	return g.others.requests[id], g.others.tokens[id]
}

func (g *Gateway) addUpOthers() {
	clear(g.others.requests)
	clear(g.others.tokens)
	for _, peer := range g.peers.Live() {
		if peer.Host == g.opts.Host {
			continue
		}
		for id, n := range peer.Load {
			g.others.requests[id] += n
		}
		for id, n := range peer.Tokens {
			g.others.tokens[id] += n
		}
	}
	g.others.known = true
}
