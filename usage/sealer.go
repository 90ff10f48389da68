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
	window   time.Time
	counted  map[process]*CountedIncarnation
	touched  map[process]bool
	figures  map[string]*WorkspaceTotals
	repeated int64
	batches  int64
}

// NewSealer returns the sealer of the window that begins at start. Counted holds what earlier seals have counted.
func NewSealer(start time.Time, counted DedupState) *Sealer {
	return &Sealer{
		window: start.UTC(), counted: counted.index(), touched: map[process]bool{}, figures: map[string]*WorkspaceTotals{},
	}
}

// Add counts the records of a batch that were not counted before, in this window or an earlier one.
func (s *Sealer) Add(b Batch) {
	p := process{b.Agent, b.Incarnation}
	known := s.counted[p]
	if known == nil {
		known = &CountedIncarnation{Agent: b.Agent, Incarnation: b.Incarnation}
		s.counted[p] = known
	}
	if known.LastWindow.Before(s.window) {
		known.LastWindow = s.window
	}
	s.touched[p] = true
	s.batches++
	for _, rec := range b.Records {
		if rec.Seq <= 0 || !known.Ranges.Add(rec.Seq) {
			s.repeated++
			continue
		}
		s.of(rec.Workspace).add(rec, b.Late)
	}
}

func (s *Sealer) of(workspace string) *WorkspaceTotals {
	f := s.figures[workspace]
	if f == nil {
		f = &WorkspaceTotals{Workspace: workspace, Window: WindowKey(s.window)}
		s.figures[workspace] = f
	}
	return f
}

// Seal returns the final content of the window and what the next seal must not count again.
func (s *Sealer) Seal() (SealedWindow, DedupState, error) {
	sealed := SealedWindow{Window: WindowKey(s.window), Repeated: s.repeated, Batches: s.batches}
	for _, name := range slices.Sorted(maps.Keys(s.figures)) {
		body, err := json.Marshal(s.figures[name])
		if err != nil {
			return SealedWindow{}, DedupState{}, eris.Wrapf(err, "encode usage figures of workspace %q", name)
		}
		sealed.Reports = append(sealed.Reports, SealedReport{Workspace: name, Body: body})
	}
	counted := countedOf(s.counted)
	for _, p := range counted.Processes {
		if s.touched[process{p.Agent, p.Incarnation}] {
			sealed.addGaps(p)
		}
	}
	return sealed, counted, nil
}
