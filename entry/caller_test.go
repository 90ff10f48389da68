package entry

import (
	"bytes"
	"net/http"
	"strings"
	"testing"

	"github.com/radishshelf/radishshelf/dataplane"
	"github.com/radishshelf/radishshelf/fleetconfig"
	"github.com/radishshelf/radishshelf/outcome"
)

const chatBody = `{"model":"toll","messages":[{"role":"user","content":"fare to Vik?"}]}`

// Guards against requests that run without a valid key or in a workspace other than that of the key.
func TestAuthentication(t *testing.T) {
	r := newTestEnv(t, nil)
	agent := newFakeAgent(t, respondWithText("90"))
	r.addService(agent)
	r.addEngine(newFakeAgent(t, respondWithChat))
	r.do("GET", "/fare/vik", testSecret, "").wantOK(t, "90")
	r.do("GET", "/fare/vik", "", "", "X-Api-Key", testSecret).wantOK(t, "90")
	r.do("GET", "/open/hours", "", "").wantOK(t, "90")
	r.do("POST", chatPath, testSecret, chatBody).wantOK(t, chatResponse)
	r.do("GET", "/fare/vik", "", "").wantRefusal(t, outcome.KindUnauthorized, outcome.NotRun)
	r.do("GET", "/fare/vik", "wrong", "").wantRefusal(t, outcome.KindUnauthorized, outcome.NotRun)
	r.do("GET", "/fare/vik", testSecret, "", "X-Api-Key", otherSecret).wantRefusal(t, outcome.KindUnauthorized, outcome.NotRun)
	r.do("POST", "/book", otherSecret, "{}").wantRefusal(t, outcome.KindNotFound, outcome.NotRun)
	r.do("POST", chatPath, otherSecret, chatBody).wantRefusal(t, outcome.KindNotFound, outcome.NotRun)
	r.do("GET", "/fares", testSecret, "").wantRefusal(t, outcome.KindNotFound, outcome.NotRun)
	r.do("GET", "/open/../fare/vik", "", "").wantRefusal(t, outcome.KindInvalid, outcome.NotRun)
	r.do("GET", "/open/%2e%2e/fare", "", "").wantRefusal(t, outcome.KindInvalid, outcome.NotRun)
	before := len(agent.calls())
	r.do("GET", "/fare/vik", otherSecret, "", dataplane.HeaderWorkspace, "hraunvegur").wantOK(t, "90")
	if calls := agent.calls(); len(calls) != before+1 || !strings.Contains(calls[before], dataplane.HeaderWorkspace+":[verband]") {
		t.Fatalf("the workspace header of the request was used: %q", calls[before:])
	}
	r.config.isolated.Store(true)
	r.do("GET", "/fare/vik", testSecret, "").wantRefusal(t, outcome.KindIsolated, outcome.NotRun)
	r.do("GET", "/open/hours", "", "").wantOK(t, "90")
}

// Guards against forwarding a caller's secret to an agent in any part of the request.
func TestSecretNeverReachesAgent(t *testing.T) {
	r := newTestEnv(t, nil)
	agent := newFakeAgent(t, respondWithText("90"))
	r.addService(agent)
	escaped := strings.ReplaceAll(testSecret, "s", `\u0073`)
	tests := map[string]func() callerResponse{
		"path":  func() callerResponse { return r.do("GET", "/fare/"+testSecret, testSecret, "") },
		"query": func() callerResponse { return r.do("GET", "/fare?k="+testSecret, testSecret, "") },
		"escaped": func() callerResponse {
			return r.do("GET", "/fare?k="+strings.ReplaceAll(testSecret, "-", "%2D"), testSecret, "")
		},
		"cookie":       func() callerResponse { return r.do("GET", "/fare", testSecret, "", "Cookie", "k="+testSecret) },
		"header":       func() callerResponse { return r.do("GET", "/fare", testSecret, "", "Accept", testSecret) },
		"body":         func() callerResponse { return r.do("POST", "/fare", testSecret, `{"k":"`+testSecret+`"}`) },
		"json escapes": func() callerResponse { return r.do("POST", "/fare", testSecret, `{"k":"`+escaped+`"}`) },
		"open route":   func() callerResponse { return r.do("POST", "/open", testSecret, testSecret) },
		"trailer": func() callerResponse {
			req, _ := http.NewRequest("POST", r.url+"/fare", struct{ *strings.Reader }{strings.NewReader("x")})
			req.Header.Set("X-Api-Key", testSecret)
			req.Trailer = http.Header{"X-Late": {testSecret}}
			return r.send(req)
		},
	}
	for name, send := range tests {
		t.Run(name, func(t *testing.T) { send().wantRefusal(t, outcome.KindCredentialLeak, outcome.NotRun) })
	}
	if calls := agent.calls(); len(calls) != 0 {
		t.Fatalf("the agent received %q", calls)
	}
	r.do("POST", "/fare", testSecret, "x", "Cookie", "a=b", "X-Other", "c").wantOK(t, "90")
	if call := agent.calls()[0]; strings.Contains(call, testSecret) || strings.Contains(call, "a=b") || strings.Contains(call, "X-Other") {
		t.Fatalf("the agent received a header that is not on the allow list: %q", call)
	}
	var metrics bytes.Buffer
	r.entry.metrics.registry.WritePrometheus(&metrics)
	if !strings.Contains(metrics.String(), "radishshelf_entry_credential_leaks_refused_total 9") {
		t.Fatal("the refused leaks were not counted")
	}
}

// Guards against limits that are not enforced and malformed requests without a specific refusal.
func TestMalformedRequests(t *testing.T) {
	r := newTestEnv(t, func(o *Options) { o.Settings.MaxBodyBytes = 100 })
	r.addService(newFakeAgent(t, respondWithText("90")))
	r.addEngine(newFakeAgent(t, respondWithChat))
	bad := func(method, path, body string, kind outcome.Kind, header ...string) {
		t.Helper()
		r.do(method, path, testSecret, body, header...).wantRefusal(t, kind, outcome.NotRun)
	}
	bad("POST", "/fare", strings.Repeat("x", 101), outcome.KindPayloadTooLarge)
	bad("POST", "/fare", "x", outcome.KindInvalid, "Content-Encoding", "gzip")
	bad("GET", "/fare", "", outcome.KindInvalid, HeaderRequestTimeout, "soon")
	bad("OPTIONS", "/fare", "", outcome.KindMethodNotAllowed)
	bad("GET", chatPath, "", outcome.KindMethodNotAllowed)
	bad("POST", chatPath, "{", outcome.KindInvalid)
	bad("POST", chatPath, `{"model":"toll","messages":[]}`, outcome.KindInvalid)
	bad("POST", chatPath, `{"model":"toll","messages":[1]}`, outcome.KindInvalid)
	bad("POST", chatPath, `{"model":"toll","messages":[{}],"n":2}`, outcome.KindInvalid)
	bad("POST", chatPath, `{"model":"toll","messages":[{}],"max_tokens":100000}`, outcome.KindInvalid)
	bad("POST", chatPath, `{"model":"unknown","messages":[{}]}`, outcome.KindNotFound)
	bad("POST", groupsPath, `{"policy":"toll","trainer":"coach","group":"a/b","size":1}`, outcome.KindInvalid)
	bad("GET", "/nothing", "", outcome.KindNotFound)
	r.config.set(fleetconfig.KindPolicy, "winch", fleetconfig.Policy{Open: true})
	if got := r.do("GET", modelsPath, "", ""); !strings.Contains(got.body, `"winch"`) || strings.Contains(got.body, `"toll"`) {
		t.Fatalf("models for a caller without a key: %q", got.body)
	}
	r.do("GET", "/fare", testSecret, "").wantOK(t, "90")
}
