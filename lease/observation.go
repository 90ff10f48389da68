package lease

// Observation is the result of reading a role's row.
type Observation struct {
	// Revision of the row; 0 when the row is absent.
	Revision int64
	Record   Record
}
