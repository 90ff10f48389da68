package fleet

import (
	"bytes"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"

	"github.com/radishshelf/radishshelf/agent/engineapi"
)

// Recorder is a proxy in front of an engine that records the labels of every chat completion. It buffers each response
// completely and therefore does not support streaming.
type Recorder struct {
	// Address is the address on which the recorder listens.
	Address string

	target string
	mu     sync.Mutex
	labels map[string][]engineapi.Label
}

func newRecorder(t testing.TB, target string) *Recorder {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	r := &Recorder{Address: listener.Addr().String(), target: target, labels: map[string][]engineapi.Label{}}
	server := &http.Server{Handler: r, ReadHeaderTimeout: stopTimeout}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
	return r
}

// Labels returns the recorded labels by request id.
func (r *Recorder) Labels() map[string][]engineapi.Label {
	r.mu.Lock()
	defer r.mu.Unlock()
	list := make(map[string][]engineapi.Label, len(r.labels))
	for id, labels := range r.labels {
		list[id] = labels
	}
	return list
}

// ServeHTTP implements http.Handler.
func (r *Recorder) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	body, err := io.ReadAll(io.LimitReader(req.Body, maxRecordedBytes))
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	out, err := http.NewRequestWithContext(req.Context(), req.Method, "http://"+r.target+req.RequestURI, bytes.NewReader(body))
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	out.Header = req.Header.Clone()
	resp, err := http.DefaultTransport.RoundTrip(out)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer resp.Body.Close()
	respBody, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	r.recordLabels(req, respBody)
	for name, values := range resp.Header {
		w.Header()[name] = values
	}
	w.WriteHeader(resp.StatusCode)
	_, _ = w.Write(respBody) // fails if the agent has disconnected
}

func (r *Recorder) recordLabels(req *http.Request, respBody []byte) {
	var chat engineapi.ChatResponse
	if req.URL.Path != engineapi.PathChat || json.Unmarshal(respBody, &chat) != nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.labels[req.Header.Get(engineapi.HeaderRequestID)] = chat.Labels
}
