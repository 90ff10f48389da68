package peer

import (
	"fmt"
	"math/rand"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"github.com/radishshelf/radishshelf/entry"
	"github.com/radishshelf/radishshelf/prefixindex"
	"github.com/radishshelf/radishshelf/rpc"
)

// agentTargets is the number of entries that an agent reports to.
const agentTargets = 16

// simulatedEntry is an entry with counters of its traffic.
type simulatedEntry struct {
	info        *rpc.EntryInfo
	fleet       *entry.Fleet
	participant *Participant
	bytes       int64
	reports     int64
}

// simulatedAgent reports to the entries that rank highest for its upstream.
type simulatedAgent struct {
	report  *rpc.HeartbeatRequest
	targets []*simulatedEntry
	silent  bool
}

// simulatedFleet runs entries and agents in simulated time. Every second each agent reports, and each entry syncs with
// a reader of its data centre and with a random entry, as configsync.Syncer does.
type simulatedFleet struct {
	now     time.Time
	rng     *rand.Rand
	entries []*simulatedEntry
	readers map[string][]*simulatedEntry
	agents  []*simulatedAgent
}

func newSimulatedFleet(entries, agents, dataCentres int) *simulatedFleet {
	f := &simulatedFleet{
		now: time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC), rng: rand.New(rand.NewSource(1)),
		readers: map[string][]*simulatedEntry{},
	}
	for i := range entries {
		f.addEntry(i, dataCentres)
	}
	for i := range agents {
		f.addAgent(i, dataCentres)
	}
	return f
}

func (f *simulatedFleet) addEntry(i, dataCentres int) {
	dc := fmt.Sprintf("dc-%d", i%dataCentres)
	e := &simulatedEntry{info: &rpc.EntryInfo{Name: fmt.Sprintf("entry-%d", i), DataCentre: dc, Incarnation: "i"}}
	e.fleet = entry.NewFleet(dc, "region", rand.New(rand.NewSource(int64(i))))
	e.participant = NewParticipant(e.fleet, NewRoleView(nil), func() time.Time { return f.now })
	f.entries = append(f.entries, e)
	if len(f.readers[dc]) < 2 {
		f.readers[dc] = append(f.readers[dc], e)
	}
}

// addAgent adds an agent whose names are as long as those in a real fleet.
func (f *simulatedFleet) addAgent(i, dataCentres int) *simulatedAgent {
	address := fmt.Sprintf("10.%d.%d.17", i%dataCentres, i%250)
	a := &simulatedAgent{report: &rpc.HeartbeatRequest{
		Upstream: fmt.Sprintf("upstream-%d", i), DataAddress: address + ":7211", ControlAddress: address + ":7212",
		DataCentre: fmt.Sprintf("dc-%d", i%dataCentres), Region: "region-1", Kind: "engine", Policy: "planner",
		Incarnation: fmt.Sprintf("b0a1a1de-7a4b-4c51-9d3e-%012d", i), Healthy: true, ActiveVersion: 1712,
		StagedVersions: []int64{1713}, Slots: 32, Running: 20, Queued: 3, PendingTokens: 20_000, TokensPerSecond: 812.5,
		HighestTerm: 12, UsageFlushedSeq: 100_000, WeightsUrl: "http://" + address + ":7211",
	}}
	ranked := slices.Clone(f.entries)
	slices.SortFunc(ranked, func(x, y *simulatedEntry) int {
		if rank(a, x) < rank(a, y) {
			return 1
		}
		return -1
	})
	a.targets = ranked[:min(len(ranked), agentTargets)]
	f.agents = append(f.agents, a)
	return a
}

func rank(a *simulatedAgent, e *simulatedEntry) uint64 {
	return xxhash.Sum64String(a.report.GetUpstream() + "/" + e.info.GetName())
}

// runSecond simulates one second. The syncs are spread over it in random order.
func (f *simulatedFleet) runSecond() {
	start := f.now
	for _, a := range f.agents {
		a.sendHeartbeats(start)
	}
	for i, at := range f.rng.Perm(len(f.entries)) {
		f.now = start.Add(time.Duration(i) * time.Second / time.Duration(len(f.entries)))
		e := f.entries[at]
		f.exchange(e, f.pickReader(e))
		f.exchange(e, f.pickPeer(e))
	}
	f.now = start.Add(time.Second)
}

func (f *simulatedFleet) pickReader(e *simulatedEntry) *simulatedEntry {
	readers := slices.DeleteFunc(slices.Clone(f.readers[e.info.GetDataCentre()]), func(r *simulatedEntry) bool { return r == e })
	if len(readers) == 0 {
		return f.pickPeer(e)
	}
	return readers[f.rng.Intn(len(readers))]
}

func (f *simulatedFleet) pickPeer(e *simulatedEntry) *simulatedEntry {
	for {
		if peer := f.entries[f.rng.Intn(len(f.entries))]; peer != e {
			return peer
		}
	}
}

// sampleEntries returns a random sample of entries to name in a message.
func (f *simulatedFleet) sampleEntries() []*rpc.EntryInfo {
	var infos []*rpc.EntryInfo
	for range min(32, len(f.entries)) {
		infos = append(infos, f.entries[f.rng.Intn(len(f.entries))].info)
	}
	return infos
}

func (f *simulatedFleet) exchange(from, to *simulatedEntry) {
	req := &rpc.SyncRequest{From: from.info, Entries: f.sampleEntries()}
	from.participant.FillRequest(to.info, req)
	countTraffic(from, to, req.GetUpstreams(), req.GetQuarantined())
	to.participant.MergeRequest(req)
	resp := &rpc.SyncResponse{From: to.info, Entries: f.sampleEntries()}
	to.participant.FillResponse(from.info, resp)
	countTraffic(to, from, resp.GetUpstreams(), resp.GetQuarantined())
	from.participant.MergeResponse(resp)
}

// countTraffic adds the size of the relayed reports and fingerprints to the counters of both entries.
func countTraffic(from, to *simulatedEntry, reports []*rpc.HeartbeatRequest, suspects []*rpc.Quarantined) {
	bytes := int64(proto.Size(&rpc.SyncRequest{Upstreams: reports, Quarantined: suspects}))
	from.bytes += bytes
	to.bytes += bytes
	to.reports += int64(len(reports))
}

func (a *simulatedAgent) sendHeartbeats(now time.Time) {
	if a.silent {
		return
	}
	a.report.ReportSeq++
	for _, e := range a.targets {
		e.fleet.ApplyHeartbeat(upstreamOf(a.report), prefixindex.Event{}, nil, now)
	}
}

// seedReports gives every entry a report of every upstream. The reports are up to ten seconds old.
func (f *simulatedFleet) seedReports() {
	for _, a := range f.agents {
		a.report.ReportSeq = 1
		for _, e := range f.entries {
			e.fleet.ApplyRelayed(upstreamOf(a.report), time.Duration(f.rng.Intn(10_000))*time.Millisecond, f.now)
		}
	}
}
