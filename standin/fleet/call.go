package fleet

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"testing"

	"github.com/radishshelf/radishshelf/agent/engineapi"
	"github.com/radishshelf/radishshelf/dataplane"
	"github.com/radishshelf/radishshelf/outcome"
)

// maxResponseBytes limits the body that is read of a response.
const maxResponseBytes = 8 << 20

// Response is a complete response to a caller.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
}

// NotRun reports whether the response says that the request did not run.
func (r Response) NotRun() bool {
	return r.Header.Get(dataplane.HeaderOutcome) == outcome.NotRun.String()
}

// Kind returns the kind of a refusal, or "" for any other response.
func (r Response) Kind() outcome.Kind {
	var refusal struct {
		Error struct {
			Type outcome.Kind `json:"type"`
		} `json:"error"`
	}
	if json.Unmarshal(r.Body, &refusal) != nil {
		return ""
	}
	return refusal.Error.Type
}

// String returns status, outcome and body for error messages.
func (r Response) String() string {
	return fmt.Sprintf("status %d, outcome %q: %s", r.Status, r.Header.Get(dataplane.HeaderOutcome), r.Body)
}

// Call sends a request with a JSON body and an optional API key. headers are alternating names and values. An error means
// that no complete response was received.
func Call(ctx context.Context, method, url, key string, body any, headers ...string) (Response, error) {
	data, err := json.Marshal(body)
	if err != nil {
		return Response{}, err
	}
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(data))
	if err != nil {
		return Response{}, err
	}
	// Without GetBody the HTTP client cannot resend the request, which the tests would count as an execution.
	req.GetBody = nil
	req.Header.Set("Content-Type", "application/json")
	if key != "" {
		req.Header.Set("Authorization", "Bearer "+key)
	}
	for i := 0; i+1 < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return Response{}, err
	}
	defer resp.Body.Close()
	data, err = io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	return Response{Status: resp.StatusCode, Header: resp.Header, Body: data}, err
}

// Chat requests a chat completion.
func (e *Entry) Chat(ctx context.Context, key, content string, tokens int, stream bool) (Response, error) {
	return Call(ctx, http.MethodPost, "http://"+e.CallerAddress+engineapi.PathChat, key, engineapi.ChatRequest{
		Model: Policy, Messages: []engineapi.Message{{Role: "user", Content: content}}, MaxTokens: tokens, Stream: stream,
	})
}

// Book sends a booking with its id as the idempotency key.
func (e *Entry) Book(ctx context.Context, key, id string) (Response, error) {
	return Call(ctx, http.MethodPost, "http://"+e.CallerAddress+"/bookings", key, map[string]string{"id": id},
		"Idempotency-Key", id)
}

// RunGroup runs a rollout group.
func (e *Entry) RunGroup(ctx context.Context, key, id string, size, tokens int) (Response, error) {
	return Call(ctx, http.MethodPost, "http://"+e.CallerAddress+"/v1/rollout-groups", key, map[string]any{
		"policy": Policy, "trainer": TrainerName, "group": id, "size": size, "max_tokens": tokens,
		"messages": []engineapi.Message{{Role: "user", Content: "The fare of " + id + " is wrong."}},
	})
}

// ReadJSON decodes the response of an admin or status endpoint, and fails the test on any error.
func ReadJSON(t testing.TB, url string, into any) {
	t.Helper()
	a, err := Call(t.Context(), http.MethodGet, url, "", nil)
	if err != nil || a.Status != http.StatusOK {
		t.Fatalf("GET %s: %v: %v", url, a, err)
	}
	if err := json.Unmarshal(a.Body, into); err != nil {
		t.Fatalf("GET %s: %v", url, err)
	}
}
