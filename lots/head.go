package lots

import (
	"maps"

	"github.com/radishshelf/radishshelf/samples"
)

// Head is the stored state of a trainer's lot sequence. Every change is a compare-and-swap of this row.
type Head struct {
	// Acknowledged is the last lot that the trainer acknowledged, Last the last lot formed. Last is at most
	// Acknowledged+1.
	Acknowledged int64 `json:"acknowledged"`
	Last         int64 `json:"last"`
	// Swept is the last lot whose groups have been removed from the ready list.
	Swept int64 `json:"swept"`
	// Cleaned is the last lot whose rows have been deleted.
	Cleaned int64 `json:"cleaned"`
	// DiscardRows is the number of the last row written for discarded groups, DiscardsCleaned that of the last one
	// deleted.
	DiscardRows     int64 `json:"discard_rows"`
	DiscardsCleaned int64 `json:"discards_cleaned"`
	// Step is the highest step that the trainer has reported.
	Step int64 `json:"step"`
	// Discards counts discarded samples by reason.
	Discards map[samples.Reason]int64 `json:"discards,omitempty"`
	// Delivered counts the samples of acknowledged lots, without void lots.
	Delivered int64 `json:"delivered"`
}

// CheckPull returns a *SequenceError unless after lies between the last acknowledged and the last formed lot.
func (h Head) CheckPull(after int64) error {
	if after < h.Acknowledged || after > h.Last {
		return &SequenceError{After: after, Acknowledged: h.Acknowledged, Last: h.Last}
	}
	return nil
}

// Acknowledge returns the head after the trainer has acknowledged lot, which must be the last one formed. Void lots are
// acknowledged too but do not count as delivered.
func (h Head) Acknowledge(lot Lot) Head {
	if lot.Number <= h.Acknowledged {
		return h
	}
	h.Acknowledged = lot.Number
	if !lot.Void {
		h.Delivered += int64(lot.Samples)
	}
	return h
}

// VoidLot returns the head and the lot after the lot became stale before it was acknowledged.
func (h Head) VoidLot(lot Lot) (Head, Lot) {
	lot.Void = true
	return h.addDiscards(samples.ReasonVoidLot, lot.Samples), lot
}

// RecordDiscards returns the head after one more row of discarded groups.
func (h Head) RecordDiscards(groups []DiscardedGroup) Head {
	h.DiscardRows++
	for _, g := range groups {
		h = h.addDiscards(g.Reason, g.Samples)
	}
	return h
}

func (h Head) addDiscards(reason samples.Reason, n int) Head {
	h.Discards = maps.Clone(h.Discards)
	if h.Discards == nil {
		h.Discards = map[samples.Reason]int64{}
	}
	h.Discards[reason] += int64(n)
	return h
}

// WithStep returns the head after the trainer has reported step. The step never decreases.
func (h Head) WithStep(step int64) Head {
	h.Step = max(h.Step, step)
	return h
}
