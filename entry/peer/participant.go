package peer

import (
	"sync"
	"time"

	"github.com/radishshelf/radishshelf/rpc"
)

// maxRelayedReports limits the reports that are processed from one message.
const maxRelayedReports = 4096

// Participant exchanges membership, quarantine and role information in Sync messages. It implements
// configsync.Participant. The number of bytes that it sends per second is limited, independent of the size of the
// fleet.
type Participant struct {
	members Members
	roles   *RoleView
	now     func() time.Time

	mu            sync.Mutex
	reports       *reportQueue
	suspects      *suspectQueue
	entries       *knownEntries
	requests      *reportRequests
	changeBudget  tokenBucket
	refreshBudget tokenBucket
	// localBudget is this entry's share of the bytes that the readers of its data centre may receive in requests.
	localBudget tokenBucket
	// fullReportBudget limits the requested full reports, which mostly go to entries that have just started.
	fullReportBudget tokenBucket
	discovery        *discovery
}

// NewParticipant returns a Participant. If now is nil, it uses time.Now.
func NewParticipant(members Members, roles *RoleView, now func() time.Time) *Participant {
	if now == nil {
		now = time.Now
	}
	return &Participant{
		members: members, roles: roles, now: now, reports: newReportQueue(), suspects: newSuspectQueue(),
		entries: newKnownEntries(), requests: newReportRequests(), changeBudget: tokenBucket{rate: changeRate, burst: changeRate}, refreshBudget: tokenBucket{rate: refreshRate, burst: refreshRate},
		localBudget: tokenBucket{burst: maxLocalBytes}, fullReportBudget: tokenBucket{rate: fullReportRate, burst: maxFullReportBytes},
	}
}

// FillRequest implements configsync.Participant.
func (p *Participant) FillRequest(to *rpc.EntryInfo, req *rpc.SyncRequest) {
	limit, refresh := p.requestLimit(req.GetFrom().GetDataCentre(), to.GetDataCentre())
	reports, suspects, used := p.selectContent(req.GetFrom().GetDataCentre(), to.GetDataCentre(), limit, refresh, nil)
	if !refresh {
		p.spendLocalBudget(used)
	}
	p.mu.Lock()
	if discovering := p.discovery.requestMissing(p.members, p.requests, p.now()); discovering || refresh {
		req.Upstreams = append(req.Upstreams, p.requests.next()...)
	}
	p.mu.Unlock()
	req.Upstreams = append(req.Upstreams, reports...)
	req.Quarantined = append(req.Quarantined, suspects...)
	req.Roles = append(req.Roles, p.roles.Roles()...)
}

// MergeRequest implements configsync.Participant.
func (p *Participant) MergeRequest(req *rpc.SyncRequest) {
	p.mu.Lock()
	p.requests.recordReceived(req.GetFrom().GetName(), req.GetUpstreams())
	p.mu.Unlock()
	p.merge(req.GetFrom(), req.GetEntries(), req.GetUpstreams(), req.GetQuarantined(), req.GetRoles())
}

// FillResponse implements configsync.Participant.
func (p *Participant) FillResponse(to *rpc.EntryInfo, resp *rpc.SyncResponse) {
	limit := p.responseLimit(resp.GetFrom().GetDataCentre(), to.GetDataCentre())
	p.mu.Lock()
	requested := p.requests.takeReceived(to.GetName())
	p.mu.Unlock()
	reports, suspects, _ := p.selectContent(resp.GetFrom().GetDataCentre(), to.GetDataCentre(), limit, true, requested)
	resp.Upstreams = append(resp.Upstreams, reports...)
	resp.Quarantined = append(resp.Quarantined, suspects...)
	resp.Roles = append(resp.Roles, p.roles.Roles()...)
}

// MergeResponse implements configsync.Participant.
func (p *Participant) MergeResponse(resp *rpc.SyncResponse) {
	p.merge(resp.GetFrom(), resp.GetEntries(), resp.GetUpstreams(), resp.GetQuarantined(), resp.GetRoles())
}

// responseLimit returns the size limit for a response.
func (p *Participant) responseLimit(from, to string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if from != to {
		return maxRemoteBytes
	}
	if _, single := p.entries.count(from); single {
		return maxSingleDCBytes
	}
	return maxLocalBytes
}

// requestLimit returns the size limit for a request and whether it carries unchanged reports. Within a data centre the
// receiver is usually a reader that also serves all other entries there, so requests carry changes only. In a fleet
// with one data centre the receiver is often not a reader.
func (p *Participant) requestLimit(from, to string) (limit int, refresh bool) {
	if from != to {
		return maxRemoteBytes, true
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	entries, single := p.entries.count(from)
	if single {
		return maxLocalBytes, true
	}
	p.localBudget.rate = localRequestRate * readersPerDataCentre / float64(max(entries, 1))
	return p.localBudget.available(p.now()), false
}

func (p *Participant) spendLocalBudget(bytes int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.localBudget.spend(bytes)
}

// selectContent selects reports and fingerprints for an entry in data centre to: first requested reports and changes,
// then the least recently sent ones. It returns the number of bytes used.
func (p *Participant) selectContent(
	from, to string, limit int, refresh bool, requested []string,
) (reports []*rpc.HeartbeatRequest, suspects []*rpc.Quarantined, used int) {
	now := p.now()
	p.mu.Lock()
	defer p.mu.Unlock()
	room := min(limit, p.changeBudget.available(now))
	refreshRoom := p.refreshBudget.available(now)
	if room < minReportBytes && (!refresh || refreshRoom < minReportBytes) {
		return nil, nil, 0
	}
	p.reports.observe(p.members, now)
	sends := changeSends
	if to == from {
		entries, _ := p.entries.count(from)
		sends = max(sends, entries)
	}
	// Half of the space is reserved for upstreams, so that many suspects do not delay the report of a leaving upstream.
	suspects, used = p.suspects.selectSuspects(p.suspects.observe(p.members.Suspects(now), now), to, sends, room/2, now)
	var m *message
	if refresh {
		m = p.reports.selectRequested(requested, to, min(maxFullReportBytes-used, p.fullReportBudget.available(now)), now)
		p.fullReportBudget.spend(m.used)
	} else {
		m = &message{to: to, now: now}
	}
	before := m.used
	m.limit = max(before, min(limit-used, before+room-used))
	p.reports.addChanges(m, sends)
	p.changeBudget.spend(used + m.used - before)
	if refresh {
		before = m.used
		p.reports.addUnchanged(m, min(limit-used-before, p.refreshBudget.available(now)))
		p.refreshBudget.spend(m.used - before)
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
	p.entries.record(append(entries[:len(entries):len(entries)], from), now)
	p.mu.Unlock()
	for _, report := range upstreams[:min(len(upstreams), maxRelayedReports)] {
		p.mergeReport(report, now)
	}
	p.members.MergeSuspects(suspectsOf(suspects), now)
	p.roles.Merge(roles)
}

func (p *Participant) mergeReport(report *rpc.HeartbeatRequest, now time.Time) {
	age := time.Duration(report.GetAgeMs()) * time.Millisecond
	switch {
	case validateReport(report) == nil:
		p.members.ApplyRelayed(upstreamOf(report), age, now)
		p.mu.Lock()
		p.requests.remove(report.GetUpstream())
		p.mu.Unlock()
	case report.GetDataAddress() == "" && validatePartialReport(report) == nil:
		if !p.members.ApplyRelayedPartial(upstreamOf(report), age, now) {
			p.mu.Lock()
			p.requests.add(report.GetUpstream())
			p.mu.Unlock()
		}
	}
}
