package rolloutmanager

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/rotisserie/eris"

	"github.com/radishshelf/radishshelf/hosting"
)

// maxPublishAttempts is how often Publish tries to commit when other publications of the same policy commit first.
const maxPublishAttempts = 5

// PublishedVersion is the newest published weight version of a policy. Any entry may write its row, on behalf of a
// trainer.
type PublishedVersion struct {
	Version int64  `json:"version"`
	Trainer string `json:"trainer"`
}

// PublishedKey returns the row key of the published version of a policy.
func PublishedKey(policy string) string { return "versions/" + policy }

// Publish records version as the newest one of policy. It is idempotent: a version that is not above the recorded one
// changes nothing.
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
	return fmt.Errorf("version %d of policy %q lost %d commit races with other publications; publish it again",
		version, policy, maxPublishAttempts)
}

// readPublished returns the published version of policy and the revision of its row; both are zero if there is no row.
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
		return PublishedVersion{}, 0, fmt.Errorf("row %s cannot be decoded: %w; publish the newest version again", row.Key, err)
	}
	return p, row.Revision, nil
}
