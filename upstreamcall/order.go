package upstreamcall

// VersionOrder asks an upstream to load a version of a model's weights.
type VersionOrder struct {
	Model   string
	Version int64
	// Strategy says what happens to running texts.
	Strategy Strategy
	// Holder and Term identify the holder of the duty; Term is its fencing token.
	Holder string
	Term   int64
	// ExpectedOrders is the number of orders that the upstream must have accepted before this one.
	ExpectedOrders int64
}

// Strategy says what happens to running texts when the weights change.
type Strategy string

const (
	// Wait lets running texts end first.
	Wait Strategy = "wait"
	// Retain lets running texts continue under the new version.
	Retain Strategy = "retain"
)

// OrderResult is the result of an order.
type OrderResult string

const (
	// OrderAccepted means that the upstream executes the order.
	OrderAccepted OrderResult = "accepted"
	// OrderHolds means that the upstream already serves the version.
	OrderHolds OrderResult = "holds"
	// OrderConflict means that another order is in progress or was accepted in the meantime.
	OrderConflict OrderResult = "conflict"
	// OrderFenced means that the upstream has seen a higher term.
	OrderFenced OrderResult = "fenced"
	// OrderInvalid means that the order cannot be executed.
	OrderInvalid OrderResult = "invalid"
	// OrderUnknown means that there was no response; the order may still be executed later.
	OrderUnknown OrderResult = "unknown"
)

// Report is the state reported by an upstream on request.
type Report struct {
	Versions map[string]int64
	Orders   int64
	// Loading reports whether an order is in progress.
	Loading         bool
	Queued, Running int
	// MemoryTokens is how many tokens the requests running at the upstream can hold together; 0 if unknown.
	MemoryTokens int
}
