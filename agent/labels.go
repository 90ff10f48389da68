package agent

import (
	"bytes"
	"encoding/json"
	"strings"

	"github.com/radishshelf/radishshelf/agent/engineapi"
	"github.com/radishshelf/radishshelf/dataplane"
)

// maxBufferedBytes bounds one event of a stream and a whole plain answer. A longer one stays unlabelled.
const maxBufferedBytes = 16 << 20

// maxTokenCount bounds the tokens of one label and of a usage report, so that sums cannot overflow. A larger or negative
// figure is a fault of the engine and is not counted.
const maxTokenCount = 1 << 30

// labelReader reads the labels and the usage out of an engine's answer while it passes through.
type labelReader struct {
	stream bool
	buffer []byte
	// overflow is set when a part was too long to be read.
	overflow bool

	spans       []dataplane.Span
	startCounts map[int64]bool
	tokens      int
	usage       *engineapi.Usage
	// complete is set by the last event of a stream, or by a plain answer that could be read.
	complete bool
}

func newLabelReader(contentType string) *labelReader {
	return &labelReader{stream: strings.HasPrefix(contentType, "text/event-stream"), startCounts: map[int64]bool{}}
}

// write takes the next bytes of the body.
func (l *labelReader) write(p []byte) {
	if l.overflow {
		return
	}
	l.buffer = append(l.buffer, p...)
	if l.stream {
		l.readEvents()
	}
	if len(l.buffer) > maxBufferedBytes {
		l.overflow = true
		l.buffer = nil
	}
}

func (l *labelReader) readEvents() {
	for {
		line, rest, ok := bytes.Cut(l.buffer, []byte("\n"))
		if !ok {
			return
		}
		l.readLine(bytes.TrimSpace(line))
		l.buffer = rest
	}
}

func (l *labelReader) readLine(line []byte) {
	data, ok := bytes.CutPrefix(line, []byte("data:"))
	if !ok {
		return
	}
	data = bytes.TrimSpace(data)
	if string(data) == engineapi.DoneEvent {
		l.complete = true
		return
	}
	var chunk engineapi.ChatResponse
	if json.Unmarshal(data, &chunk) == nil {
		l.addChunk(chunk)
	}
}

// finish reads a plain answer.
func (l *labelReader) finish() {
	if l.stream || l.overflow {
		return
	}
	var response engineapi.ChatResponse
	if json.Unmarshal(l.buffer, &response) != nil {
		return
	}
	l.addChunk(response)
	l.complete = true
}

func (l *labelReader) addChunk(r engineapi.ChatResponse) {
	if u := r.Usage; u != nil && validTokenCount(u.PromptTokens) && validTokenCount(u.CompletionTokens) {
		l.usage = u
	}
	for _, label := range r.Labels {
		if label.Tokens <= 0 || label.Tokens > maxTokenCount {
			continue
		}
		l.startCounts[label.StartCount] = true
		l.tokens += label.Tokens
		last := len(l.spans) - 1
		if last >= 0 && l.spans[last].Version == label.WeightVersion {
			l.spans[last].Tokens += label.Tokens
			continue
		}
		l.spans = append(l.spans, dataplane.Span{Version: label.WeightVersion, Tokens: label.Tokens})
	}
}

func validTokenCount(tokens int64) bool { return tokens >= 0 && tokens <= maxTokenCount }

// tokenCounts returns the prompt and completion tokens. A stream that broke before its usage tokenCounts what was labelled.
func (l *labelReader) tokenCounts() (prompt, completion int64) {
	if l.usage != nil {
		return l.usage.PromptTokens, l.usage.CompletionTokens
	}
	return 0, int64(l.tokens)
}

// discardReason returns why the labels do not make a sample, or "". startCount is that before the request.
func (l *labelReader) discardReason(startCount int64) string {
	if len(l.spans) == 0 {
		return discardNoLabels
	}
	for _, span := range l.spans {
		if span.Version <= 0 {
			return discardUnknownVersion
		}
	}
	if len(l.startCounts) != 1 || !l.startCounts[startCount] {
		return discardStartCount
	}
	if l.usage == nil || l.usage.CompletionTokens != int64(l.tokens) {
		return discardPartialLabels
	}
	return ""
}
