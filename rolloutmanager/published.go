package rolloutmanager

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/rotisserie/eris"

	"github.com/radishshelf/radishshelf/hosting"
)

// maxPublishAttempts bounds the races of one publication with others of the same policy.
const maxPublishAttempts = 5

// PublishedVersion is the newest weight version of a policy. Its row is written by any entry, for a trainer.
type PublishedVersion struct {
	Version int64  `json:"version"`
	Trainer string `json:"trainer"`
}

// PublishedKey returns the key of a policy's row.
func PublishedKey(policy string) string { return "versions/" + policy }

// Publish records a version of a policy. A version that is not above the recorded one changes nothing, so a repeated
// call is harmless.
func Publish(ctx context.Context, table hosting.Table, policy, trainer string, version int64) error {
	value, err := json.Marshal(PublishedVersion{Version: version, Trainer: trainer})
	if err != nil {
		return err
	}
	for range maxPublishAttempts {
		current, revision, err := readPublished(ctx, table, policy)
		if err != nil {
			return err
		}
		if version <= current.Version {
			return nil
		}
		result, err := table.Commit(ctx, hosting.Txn{
			Conditions: []hosting.Condition{{Key: PublishedKey(policy), Revision: revision}},
			Puts:       []hosting.Put{{Key: PublishedKey(policy), Value: value}},
		})
		if err != nil {
			return eris.Wrapf(err, "publish version %d of policy %s", version, policy)
		}
		if result.Committed {
			return nil
		}
	}
	return fmt.Errorf("version %d of policy %q raced %d times with other publications; publish it again", version, policy, maxPublishAttempts)
}

func readPublished(ctx context.Context, table hosting.Table, policy string) (PublishedVersion, int64, error) {
	row, err := table.Get(ctx, PublishedKey(policy))
	if hosting.IsKind(err, hosting.KindNotFound) {
		return PublishedVersion{}, 0, nil
	}
	if err != nil {
		return PublishedVersion{}, 0, eris.Wrapf(err, "read the published version of policy %s", policy)
	}
	var p PublishedVersion
	if err := json.Unmarshal(row.Value, &p); err != nil {
		return PublishedVersion{}, 0, fmt.Errorf("row %s is damaged: %w; publish the newest version again", row.Key, err)
	}
	return p, row.Revision, nil
}
