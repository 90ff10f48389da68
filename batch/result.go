package batch

// ResultState says how an item ended.
type ResultState string

const (
	// Succeeded items have their whole text.
	Succeeded ResultState = "succeeded"
	// Abandoned items will never be done.
	Abandoned ResultState = "abandoned"
)

// Result is a listed item.
type Result struct {
	ID     string      `json:"id"`
	State  ResultState `json:"state"`
	Output string      `json:"output,omitempty"`
	// Versions are the weight versions that generated an event of the text, ascending.
	Versions []int64 `json:"versions,omitempty"`
	Score    string  `json:"score,omitempty"`
}

// Text returns the text of a succeeded result, to be used again in a later job.
func (r Result) Text() Text {
	return Text{Events: []string{r.Output}, Versions: r.Versions, Complete: true}
}
