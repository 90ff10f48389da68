package lotstore

import (
	"time"

	"github.com/radishshelf/radishshelf/lots"
)

// groupRow is the table row of a durable group.
type groupRow struct {
	Ready   lots.ReadyGroup `json:"ready"`
	AddedAt time.Time       `json:"added_at"`
}

// discardRow is the table row of groups that were discarded in one transaction.
type discardRow struct {
	Step        int64                 `json:"step"`
	DiscardedAt time.Time             `json:"discarded_at"`
	Groups      []lots.DiscardedGroup `json:"groups"`
}
