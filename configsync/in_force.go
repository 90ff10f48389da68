package configsync

import (
	"context"
	"time"
)

const (
	// inForcePause is the time between two rounds of questions to entries that have not applied a change.
	inForcePause = 200 * time.Millisecond
	// isolationMargin covers an answer that was on its way when an entry was cut off.
	isolationMargin = time.Second
)

// InForce says where a change is in force.
type InForce struct {
	Revision int64 `json:"revision"`
	// Everywhere is set when every entry has applied the change or has lost its freshness.
	Everywhere bool `json:"everywhere"`
	// Pending names the entries that may still serve with the configuration from before the change.
	Pending []string `json:"pending,omitempty"`
	// Isolated names the entries that do not answer and by now refuse keyed work.
	Isolated []string `json:"isolated,omitempty"`
}

// AwaitInForce publishes a committed change and waits until every entry has applied it or has lost its freshness. When
// ctx ends first, the result names the entries where it is not yet in force. An entry that does not answer delays
// neither the questions to the others nor the result.
func (s *Syncer) AwaitInForce(ctx context.Context, revision int64) InForce {
	start := time.Now()
	asked := newQuestions()
	for {
		s.catchUp(ctx, revision)
		result := s.inForce(revision, start, asked)
		if result.Everywhere || ctx.Err() != nil {
			return result
		}
		s.askPending(ctx, revision, asked)
		select {
		case <-ctx.Done():
		case <-time.After(inForcePause):
		}
	}
}

// catchUp applies the change here and pushes it.
func (s *Syncer) catchUp(ctx context.Context, revision int64) {
	if s.View().Revision() >= revision {
		return
	}
	changed, err := s.readTable(ctx)
	if err != nil {
		s.opts.Logger.Warn().Err(err).Int64("revision", revision).Msg("committed change not read back")
		return
	}
	go s.push(ctx, changed, true)
}

// inForce sorts the known entries. An entry that has not answered since the change for as long as a confirmation and
// the answers of its peers last has either applied the change or refuses keyed work.
func (s *Syncer) inForce(revision int64, start time.Time, asked *questions) InForce {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	result := InForce{Revision: revision}
	if s.state.Revision() < revision {
		result.Pending = append(result.Pending, s.opts.Name)
	}
	limit := s.keyFreshness() + s.fresh.ResponseWindow() + isolationMargin
	for _, p := range s.peers.all() {
		if !p.behind(revision) {
			continue
		}
		heardAt := start
		if at, ok := asked.answeredAt(p.address); ok {
			heardAt = at
		}
		if now.Sub(heardAt) > limit {
			result.Isolated = append(result.Isolated, p.knownAs())
		} else {
			result.Pending = append(result.Pending, p.knownAs())
		}
	}
	result.Everywhere = len(result.Pending) == 0
	return result
}

// askPending asks the entries that have not applied the change and have no question open; the question makes them pull
// it. It does not wait for the answers.
func (s *Syncer) askPending(ctx context.Context, revision int64, asked *questions) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range s.peers.all() {
		if p.behind(revision) && asked.open(p.address) {
			go func() { asked.close(p.address, s.probe(ctx, p) == nil, time.Now()) }()
		}
	}
}
