package entry

import (
	"context"

	"github.com/radishshelf/radishshelf/samples"
)

// storeLiveSample stores the completion of a chat request as a group of one sample, in the background.
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

// newLiveSample returns the sample of a chat request, or the reason why there is none.
func (e *Entry) newLiveSample(j *job, req chatRequest, capture *capturedResponse, delivered delivery) (samples.Sample, string) {
	if capture.overflow {
		return samples.Sample{}, "the response is larger than max_answer_buffer_bytes"
	}
	text, ok := completionText(capture.buffer.Bytes(), req.Stream)
	if !ok {
		return samples.Sample{}, "the response is not a chat completion"
	}
	return e.newSample(j, j.id, 0, req.Messages, text, delivered)
}

// newSample returns the labelled sample of a finished generation, or the reason why it must not become a sample.
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
