package lots

import (
	"time"

	"github.com/radishshelf/radishshelf/samples"
)

// Lot is one numbered hand-over to a trainer. Everything but Void is fixed when the lot is formed.
type Lot struct {
	Trainer string `json:"trainer"`
	Number  int64  `json:"number"`
	// Step is the trainer's version number when the lot was formed.
	Step int64 `json:"step"`
	// Samples is the number of samples, Oldest the lowest weight version of any of them.
	Samples       int          `json:"samples"`
	OldestVersion int64        `json:"oldest"`
	Groups        []ReadyGroup `json:"groups"`
	// Object is the SHA-256 of the lot's content in the object store.
	Object   string    `json:"object"`
	FormedAt time.Time `json:"formed_at"`
	// Void lots are skipped: a sample became stale before the trainer took the lot.
	Void bool `json:"void,omitempty"`
}

// Content is what a trainer receives for a lot, byte for byte on every pull of its number.
type Content struct {
	Trainer string `json:"trainer"`
	Number  int64  `json:"number"`
	Step    int64  `json:"step"`
	// Versions are the weight versions that produced the samples, ascending.
	Versions []int64          `json:"versions"`
	Samples  []samples.Sample `json:"samples"`
}
