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

// maxSharedSuspects bounds the quarantine list that one message carries.
const maxSharedSuspects = 256

// Fleet guards the pure views of upstreams, prefixes and quarantined requests with one lock.
type Fleet struct {
	mu         sync.Mutex
	members    *membership.Membership
	prefixes   *prefixindex.Index
	inFlight   *routing.InFlight
	router     *routing.Router
	quarantine *quarantine.List
	// loads are reports that came with answers and are newer than the last heartbeat.
	loads map[string]answeredLoad
	// suspects are requests whose upstream has just failed, and until when they count as suspects.
	suspects map[string]localSuspect
	// reserved counts the exclusive requests of this entry by upstream.
	reserved map[string]int
}

// loadMaxAge is the age after which a load that came with an answer says nothing any more.
const loadMaxAge = time.Minute

type answeredLoad struct {
	load dataplane.Load
	at   time.Time
}

// NewFleet returns an empty view for an entry in the given place.
func NewFleet(dataCentre, region string, random *rand.Rand) *Fleet {
	config := routing.DefaultConfig()
	config.DataCentre = dataCentre
	config.Region = region
	f := &Fleet{
		members: membership.New(membership.Options{}), prefixes: prefixindex.New(prefixindex.DefaultConfig()),
		inFlight: routing.NewInFlight(), quarantine: quarantine.New(quarantine.DefaultConfig()),
		loads: map[string]answeredLoad{}, suspects: map[string]localSuspect{}, reserved: map[string]int{},
	}
	f.router = routing.New(config, f.prefixes, f.inFlight, random)
	return f
}

// ApplyHeartbeat takes a report from the agent itself, with its cache events and crash suspects.
func (f *Fleet) ApplyHeartbeat(
	report membership.Upstream, cache prefixindex.Event, suspects []quarantine.Suspect, now time.Time,
) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.members.Heartbeat(report, now)
	f.prefixes.Apply(cache, now)
	f.quarantine.RecordReport(report.Name, report.Incarnation, suspects, now)
}

// ApplyRelayed takes a report that a peer passed on.
func (f *Fleet) ApplyRelayed(report membership.Upstream, age time.Duration, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.members.PassedOn(report, age, now)
}

// ApplyRelayedPartial takes a report without what is fixed for an incarnation, and reports whether that one is known.
func (f *Fleet) ApplyRelayedPartial(report membership.Upstream, age time.Duration, now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.members.PassedOnShort(report, age, now)
}

// ApplyEntryReport takes the state of an entry.
func (f *Fleet) ApplyEntryReport(e membership.Entry, age time.Duration, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.members.EntryReport(e, age, now)
}

// EntryRefused records that an entry's peer address refused a connection.
func (f *Fleet) EntryRefused(name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.members.EntryRefused(name)
}

// HostList replaces the candidates and drops processes that were forgotten.
func (f *Fleet) HostList(hosts []membership.Host, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.members.HostList(hosts)
	f.members.Tick(now)
	for name, answer := range f.loads {
		if now.Sub(answer.at) > loadMaxAge {
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

// MergeSuspects takes the list of a peer.
func (f *Fleet) MergeSuspects(suspects []quarantine.Suspect, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.quarantine.Merge(suspects, now)
}

func (f *Fleet) refused(upstream string, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.members.Refused(upstream, now)
}

func (f *Fleet) answered(upstream string, load dataplane.Load, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.loads[upstream] = answeredLoad{load: load, at: now}
	f.members.Answered(upstream, now)
}
