package peer

import (
	"slices"
	"time"

	"github.com/radishshelf/radishshelf/membership"
	"github.com/radishshelf/radishshelf/rollout"
	"github.com/radishshelf/radishshelf/rpc"
)

// planStage sets the sources from which the upstream fetches the version to stage, unless it already has that version.
func (s *Server) planStage(state *rpc.WantedState, req *rpc.HeartbeatRequest, now time.Time) {
	version := state.GetStageVersion()
	if version == 0 || req.GetActiveVersion() == version || slices.Contains(req.GetStagedVersions(), version) {
		return
	}
	var engines []rollout.Engine
	for _, u := range s.opts.Members.Upstreams(now) {
		if u.Kind != req.GetKind() || u.Serves != req.GetPolicy() || u.DataCentre != req.GetDataCentre() {
			continue
		}
		engines = append(engines, rollout.Engine{
			Upstream: u.Name, WeightsURL: u.WeightsURL, Healthy: u.Healthy && u.Status == membership.Live,
			Active: u.ActiveVersion, Staged: u.StagedVersions,
		})
	}
	stage := rollout.PlanStage(req.GetUpstream(), version, engines)
	state.Sources, state.FetchFromStore = stage.Sources, stage.FetchFromStore
}
