package fleetconfig

import (
	"cmp"
	"maps"
	"slices"
)

// State is the configuration that one process knows.
//
// Invariants: the revision of an object never falls; Through never falls; every change with a revision up to Through
// has been applied or was superseded by an applied one.
type State struct {
	objects  map[ID]Object
	revision int64
	view     *View // nil after a change
}

// NewState returns an empty configuration.
func NewState() *State { return &State{objects: make(map[ID]Object)} }

// Apply takes over the objects whose revision is higher than the one known and returns them in order of revision.
// Order, repetition and source of the calls do not matter. Objects that Apply returned must not be modified.
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

// ApplyPushed is Apply for a push, whose objects may have a gap before them. It advances Through only over an unbroken
// run of revisions that starts right after Through; the gap is closed by a pull.
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

// Advance records that every change up to revision through has been applied. A lower value has no effect.
func (s *State) Advance(revision int64) {
	if revision > s.revision {
		s.revision = revision
		s.view = nil
	}
}

// Revision returns the revision up to which the configuration is complete.
func (s *State) Revision() int64 { return s.revision }

// View returns an immutable snapshot.
func (s *State) View() *View {
	if s.view == nil {
		s.view = newView(maps.Clone(s.objects), s.revision)
	}
	return s.view
}

func byRevision(a, b Object) int { return cmp.Compare(a.Revision, b.Revision) }
