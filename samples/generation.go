package samples

import (
	"encoding/json"
	"strconv"
	"time"

	"github.com/radishshelf/radishshelf/dataplane"
)

// Generation is a finished generation before its labels are checked.
type Generation struct {
	Group      string
	Index      int
	Workspace  string
	Policy     string
	Messages   json.RawMessage
	Completion string
	Result     dataplane.Result
	Reward     *float64
	FinishedAt time.Time
}

// SampleID returns the id of a sample, which exists before the generation starts.
func SampleID(group string, index int) string { return group + "/" + strconv.Itoa(index) }

// Sample labels the generation, or returns the reason why it must not become a sample.
func (g Generation) Sample() (Sample, Reason) {
	spans, reason := VersionSpans(g.Result)
	if reason != "" {
		return Sample{}, reason
	}
	return Sample{
		ID: SampleID(g.Group, g.Index), Index: g.Index, Workspace: g.Workspace, Policy: g.Policy,
		Messages: g.Messages, Completion: g.Completion, Spans: spans, Reward: g.Reward,
		Upstream: g.Result.Upstream, FinishedAt: g.FinishedAt,
	}, ""
}
