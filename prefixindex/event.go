package prefixindex

// Event is the cache part of one upstream report.
type Event struct {
	Upstream    string
	Incarnation string
	// Seq is the number of the report within the incarnation.
	Seq     int64
	Added   []uint64
	Removed []uint64
}
