package samples

// Reason says why a sample or group does not reach its trainer.
type Reason string

// Reasons for a discard. An agent may report others, see dataplane.Result.DiscardReason.
const (
	ReasonUnknownVersion Reason = "unknown_version"
	ReasonEmptySpan      Reason = "empty_span"
	ReasonNoSpans        Reason = "no_spans"
	// ReasonTokenMismatch means that the spans do not cover the generated tokens exactly.
	ReasonTokenMismatch Reason = "token_mismatch"
	ReasonStale         Reason = "stale"
	// ReasonVoidLot means that the lot of the sample became stale before the trainer took it.
	ReasonVoidLot Reason = "void_lot"
	// ReasonDuplicate means that another result under the same id was complete first.
	ReasonDuplicate  Reason = "duplicate"
	ReasonNotInGroup Reason = "not_in_group"
	// ReasonBufferFull means that the store was down and the bounded memory for completed groups was used up.
	ReasonBufferFull Reason = "buffer_full"
)

// Discard records a sample or group that does not reach its trainer.
type Discard struct {
	ID     string `json:"id"`
	Reason Reason `json:"reason"`
}
