package agent

import (
	"context"

	"github.com/radishshelf/radishshelf/fleetconfig"
	"github.com/radishshelf/radishshelf/rpc"
)

// maxReasonBytes limits the length of a drain reason, which is logged.
const maxReasonBytes = 256

// control implements rpc.AgentControl.
type control struct{ agent *Agent }

// Status implements rpc.AgentControl.
func (c control) Status(context.Context, *rpc.StatusRequest) (*rpc.StatusResponse, error) {
	out := &rpc.StatusResponse{Report: c.agent.report(0)}
	if c.agent.settings.Kind == fleetconfig.UpstreamEngine {
		out.DiscardReason = c.agent.versions.discardReason()
	}
	return out, nil
}

// Drain implements rpc.AgentControl.
func (c control) Drain(_ context.Context, r *rpc.DrainRequest) (*rpc.DrainResponse, error) {
	reason := r.Reason
	if reason == "" {
		reason = "drain order"
	}
	c.agent.Leave(reason[:min(len(reason), maxReasonBytes)])
	_, running, _ := c.agent.admission.state()
	return &rpc.DrainResponse{Running: int32(running)}, nil
}
