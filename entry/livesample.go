package entry

import (
	"context"

	"github.com/radishshelf/radishshelf/samples"
)

// storeLiveSample makes a group of one from an answered chat request. The caller does not wait for it.
func (e *Entry) storeLiveSample(j *job, req chatRequest, capture *capturedResponse, delivered delivery) {
	sample, reason := e.newLiveSample(j, req, capture, delivered)
	if reason != "" {
		e.liveSamples.drop(j.id, reason)
		return
	}
	g := samples.Group{
		Trainer: j.destination.trainer, Policy: j.destination.name, ID: j.id, Samples: []samples.Sample{sample},
	}
	size := len(req.Messages) + len(sample.Completion)
	e.liveSamples.store(g, size, func(ctx context.Context, g *samples.Group) error { return e.score(ctx, j, g.Samples) })
}

func (e *Entry) newLiveSample(j *job, req chatRequest, capture *capturedResponse, delivered delivery) (samples.Sample, string) {
	if capture.overflow {
		return samples.Sample{}, "the answer is larger than the buffer"
	}
	text, ok := completionText(capture.buffer.Bytes(), req.Stream)
	if !ok {
		return samples.Sample{}, "the answer is not a chat completion"
	}
	return e.newSample(j, j.id, 0, req.Messages, text, delivered)
}

// newSample labels a finished generation, or returns the reason why it must not become a sample.
func (e *Entry) newSample(
	j *job, group string, index int, messages []byte, text string, delivered delivery,
) (samples.Sample, string) {
	if !delivered.hasResult {
		return samples.Sample{}, "the agent reported no result"
	}
	result := delivered.result
	result.Upstream = delivered.upstream
	sample, reason := samples.Generation{
		Group: group, Index: index, Workspace: j.workspace, Policy: j.destination.name, Messages: messages,
		Completion: text, Result: result, FinishedAt: e.now().UTC(),
	}.Sample()
	return sample, string(reason)
}
