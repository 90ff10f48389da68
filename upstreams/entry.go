package upstreams

import "time"

// State is the state that an upstream reports in its entry.
type State string

const (
	// Ready upstreams accept work.
	Ready State = "ready"
	// Draining upstreams finish their requests and accept no new ones.
	Draining State = "draining"
)

// Entry is the registry entry that an upstream writes about itself.
type Entry struct {
	// ID identifies one incarnation in most cases; Born distinguishes incarnations with the same ID.
	ID string
	// Born is the start time of the incarnation in Unix milliseconds.
	Born    int64
	Service string
	// Address is host:port.
	Address    string
	DataCentre string
	// Slots is how many requests the upstream processes at the same time.
	Slots int
	State State
	// ColdFor is how long the upstream stays cold, from the time at which it wrote the entry.
	ColdFor time.Duration
	// Versions holds the weight version of each model that the upstream serves; empty for a plain service.
	Versions map[string]int64
}

// Incarnation identifies one start of an upstream.
type Incarnation struct {
	ID   string
	Born int64
}

// Incarnation returns the incarnation that the entry describes.
func (e Entry) Incarnation() Incarnation { return Incarnation{ID: e.ID, Born: e.Born} }
