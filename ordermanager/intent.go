package ordermanager

import (
	"encoding/json"
	"fmt"

	"github.com/radishshelf/radishshelf/hosting"
	"github.com/radishshelf/radishshelf/ordering"
)

// intentPrefix is the key prefix of the intent rows. There is one row per pool.
const intentPrefix = "intent/orders/"

// IntentState says whether an order is known to have reached the platform.
type IntentState string

const (
	// IntentPlanned orders may or may not have reached the platform.
	IntentPlanned IntentState = "planned"
	// IntentDone orders are known to have taken effect.
	IntentDone IntentState = "done"
)

// Intent is the content of an intent row.
type Intent struct {
	Pool ordering.Pool `json:"pool"`
	// Generation counts the orders of the pool from 1.
	Generation int64       `json:"generation"`
	Count      int         `json:"count"`
	State      IntentState `json:"state"`
	// Term is the term of the holder that last wrote the intent.
	Term int64 `json:"term"`

	revision int64
}

// decodeIntent returns the intent of a row.
func decodeIntent(row hosting.Row) (Intent, error) {
	var intent Intent
	if err := json.Unmarshal(row.Value, &intent); err != nil {
		return Intent{}, fmt.Errorf("intent row %s cannot be decoded: %w; restore it from the platform's list of orders", row.Key, err)
	}
	intent.revision = row.Revision
	return intent, nil
}

func (i Intent) key() string { return intentPrefix + i.Pool.String() }

// order returns the order with its fixed ID and the term of the current holder.
func (i Intent) order(term int64) hosting.Order {
	return hosting.Order{
		ID:         fmt.Sprintf("%s#%d", i.Pool, i.Generation),
		DataCentre: i.Pool.DataCentre, Kind: i.Pool.Kind, Count: i.Count, Term: term,
	}
}
