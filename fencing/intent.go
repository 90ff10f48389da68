package fencing

import (
	"encoding/json"
	"fmt"
)

// IntentState is the state of an action with an external effect.
type IntentState string

// States of an intent.
const (
	// Planned is written before the action is sent.
	Planned IntentState = "planned"
	// Done is written after the action is known to have taken effect.
	Done IntentState = "done"
)

// Intent records an action of a role that has an external effect. It is written before the action is sent, so that a
// later holder of the role can use the same ID to find out whether the action took effect.
type Intent struct {
	// ID identifies the action to its receiver and never changes.
	ID   string `json:"id"`
	Role string `json:"role"`
	// Term is the term of the holder that last wrote the intent.
	Term    int64           `json:"term"`
	State   IntentState     `json:"state"`
	Payload json.RawMessage `json:"payload"`
}

// IntentError reports a state transition that an intent does not allow.
type IntentError struct {
	ID      string
	Problem string
}

// Error implements error.
func (e *IntentError) Error() string { return fmt.Sprintf("intent %q: %s", e.ID, e.Problem) }

// NewIntent returns an intent in state Planned.
func NewIntent(id, role string, term int64, payload json.RawMessage) Intent {
	return Intent{ID: id, Role: role, Term: term, State: Planned, Payload: payload}
}

// Adopt returns the intent with the term of a new holder. ID and payload stay the same. It fails if the intent is done
// or term is older than the intent's term.
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

// Finish returns the intent in state Done. Only the term that last wrote the intent may finish it; finishing it again
// has no effect.
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
