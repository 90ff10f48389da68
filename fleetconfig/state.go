package fleetconfig

import (
	"cmp"
	"maps"
	"slices"
)

// State is the configuration known to one process. It is not safe for concurrent use.
//
// Invariants: the revision of an object and Revision never decrease; every change with a revision up to Revision has
// been applied or was superseded by an applied one.
type State struct {
	objects  map[ID]Object
	revision int64
	view     *View // nil after a change
}

// NewState returns an empty configuration.
func NewState() *State { return &State{objects: make(map[ID]Object)} }

// Apply stores the objects whose revision is higher than the known one and returns them ordered by revision. The result
// of several calls does not depend on their order, repetition or source. Returned objects must not be modified.
func (s *State) Apply(objects []Object) (changed []Object) {
	for _, o := range objects {
		if known, ok := s.objects[o.ID()]; ok && o.Revision <= known.Revision {
			continue
		}
		s.objects[o.ID()] = o
		changed = append(changed, o)
	}
	if len(changed) > 0 {
		s.view = nil
	}
	slices.SortStableFunc(changed, byRevision)
	return changed
}

// ApplyPushed is like Apply for pushed objects, before which revisions may be missing. It advances Revision only over
// consecutive revisions that follow it directly; a pull fetches the missing ones.
func (s *State) ApplyPushed(objects []Object) (changed []Object) {
	changed = s.Apply(objects)
	sorted := slices.SortedFunc(slices.Values(objects), byRevision)
	for _, o := range sorted {
		if o.Revision == s.revision+1 {
			s.Advance(o.Revision)
		}
	}
	return changed
}

// Advance records that every change up to revision has been applied. A revision below the current one has no effect.
func (s *State) Advance(revision int64) {
	if revision > s.revision {
		s.revision = revision
		s.view = nil
	}
}

// Revision returns the revision up to which the configuration is complete.
func (s *State) Revision() int64 { return s.revision }

// View returns an immutable snapshot of the configuration.
func (s *State) View() *View {
	if s.view == nil {
		s.view = newView(maps.Clone(s.objects), s.revision)
	}
	return s.view
}

func byRevision(a, b Object) int { return cmp.Compare(a.Revision, b.Revision) }
