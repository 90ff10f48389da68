package peer

import (
	"time"

	"github.com/radishshelf/radishshelf/membership"
	"github.com/radishshelf/radishshelf/rpc"
)

// maxPassedOn bounds the reports that are taken from one message.
const maxPassedOn = 4096

// Participant lets membership, quarantine and roles travel with Sync. It implements configsync.Participant.
type Participant struct {
	members Members
	roles   *RoleView
	now     func() time.Time
}

// NewParticipant returns a Participant; now is time.Now when nil.
func NewParticipant(members Members, roles *RoleView, now func() time.Time) *Participant {
	if now == nil {
		now = time.Now
	}
	return &Participant{members: members, roles: roles, now: now}
}

// FillRequest implements configsync.Participant.
func (p *Participant) FillRequest(req *rpc.SyncRequest) {
	now := p.now()
	req.Upstreams = append(req.Upstreams, p.reports(now)...)
	req.Quarantined = append(req.Quarantined, quarantinedOf(p.members.Suspects(now))...)
	req.Roles = append(req.Roles, p.roles.Roles()...)
}

// MergeRequest implements configsync.Participant.
func (p *Participant) MergeRequest(req *rpc.SyncRequest) {
	p.merge(req.GetFrom(), req.GetUpstreams(), req.GetQuarantined(), req.GetRoles())
}

// FillResponse implements configsync.Participant.
func (p *Participant) FillResponse(resp *rpc.SyncResponse) {
	now := p.now()
	resp.Upstreams = append(resp.Upstreams, p.reports(now)...)
	resp.Quarantined = append(resp.Quarantined, quarantinedOf(p.members.Suspects(now))...)
	resp.Roles = append(resp.Roles, p.roles.Roles()...)
}

// MergeResponse implements configsync.Participant.
func (p *Participant) MergeResponse(resp *rpc.SyncResponse) {
	p.merge(resp.GetFrom(), resp.GetUpstreams(), resp.GetQuarantined(), resp.GetRoles())
}

// reports returns the upstreams that are not dead. Dead ones are not passed on: their age says the same.
func (p *Participant) reports(now time.Time) []*rpc.HeartbeatRequest {
	var list []*rpc.HeartbeatRequest
	for _, u := range p.members.Upstreams(now) {
		if u.Status == membership.Live || u.Status == membership.Suspect || u.Status == membership.Leaving {
			list = append(list, reportOf(u, now))
		}
	}
	return list
}

func (p *Participant) merge(
	from *rpc.EntryInfo, upstreams []*rpc.HeartbeatRequest, suspects []*rpc.Quarantined, roles []*rpc.RoleInfo,
) {
	now := p.now()
	if from.GetName() != "" {
		p.members.EntryReport(entryOf(from), 0, now)
	}
	for _, report := range upstreams[:min(len(upstreams), maxPassedOn)] {
		if checkReport(report) == nil {
			p.members.PassedOn(upstreamOf(report), time.Duration(report.GetAgeMs())*time.Millisecond, now)
		}
	}
	p.members.MergeSuspects(suspectsOf(suspects), now)
	p.roles.Merge(roles)
}
