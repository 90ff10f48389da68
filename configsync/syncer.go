package configsync

import (
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/radishshelf/radishshelf/fleetconfig"
	"github.com/radishshelf/radishshelf/rpc"
)

// answersPerSecond bounds the questions to peers while the table does not confirm; it sets the answer window of a
// large fleet.
const answersPerSecond = 32

// Syncer keeps the configuration of one entry. Its methods may be called concurrently.
type Syncer struct {
	opts Options
	view atomic.Pointer[fleetconfig.View]
	// freshUntil is when the current confirmation ends; it spares the request path the lock.
	freshUntil atomic.Pointer[time.Time]

	// applyMu orders changes and their notifications; it is taken before mu.
	applyMu     sync.Mutex
	subscribers []func([]fleetconfig.Object)

	mu      sync.Mutex
	state   *fleetconfig.State
	fresh   *fleetconfig.Freshness
	peers   *peerTable
	leaving bool
	reason  fleetconfig.Reason // of the last verdict that was logged

	kick chan string // addresses of peers that have something newer
}

// New returns a Syncer that knows nothing yet; Run makes it learn.
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
		fresh: fleetconfig.NewFreshness(fleetconfig.FreshnessOptions{
			Self: opts.Name, DataCentre: opts.DataCentre, KeyFreshness: opts.KeyFreshness,
		}),
		peers: newPeerTable(self, opts.Dial, opts.Peers, now),
		kick:  make(chan string, maxRelayed),
	}
	for _, p := range s.peers.all() {
		s.fresh.ObserveEntry(p.knownAs(), "", now)
	}
	s.view.Store(s.state.View())
	s.registerMetrics()
	return s
}

// View returns the configuration that is applied.
func (s *Syncer) View() *fleetconfig.View { return s.view.Load() }

// MayServeKeyed reports whether the configuration is fresh enough at now to serve keyed work.
func (s *Syncer) MayServeKeyed(now time.Time) bool {
	if until := s.freshUntil.Load(); until != nil && !now.After(*until) {
		return true
	}
	return s.Verdict(now).Serve
}

// Verdict returns whether keyed work may be served at now, and why.
func (s *Syncer) Verdict(now time.Time) fleetconfig.Verdict {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fresh.Verdict(now)
}

// Ready returns nil once the table, or enough peers, have been heard since the start; otherwise the reason.
func (s *Syncer) Ready() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.fresh.Started(time.Now()) {
		return nil
	}
	return errors.New("configuration is not loaded; neither the table nor enough peers have answered yet")
}

// Subscribe calls f after each change of the view, one change at a time and in order. f must return quickly.
func (s *Syncer) Subscribe(f func(changed []fleetconfig.Object)) {
	s.applyMu.Lock()
	defer s.applyMu.Unlock()
	s.subscribers = append(s.subscribers, f)
}

// SetLeaving announces to peers that this entry shuts down.
func (s *Syncer) SetLeaving() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = true
}

// Entries returns the live entries known, without this one.
func (s *Syncer) Entries(now time.Time) []*rpc.EntryInfo {
	s.mu.Lock()
	defer s.mu.Unlock()
	var infos []*rpc.EntryInfo
	for _, p := range s.peers.all() {
		if s.peers.live(p, now) {
			infos = append(infos, p.relayed(now))
		}
	}
	return infos
}

// Info describes this entry as it tells its peers.
func (s *Syncer) Info(now time.Time) *rpc.EntryInfo {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.info(now)
}

func (s *Syncer) info(now time.Time) *rpc.EntryInfo {
	self := s.peers.self
	age := int64(-1)
	if d := s.fresh.ConfirmationAge(now); d >= 0 {
		// Rounded up, so that an age never shrinks on the way.
		age = d.Milliseconds() + 1
	}
	return &rpc.EntryInfo{
		Name: self.GetName(), PeerAddress: self.GetPeerAddress(), DataCentre: self.GetDataCentre(),
		Region: self.GetRegion(), Incarnation: self.GetIncarnation(), Leaving: s.leaving,
		AppliedRevision: s.state.Revision(), ConfirmationAgeMs: age,
	}
}
