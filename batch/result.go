package batch

// ResultState is the final state of an item.
type ResultState string

const (
	// Succeeded items have their complete text.
	Succeeded ResultState = "succeeded"
	// Abandoned items will not be run again.
	Abandoned ResultState = "abandoned"
)

// Result is the result of a finished item.
type Result struct {
	ID     string      `json:"id"`
	State  ResultState `json:"state"`
	Output string      `json:"output,omitempty"`
	// Versions holds the weight versions that generated the events of the text, ascending.
	Versions []int64 `json:"versions,omitempty"`
	Score    string  `json:"score,omitempty"`
}

// Text returns the text of a succeeded result, for reuse in a later job.
func (r Result) Text() Text {
	return Text{Events: []string{r.Output}, Versions: r.Versions, Complete: true}
}
