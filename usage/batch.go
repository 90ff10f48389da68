package usage

import (
	"fmt"
	"time"
)

// Batch is a set of usage records of one agent incarnation, stored as one row.
type Batch struct {
	Agent       string `json:"agent"`
	Incarnation string `json:"incarnation"`
	// Source is the entry process that wrote a recovery batch; empty for a batch that the agent wrote itself.
	Source string `json:"source,omitempty"`
	// Number distinguishes the batches of one source: the first sequence number for an agent, a counter for an entry.
	Number int64 `json:"number"`
	// Late is set if the window of the records was already closed when the batch arrived.
	Late bool `json:"late,omitempty"`
	// Records are in sequence order. An agent's batch is contiguous; a recovery batch may have gaps.
	Records []Record `json:"records"`
}

// ID identifies the batch among the batches of its agent. It is the same on every attempt, so that a retried write
// finds the row of an earlier one.
func (b Batch) ID() string {
	if b.Source == "" {
		return fmt.Sprintf("%s.%012d", b.Incarnation, b.Number)
	}
	return fmt.Sprintf("%s.recovery.%s.%012d", b.Incarnation, b.Source, b.Number)
}

// LastSeq returns the sequence number of the last record, or 0 for an empty batch.
func (b Batch) LastSeq() int64 {
	if len(b.Records) == 0 {
		return 0
	}
	return b.Records[len(b.Records)-1].Seq
}

// WindowStart returns the start of the window of the first record, or of the window that contains now if the batch is
// empty or the record has no time.
func (b Batch) WindowStart(w Window, now time.Time) time.Time {
	if len(b.Records) == 0 || b.Records[0].FinishedAt.IsZero() {
		return w.Start(now)
	}
	return w.Start(b.Records[0].FinishedAt)
}
