package configstore

import (
	"encoding/json"
	"fmt"

	"github.com/rotisserie/eris"

	"github.com/radishshelf/radishshelf/fleetconfig"
	"github.com/radishshelf/radishshelf/hosting"
)

const (
	headKey      = "config/head"
	objectPrefix = "config/object/"
	logPrefix    = "config/log/"
)

// headRow is the value of config/head.
type headRow struct {
	Revision int64 `json:"revision"`
}

// logRow is the value of config/log/<revision>.
type logRow struct {
	// ChangeID identifies the change that committed the revision.
	ChangeID string             `json:"change_id"`
	Object   fleetconfig.Object `json:"object"`
}

func objectKey(kind fleetconfig.Kind, name string) string {
	return objectPrefix + string(kind) + "/" + name
}

// logKey pads the revision with zeros, so that keys sort by revision.
func logKey(revision int64) string { return fmt.Sprintf("%s%019d", logPrefix, revision) }

func decodeRow(row hosting.Row, target any) error {
	if err := json.Unmarshal(row.Value, target); err != nil {
		return eris.Wrapf(err, "row %s cannot be decoded; restore it from config/log", row.Key)
	}
	return nil
}
