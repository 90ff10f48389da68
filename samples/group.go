package samples

// Group is the set of samples for one prompt that a trainer uses together.
type Group struct {
	Trainer string `json:"trainer"`
	Policy  string `json:"policy"`
	ID      string `json:"id"`
	// Samples are complete and in index order.
	Samples []Sample `json:"samples"`
}

// OldestVersion returns the lowest weight version of any span, or 0 for a group without spans.
func (g Group) OldestVersion() int64 {
	var oldest int64
	for _, s := range g.Samples {
		if version := s.OldestVersion(); version > 0 && (oldest == 0 || version < oldest) {
			oldest = version
		}
	}
	return oldest
}
