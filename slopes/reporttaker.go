package slopes

import (
	"context"
	"sync"

	"github.com/radishshelf/radishshelf/rpc"
)

// reportTaker takes the heartbeats of the agent.
type reportTaker struct {
	rpc.Peer
	mu   sync.Mutex
	last *rpc.HeartbeatRequest
}

// Heartbeat implements rpc.Peer.
func (t *reportTaker) Heartbeat(_ context.Context, r *rpc.HeartbeatRequest) (*rpc.HeartbeatResponse, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.last = r
	return &rpc.HeartbeatResponse{Entry: "entry-0", UsageWindowSeconds: 3600}, nil
}

func (t *reportTaker) address() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.last.GetHealthy() {
		return ""
	}
	return t.last.GetDataAddress()
}
