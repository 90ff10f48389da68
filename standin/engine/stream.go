package engine

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"

	"github.com/radishshelf/radishshelf/agent/engineapi"
)

// eventWriter writes server-sent events and flushes each of them.
type eventWriter struct {
	w          http.ResponseWriter
	controller *http.ResponseController
}

func (e eventWriter) send(data string) error {
	if _, err := fmt.Fprintf(e.w, "data: %s\n\n", data); err != nil {
		return err
	}
	return e.controller.Flush()
}

func (e eventWriter) sendJSON(value any) error {
	data, err := json.Marshal(value)
	if err != nil {
		return err
	}
	return e.send(string(data))
}

// respondStream sends the completion as server-sent events.
func (e *Engine) respondStream(ctx context.Context, w http.ResponseWriter, id string, req chatRequest, g *generation) error {
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Cache-Control", "no-cache")
	events := eventWriter{w: w, controller: http.NewResponseController(w)}
	if err := events.controller.Flush(); err != nil {
		return err
	}
	chunk := engineapi.ChatResponse{ID: id, Object: "chat.completion.chunk", Model: req.Model}
	role := "assistant"
	err := g.generate(ctx, func(text string, label engineapi.Label) error {
		next := chunk
		next.Labels = []engineapi.Label{label}
		next.Choices = []engineapi.Choice{{Delta: &engineapi.Message{Role: role, Content: text}}}
		return events.sendJSON(next)
	})
	if err != nil {
		return err
	}
	finish := g.finishReason()
	usage := g.usage()
	chunk.Choices = []engineapi.Choice{{Delta: &engineapi.Message{}, FinishReason: &finish}}
	chunk.Usage = &usage
	if err := events.sendJSON(chunk); err != nil {
		return err
	}
	return events.send(engineapi.DoneEvent)
}
