package engine

import (
	"encoding/json"
	"io"

	"github.com/radishshelf/radishshelf/agent/engineapi"
)

// chatRequest is a chat completion request that also keeps its messages as the bytes that were sent, because prefix
// blocks are computed from those bytes.
type chatRequest struct {
	engineapi.ChatRequest
	rawMessages []byte
}

func (c *chatRequest) read(body io.Reader) error {
	data, err := io.ReadAll(body)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(data, &c.ChatRequest); err != nil {
		return err
	}
	var raw struct {
		Messages json.RawMessage `json:"messages"`
	}
	if err := json.Unmarshal(data, &raw); err != nil {
		return err
	}
	c.rawMessages = raw.Messages
	return nil
}
