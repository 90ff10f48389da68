// Package drain is the lifecycle of a process or upstream: starting, ready, leaving, stopped. It is pure code: no I/O,
// clock or goroutine.
package drain

import "fmt"

// State is a stage of the lifecycle.
type State string

// States in their order.
const (
	Starting State = "starting"
	Ready    State = "ready"
	Leaving  State = "leaving"
	Stopped  State = "stopped"
)

// RefusedError refuses new work outside of the ready state.
type RefusedError struct {
	State  State
	Reason string
}

// Error implements error.
func (e *RefusedError) Error() string {
	if e.Reason == "" {
		return fmt.Sprintf("no new work while %s; use another upstream", e.State)
	}
	return fmt.Sprintf("no new work while %s (%s); use another upstream", e.State, e.Reason)
}

// Machine counts the work in flight and admits new work only while ready.
//
// Invariants: the state never goes back, and Stopped is reached only with nothing in flight. No time limit ends work in
// flight.
//
// A Machine is not safe for concurrent use.
type Machine struct {
	state    State
	reason   string
	inFlight int
}

// New returns a machine in the starting state.
func New() *Machine { return &Machine{state: Starting} }

// State returns the current state.
func (m *Machine) State() State { return m.state }

// Reason returns why the process leaves; empty before that.
func (m *Machine) Reason() string { return m.reason }

// InFlight returns the number of requests that have begun and not ended.
func (m *Machine) InFlight() int { return m.inFlight }

// Ready ends the start. It has no effect in a later state.
func (m *Machine) Ready() {
	if m.state == Starting {
		m.state = Ready
	}
}

// Begin admits one request or returns *RefusedError.
func (m *Machine) Begin() error {
	if m.state != Ready {
		return &RefusedError{State: m.state, Reason: m.reason}
	}
	m.inFlight++
	return nil
}

// End states that an admitted request is over.
func (m *Machine) End() {
	if m.inFlight > 0 {
		m.inFlight--
	}
	m.stopIfIdle()
}

// Leave refuses all new work from now on. The first reason is kept.
func (m *Machine) Leave(reason string) {
	if m.state == Leaving || m.state == Stopped {
		return
	}
	m.state = Leaving
	m.reason = reason
	m.stopIfIdle()
}

func (m *Machine) stopIfIdle() {
	if m.state == Leaving && m.inFlight == 0 {
		m.state = Stopped
	}
}
