package ordering

// Pool is a set of interchangeable upstreams: those of one kind that serve the same policy or service in one data
// centre. Orders are placed per pool.
type Pool struct {
	DataCentre string `json:"data_centre"`
	// Kind is "<upstream kind>:<policy or service>".
	Kind string `json:"kind"`
}

// String returns "<data centre>/<kind>", the form used in row keys, order IDs, metrics and logs.
func (p Pool) String() string { return p.DataCentre + "/" + p.Kind }
