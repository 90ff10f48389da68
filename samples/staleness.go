package samples

// Staleness returns how many versions the trainer at the given step is ahead of the oldest version of a sample or
// group.
func Staleness(step, oldestVersion int64) int64 { return step - oldestVersion }

// Stale reports whether a sample or group exceeds the staleness bound at the given step.
func Stale(step, oldestVersion, maxStaleness int64) bool {
	return Staleness(step, oldestVersion) > maxStaleness
}

// OldestVersion returns the lowest weight version of any span, or 0 for a sample without spans.
func (s Sample) OldestVersion() int64 {
	var oldest int64
	for _, span := range s.Spans {
		if oldest == 0 || span.Version < oldest {
			oldest = span.Version
		}
	}
	return oldest
}
