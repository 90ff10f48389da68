package configsync

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"
)

const (
	// selfReaders is the number of entries, on average, that read the table themselves in each interval while the
	// readers do not confirm. It keeps the reads of a large fleet far below the budget of the table.
	selfReaders = 16
	// burstSpan is the age of the confirmation, in multiples of KeyFreshness, until which more peers are asked.
	burstSpan = 2
	// burstShare is the part of the entries asked in each tick of the burst: a third, since two thirds exceed half.
	burstShare = 3
	// staleShare is the share of KeyFreshness after which an entry looks for a confirmation on its own.
	staleShare = 0.5
)

// Run keeps the configuration up to date until ctx ends.
func (s *Syncer) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return s.every(ctx, s.tickTable) })
	group.Go(func() error { return s.every(ctx, s.tickPeers) })
	group.Go(func() error { return s.pullKicked(ctx) })
	return group.Wait()
}

// every calls tick at once and then in each interval.
func (s *Syncer) every(ctx context.Context, tick func(context.Context)) error {
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

func (s *Syncer) tickTable(ctx context.Context) {
	now := time.Now()
	if s.shouldReadTable(now) {
		changed, err := s.readTable(ctx)
		if err != nil && ctx.Err() == nil {
			s.opts.Logger.Debug().Err(err).Msg("configuration not read from the table")
		}
		s.push(ctx, changed, false)
	}
	s.logVerdict(time.Now())
}

func (s *Syncer) shouldReadTable(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.fresh.Started(now) || slices.Contains(s.peers.readers(now), s.opts.PeerAddress) {
		return true
	}
	return s.stale(now) && rand.IntN(s.fresh.KnownEntries()) < selfReaders
}

// stale reports whether the confirmation is about to end. The caller holds mu.
func (s *Syncer) stale(now time.Time) bool {
	age := s.fresh.ConfirmationAge(now)
	return age < 0 || age > time.Duration(staleShare*float64(s.keyFreshness()))
}

func (s *Syncer) tickPeers(ctx context.Context) {
	now := time.Now()
	s.mu.Lock()
	pulls, probes := s.choosePeers(now)
	for _, name := range s.fresh.Expire(now) {
		s.peers.drop(name)
		s.opts.Logger.Info().Str("entry", name).Msg("entry forgotten")
	}
	s.peers.dropLeft(now)
	s.mu.Unlock()
	pulled := make(map[string]bool, len(pulls))
	for _, p := range pulls {
		pulled[p.address] = true
	}
	s.each(append(pulls, probes...), func(p *peer) {
		call := s.probe
		if pulled[p.address] {
			call = s.pull
		}
		if err := call(ctx, p); err != nil && ctx.Err() == nil {
			s.opts.Logger.Debug().Err(err).Msg("peer does not answer")
		}
	})
}

// choosePeers returns a reader of the own data centre and a random peer to pull from, and the peers to ask for their
// confirmation. The caller holds mu.
func (s *Syncer) choosePeers(now time.Time) (pulls, probes []*peer) {
	peers := s.peers.all()
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	readers := s.peers.readers(now)
	slices.SortStableFunc(peers, func(a, b *peer) int { return boolRank(readers, a) - boolRank(readers, b) })
	pulls = peers[:min(len(peers), 1)]
	rest := peers[len(pulls):]
	if len(rest) > 0 {
		at := rand.IntN(len(rest))
		pulls = append(slices.Clone(pulls), rest[at])
		rest = append(slices.Clone(rest[:at]), rest[at+1:]...)
	}
	if s.stale(now) {
		slices.SortStableFunc(rest, func(a, b *peer) int { return a.askedAt.Compare(b.askedAt) })
		probes = rest[:min(len(rest), s.probesPerTick(now))]
	}
	for _, p := range slices.Concat(pulls, probes) {
		p.askedAt = now
	}
	return pulls, probes
}

// probesPerTick returns how many peers to ask. At the start of an outage of the table half of the entries have to
// answer in the two ticks before the confirmation ends; later their answers are renewed at a lower rate.
func (s *Syncer) probesPerTick(now time.Time) int {
	if age := s.fresh.ConfirmationAge(now); age >= 0 && age < burstSpan*s.keyFreshness() {
		return max(answersPerSecond, s.fresh.KnownEntries()/burstShare)
	}
	return answersPerSecond
}

func boolRank(readers []string, p *peer) int {
	if slices.Contains(readers, p.address) {
		return 0
	}
	return 1
}

// pullKicked pulls from peers that announced something newer.
func (s *Syncer) pullKicked(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case address := <-s.kick:
			s.mu.Lock()
			p := s.peers.byAddress[address]
			s.mu.Unlock()
			if p == nil {
				continue
			}
			if err := s.probe(ctx, p); err != nil && ctx.Err() == nil {
				s.opts.Logger.Debug().Err(err).Msg("newer configuration not pulled")
			}
		}
	}
}

func (s *Syncer) logVerdict(now time.Time) {
	s.mu.Lock()
	verdict := s.fresh.Verdict(now)
	changed := verdict.Reason != s.reason
	s.reason = verdict.Reason
	s.mu.Unlock()
	if changed {
		s.opts.Logger.Info().Bool("serve_keyed", verdict.Serve).Str("reason", string(verdict.Reason)).
			Str("detail", verdict.Detail).Dur("confirmation_age_ms", verdict.ConfirmationAge).
			Int("answered", verdict.RespondingPeers).Int("known", verdict.KnownEntries).Msg("configuration freshness changed")
	}
}
