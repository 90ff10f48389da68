package entry

import (
	"bufio"
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/radishshelf/radishshelf/fleetconfig"
)

// Guards against a chat completion request that panics the entry, is accepted without a model or with invalid messages,
// or is refused without a remedy.
func FuzzChat(f *testing.F) {
	f.Fuzz(func(t *testing.T, body []byte) {
		req, refusal := parseChat(body)
		if refusal != nil {
			if refusal.Remedy == "" || refusal.Status < 400 {
				t.Errorf("refusal %+v", refusal)
			}
			return
		}
		if req.Model == "" || !json.Valid(req.Messages) {
			t.Errorf("accepted %+v", req)
		}
		containsSecret(httptest.NewRequest(http.MethodPost, chatPath, nil), body, testSecret)
	})
}

// Guards against a rollout group request that panics the entry or exceeds the limits, and against a group id that is not
// valid in a row key.
func FuzzRolloutGroup(f *testing.F) {
	f.Fuzz(func(t *testing.T, body []byte) {
		const maxSize = 64
		req, refusal := parseRollout(body, maxSize)
		if refusal != nil {
			return
		}
		if req.Size < 1 || req.Size > maxSize || strings.ContainsAny(req.Group, "/ \n") || req.Group == "" {
			t.Errorf("accepted %+v", req)
		}
		generated, refusal := req.generationBody(100)
		if refusal != nil {
			return
		}
		chat, refusal := parseChat(generated)
		if refusal != nil || chat.Model != req.Policy || chat.MaxTokens == nil || *chat.MaxTokens > 100 {
			t.Errorf("generation %s is %+v, %v", generated, chat, refusal)
		}
	})
}

// Guards against a path that an upstream may interpret as a path other than the authorized one.
func FuzzRouteTarget(f *testing.F) {
	f.Fuzz(func(t *testing.T, target string) {
		r, err := http.ReadRequest(bufio.NewReader(strings.NewReader("GET " + target + " HTTP/1.1\r\nHost: x\r\n\r\n")))
		if err != nil || checkTarget(r) != nil {
			return
		}
		again, err := http.NewRequest(http.MethodGet, "http://upstream"+r.URL.RequestURI(), nil)
		if err != nil {
			return // the request fails before any byte is sent
		}
		if again.URL.Path != r.URL.Path {
			t.Errorf("target %q is authorized as %q and reaches the upstream as %q", target, r.URL.Path, again.URL.Path)
		}
		for _, segment := range strings.Split(again.URL.Path, "/") {
			if segment == ".." || segment == "." {
				t.Errorf("target %q passes with the path %q", target, again.URL.Path)
			}
		}
		if hasPathPrefix(r.URL.Path, "/fare") && !strings.HasPrefix(again.URL.Path, "/fare") {
			t.Errorf("target %q leaves its prefix as %q", target, again.URL.Path)
		}
	})
}

// Guards against a timeout or key header that panics the entry or exceeds its limit.
func FuzzHeaders(f *testing.F) {
	e := &Entry{settings: DefaultSettings()}
	limits := fleetconfig.Defaults{RequestTimeoutMs: 1000}
	f.Fuzz(func(t *testing.T, timeout, authorization, key string) {
		h := http.Header{HeaderRequestTimeout: {timeout}, headerAuthorization: {authorization}, headerAPIKey: {key}}
		got, refusal := e.requestTimeout(h, limits)
		if refusal == nil && (got <= 0 || got > e.settings.MaxTimeout.D()) {
			t.Errorf("timeout %q was read as %s", timeout, got)
		}
		secret, refusal := presentedSecret(h)
		if refusal == nil && len(secret) > maxSecretBytes {
			t.Errorf("a secret of %d bytes was accepted", len(secret))
		}
	})
}

// Guards against a secret that reaches an agent in plain or escaped form in the query or body.
func FuzzLeak(f *testing.F) {
	f.Fuzz(func(t *testing.T, query string, body []byte) {
		r := httptest.NewRequest(http.MethodPost, "/fare", nil)
		r.URL.RawQuery = query
		if containsSecret(r, body, testSecret) {
			return
		}
		if bytes.Contains(body, []byte(testSecret)) || strings.Contains(query, testSecret) {
			t.Errorf("query %q or body %q leaks", query, body)
		}
		for _, values := range r.URL.Query() {
			if strings.Contains(strings.Join(values, "\n"), testSecret) {
				t.Errorf("query %q leaks when it is decoded", query)
			}
		}
		var text string
		if json.Unmarshal(body, &text) == nil && strings.Contains(text, testSecret) {
			t.Errorf("body %q leaks when it is decoded", body)
		}
	})
}

// Guards against an engine response that panics the entry or yields too much text when it becomes a sample.
func FuzzCompletionText(f *testing.F) {
	f.Fuzz(func(t *testing.T, body []byte, stream bool) {
		if text, ok := completionText(body, stream); ok && len(text) > 3*len(body) {
			t.Errorf("%d bytes of text from a response of %d bytes", len(text), len(body))
		}
	})
}
