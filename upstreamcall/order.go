package upstreamcall

// VersionOrder asks an upstream to load a version of a model's weights.
type VersionOrder struct {
	Model   string
	Version int64
	// Strategy says what happens to the texts that run.
	Strategy Strategy
	// Holder and Term name the holder of the duty and its fencing number.
	Holder string
	Term   int64
	// ExpectedOrders is the number of orders that the upstream must have accepted before.
	ExpectedOrders int64
}

// Strategy says what happens to running texts when weights change.
type Strategy string

const (
	// Wait lets them end first.
	Wait Strategy = "wait"
	// Retain lets them go on under the new version.
	Retain Strategy = "retain"
)

// OrderResult is what an upstream said to an order.
type OrderResult string

const (
	// OrderAccepted means that the order is carried out.
	OrderAccepted OrderResult = "accepted"
	// OrderHolds means that the upstream serves the version already.
	OrderHolds OrderResult = "holds"
	// OrderConflict means that another order is in progress or was accepted before.
	OrderConflict OrderResult = "conflict"
	// OrderFenced means that the upstream has seen a higher term.
	OrderFenced OrderResult = "fenced"
	// OrderInvalid means that the order cannot be carried out.
	OrderInvalid OrderResult = "invalid"
	// OrderUnknown means that there was no answer; the order may be carried out, also later.
	OrderUnknown OrderResult = "unknown"
)

// Report is the state that an upstream reports when asked.
type Report struct {
	Versions map[string]int64
	Orders   int64
	// Loading reports whether an order is in progress.
	Loading         bool
	Queued, Running int
	// MemoryTokens is how many tokens the requests that run there may hold together; 0 when it is not known.
	MemoryTokens int
}
