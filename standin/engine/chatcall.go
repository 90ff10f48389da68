package engine

import (
	"encoding/json"
	"io"

	"github.com/radishshelf/radishshelf/agent/engineapi"
)

// chatCall is a chat completion with its messages also as they were sent, since prefix blocks are cut from those bytes.
type chatCall struct {
	engineapi.ChatRequest
	rawMessages []byte
}

func (c *chatCall) read(body io.Reader) error {
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
