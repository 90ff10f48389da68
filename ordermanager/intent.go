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

// decodeIntent returns the intent of a row. JSON in another format may decode without an error, so the intent must also
// belong to the key of the row and be valid.
func decodeIntent(row hosting.Row) (Intent, error) {
	var intent Intent
	err := json.Unmarshal(row.Value, &intent)
	if err == nil {
		err = intent.checkFor(row.Key)
	}
	if err != nil {
		return Intent{}, fmt.Errorf("intent row %s cannot be decoded: %w; restore it from the platform's list of orders", row.Key, err)
	}
	intent.revision = row.Revision
	return intent, nil
}

func (i Intent) checkFor(key string) error {
	switch {
	case i.key() != key:
		return fmt.Errorf("the row holds the intent of pool %s", i.Pool)
	case i.Generation <= 0:
		return fmt.Errorf("generation %d is not positive", i.Generation)
	case i.State != IntentPlanned && i.State != IntentDone:
		return fmt.Errorf("state %q is unknown", i.State)
	}
	return nil
}

func (i Intent) key() string { return intentPrefix + i.Pool.String() }

// order returns the order with its fixed ID and the term of the current holder.
func (i Intent) order(term int64) hosting.Order {
	return hosting.Order{
		ID:         fmt.Sprintf("%s#%d", i.Pool, i.Generation),
		DataCentre: i.Pool.DataCentre, Kind: i.Pool.Kind, Count: i.Count, Term: term,
	}
}
