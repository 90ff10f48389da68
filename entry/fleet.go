package entry

import (
	"math/rand"
	"sync"
	"time"

	"github.com/radishshelf/radishshelf/dataplane"
	"github.com/radishshelf/radishshelf/membership"
	"github.com/radishshelf/radishshelf/prefixindex"
	"github.com/radishshelf/radishshelf/quarantine"
	"github.com/radishshelf/radishshelf/routing"
)

// maxSharedSuspects limits the suspects in one message.
const maxSharedSuspects = 256

// Fleet combines membership, prefix index, routing and quarantine, and protects them with one mutex.
type Fleet struct {
	mu         sync.Mutex
	members    *membership.Membership
	prefixes   *prefixindex.Index
	inFlight   *routing.InFlight
	router     *routing.Router
	quarantine *quarantine.List
	// loads holds the loads that upstreams reported with responses; they may be newer than the last heartbeat.
	loads map[string]responseLoad
	// suspects holds the requests whose upstream has just failed, by fingerprint.
	suspects map[string]localSuspect
	// exclusive counts the exclusive requests of this entry by upstream.
	exclusive map[string]int
}

// maxLoadAge is the age after which a load that was reported with a response is discarded.
const maxLoadAge = time.Minute

// responseLoad is a load that was reported with a response.
type responseLoad struct {
	load dataplane.Load
	at   time.Time
}

// NewFleet returns an empty fleet for an entry in the given data centre and region.
func NewFleet(dataCentre, region string, random *rand.Rand) *Fleet {
	config := routing.DefaultConfig()
	config.DataCentre = dataCentre
	config.Region = region
	f := &Fleet{
		members: membership.New(membership.Options{}), prefixes: prefixindex.New(prefixindex.DefaultConfig()),
		inFlight: routing.NewInFlight(), quarantine: quarantine.New(quarantine.DefaultConfig()),
		loads: map[string]responseLoad{}, suspects: map[string]localSuspect{}, exclusive: map[string]int{},
	}
	f.router = routing.New(config, f.prefixes, f.inFlight, random)
	return f
}

// ApplyHeartbeat applies a report received directly from an agent, with its cache events and crash suspects.
func (f *Fleet) ApplyHeartbeat(
	report membership.Upstream, cache prefixindex.Event, suspects []quarantine.Suspect, now time.Time,
) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.members.ApplyHeartbeat(report, now)
	f.prefixes.Apply(cache, now)
	f.quarantine.RecordReport(report.Name, report.Incarnation, suspects, now)
}

// ApplyRelayed applies a report that was relayed by a peer. age is its age on arrival.
func (f *Fleet) ApplyRelayed(report membership.Upstream, age time.Duration, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.members.ApplyRelayed(report, age, now)
}

// ApplyRelayedPartial applies a relayed report without the fields that are fixed for an incarnation. It reports whether
// the incarnation is known.
func (f *Fleet) ApplyRelayedPartial(report membership.Upstream, age time.Duration, now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.members.ApplyRelayedPartial(report, age, now)
}

// ApplyEntryReport applies a report of an entry's state.
func (f *Fleet) ApplyEntryReport(e membership.Entry, age time.Duration, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.members.ApplyEntryReport(e, age, now)
}

// RecordEntryRefused records that an entry's peer address refused a connection.
func (f *Fleet) RecordEntryRefused(name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.members.RecordEntryRefused(name)
}

// SetHosts replaces the list of hosts and drops processes and loads that are too old.
func (f *Fleet) SetHosts(hosts []membership.Host, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.members.SetHosts(hosts)
	f.members.Prune(now)
	for name, report := range f.loads {
		if now.Sub(report.at) > maxLoadAge {
			delete(f.loads, name)
		}
	}
}

// Upstreams returns the upstreams with their status.
func (f *Fleet) Upstreams(now time.Time) []membership.Upstream {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.members.Upstreams(now)
}

// Entries returns the entries with their status.
func (f *Fleet) Entries(now time.Time) []membership.Entry {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.members.Entries(now)
}

// Suspects returns the quarantined fingerprints for a peer or agent.
func (f *Fleet) Suspects(now time.Time) []quarantine.Suspect {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.quarantine.Suspects(maxSharedSuspects, now)
}

// MergeSuspects merges the quarantine list of a peer.
func (f *Fleet) MergeSuspects(suspects []quarantine.Suspect, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.quarantine.Merge(suspects, now)
}

// recordConnectionRefused records that the address of an upstream refused a connection.
func (f *Fleet) recordConnectionRefused(upstream string, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.members.RecordRefused(upstream, now)
}

// recordResponse records the load that an upstream reported with a response.
func (f *Fleet) recordResponse(upstream string, load dataplane.Load, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.loads[upstream] = responseLoad{load: load, at: now}
	f.members.RecordResponse(upstream, now)
}
