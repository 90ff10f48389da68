package entry

import (
	"bufio"
	"bytes"
	"encoding/json"
	"strings"
)

// capturedResponse keeps a copy of a response for a sample. If the response exceeds the limit, the copy is dropped and
// overflow is set.
type capturedResponse struct {
	limit    int
	buffer   bytes.Buffer
	overflow bool
}

// Write implements io.Writer.
func (c *capturedResponse) Write(p []byte) (int, error) {
	if c.overflow || c.buffer.Len()+len(p) > c.limit {
		c.overflow = true
		c.buffer.Reset()
		return len(p), nil
	}
	return c.buffer.Write(p)
}

// Reset discards the copy of a failed attempt.
func (c *capturedResponse) Reset() {
	c.overflow = false
	c.buffer.Reset()
}

// completionResponse holds the text fields of a chat completion or of one event of a stream.
type completionResponse struct {
	Choices []struct {
		Index   int `json:"index"`
		Message struct {
			Content string `json:"content"`
		} `json:"message"`
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
	} `json:"choices"`
}

// completionText returns the generated text of a complete response, or false if the body is not a chat completion.
func completionText(body []byte, stream bool) (string, bool) {
	if stream {
		return streamText(body)
	}
	var response completionResponse
	if json.Unmarshal(body, &response) != nil || len(response.Choices) == 0 {
		return "", false
	}
	return response.Choices[0].Message.Content, true
}

// streamText returns the concatenated text of an event stream.
func streamText(body []byte) (string, bool) {
	var text strings.Builder
	found := false
	lines := bufio.NewScanner(bytes.NewReader(body))
	lines.Buffer(nil, len(body)+1)
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data:")
		data = strings.TrimSpace(data)
		if !ok || data == "[DONE]" {
			continue
		}
		var event completionResponse
		if json.Unmarshal([]byte(data), &event) != nil {
			return "", false
		}
		for _, choice := range event.Choices {
			found = true
			text.WriteString(choice.Delta.Content)
		}
	}
	return text.String(), found && lines.Err() == nil
}
