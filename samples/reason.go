package samples

// Reason is the reason why a sample or group is not delivered to its trainer.
type Reason string

// Discard reasons. Agents may report others; see dataplane.Result.DiscardReason.
const (
	ReasonUnknownVersion Reason = "unknown_version"
	ReasonEmptySpan      Reason = "empty_span"
	ReasonNoSpans        Reason = "no_spans"
	// ReasonTokenMismatch means that the spans do not add up to the number of generated tokens.
	ReasonTokenMismatch Reason = "token_mismatch"
	ReasonStale         Reason = "stale"
	// ReasonVoidLot means that the lot of the sample became stale before the trainer acknowledged it.
	ReasonVoidLot Reason = "void_lot"
	// ReasonDuplicate means that another result for the same id was completed first.
	ReasonDuplicate  Reason = "duplicate"
	ReasonNotInGroup Reason = "not_in_group"
	// ReasonBufferFull means that the store was unavailable and the memory buffer for completed groups was full.
	ReasonBufferFull Reason = "buffer_full"
)

// Discard records a sample or group that is not delivered to its trainer.
type Discard struct {
	ID     string `json:"id"`
	Reason Reason `json:"reason"`
}
