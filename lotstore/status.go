package lotstore

import (
	"context"

	"github.com/radishshelf/radishshelf/lots"
	"github.com/radishshelf/radishshelf/samples"
)

// Status is the state of a trainer's lots as shown to operators.
type Status struct {
	// ReadyGroups and ReadySamples are not part of a lot yet. Counting stops once 3,000 groups are reached.
	ReadyGroups  int `json:"ready_groups"`
	ReadySamples int `json:"ready_samples"`
	// OldestVersion is the lowest weight version among the ready groups, or 0 if there are none.
	OldestVersion int64 `json:"oldest_version"`
	// Acknowledged is the last lot that the trainer acknowledged, Last the last lot formed.
	Acknowledged int64 `json:"acknowledged"`
	Last         int64 `json:"last"`
	// Step is the highest step that the trainer has reported.
	Step int64 `json:"step"`
	// Delivered counts the samples of acknowledged lots, Discards the discarded samples by reason.
	Delivered int64                    `json:"delivered_samples"`
	Discards  map[samples.Reason]int64 `json:"discarded_samples"`
	// PendingGroups counts the groups of all trainers that are complete at this entry but not stored yet.
	PendingGroups int `json:"waiting_groups"`
}

// Status reads the state of a trainer's lots.
func (s *Store) Status(ctx context.Context, trainer string) (Status, error) {
	head, err := s.readHead(ctx, trainer)
	if err != nil {
		return Status{}, err
	}
	status := Status{
		Acknowledged: head.Acknowledged, Last: head.Last, Step: head.Step, Delivered: head.Delivered,
		Discards: head.Discards, PendingGroups: s.PendingGroups(),
	}
	inLastLot, err := s.lastLotReadyKeys(ctx, trainer, head)
	if err != nil {
		return Status{}, err
	}
	after := ""
	for status.ReadyGroups < lots.MaxGroups {
		page, last, err := s.readReadyPage(ctx, trainer, after)
		if err != nil || last == "" {
			return status, err
		}
		for _, r := range page {
			if inLastLot[r.Key] {
				continue
			}
			status.ReadyGroups++
			status.ReadySamples += r.Samples
			if status.OldestVersion == 0 || r.OldestVersion < status.OldestVersion {
				status.OldestVersion = r.OldestVersion
			}
		}
		after = last
	}
	return status, nil
}

// lastLotReadyKeys returns the keys of the ready rows of the last lot that may not have been deleted yet.
func (s *Store) lastLotReadyKeys(ctx context.Context, trainer string, head *headState) (map[string]bool, error) {
	keys := map[string]bool{}
	if head.Swept == head.Last {
		return keys, nil
	}
	lot, _, err := s.readLot(ctx, trainer, head.Last)
	if err != nil {
		return nil, err
	}
	for _, g := range lot.Groups {
		keys[g.Key] = true
	}
	return keys, nil
}
