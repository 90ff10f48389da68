// Package lots implements the sequence of numbered lots that a trainer receives. It selects ready groups, forms lots
// and tracks acknowledgements, without any I/O.
//
// Invariants: a lot number that was delivered always refers to the same content; a group is in at most one lot, or it
// is discarded with a reason, never both; at most one lot is unacknowledged; no sample exceeds the staleness bound when
// it is delivered.
package lots

import "github.com/radishshelf/radishshelf/samples"

// ReadyGroup describes a durable group that is ready to become part of a lot.
type ReadyGroup struct {
	// Key orders groups by the time at which they became ready. Keys are never reused.
	Key   string `json:"key"`
	Group string `json:"group"`
	// Samples is the number of samples in the group.
	Samples int `json:"samples"`
	// OldestVersion is the lowest weight version in the group.
	OldestVersion int64 `json:"oldest"`
	// Bytes is the size of the group's content.
	Bytes int `json:"bytes"`
	// Object is the SHA-256 of the group's content in the object store.
	Object string `json:"object"`
}

// Spec is the configuration of a trainer's lots.
type Spec struct {
	// MaxStaleness is the maximum staleness of a sample on delivery, in versions.
	MaxStaleness int64
	// LotSamples is the minimum number of samples in a lot.
	LotSamples int
	// Order selects which ready groups become part of a lot first.
	Order Order
	// MaxReadySamples is the number of ready samples above which new rollout groups are refused; 0 means no limit.
	MaxReadySamples int
}

// DiscardedGroup is a group that is not delivered to the trainer, with the reason.
type DiscardedGroup struct {
	ReadyGroup
	Reason samples.Reason `json:"reason"`
}
