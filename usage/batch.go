package usage

import (
	"fmt"
	"time"
)

// Batch is a set of records of one agent incarnation that is written as one row.
type Batch struct {
	Agent       string `json:"agent"`
	Incarnation string `json:"incarnation"`
	// Source names the entry process that wrote a recovery batch; it is empty for a batch of the agent itself.
	Source string `json:"source,omitempty"`
	// Number tells the batches of one source apart: the first sequence number for an agent, a counter for an entry.
	Number int64 `json:"number"`
	// Late is set when the window that the records belong to was closed before the batch arrived.
	Late bool `json:"late,omitempty"`
	// Records are in sequence order. An agent's batch is contiguous; a recovery batch may have gaps.
	Records []Record `json:"records"`
}

// ID names the batch among the batches of its agent. It is the same on every try, so that a repeated write finds
// the row of an earlier one.
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

// WindowStart returns the window of the first record, or that of now when the record has no time.
func (b Batch) WindowStart(w Window, now time.Time) time.Time {
	if len(b.Records) == 0 || b.Records[0].FinishedAt.IsZero() {
		return w.Start(now)
	}
	return w.Start(b.Records[0].FinishedAt)
}
