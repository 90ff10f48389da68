package lots

import (
	"maps"

	"github.com/radishshelf/radishshelf/samples"
)

// Head is the state of a trainer's sequence. Every change goes through one compare-and-swap of it.
type Head struct {
	// Acknowledged is the highest number that the trainer has taken over; Last is the highest formed. Last is at most
	// Acknowledged+1.
	Acknowledged int64 `json:"acknowledged"`
	Last         int64 `json:"last"`
	// Swept is the highest lot whose groups are no longer listed as ready.
	Swept int64 `json:"swept"`
	// Cleaned is the highest lot whose rows are deleted.
	Cleaned int64 `json:"cleaned"`
	// DiscardRows and DiscardsCleaned number the rows that record discarded groups.
	DiscardRows     int64 `json:"discard_rows"`
	DiscardsCleaned int64 `json:"discards_cleaned"`
	// Step is the highest step that the trainer has named.
	Step int64 `json:"step"`
	// Discards counts discarded samples by reason.
	Discards map[samples.Reason]int64 `json:"discards,omitempty"`
	// Delivered counts the samples of acknowledged lots that were not void.
	Delivered int64 `json:"delivered"`
}

// CheckPull returns a *SequenceError unless a pull after the given number continues the sequence.
func (h Head) CheckPull(after int64) error {
	if after < h.Acknowledged || after > h.Last {
		return &SequenceError{After: after, Acknowledged: h.Acknowledged, Last: h.Last}
	}
	return nil
}

// Acknowledge returns the head after the trainer has taken over lot, the last one formed. Void lots are acknowledged too,
// but deliver nothing.
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

// VoidLot returns the head and lot after the lot was found stale before the hand-over.
func (h Head) VoidLot(lot Lot) (Head, Lot) {
	lot.Void = true
	return h.addDiscards(samples.ReasonVoidLot, lot.Samples), lot
}

// RecordDiscards returns the head after groups were discarded in one row.
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

// WithStep returns the head after the trainer named a step.
func (h Head) WithStep(step int64) Head {
	h.Step = max(h.Step, step)
	return h
}
