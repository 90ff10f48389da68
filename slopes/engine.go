package slopes

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/radishshelf/radishshelf/agent/engineapi"
)

// tokenPause separates the tokens of a stream, so that each is a read and a flush of its own, as in a real generation.
const tokenPause = 2 * time.Millisecond

// engine is a stand-in upstream that costs little: its tokens are prepared, and weights are numbers.
type engine struct {
	url    string
	server *http.Server

	mu sync.Mutex
	// state is what the status call reports.
	state engineapi.Status
	// activatedAt is when the active version last changed.
	activatedAt time.Time
	// answers holds the body of a stream by its number of tokens.
	answers map[int][]string
}

func newEngine() (*engine, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	e := &engine{
		url:     "http://" + listener.Addr().String(),
		state:   engineapi.Status{Policy: "planner", ActiveVersion: 1, StagedVersions: []int64{1}, StartCount: 7, Slots: 64},
		answers: map[int][]string{},
	}
	mux := http.NewServeMux()
	mux.HandleFunc(engineapi.PathStatus, e.serveStatus)
	mux.HandleFunc(engineapi.PathCacheEvents, func(w http.ResponseWriter, _ *http.Request) { reply(w, engineapi.CacheEvents{}) })
	mux.HandleFunc(engineapi.PathStage, e.stage)
	mux.HandleFunc(engineapi.PathActivate, e.activate)
	mux.HandleFunc(engineapi.PathChat, e.chat)
	e.server = &http.Server{Handler: mux, ReadHeaderTimeout: time.Second}
	go func() { _ = e.server.Serve(listener) }()
	return e, nil
}

func (e *engine) close() { _ = e.server.Close() }

func (e *engine) serveStatus(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	reply(w, e.state)
}

func (e *engine) stage(w http.ResponseWriter, r *http.Request) {
	var order engineapi.Order
	if err := json.NewDecoder(r.Body).Decode(&order); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if !slices.Contains(e.state.StagedVersions, order.Version) {
		e.state.StagedVersions = append(slices.Clone(e.state.StagedVersions), order.Version)
	}
	reply(w, e.state)
}

func (e *engine) activate(w http.ResponseWriter, r *http.Request) {
	var order engineapi.Order
	if err := json.NewDecoder(r.Body).Decode(&order); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.state.ActiveVersion = order.Version
	e.activatedAt = time.Now()
	reply(w, e.state)
}

// active returns the active version and since when.
func (e *engine) active() (int64, time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.state.ActiveVersion, e.activatedAt
}

func (e *engine) staged(version int64) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Contains(e.state.StagedVersions, version)
}

// chat streams max_tokens events of one token each.
func (e *engine) chat(w http.ResponseWriter, r *http.Request) {
	var request engineapi.ChatRequest
	if err := json.NewDecoder(r.Body).Decode(&request); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	control := http.NewResponseController(w)
	for _, event := range e.answer(request.MaxTokens) {
		if _, err := w.Write([]byte(event)); err != nil {
			return
		}
		if err := control.Flush(); err != nil {
			return
		}
		time.Sleep(tokenPause)
	}
}

func (e *engine) answer(tokens int) []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	if events, ok := e.answers[tokens]; ok {
		return events
	}
	var events []string
	for i := range tokens {
		events = append(events, event(engineapi.ChatResponse{
			ID: "r", Object: "chat.completion.chunk", Model: "planner",
			Choices: []engineapi.Choice{{Delta: &engineapi.Message{Role: "assistant", Content: " t" + strconv.Itoa(i)}}},
			Labels:  []engineapi.Label{{WeightVersion: e.state.ActiveVersion, StartCount: e.state.StartCount, Tokens: 1}},
		}))
	}
	stop := "stop"
	events = append(events, event(engineapi.ChatResponse{
		ID: "r", Object: "chat.completion.chunk", Model: "planner",
		Choices: []engineapi.Choice{{Delta: &engineapi.Message{}, FinishReason: &stop}},
		Usage:   &engineapi.Usage{PromptTokens: 12, CompletionTokens: int64(tokens)},
	}), "data: "+engineapi.DoneEvent+"\n\n")
	e.answers[tokens] = events
	return events
}

func event(value any) string {
	raw, err := json.Marshal(value)
	if err != nil {
		panic(err) // these types always encode
	}
	return fmt.Sprintf("data: %s\n\n", raw)
}

func reply(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}
