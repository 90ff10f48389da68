package agent

import (
	"bytes"
	"encoding/json"
	"strings"

	"github.com/radishshelf/radishshelf/agent/engineapi"
	"github.com/radishshelf/radishshelf/dataplane"
)

// maxBufferedBytes limits one line of a stream, or a whole response that is not streamed. No labels are read from a
// longer one.
const maxBufferedBytes = 16 << 20

// maxTokenCount limits the tokens of one label and of a usage report, so that sums cannot overflow. A larger or
// negative count is a fault of the engine and is ignored.
const maxTokenCount = 1 << 30

// labelReader extracts labels and usage from an engine's response while it is relayed.
type labelReader struct {
	stream bool
	buffer []byte
	// overflow is set when the buffer has exceeded maxBufferedBytes; the rest of the response is not read.
	overflow bool

	spans       []dataplane.Span
	startCounts map[int64]bool
	tokens      int
	usage       *engineapi.Usage
	// complete is set by the final event of a stream, or by a non-streamed response that was parsed.
	complete bool
}

func newLabelReader(contentType string) *labelReader {
	return &labelReader{stream: strings.HasPrefix(contentType, "text/event-stream"), startCounts: map[int64]bool{}}
}

// write reads the next bytes of the body.
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

// finish parses a response that is not streamed.
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

// tokenCounts returns the prompt and completion tokens. For a stream that broke before it reported usage, it counts the
// labelled tokens.
func (l *labelReader) tokenCounts() (prompt, completion int64) {
	if l.usage != nil {
		return l.usage.PromptTokens, l.usage.CompletionTokens
	}
	return 0, int64(l.tokens)
}

// discardReason returns why the response must not become a sample, or "". startCount is the start count of the engine
// before the request.
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
