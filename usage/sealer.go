package usage

import (
	"encoding/json"
	"maps"
	"slices"
	"time"

	"github.com/rotisserie/eris"
)

// Sealer aggregates the batches of one closed window into totals per workspace.
type Sealer struct {
	window       time.Time
	incarnations map[incarnationKey]*CountedIncarnation
	updated      map[incarnationKey]bool
	totals       map[string]*WorkspaceTotals
	repeated     int64
	batches      int64
}

// NewSealer returns the sealer of the window that begins at start. The state lists the records that earlier windows
// have counted.
func NewSealer(start time.Time, state DedupState) *Sealer {
	return &Sealer{
		window: start.UTC(), incarnations: state.byIncarnation(), updated: map[incarnationKey]bool{},
		totals: map[string]*WorkspaceTotals{},
	}
}

// Add counts the records of a batch that have not been counted yet, in this window or an earlier one.
func (s *Sealer) Add(b Batch) {
	p := incarnationKey{b.Agent, b.Incarnation}
	state := s.incarnations[p]
	if state == nil {
		state = &CountedIncarnation{Agent: b.Agent, Incarnation: b.Incarnation}
		s.incarnations[p] = state
	}
	if state.LastWindow.Before(s.window) {
		state.LastWindow = s.window
	}
	s.updated[p] = true
	s.batches++
	for _, rec := range b.Records {
		if rec.Seq <= 0 || !state.Ranges.Add(rec.Seq) {
			s.repeated++
			continue
		}
		s.totalsFor(rec.Workspace).add(rec, b.Late)
	}
}

func (s *Sealer) totalsFor(workspace string) *WorkspaceTotals {
	totals := s.totals[workspace]
	if totals == nil {
		totals = &WorkspaceTotals{Workspace: workspace, Window: WindowKey(s.window)}
		s.totals[workspace] = totals
	}
	return totals
}

// Seal returns the final content of the window and the state for the next seal.
func (s *Sealer) Seal() (SealedWindow, DedupState, error) {
	sealed := SealedWindow{Window: WindowKey(s.window), Repeated: s.repeated, Batches: s.batches}
	for _, name := range slices.Sorted(maps.Keys(s.totals)) {
		body, err := json.Marshal(s.totals[name])
		if err != nil {
			return SealedWindow{}, DedupState{}, eris.Wrapf(err, "encode usage totals of workspace %q", name)
		}
		sealed.Reports = append(sealed.Reports, SealedReport{Workspace: name, Body: body})
	}
	counted := newDedupState(s.incarnations)
	for _, p := range counted.Incarnations {
		if s.updated[incarnationKey{p.Agent, p.Incarnation}] {
			sealed.addGaps(p)
		}
	}
	return sealed, counted, nil
}
