package ordermanager

import (
	"fmt"

	"github.com/radishshelf/radishshelf/hosting"
	"github.com/radishshelf/radishshelf/ordering"
)

// intentPrefix is the key prefix of the intent rows; there is one row for each pool.
const intentPrefix = "intent/orders/"

// IntentState tells whether the platform is known to have an order.
type IntentState string

const (
	// IntentPlanned orders may or may not have reached the platform.
	IntentPlanned IntentState = "planned"
	// IntentDone orders took effect.
	IntentDone IntentState = "done"
)

// Intent is the content of an intent row.
type Intent struct {
	Pool ordering.Pool `json:"pool"`
	// Generation counts the orders of the pool from 1.
	Generation int64       `json:"generation"`
	Count      int         `json:"count"`
	State      IntentState `json:"state"`
	// Term is the fencing number of the holder that planned the order.
	Term int64 `json:"term"`

	revision int64
}

func (i Intent) key() string { return intentPrefix + i.Pool.String() }

// order returns the order under the fixed identity and the present holder's term.
func (i Intent) order(term int64) hosting.Order {
	return hosting.Order{
		ID:         fmt.Sprintf("%s#%d", i.Pool, i.Generation),
		DataCentre: i.Pool.DataCentre, Kind: i.Pool.Kind, Count: i.Count, Term: term,
	}
}
