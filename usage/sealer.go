package usage

import (
	"encoding/json"
	"maps"
	"slices"
	"time"

	"github.com/rotisserie/eris"
)

// Sealer turns the batches of one closed window into its figures.
type Sealer struct {
	window       time.Time
	incarnations map[incarnationKey]*CountedIncarnation
	updated      map[incarnationKey]bool
	totals       map[string]*WorkspaceTotals
	repeated     int64
	batches      int64
}

// NewSealer returns the sealer of the window that begins at start. Counted holds what earlier seals have counted.
func NewSealer(start time.Time, counted DedupState) *Sealer {
	return &Sealer{
		window: start.UTC(), incarnations: counted.byIncarnation(), updated: map[incarnationKey]bool{}, totals: map[string]*WorkspaceTotals{},
	}
}

// Add counts the records of a batch that were not counted before, in this window or an earlier one.
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
	f := s.totals[workspace]
	if f == nil {
		f = &WorkspaceTotals{Workspace: workspace, Window: WindowKey(s.window)}
		s.totals[workspace] = f
	}
	return f
}

// Seal returns the final content of the window and what the next seal must not count again.
func (s *Sealer) Seal() (SealedWindow, DedupState, error) {
	sealed := SealedWindow{Window: WindowKey(s.window), Repeated: s.repeated, Batches: s.batches}
	for _, name := range slices.Sorted(maps.Keys(s.totals)) {
		body, err := json.Marshal(s.totals[name])
		if err != nil {
			return SealedWindow{}, DedupState{}, eris.Wrapf(err, "encode usage figures of workspace %q", name)
		}
		sealed.Reports = append(sealed.Reports, SealedReport{Workspace: name, Body: body})
	}
	counted := newDedupState(s.incarnations)
	for _, p := range counted.Processes {
		if s.updated[incarnationKey{p.Agent, p.Incarnation}] {
			sealed.addGaps(p)
		}
	}
	return sealed, counted, nil
}
