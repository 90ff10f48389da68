package lease

// Observation is the result of reading a role's row.
type Observation struct {
	// Revision is the revision of the row; 0 if the row is absent.
	Revision int64
	Record   Record
}
