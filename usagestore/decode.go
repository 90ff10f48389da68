package usagestore

import (
	"encoding/json"
	"errors"
	"fmt"

	"github.com/radishshelf/radishshelf/hosting"
	"github.com/radishshelf/radishshelf/usage"
)

// decodeBatch returns the batch of a row. JSON in another format may decode without an error, so the batch must also
// belong to the key of the row and hold records.
func decodeBatch(row hosting.Row) (usage.Batch, error) {
	var batch usage.Batch
	if err := json.Unmarshal(row.Value, &batch); err != nil {
		return usage.Batch{}, err
	}
	if key := batchKey(windowOfBatch(row.Key), batch); key != row.Key {
		return usage.Batch{}, fmt.Errorf("the row holds the batch of %s", key)
	}
	if len(batch.Records) == 0 {
		return usage.Batch{}, errors.New("the batch has no records")
	}
	return batch, nil
}
