// Package lots is the pure sequence of one trainer's lots: ready groups in, fixed and numbered lots out.
//
// Invariants: a number that was handed out always names the same content; a group is in at most one lot or discarded
// with a reason, never both; at most one lot is not acknowledged; no sample exceeds the staleness bound at the hand-over.
package lots

import "github.com/radishshelf/radishshelf/samples"

// ReadyGroup is a durable group that waits for a lot.
type ReadyGroup struct {
	// Key sorts groups by the time at which they became ready. It is never used twice.
	Key   string `json:"key"`
	Group string `json:"group"`
	// Samples is the number of samples in the group.
	Samples int `json:"samples"`
	// OldestVersion is the lowest weight version of any sample.
	OldestVersion int64 `json:"oldest"`
	// Bytes is the size of the group's content.
	Bytes int `json:"bytes"`
	// Object is the SHA-256 of the group's content in the object store.
	Object string `json:"object"`
}

// Spec is what a trainer has agreed with its operator.
type Spec struct {
	// MaxStaleness is the largest age of a sample in versions at the hand-over.
	MaxStaleness int64
	// LotSamples is the number of samples that a lot has at least.
	LotSamples int
	// Order is which ready groups a lot takes first.
	Order Order
	// MaxReadySamples is how many samples may wait for a lot before new rollout groups are refused; 0 means no bound.
	MaxReadySamples int
}

// DiscardedGroup is a group that does not reach the trainer.
type DiscardedGroup struct {
	ReadyGroup
	Reason samples.Reason `json:"reason"`
}
