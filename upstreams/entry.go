package upstreams

// State is what an upstream says of itself.
type State string

const (
	// Ready upstreams take work.
	Ready State = "ready"
	// Draining upstreams finish what they have and take nothing new.
	Draining State = "draining"
)

// Entry is what an upstream wrote about itself.
type Entry struct {
	// ID names one incarnation in most cases; Born tells incarnations of the same ID apart.
	ID string
	// Born is the start of the incarnation in Unix milliseconds.
	Born    int64
	Service string
	// Address is host:port.
	Address    string
	DataCentre string
	// Slots is how many requests it processes at once.
	Slots int
	State State
	// Versions holds the weight version of each model that it serves; empty for a plain service.
	Versions map[string]int64
}
