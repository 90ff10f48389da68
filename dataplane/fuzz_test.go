package dataplane

import (
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/radishshelf/radishshelf/outcome"
)

// Guards against trailers or headers that crash the entry, against a response that counts as complete without the
// complete marker, and against negative token counts, which would credit the workspace's quota.
func FuzzResponse(f *testing.F) {
	f.Fuzz(func(t *testing.T, status int, complete, result, load string) {
		resp := &http.Response{
			StatusCode: status, Body: io.NopCloser(strings.NewReader("body")),
			Header: http.Header{HeaderLoad: {load}, TrailerComplete: {complete}, TrailerResult: {result}},
			Trailer: http.Header{
				TrailerComplete: {complete}, TrailerResult: {result},
			},
		}
		response := &Response{Status: status, Header: resp.Header, resp: resp}
		_, err := io.ReadAll(response)
		if (err == nil) != (complete == "true") {
			t.Errorf("complete marker %q: %v", complete, err)
		}
		r, _ := response.Result()
		if r.PromptTokens < 0 || r.CompletionTokens < 0 || r.UsageSeq < 0 || r.PromptTokens+r.CompletionTokens < 0 {
			t.Errorf("result %+v has negative values", r)
		}
		for _, span := range r.Spans {
			if span.Tokens < 0 {
				t.Errorf("result %+v has a negative span", r)
			}
		}
		l, _ := response.Load()
		if l.Running < 0 || l.Queued < 0 || l.Slots < 0 || l.PendingTokens < 0 || l.TokensPerSecond < 0 {
			t.Errorf("load %+v has negative values", l)
		}
	})
}

// Guards against a refusal that counts as "not run" although the agent did not say so.
func FuzzRefusal(f *testing.F) {
	f.Fuzz(func(t *testing.T, kind, outcomeText, retryAfter string) {
		resp := &http.Response{StatusCode: http.StatusServiceUnavailable, Header: http.Header{
			HeaderRefusalKind: {kind}, HeaderOutcome: {outcomeText}, "Retry-After": {retryAfter},
		}, Body: io.NopCloser(strings.NewReader(`{"remedy":"repeat the request"}`))}
		r := decodeRefusal(Call{Address: "127.0.0.1:1"}, resp)
		if r.Outcome == outcome.NotRun && outcomeText != outcome.NotRun.String() {
			t.Errorf("outcome %q was decoded as not run", outcomeText)
		}
		if r.Outcome != outcome.NotRun && r.Remedy != remedyCheckEffect {
			t.Errorf("outcome %q was decoded with the remedy %q", outcomeText, r.Remedy)
		}
		if r.RetryAfter < 0 {
			t.Errorf("Retry-After %q was decoded as %s", retryAfter, r.RetryAfter)
		}
	})
}
