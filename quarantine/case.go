package quarantine

import "slices"

// maxEnds limits the ends listed in a case. A request is refused well before it reaches this number.
const maxEnds = 8

// Case is the evidence that a request crashes its upstreams, in the form in which processes exchange it. Merging two cases
// of the same request does not count an end twice.
type Case struct {
	// Ends lists the upstream incarnations that ended while they ran the request.
	Ends []UpstreamIncarnation `json:"ends,omitempty"`
	// Level is at least the number of ends. It is raised by one before each probe, so that a probe whose outcome is lost
	// counts as an end.
	Level int `json:"level,omitempty"`
	// MaxProgress is the largest progress of the response text in any run.
	MaxProgress int `json:"furthest,omitempty"`
}

func (c *Case) level() int { return max(c.Level, len(c.Ends)) }

// WithProbe returns a copy of the case with the level raised for one probe.
func (c Case) WithProbe() Case {
	probed := c.clone()
	probed.Level = c.level() + 1
	return probed
}

func (c Case) clone() Case {
	c.Ends = slices.Clone(c.Ends)
	return c
}

// add adds an end unless the case is full. It reports whether the end was added.
func (c *Case) add(end UpstreamIncarnation) bool {
	if len(c.Ends) >= maxEnds || slices.Contains(c.Ends, end) {
		return false
	}
	c.Ends = append(c.Ends, end)
	return true
}

// merge adds the evidence of another case and reports whether that changes how the request may run.
func (c *Case) merge(other Case) bool {
	before := c.level()
	changed := false
	for _, end := range other.Ends {
		changed = c.add(end) || changed
	}
	c.Level, c.MaxProgress = max(c.Level, other.Level), max(c.MaxProgress, other.MaxProgress)
	return changed || c.level() > before
}

// coveredBy reports whether another case contains all evidence of this one.
func (c *Case) coveredBy(other Case) bool {
	unknown := func(end UpstreamIncarnation) bool { return !slices.Contains(other.Ends, end) }
	return c.level() <= other.level() && c.MaxProgress <= other.MaxProgress &&
		(len(other.Ends) >= maxEnds || !slices.ContainsFunc(c.Ends, unknown))
}
