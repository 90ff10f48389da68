package lots

import (
	"time"

	"github.com/radishshelf/radishshelf/samples"
)

// Lot is one numbered batch of sample groups for a trainer. All fields except Void are immutable once the lot is
// formed.
type Lot struct {
	Trainer string `json:"trainer"`
	Number  int64  `json:"number"`
	// Step is the trainer's version number when the lot was formed.
	Step int64 `json:"step"`
	// Samples is the number of samples, OldestVersion the lowest weight version among them.
	Samples       int          `json:"samples"`
	OldestVersion int64        `json:"oldest"`
	Groups        []ReadyGroup `json:"groups"`
	// Object is the SHA-256 of the lot's content in the object store.
	Object   string    `json:"object"`
	FormedAt time.Time `json:"formed_at"`
	// Void marks a lot that is skipped because a sample became stale before the trainer acknowledged the lot.
	Void bool `json:"void,omitempty"`
}

// Content is the payload of a lot. Every pull of the same lot returns the same bytes.
type Content struct {
	Trainer string `json:"trainer"`
	Number  int64  `json:"number"`
	Step    int64  `json:"step"`
	// Versions are the weight versions that generated the samples, in ascending order.
	Versions []int64          `json:"versions"`
	Samples  []samples.Sample `json:"samples"`
}
