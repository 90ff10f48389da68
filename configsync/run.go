package configsync

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"
)

const (
	// fallbackReaders is the average number of entries that read the table themselves in each interval while the
	// readers provide no confirmation. It keeps the reads of a large fleet far below the budget of the table.
	fallbackReaders = 16
	// burstAgeFactor is the age of the confirmation, in multiples of KeyFreshness, up to which a burst of probes is sent
	// in each tick, at the start of a table outage.
	burstAgeFactor = 2
	// burstDivisor sets the fraction of the entries that a burst probes: a third, since the bursts of two ticks then
	// cover more than half.
	burstDivisor = 3
	// staleFraction is the fraction of KeyFreshness after which an entry probes peers or reads the table itself.
	staleFraction = 0.5
)

// Run keeps the configuration up to date until ctx ends. It is called once.
func (s *Syncer) Run(ctx context.Context) error {
	defer s.endLifetime()
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return s.runEvery(ctx, s.refreshFromTable) })
	group.Go(func() error { return s.runEvery(ctx, s.syncWithPeers) })
	group.Go(func() error { return s.servePullRequests(ctx) })
	return group.Wait()
}

// runEvery calls tick immediately and then at each interval until ctx ends.
func (s *Syncer) runEvery(ctx context.Context, tick func(context.Context)) error {
	ticker := time.NewTicker(s.opts.Interval)
	defer ticker.Stop()
	for {
		tick(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

func (s *Syncer) refreshFromTable(ctx context.Context) {
	now := time.Now()
	if s.shouldReadTable(now) {
		changed, err := s.readTable(ctx)
		if err != nil && ctx.Err() == nil {
			s.opts.Logger.Debug().Err(err).Msg("cannot read configuration from the table")
		}
		s.push(ctx, changed, false)
	}
	s.logDecision(time.Now())
}

func (s *Syncer) shouldReadTable(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.freshness.Started(now) || slices.Contains(s.peers.readers(now), s.opts.PeerAddress) {
		return true
	}
	return s.isStale(now) && rand.IntN(s.freshness.KnownEntries()) < fallbackReaders
}

// isStale reports whether the confirmation expires soon or has expired. The caller holds mu.
func (s *Syncer) isStale(now time.Time) bool {
	age := s.freshness.ConfirmationAge(now)
	return age < 0 || age > time.Duration(staleFraction*float64(s.keyFreshness()))
}

func (s *Syncer) syncWithPeers(ctx context.Context) {
	now := time.Now()
	s.mu.Lock()
	pulls, probes := s.choosePeers(now)
	for _, name := range s.freshness.Expire(now) {
		s.peers.removeByName(name)
		s.opts.Logger.Info().Str("entry", name).Msg("silent entry removed")
	}
	s.peers.removeExited(now)
	s.mu.Unlock()
	pulled := make(map[string]bool, len(pulls))
	for _, p := range pulls {
		pulled[p.address] = true
	}
	s.forEach(append(pulls, probes...), func(p *peer) {
		call := s.probe
		if pulled[p.address] {
			call = s.pull
		}
		if err := call(ctx, p); err != nil && ctx.Err() == nil {
			s.opts.Logger.Debug().Err(err).Msg("sync with peer failed")
		}
	})
}

// choosePeers returns the peers to pull from, a reader of the own data centre and a random one, and the peers to probe.
// The caller holds mu.
func (s *Syncer) choosePeers(now time.Time) (pulls, probes []*peer) {
	peers := s.peers.sortedPeers()
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	readers := s.peers.readers(now)
	slices.SortStableFunc(peers, func(a, b *peer) int { return readerRank(readers, a) - readerRank(readers, b) })
	pulls = peers[:min(len(peers), 1)]
	rest := peers[len(pulls):]
	if len(rest) > 0 {
		i := rand.IntN(len(rest))
		pulls = append(slices.Clone(pulls), rest[i])
		rest = append(slices.Clone(rest[:i]), rest[i+1:]...)
	}
	if s.isStale(now) {
		slices.SortStableFunc(rest, func(a, b *peer) int { return a.lastRequestAt.Compare(b.lastRequestAt) })
		probes = rest[:min(len(rest), s.probesPerTick(now))]
	}
	for _, p := range slices.Concat(pulls, probes) {
		p.lastRequestAt = now
	}
	return pulls, probes
}

// probesPerTick returns how many peers to probe. At the start of a table outage, half of the entries must respond in
// the two ticks before the confirmation expires; later their responses are renewed at a lower rate.
func (s *Syncer) probesPerTick(now time.Time) int {
	if age := s.freshness.ConfirmationAge(now); age >= 0 && age < burstAgeFactor*s.keyFreshness() {
		return max(probesPerSecond, s.freshness.KnownEntries()/burstDivisor)
	}
	return probesPerSecond
}

// readerRank is 0 for a reader and 1 for any other peer, so that readers sort first.
func readerRank(readers []string, p *peer) int {
	if slices.Contains(readers, p.address) {
		return 0
	}
	return 1
}

// servePullRequests probes the peers that announced a newer revision, which fetches their newer objects.
func (s *Syncer) servePullRequests(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case address := <-s.pullRequests:
			s.mu.Lock()
			p := s.peers.byAddress[address]
			s.mu.Unlock()
			if p == nil {
				continue
			}
			if err := s.probe(ctx, p); err != nil && ctx.Err() == nil {
				s.opts.Logger.Debug().Err(err).Msg("cannot pull newer configuration from peer")
			}
		}
	}
}

func (s *Syncer) logDecision(now time.Time) {
	s.mu.Lock()
	decision := s.freshness.Decision(now)
	changed := decision.Reason != s.loggedReason
	s.loggedReason = decision.Reason
	s.mu.Unlock()
	if changed {
		s.opts.Logger.Info().Bool("serve_keyed", decision.Serve).Str("reason", string(decision.Reason)).
			Str("detail", decision.Detail).Dur("confirmation_age_ms", decision.ConfirmationAge).
			Int("answered", decision.RespondingPeers).Int("known", decision.KnownEntries).Msg("configuration freshness changed")
	}
}
