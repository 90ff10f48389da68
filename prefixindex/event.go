package prefixindex

// Event lists the changes of an upstream's cache from one of its reports.
type Event struct {
	Upstream    string
	Incarnation string
	// Seq is the sequence number of the report within the incarnation.
	Seq     int64
	Added   []uint64
	Removed []uint64
}
