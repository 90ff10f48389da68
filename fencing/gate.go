// Package fencing rejects orders from a process that has lost its role, and records actions with external effects so
// that the next holder of the role can finish them. It does no I/O, reads no clock and starts no goroutines.
package fencing

import "fmt"

// Token is a fencing token. Tokens are compared by term and, within the same term, by revision.
type Token struct {
	Term     int64
	Revision int64
}

// Less reports whether t is older than other.
func (t Token) Less(other Token) bool {
	if t.Term != other.Term {
		return t.Term < other.Term
	}
	return t.Revision < other.Revision
}

// StaleError reports an order that is older than one already seen.
type StaleError struct {
	Got, Highest Token
}

// Error implements error.
func (e *StaleError) Error() string {
	return fmt.Sprintf("order of term %d revision %d is older than term %d revision %d; the sender no longer holds the role",
		e.Got.Term, e.Got.Revision, e.Highest.Term, e.Highest.Revision)
}

// NotReadyError reports an order that arrived before the highest term was known.
type NotReadyError struct {
	// Reported is the number of sources that have reported so far, and Required the number needed.
	Reported, Required int
}

// Error implements error.
func (e *NotReadyError) Error() string {
	return fmt.Sprintf("the highest term is not known yet: %d of %d sources have reported; the order is repeated until then",
		e.Reported, e.Required)
}

// Gate stores the highest token it has seen and rejects orders with older ones.
//
// Invariants: the sequence of accepted tokens never decreases, and no order is accepted before enough sources have
// reported the highest token they know. A process that restarts loses the tokens it had seen, so without the second
// rule it would accept an order from a former holder.
//
// A Gate is not safe for concurrent use.
type Gate struct {
	required int
	sources  map[string]bool
	ready    bool
	highest  Token
}

// NewGate returns a Gate that accepts orders once the required number of sources have reported.
func NewGate(required int) *Gate {
	return &Gate{required: required, sources: map[string]bool{}, ready: required <= 0}
}

// Learn applies a report of the highest token known to source.
func (g *Gate) Learn(source string, known Token) {
	if g.highest.Less(known) {
		g.highest = known
	}
	if g.ready {
		return
	}
	g.sources[source] = true
	if len(g.sources) >= g.required {
		g.markReady()
	}
}

// ForceReady makes the gate ready even though fewer sources than required have reported, for a fleet that has fewer
// sources. It has no effect before the first report.
func (g *Gate) ForceReady() {
	if len(g.sources) > 0 {
		g.markReady()
	}
}

func (g *Gate) markReady() {
	g.ready = true
	g.sources = nil
}

// ReportedSources returns the number of sources that have reported, or 0 once the gate is ready.
func (g *Gate) ReportedSources() int { return len(g.sources) }

// Ready reports whether the gate accepts orders.
func (g *Gate) Ready() bool { return g.ready }

// Highest returns the highest token seen.
func (g *Gate) Highest() Token { return g.highest }

// Accept returns nil for an order whose token is not older than the highest one seen. An equal token is accepted,
// because it belongs to a repetition of the same order. The error is a *StaleError or *NotReadyError.
func (g *Gate) Accept(t Token) error {
	if t.Less(g.highest) {
		return &StaleError{Got: t, Highest: g.highest}
	}
	if !g.ready {
		return &NotReadyError{Reported: len(g.sources), Required: g.required}
	}
	g.highest = t
	return nil
}
