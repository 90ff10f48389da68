package engine

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"strings"

	"github.com/google/uuid"

	"github.com/radishshelf/radishshelf/agent/engineapi"
)

// errTruncated reports that an injected fault breaks the connection in the middle of a response.
var errTruncated = errors.New("response truncated by an injected fault")

// errRestarted fails the requests that were running when the engine restarted.
var errRestarted = errors.New("the engine restarted")

func (e *Engine) routeChat(mux *http.ServeMux) {
	mux.HandleFunc("POST "+engineapi.PathChat, e.serveChat)
}

func (e *Engine) serveChat(w http.ResponseWriter, r *http.Request) {
	var req chatRequest
	if err := req.read(r.Body); err != nil {
		writeError(w, http.StatusBadRequest, "invalid_request", "chat completion: "+err.Error())
		return
	}
	if len(req.Messages) == 0 {
		writeError(w, http.StatusBadRequest, "invalid_request", "messages is empty; send at least one message")
		return
	}
	priority, err := requestPriority(r, req)
	if err != nil {
		writeError(w, http.StatusBadRequest, "invalid_request", engineapi.HeaderPriority+" is not an integer")
		return
	}
	id := r.Header.Get(engineapi.HeaderRequestID)
	if id == "" {
		id = uuid.NewString()
	}
	if err := e.slots.acquire(r.Context(), priority); err != nil {
		writeError(w, http.StatusServiceUnavailable, "overloaded", err.Error())
		return
	}
	defer e.slots.release()
	ctx, span := e.tracer.Start(e.tracer.Extract(r.Context(), r.Header), "engine.generate")
	defer span.End()
	e.execute(w, r.WithContext(ctx), id, req)
}

func requestPriority(r *http.Request, req chatRequest) (int, error) {
	text := r.Header.Get(engineapi.HeaderPriority)
	if text == "" {
		return req.Priority, nil
	}
	return strconv.Atoi(text)
}

func (e *Engine) execute(w http.ResponseWriter, r *http.Request, id string, req chatRequest) {
	e.recordExecution(id)
	prompt := engineapi.PromptText(req.Messages)
	faults := e.faults.get()
	if faults.CrashMarker != "" && strings.Contains(prompt, faults.CrashMarker) {
		e.logger.Error().Str("request", id).Msg("prompt contains the crash marker; exiting")
		e.exit(crashExitCode)
		panic(http.ErrAbortHandler)
	}
	g := e.newGeneration(req, prompt, r.Header.Get(engineapi.HeaderCacheSalt))
	var err error
	if req.Stream {
		err = e.respondStream(r.Context(), w, id, req, g)
	} else {
		err = e.respondBuffered(r.Context(), w, id, req, g)
	}
	if err != nil {
		e.logger.Info().Str("request", id).Err(err).Msg("request ended early")
		panic(http.ErrAbortHandler)
	}
}

// respondBuffered sends the completion as one JSON response. If a fault truncates it, Content-Length announces the full
// length and only half of the body is sent.
func (e *Engine) respondBuffered(ctx context.Context, w http.ResponseWriter, id string, req chatRequest, g *generation) error {
	var text strings.Builder
	var labels []engineapi.Label
	truncated := false
	err := g.generate(ctx, func(part string, label engineapi.Label) error {
		text.WriteString(part)
		labels = appendLabel(labels, label)
		return nil
	})
	if errors.Is(err, errTruncated) {
		truncated, err = true, nil
	}
	if err != nil {
		return err
	}
	finish := g.finishReason()
	usage := g.usage()
	body, err := json.Marshal(engineapi.ChatResponse{
		ID: id, Object: "chat.completion", Model: req.Model, Labels: labels, Usage: &usage,
		Choices: []engineapi.Choice{{
			Message: &engineapi.Message{Role: "assistant", Content: text.String()}, FinishReason: &finish,
		}},
	})
	if err != nil {
		return err
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	if truncated {
		_, _ = w.Write(body[:len(body)/2])
		_ = http.NewResponseController(w).Flush()
		return errTruncated
	}
	_, err = w.Write(body)
	return err
}

func appendLabel(labels []engineapi.Label, next engineapi.Label) []engineapi.Label {
	last := len(labels) - 1
	if last >= 0 && labels[last].WeightVersion == next.WeightVersion && labels[last].StartCount == next.StartCount {
		labels[last].Tokens += next.Tokens
		return labels
	}
	return append(labels, next)
}
