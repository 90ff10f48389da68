package samples

import (
	"encoding/json"
	"strconv"
	"time"

	"github.com/radishshelf/radishshelf/dataplane"
)

// Generation is a finished generation whose version spans have not been validated yet.
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

// SampleID returns the id of a sample. It is known before the generation starts.
func SampleID(group string, index int) string { return group + "/" + strconv.Itoa(index) }

// Sample converts the generation to a sample with version spans, or returns the reason why it must be discarded.
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
