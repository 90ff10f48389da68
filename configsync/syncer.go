package configsync

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/radishshelf/radishshelf/fleetconfig"
	"github.com/radishshelf/radishshelf/rpc"
)

// probesPerSecond is the rate of probes while the table does not confirm the configuration, except at the start of such
// a table outage. It determines the response window of a large fleet.
const probesPerSecond = 32

// Syncer keeps the configuration of one entry up to date. It is safe for concurrent use.
type Syncer struct {
	opts Options
	view atomic.Pointer[fleetconfig.View]
	// freshUntil is when the current confirmation expires. It lets the request path avoid the lock.
	freshUntil atomic.Pointer[time.Time]

	// applyMu serializes changes and their notifications. It is locked before mu.
	applyMu     sync.Mutex
	subscribers []func([]fleetconfig.Object)

	mu           sync.Mutex
	state        *fleetconfig.State
	freshness    *fleetconfig.Freshness
	peers        *peerTable
	leaving      bool
	loggedReason fleetconfig.Reason // reason of the decision that was logged last

	pullRequests chan string // addresses of peers that have a newer revision

	// lifetime ends with Run. It bounds work that outlives the call that started it.
	lifetime    context.Context
	endLifetime context.CancelFunc
}

// New returns a Syncer with an empty configuration; Run keeps it up to date.
func New(opts Options) *Syncer {
	opts = opts.withDefaults()
	now := time.Now()
	self := &rpc.EntryInfo{
		Name: opts.Name, PeerAddress: opts.PeerAddress, DataCentre: opts.DataCentre, Region: opts.Region,
		Incarnation: opts.Incarnation,
	}
	s := &Syncer{
		opts:  opts,
		state: fleetconfig.NewState(),
		freshness: fleetconfig.NewFreshness(fleetconfig.FreshnessOptions{
			Self: opts.Name, DataCentre: opts.DataCentre, KeyFreshness: opts.KeyFreshness,
		}),
		peers:        newPeerTable(self, opts.Dial, opts.Peers, now),
		pullRequests: make(chan string, maxRelayedInfos),
	}
	s.lifetime, s.endLifetime = context.WithCancel(context.Background())
	for _, p := range s.peers.sortedPeers() {
		s.freshness.ObserveEntry(p.nameOrAddress(), "", now)
	}
	s.view.Store(s.state.View())
	s.registerMetrics()
	return s
}

// View returns the applied configuration.
func (s *Syncer) View() *fleetconfig.View { return s.view.Load() }

// MayServeKeyed reports whether the configuration is fresh enough at now to serve keyed requests.
func (s *Syncer) MayServeKeyed(now time.Time) bool {
	if until := s.freshUntil.Load(); until != nil && !now.After(*until) {
		return true
	}
	return s.Decision(now).Serve
}

// Decision returns whether keyed requests may be served at now, and why.
func (s *Syncer) Decision(now time.Time) fleetconfig.Decision {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.freshness.Decision(now)
}

// Ready returns nil once the table or enough peers have responded since the start, and an error before.
func (s *Syncer) Ready() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.freshness.Started(time.Now()) {
		return nil
	}
	return errors.New("configuration is not loaded: neither the table nor enough peers have responded yet")
}

// Subscribe registers f, which is called after each change of the view, one at a time and in order. f must return
// quickly.
func (s *Syncer) Subscribe(f func(changed []fleetconfig.Object)) {
	s.applyMu.Lock()
	defer s.applyMu.Unlock()
	s.subscribers = append(s.subscribers, f)
}

// SetLeaving makes this entry announce to its peers that it is shutting down.
func (s *Syncer) SetLeaving() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = true
}

// Entries returns the known live entries, without this one.
func (s *Syncer) Entries(now time.Time) []*rpc.EntryInfo {
	s.mu.Lock()
	defer s.mu.Unlock()
	var infos []*rpc.EntryInfo
	for _, p := range s.peers.sortedPeers() {
		if s.peers.isLive(p, now) {
			infos = append(infos, p.relayInfo(now))
		}
	}
	return infos
}

// Info returns the description of this entry that it sends to its peers.
func (s *Syncer) Info(now time.Time) *rpc.EntryInfo {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.info(now)
}

func (s *Syncer) info(now time.Time) *rpc.EntryInfo {
	self := s.peers.self
	age := int64(-1)
	if d := s.freshness.ConfirmationAge(now); d >= 0 {
		// Rounded up, so that the conversion to milliseconds never makes the age smaller.
		age = d.Milliseconds() + 1
	}
	return &rpc.EntryInfo{
		Name: self.GetName(), PeerAddress: self.GetPeerAddress(), DataCentre: self.GetDataCentre(),
		Region: self.GetRegion(), Incarnation: self.GetIncarnation(), Leaving: s.leaving,
		AppliedRevision: s.state.Revision(), ConfirmationAgeMs: age,
	}
}
