package configsync

import (
	"context"
	"time"
)

const (
	// probeRoundInterval is the time between two rounds of probes to entries that have not applied a change.
	probeRoundInterval = 200 * time.Millisecond
	// isolationMargin covers a response that was in transit when an entry was cut off.
	isolationMargin = time.Second
	// maxSpreadTime bounds the read and the push of a committed change. A push to 350 entries, of which none responds,
	// takes three times the timeout of a call.
	maxSpreadTime = 10 * time.Second
)

// Propagation reports which entries have yet to apply a change.
type Propagation struct {
	Revision int64 `json:"revision"`
	// Everywhere is set once every entry has applied the change or refuses keyed requests.
	Everywhere bool `json:"everywhere"`
	// Pending names the entries that may still serve with the configuration before the change.
	Pending []string `json:"pending,omitempty"`
	// Isolated names the entries that do not respond and by now refuse keyed requests.
	Isolated []string `json:"isolated,omitempty"`
}

// AwaitPropagation publishes a committed change and waits until every entry has applied it or refuses keyed requests,
// because its configuration is no longer confirmed. If ctx ends first, the result names the entries that are pending.
// An entry that does not respond delays neither the probes of the others nor the return after ctx ends.
func (s *Syncer) AwaitPropagation(ctx context.Context, revision int64) Propagation {
	start := time.Now()
	probes := newProbeTracker()
	for {
		s.applyCommitted(ctx, revision)
		result := s.propagation(revision, start, probes)
		if result.Everywhere || ctx.Err() != nil {
			return result
		}
		s.probePending(ctx, revision, probes)
		select {
		case <-ctx.Done():
		case <-time.After(probeRoundInterval):
		}
	}
}

// applyCommitted applies the committed change to this entry and pushes it. It returns once the change is applied, the
// read of the table has failed or ctx has ended. The read and the push go on after the end of ctx, because a committed
// change must spread even if its author has disconnected.
func (s *Syncer) applyCommitted(ctx context.Context, revision int64) {
	if s.View().Revision() >= revision {
		return
	}
	read := make(chan struct{})
	go func() {
		ctx, cancel := s.spreadContext(ctx)
		defer cancel()
		changed, err := s.readTable(ctx)
		close(read)
		if err != nil {
			s.opts.Logger.Warn().Err(err).Int64("revision", revision).
				Msg("cannot read committed change from the table; will retry")
			return
		}
		s.push(ctx, changed, true)
	}()
	select {
	case <-read:
	case <-ctx.Done():
	}
}

// spreadContext returns a context with the values of ctx that ends after maxSpreadTime or at the end of Run.
func (s *Syncer) spreadContext(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), maxSpreadTime)
	stop := context.AfterFunc(s.lifetime, cancel)
	return ctx, func() {
		stop()
		cancel()
	}
}

// propagation classifies the known entries. An entry that has not responded since the change for as long as a
// confirmation and the responses of its peers last has either applied the change or refuses keyed requests.
func (s *Syncer) propagation(revision int64, start time.Time, probes *probeTracker) Propagation {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	result := Propagation{Revision: revision}
	if s.state.Revision() < revision {
		result.Pending = append(result.Pending, s.opts.Name)
	}
	limit := s.keyFreshness() + s.freshness.ResponseWindow() + isolationMargin
	for _, p := range s.peers.sortedPeers() {
		if !p.isBehind(revision) {
			continue
		}
		respondedAt := start
		if at, ok := probes.respondedAt(p.address); ok {
			respondedAt = at
		}
		if now.Sub(respondedAt) > limit {
			result.Isolated = append(result.Isolated, p.nameOrAddress())
		} else {
			result.Pending = append(result.Pending, p.nameOrAddress())
		}
	}
	result.Everywhere = len(result.Pending) == 0
	return result
}

// probePending probes the entries that have not applied the change and have no probe in flight. The probe makes them
// pull the change. probePending does not wait for the responses.
func (s *Syncer) probePending(ctx context.Context, revision int64, probes *probeTracker) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range s.peers.sortedPeers() {
		if p.isBehind(revision) && probes.start(p.address) {
			go func() { probes.finish(p.address, s.probe(ctx, p) == nil, time.Now()) }()
		}
	}
}
