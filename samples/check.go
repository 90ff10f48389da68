package samples

import "fmt"

// InvalidGroupError reports why a group cannot become part of a lot.
type InvalidGroupError struct {
	Group   string
	Problem string
}

// Error implements error.
func (e *InvalidGroupError) Error() string {
	return fmt.Sprintf("group %q is invalid: %s; send complete groups with a weight version for every token, within the size limits", e.Group, e.Problem)
}

// Validate returns an *InvalidGroupError unless the samples are complete, in index order and have valid version spans.
func (g Group) Validate() error {
	if g.ID == "" || g.Trainer == "" {
		return &InvalidGroupError{Group: g.ID, Problem: "the group id or the trainer is missing"}
	}
	if len(g.Samples) == 0 {
		return &InvalidGroupError{Group: g.ID, Problem: "it has no samples"}
	}
	for i, s := range g.Samples {
		if s.Index != i || s.ID != SampleID(g.ID, i) {
			return &InvalidGroupError{Group: g.ID, Problem: fmt.Sprintf("sample %q is not at index %d", s.ID, i)}
		}
		if reason := validateSpans(s.Spans); reason != "" {
			return &InvalidGroupError{Group: g.ID, Problem: fmt.Sprintf("sample %q: %s", s.ID, reason)}
		}
	}
	return nil
}
