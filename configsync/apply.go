package configsync

import (
	"time"

	"github.com/radishshelf/radishshelf/fleetconfig"
)

// applyComplete takes over objects that are complete up to revision through.
func (s *Syncer) applyComplete(objects []fleetconfig.Object, through int64) (changed []fleetconfig.Object) {
	return s.apply(func(state *fleetconfig.State) []fleetconfig.Object {
		changed := state.Apply(objects)
		state.Advance(through)
		return changed
	})
}

// applyPushed takes over objects that may have a gap before them.
func (s *Syncer) applyPushed(objects []fleetconfig.Object) (changed []fleetconfig.Object) {
	return s.apply(func(state *fleetconfig.State) []fleetconfig.Object { return state.ApplyPushed(objects) })
}

func (s *Syncer) apply(change func(*fleetconfig.State) []fleetconfig.Object) []fleetconfig.Object {
	s.applyMu.Lock()
	defer s.applyMu.Unlock()
	changed := s.changeState(change)
	if len(changed) == 0 {
		return nil
	}
	for _, notify := range s.subscribers {
		notify(changed)
	}
	return changed
}

func (s *Syncer) changeState(change func(*fleetconfig.State) []fleetconfig.Object) []fleetconfig.Object {
	s.mu.Lock()
	defer s.mu.Unlock()
	changed := change(s.state)
	s.view.Store(s.state.View())
	s.fresh.RecordApplied(s.state.Revision())
	s.refreshed()
	return changed
}

// refreshed publishes how long the confirmation lasts. The caller holds mu.
func (s *Syncer) refreshed() {
	now := time.Now()
	verdict := s.fresh.Verdict(now)
	if verdict.Reason != fleetconfig.ReasonConfirmed {
		return
	}
	until := now.Add(s.keyFreshness() - verdict.ConfirmationAge)
	s.freshUntil.Store(&until)
}

func (s *Syncer) keyFreshness() time.Duration {
	if s.opts.KeyFreshness > 0 {
		return s.opts.KeyFreshness
	}
	return fleetconfig.DefaultKeyFreshness
}
