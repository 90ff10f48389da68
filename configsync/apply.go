package configsync

import (
	"time"

	"github.com/radishshelf/radishshelf/fleetconfig"
)

// applyComplete applies objects that are complete up to revision through and returns those that changed.
func (s *Syncer) applyComplete(objects []fleetconfig.Object, through int64) (changed []fleetconfig.Object) {
	return s.apply(func(state *fleetconfig.State) []fleetconfig.Object {
		changed := state.Apply(objects)
		state.Advance(through)
		return changed
	})
}

// applyPushed applies pushed objects and returns those that changed. Earlier changes may still be missing.
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

// changeState applies change to the state and publishes the new view.
func (s *Syncer) changeState(change func(*fleetconfig.State) []fleetconfig.Object) []fleetconfig.Object {
	s.mu.Lock()
	defer s.mu.Unlock()
	changed := change(s.state)
	s.view.Store(s.state.View())
	s.freshness.RecordApplied(s.state.Revision())
	s.updateFreshUntil()
	return changed
}

// updateFreshUntil stores until when the current confirmation is valid. The caller holds mu.
func (s *Syncer) updateFreshUntil() {
	now := time.Now()
	decision := s.freshness.Decision(now)
	if decision.Reason != fleetconfig.ReasonConfirmed {
		return
	}
	until := now.Add(s.keyFreshness() - decision.ConfirmationAge)
	s.freshUntil.Store(&until)
}

func (s *Syncer) keyFreshness() time.Duration {
	if s.opts.KeyFreshness > 0 {
		return s.opts.KeyFreshness
	}
	return fleetconfig.DefaultKeyFreshness
}
