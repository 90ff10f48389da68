package fencing

import (
	"encoding/json"
	"fmt"
)

// IntentState is the progress of an outward action.
type IntentState string

// States of an intent.
const (
	// Planned is written before the action is sent.
	Planned IntentState = "planned"
	// Done is written after the effect is known.
	Done IntentState = "done"
)

// Intent records an outward action of a role. It is written before the action, so that a later holder of the role can
// find out under the same identity whether the action took effect.
type Intent struct {
	// ID is the identity of the action at its receiver and never changes.
	ID   string `json:"id"`
	Role string `json:"role"`
	// Term is that of the holder that wrote the intent last.
	Term    int64           `json:"term"`
	State   IntentState     `json:"state"`
	Payload json.RawMessage `json:"payload"`
}

// IntentError refuses a step that an intent does not allow.
type IntentError struct {
	ID      string
	Problem string
}

// Error implements error.
func (e *IntentError) Error() string { return fmt.Sprintf("intent %q: %s", e.ID, e.Problem) }

// NewIntent plans an action.
func NewIntent(id, role string, term int64, payload json.RawMessage) Intent {
	return Intent{ID: id, Role: role, Term: term, State: Planned, Payload: payload}
}

// Adopt returns the intent under the term of a new holder. Identity and payload stay the same.
func (i Intent) Adopt(term int64) (Intent, error) {
	if i.State == Done {
		return i, &IntentError{ID: i.ID, Problem: "is done; there is nothing to finish"}
	}
	if term < i.Term {
		return i, &IntentError{ID: i.ID, Problem: fmt.Sprintf("term %d is older than %d", term, i.Term)}
	}
	i.Term = term
	return i, nil
}

// Finish returns the intent with its effect confirmed. Only the term that wrote it last may finish it.
func (i Intent) Finish(term int64) (Intent, error) {
	if i.State == Done {
		return i, nil
	}
	if term != i.Term {
		return i, &IntentError{ID: i.ID, Problem: fmt.Sprintf("belongs to term %d, not %d; adopt it first", i.Term, term)}
	}
	i.State = Done
	return i, nil
}
