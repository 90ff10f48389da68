package operatorapi

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"net/url"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/radishshelf/radishshelf/configstore"
	"github.com/radishshelf/radishshelf/configsync"
	"github.com/radishshelf/radishshelf/operatorclient"
	"github.com/radishshelf/radishshelf/standin/memory"
)

// Guards against a body, name or parameter that crashes the entry, or that is rejected without error kind and message.
func FuzzBodies(f *testing.F) {
	store := configstore.New(memory.New(memory.Options{}).Table)
	reader := configsync.New(configsync.Options{Name: "entry-1", PeerAddress: "127.0.0.1:1", DataCentre: "wien", Source: store})
	handler, err := New(Options{Writer: store, Reader: reader, PropagationTimeout: time.Millisecond, Logger: zerolog.Nop()})
	if err != nil {
		f.Fatal(err)
	}
	f.Fuzz(func(t *testing.T, kind, name, expected, body string) {
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		defer cancel()
		target := operatorclient.PathConfig + "/" + url.PathEscape(kind) + "/" + url.PathEscape(name) + "?" +
			url.Values{operatorclient.ParamExpected: {expected}}.Encode()
		method := http.MethodPut
		if kind == "keys" {
			method, target = http.MethodPost, operatorclient.PathKeys
		}
		r := httptest.NewRequest(method, target, strings.NewReader(body)).WithContext(ctx)
		w := httptest.NewRecorder()
		handler.ServeHTTP(w, r)
		if w.Code < 400 || w.Code == http.StatusMovedPermanently {
			return
		}
		var response operatorclient.Error
		if err := json.Unmarshal(w.Body.Bytes(), &response); err != nil || response.Kind == "" || response.Message == "" {
			t.Errorf("%s %q %q: status %d, body %q: %v", kind, name, body, w.Code, w.Body.String(), err)
		}
		if w.Code == http.StatusInternalServerError {
			t.Errorf("%s %q %q: status %d, body %q", kind, name, body, w.Code, w.Body.String())
		}
	})
}
