package agent

import (
	"crypto/subtle"
	"net/http"
	"strings"

	"github.com/radishshelf/radishshelf/outcome"
)

const bearerPrefix = "Bearer "

// credential is the secret shared by the processes of the fleet; empty if none is set.
type credential string

// matches reports whether the request carries the credential, or none is set.
func (c credential) matches(h http.Header) bool {
	if c == "" {
		return true
	}
	got := strings.TrimPrefix(h.Get("Authorization"), bearerPrefix)
	return subtle.ConstantTimeCompare([]byte(got), []byte(c)) == 1
}

// require refuses requests without the credential.
func (c credential) require(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !c.matches(r.Header) {
			writeRefusal(w, &outcome.Refusal{
				Kind: outcome.KindUnauthorized, Outcome: outcome.NotRun, Status: http.StatusUnauthorized,
				Message: "the shared credential of the fleet is missing or wrong", Remedy: "set the same credential_file on both sides",
			})
			return
		}
		next.ServeHTTP(w, r)
	})
}
