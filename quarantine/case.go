package quarantine

import "slices"

// maxEnds bounds the ends that a case names. A request is refused long before.
const maxEnds = 8

// Case is what is known against one request, in the form in which processes exchange it. Two cases of the same request are
// merged without counting an end twice.
type Case struct {
	// Ends holds the ends of upstreams under the request.
	Ends []UpstreamIncarnation `json:"ends,omitempty"`
	// Level is at least the number of ends. Each run that was allowed in spite of the case raises it by one beforehand, so that
	// a lost outcome counts as an end.
	Level int `json:"level,omitempty"`
	// MaxProgress is how far the text of the request came in any run.
	MaxProgress int `json:"furthest,omitempty"`
}

func (c *Case) level() int { return max(c.Level, len(c.Ends)) }

// WithProbe returns the case after one more run has been allowed.
func (c Case) WithProbe() Case {
	probed := c.clone()
	probed.Level = c.level() + 1
	return probed
}

func (c Case) clone() Case {
	c.Ends = slices.Clone(c.Ends)
	return c
}

// add adds an end and reports whether it is new.
func (c *Case) add(end UpstreamIncarnation) bool {
	if len(c.Ends) >= maxEnds || slices.Contains(c.Ends, end) {
		return false
	}
	c.Ends = append(c.Ends, end)
	return true
}

// merge takes what another case knows and reports whether that changes how the request may run.
func (c *Case) merge(other Case) bool {
	before := c.level()
	changed := false
	for _, end := range other.Ends {
		changed = c.add(end) || changed
	}
	c.Level, c.MaxProgress = max(c.Level, other.Level), max(c.MaxProgress, other.MaxProgress)
	return changed || c.level() > before
}

// coveredBy reports whether another case knows everything that this one knows.
func (c *Case) coveredBy(other Case) bool {
	unknown := func(end UpstreamIncarnation) bool { return !slices.Contains(other.Ends, end) }
	return c.level() <= other.level() && c.MaxProgress <= other.MaxProgress &&
		(len(other.Ends) >= maxEnds || !slices.ContainsFunc(c.Ends, unknown))
}
