package peer

import (
	"time"

	"github.com/radishshelf/radishshelf/dataplane"
	"github.com/radishshelf/radishshelf/membership"
	"github.com/radishshelf/radishshelf/quarantine"
	"github.com/radishshelf/radishshelf/rpc"
)

func upstreamOf(r *rpc.HeartbeatRequest) membership.Upstream {
	return membership.Upstream{
		Name: r.GetUpstream(), DataAddress: r.GetDataAddress(), ControlAddress: r.GetControlAddress(),
		DataCentre: r.GetDataCentre(), Region: r.GetRegion(), Kind: r.GetKind(), Serves: r.GetPolicy(),
		Incarnation: r.GetIncarnation(), ReportSeq: r.GetReportSeq(), Leaving: r.GetLeaving(), Healthy: r.GetHealthy(),
		ActiveVersion: r.GetActiveVersion(), StagedVersions: r.GetStagedVersions(),
		Load: dataplane.Load{
			Running: int(r.GetRunning()), Queued: int(r.GetQueued()), Slots: int(r.GetSlots()),
			PendingTokens: r.GetPendingTokens(), TokensPerSecond: r.GetTokensPerSecond(),
		},
		UsageFlushedSeq: r.GetUsageFlushedSeq(), HighestTerm: r.GetHighestTerm(),
		WeightsURL: r.GetWeightsUrl(),
	}
}

// reportOf returns the report that peers relay. It omits the cache events, which are large and only a hint.
func reportOf(u membership.Upstream, now time.Time) *rpc.HeartbeatRequest {
	return &rpc.HeartbeatRequest{
		Upstream: u.Name, DataAddress: u.DataAddress, ControlAddress: u.ControlAddress, DataCentre: u.DataCentre,
		Region: u.Region, Kind: u.Kind, Policy: u.Serves, Incarnation: u.Incarnation, ReportSeq: u.ReportSeq,
		Leaving: u.Leaving, Healthy: u.Healthy, ActiveVersion: u.ActiveVersion, StagedVersions: u.StagedVersions,
		Running: int32(u.Load.Running), Queued: int32(u.Load.Queued), Slots: int32(u.Load.Slots),
		PendingTokens: u.Load.PendingTokens, TokensPerSecond: u.Load.TokensPerSecond, UsageFlushedSeq: u.UsageFlushedSeq,
		HighestTerm: u.HighestTerm, WeightsUrl: u.WeightsURL,
		// Round up so that the age never decreases when a report is relayed.
		AgeMs: now.Sub(u.ReportedAt).Milliseconds() + 1,
	}
}

func suspectsOf(list []*rpc.Quarantined) []quarantine.Suspect {
	out := make([]quarantine.Suspect, 0, len(list))
	for _, q := range list {
		out = append(out, quarantine.Suspect{
			Fingerprint: q.GetFingerprint(), Deaths: int(q.GetDeaths()),
			Remaining: time.Duration(q.GetRemainingMs()) * time.Millisecond, Sources: sourcesOf(q.GetSources()),
		})
	}
	return out
}

func quarantinedOf(list []quarantine.Suspect) []*rpc.Quarantined {
	out := make([]*rpc.Quarantined, 0, len(list))
	for _, s := range list {
		out = append(out, &rpc.Quarantined{
			Fingerprint: s.Fingerprint, Deaths: int32(s.Deaths), RemainingMs: s.Remaining.Milliseconds(),
			Sources: deathsOf(s.Sources),
		})
	}
	return out
}

func sourcesOf(list []*rpc.Death) []quarantine.Source {
	var out []quarantine.Source
	for _, d := range list {
		incarnation := quarantine.UpstreamIncarnation{Upstream: d.GetUpstream(), Incarnation: d.GetIncarnation()}
		out = append(out, quarantine.Source{UpstreamIncarnation: incarnation, Deaths: int(d.GetDeaths())})
	}
	return out
}

func deathsOf(list []quarantine.Source) []*rpc.Death {
	var out []*rpc.Death
	for _, s := range list {
		out = append(out, &rpc.Death{Upstream: s.Upstream, Incarnation: s.Incarnation, Deaths: int32(s.Deaths)})
	}
	return out
}

func entryOf(e *rpc.EntryInfo) membership.Entry {
	return membership.Entry{
		Name: e.GetName(), PeerAddress: e.GetPeerAddress(), DataCentre: e.GetDataCentre(), Region: e.GetRegion(),
		Incarnation: e.GetIncarnation(), Leaving: e.GetLeaving(), AppliedRevision: e.GetAppliedRevision(),
	}
}
