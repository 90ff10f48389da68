// Package drain implements the lifecycle of a process or upstream: starting, ready, leaving, stopped. It does no I/O,
// reads no clock and starts no goroutines.
package drain

import "fmt"

// State is a state of the lifecycle.
type State string

// States in their order.
const (
	Starting State = "starting"
	Ready    State = "ready"
	Leaving  State = "leaving"
	Stopped  State = "stopped"
)

// RefusedError reports a request that arrived in a state other than Ready.
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

// Machine is the state machine of the lifecycle. It counts requests in flight and admits new ones only in state Ready.
//
// Invariants: the state never goes back, and Stopped is reached only when no request is in flight. There is no timeout
// for requests in flight.
//
// A Machine is not safe for concurrent use.
type Machine struct {
	state    State
	reason   string
	inFlight int
}

// New returns a Machine in state Starting.
func New() *Machine { return &Machine{state: Starting} }

// State returns the current state.
func (m *Machine) State() State { return m.state }

// Reason returns the reason passed to Leave, or an empty string before that.
func (m *Machine) Reason() string { return m.reason }

// InFlight returns the number of requests admitted by Begin that have not ended.
func (m *Machine) InFlight() int { return m.inFlight }

// Ready moves the machine from Starting to Ready. It has no effect in any other state.
func (m *Machine) Ready() {
	if m.state == Starting {
		m.state = Ready
	}
}

// Begin admits one request, or returns a *RefusedError.
func (m *Machine) Begin() error {
	if m.state != Ready {
		return &RefusedError{State: m.state, Reason: m.reason}
	}
	m.inFlight++
	return nil
}

// End records that an admitted request has finished.
func (m *Machine) End() {
	if m.inFlight > 0 {
		m.inFlight--
	}
	m.stopIfIdle()
}

// Leave makes the machine refuse all new requests, and moves it to Stopped once none is in flight. If it is called
// again, the first reason is kept.
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
