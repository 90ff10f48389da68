package quickstart

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"

	"github.com/radishshelf/radishshelf/agent/engineapi"
)

func newChatRequest(content string, tokens int, stream bool) engineapi.ChatRequest {
	return engineapi.ChatRequest{
		Model: policy, Messages: []engineapi.Message{{Role: "user", Content: content}}, MaxTokens: tokens, Stream: stream,
	}
}

// chat requests a non-streamed chat completion and returns the number of generated tokens.
func chat(ctx context.Context, base, key, content string, tokens int) (int64, error) {
	a, err := call(ctx, http.MethodPost, base+"/v1/chat/completions", key, newChatRequest(content, tokens, false))
	if err != nil {
		return 0, err
	}
	if a.status != http.StatusOK {
		return 0, fmt.Errorf("chat completion: status %d: %s", a.status, a.body)
	}
	var resp engineapi.ChatResponse
	if err := json.Unmarshal(a.body, &resp); err != nil {
		return 0, err
	}
	if resp.Usage == nil || resp.Usage.CompletionTokens != int64(tokens) {
		return 0, fmt.Errorf("chat completion: usage %+v, want %d tokens", resp.Usage, tokens)
	}
	return resp.Usage.CompletionTokens, nil
}

// stream is a streamed chat completion in progress.
type stream struct {
	resp   *http.Response
	reader *bufio.Reader
	chunks int
	done   bool
}

// openStream requests a streamed chat completion. The caller closes the body of the response.
func openStream(ctx context.Context, base, key, content string, tokens int) (*stream, error) {
	resp, err := send(ctx, http.MethodPost, base+"/v1/chat/completions", key, newChatRequest(content, tokens, true))
	if err != nil {
		return nil, err
	}
	if resp.StatusCode != http.StatusOK {
		data, _ := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
		resp.Body.Close()
		return nil, fmt.Errorf("stream: status %d: %s", resp.StatusCode, data)
	}
	return &stream{resp: resp, reader: bufio.NewReader(resp.Body)}, nil
}

// readEvent reads the next event. It returns io.EOF at a clean end of the body.
func (s *stream) readEvent() error {
	for {
		line, err := s.reader.ReadString('\n')
		if data, ok := strings.CutPrefix(strings.TrimSpace(line), "data: "); ok {
			if data == engineapi.DoneEvent {
				s.done = true
			} else {
				s.chunks++
			}
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// readAll reads the remaining events, closes the body and returns an error unless the stream was complete.
func (s *stream) readAll() error {
	defer s.resp.Body.Close()
	for {
		err := s.readEvent()
		if err == io.EOF && s.done {
			return nil
		}
		if err != nil {
			return fmt.Errorf("stream ended after %d chunks with done=%v: %w", s.chunks, s.done, err)
		}
	}
}
