// Package fencing refuses orders from a process that has lost its role, and records outward actions so that a new
// holder can finish them. It is pure code: no I/O, clock or goroutine.
package fencing

import "fmt"

// Token orders two orders: a higher term wins, and within a term the higher revision.
type Token struct {
	Term     int64
	Revision int64
}

// Less reports whether m is older than other.
func (m Token) Less(other Token) bool {
	if m.Term != other.Term {
		return m.Term < other.Term
	}
	return m.Revision < other.Revision
}

// StaleError refuses an order that is older than one already seen.
type StaleError struct {
	Got, Highest Token
}

// Error implements error.
func (e *StaleError) Error() string {
	return fmt.Sprintf("order of term %d revision %d is older than term %d revision %d; the sender no longer holds the role",
		e.Got.Term, e.Got.Revision, e.Highest.Term, e.Highest.Revision)
}

// NotReadyError refuses an order that arrives before the highest term is known.
type NotReadyError struct {
	// Reported of Required sources have reported so far.
	Reported, Required int
}

// Error implements error.
func (e *NotReadyError) Error() string {
	return fmt.Sprintf("the highest term is not known yet: %d of %d sources have reported; the order is repeated until then",
		e.Reported, e.Required)
}

// Gate remembers the highest order it has seen and refuses older ones.
//
// Invariant: the sequence of accepted marks never decreases, and nothing is accepted before enough sources have reported
// the highest term they know. A restarted process forgets what it had seen, so without the second rule it would accept
// an order of a deposed holder.
//
// A Gate is not safe for concurrent use.
type Gate struct {
	required int
	sources  map[string]bool
	ready    bool
	highest  Token
}

// NewGate returns a gate that opens after needed sources have reported.
func NewGate(required int) *Gate {
	return &Gate{required: required, sources: map[string]bool{}, ready: required <= 0}
}

// Learn takes the highest mark that a source knows.
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

// ForceReady opens the gate with the sources that have reported, for a fleet with fewer sources than needed. It has no
// effect before the first report.
func (g *Gate) ForceReady() {
	if len(g.sources) > 0 {
		g.markReady()
	}
}

func (g *Gate) markReady() {
	g.ready = true
	g.sources = nil
}

// ReportedSources returns how many sources have reported; 0 again once the gate is ready.
func (g *Gate) ReportedSources() int { return len(g.sources) }

// Ready reports whether the gate accepts orders.
func (g *Gate) Ready() bool { return g.ready }

// Highest returns the highest mark seen.
func (g *Gate) Highest() Token { return g.highest }

// Accept admits an order that is not older than the highest seen. Equal marks pass, because a repeated order is the same
// order. The error is *StaleError or *NotReadyError.
func (g *Gate) Accept(m Token) error {
	if m.Less(g.highest) {
		return &StaleError{Got: m, Highest: g.highest}
	}
	if !g.ready {
		return &NotReadyError{Reported: len(g.sources), Required: g.required}
	}
	g.highest = m
	return nil
}
