package trainerapi

import (
	"encoding/json"
	"net/http"
	"testing"
)

// Guards against a request body that crashes the entry, gets an error that is not JSON, or publishes a version below 1.
func FuzzBodies(f *testing.F) {
	f.Fuzz(func(t *testing.T, call, body string) {
		if call != "pull" && call != "versions" {
			call = "pull"
		}
		fake := &fakeBackend{content: "{}"}
		w := fake.send(http.MethodPost, "coach/"+call, "secret", body)
		if w.Code >= 500 {
			t.Errorf("%s %q: status %d", call, body, w.Code)
		}
		if w.Code >= 400 && !json.Valid(w.Body.Bytes()) {
			t.Errorf("%s %q: response %q", call, body, w.Body.String())
		}
		if call == "versions" && w.Code < 300 && fake.published <= 0 {
			t.Errorf("body %q published version %d", body, fake.published)
		}
	})
}
