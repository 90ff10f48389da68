package lotstore

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"github.com/rotisserie/eris"

	"github.com/radishshelf/radishshelf/hosting"
	"github.com/radishshelf/radishshelf/lots"
)

// readReadyPage returns the ready groups of the next rows after a key, and the key of the last of these rows, which is
// empty if there are no more rows. It skips rows that cannot be decoded, so a page may be empty although rows follow.
// Skipped rows stay in the table, because a later version may be able to decode them.
func (s *Store) readReadyPage(ctx context.Context, trainer, after string) (page []lots.ReadyGroup, last string, err error) {
	rows, err := s.opts.Table.Scan(ctx, readyPrefix(trainer), after, readyPageSize)
	if err != nil {
		return nil, "", eris.Wrapf(err, "read ready groups of %s", trainer)
	}
	for _, row := range rows {
		last = row.Key
		ready, err := decodeReady(row)
		if err != nil {
			s.skipped.Skip(row.Key, err)
			continue
		}
		page = append(page, ready)
	}
	return page, last, nil
}

// decodeReady returns the group of a ready row. JSON in another format may decode without an error, so the group must
// also belong to the key of the row and have all fields on which its selection depends.
func decodeReady(row hosting.Row) (lots.ReadyGroup, error) {
	var ready lots.ReadyGroup
	if err := json.Unmarshal(row.Value, &ready); err != nil {
		return lots.ReadyGroup{}, err
	}
	if ready.Key != row.Key {
		return lots.ReadyGroup{}, fmt.Errorf("the row holds the group of %q", ready.Key)
	}
	if ready.Group == "" || ready.Object == "" || ready.Samples <= 0 || ready.OldestVersion <= 0 || ready.Bytes <= 0 {
		return lots.ReadyGroup{}, errors.New("the group id, the object, the samples, the oldest version or the size is missing")
	}
	return ready, nil
}
