package peer

import (
	"sync"
	"time"

	"github.com/radishshelf/radishshelf/rpc"
)

// maxPassedOn bounds the reports that are taken from one message.
const maxPassedOn = 4096

// Participant lets membership, quarantine and roles travel with Sync. It implements configsync.Participant. What it
// sends each second is bounded and does not depend on the size of the fleet.
type Participant struct {
	members Members
	roles   *RoleView
	now     func() time.Time

	mu         sync.Mutex
	outbox     *outbox
	suspects   *suspectBox
	neighbours *neighbours
	questions  *questions
	urgent     bucket
	refresh    bucket
	// share is the part of this entry in what the readers of its data centre receive in requests.
	share bucket
	// answers bounds what this entry sends to those that have just started.
	answers bucket
	joining *joining
}

// NewParticipant returns a Participant; now is time.Now when nil.
func NewParticipant(members Members, roles *RoleView, now func() time.Time) *Participant {
	if now == nil {
		now = time.Now
	}
	return &Participant{
		members: members, roles: roles, now: now, outbox: newOutbox(), suspects: newSuspectBox(),
		neighbours: newNeighbours(), questions: newQuestions(), urgent: bucket{rate: urgentRate, burst: urgentRate}, refresh: bucket{rate: refreshRate, burst: refreshRate},
		share: bucket{burst: maxOwn}, answers: bucket{rate: answerRate, burst: maxAnswer},
	}
}

// FillRequest implements configsync.Participant.
func (p *Participant) FillRequest(to *rpc.EntryInfo, req *rpc.SyncRequest) {
	limit, refresh := p.requestLimit(req.GetFrom().GetDataCentre(), to.GetDataCentre())
	reports, suspects, used := p.fill(req.GetFrom().GetDataCentre(), to.GetDataCentre(), limit, refresh, nil)
	if !refresh {
		p.useShare(used)
	}
	p.mu.Lock()
	if asking := p.joining.lack(p.members, p.questions, p.now()); asking || refresh {
		req.Upstreams = append(req.Upstreams, p.questions.ask()...)
	}
	p.mu.Unlock()
	req.Upstreams = append(req.Upstreams, reports...)
	req.Quarantined = append(req.Quarantined, suspects...)
	req.Roles = append(req.Roles, p.roles.Roles()...)
}

// MergeRequest implements configsync.Participant.
func (p *Participant) MergeRequest(req *rpc.SyncRequest) {
	p.mu.Lock()
	p.questions.take(req.GetFrom().GetName(), req.GetUpstreams())
	p.mu.Unlock()
	p.merge(req.GetFrom(), req.GetEntries(), req.GetUpstreams(), req.GetQuarantined(), req.GetRoles())
}

// FillResponse implements configsync.Participant.
func (p *Participant) FillResponse(to *rpc.EntryInfo, resp *rpc.SyncResponse) {
	limit := p.responseLimit(resp.GetFrom().GetDataCentre(), to.GetDataCentre())
	p.mu.Lock()
	asked := p.questions.answer(to.GetName())
	p.mu.Unlock()
	reports, suspects, _ := p.fill(resp.GetFrom().GetDataCentre(), to.GetDataCentre(), limit, true, asked)
	resp.Upstreams = append(resp.Upstreams, reports...)
	resp.Quarantined = append(resp.Quarantined, suspects...)
	resp.Roles = append(resp.Roles, p.roles.Roles()...)
}

// MergeResponse implements configsync.Participant.
func (p *Participant) MergeResponse(resp *rpc.SyncResponse) {
	p.merge(resp.GetFrom(), resp.GetEntries(), resp.GetUpstreams(), resp.GetQuarantined(), resp.GetRoles())
}

// responseLimit returns the bytes that an answer may use.
func (p *Participant) responseLimit(own, to string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if own != to {
		return maxAbroad
	}
	if _, single := p.neighbours.count(own); single {
		return maxSingle
	}
	return maxOwn
}

// requestLimit returns the bytes that a request may use, and whether it carries reports that did not change. Within the
// data centre the receiver is mostly a reader that all others ask too; with one data centre it is often not.
func (p *Participant) requestLimit(own, to string) (limit int, refresh bool) {
	if own != to {
		return maxAbroad, true
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	entries, single := p.neighbours.count(own)
	if single {
		return maxOwn, true
	}
	p.share.rate = ownRequestRate * readersOfOwn / float64(max(entries, 1))
	return p.share.room(p.now()), false
}

func (p *Participant) useShare(bytes int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.share.take(bytes)
}

// fill chooses reports and fingerprints for an entry of a data centre: first what changed, then the rest. It returns the
// bytes used.
func (p *Participant) fill(
	own, to string, limit int, refresh bool, asked []string,
) (reports []*rpc.HeartbeatRequest, suspects []*rpc.Quarantined, used int) {
	now := p.now()
	p.mu.Lock()
	defer p.mu.Unlock()
	room := min(limit, p.urgent.room(now))
	more := p.refresh.room(now)
	if room < minReport && (!refresh || more < minReport) {
		return nil, nil, 0
	}
	p.outbox.observe(p.members, now)
	sends := urgentSends
	if to == own {
		entries, _ := p.neighbours.count(own)
		sends = max(sends, entries)
	}
	// Half of the room is left to the upstreams, so that many suspects do not hide one that leaves.
	suspects, used = p.suspects.choose(p.suspects.observe(p.members.Suspects(now), now), to, sends, room/2, now)
	var m *message
	if refresh {
		m = p.outbox.asked(asked, to, min(maxAnswer-used, p.answers.room(now)), now)
		p.answers.take(m.used)
	} else {
		m = &message{to: to, now: now}
	}
	before := m.used
	m.limit = max(before, min(limit-used, before+room-used))
	p.outbox.changes(m, sends)
	p.urgent.take(used + m.used - before)
	if refresh {
		before = m.used
		p.outbox.refresh(m, min(limit-used-before, p.refresh.room(now)))
		p.refresh.take(m.used - before)
	}
	return m.reports, suspects, used + m.used
}

func (p *Participant) merge(
	from *rpc.EntryInfo, entries []*rpc.EntryInfo, upstreams []*rpc.HeartbeatRequest, suspects []*rpc.Quarantined,
	roles []*rpc.RoleInfo,
) {
	now := p.now()
	if from.GetName() != "" {
		p.members.ApplyEntryReport(entryOf(from), 0, now)
	}
	p.mu.Lock()
	p.neighbours.heard(append(entries[:len(entries):len(entries)], from), now)
	p.mu.Unlock()
	for _, report := range upstreams[:min(len(upstreams), maxPassedOn)] {
		p.mergeReport(report, now)
	}
	p.members.MergeSuspects(suspectsOf(suspects), now)
	p.roles.Merge(roles)
}

func (p *Participant) mergeReport(report *rpc.HeartbeatRequest, now time.Time) {
	age := time.Duration(report.GetAgeMs()) * time.Millisecond
	switch {
	case checkReport(report) == nil:
		p.members.ApplyRelayed(upstreamOf(report), age, now)
		p.mu.Lock()
		p.questions.found(report.GetUpstream())
		p.mu.Unlock()
	case report.GetDataAddress() == "" && checkShort(report) == nil:
		if !p.members.ApplyRelayedPartial(upstreamOf(report), age, now) {
			p.mu.Lock()
			p.questions.lack(report.GetUpstream())
			p.mu.Unlock()
		}
	}
}
