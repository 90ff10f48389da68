package entry

import (
	"net/http"
	"strings"

	"github.com/radishshelf/radishshelf/outcome"
)

const (
	headerAuthorization = "Authorization"
	headerAPIKey        = "X-Api-Key"
	bearerPrefix        = "bearer "
	// maxSecretBytes limits the length of a presented secret.
	maxSecretBytes = 1024
)

// presentedSecret returns the secret in the key headers, or an empty string if there is none.
func presentedSecret(h http.Header) (string, *outcome.Refusal) {
	var found []string
	for _, value := range h.Values(headerAuthorization) {
		if len(value) < len(bearerPrefix) || !strings.EqualFold(value[:len(bearerPrefix)], bearerPrefix) {
			return "", unauthorized("the authorization scheme is not Bearer")
		}
		found = append(found, strings.TrimSpace(value[len(bearerPrefix):]))
	}
	for _, value := range h.Values(headerAPIKey) {
		found = append(found, strings.TrimSpace(value))
	}
	if len(found) == 0 {
		return "", nil
	}
	for _, secret := range found {
		if secret != found[0] {
			return "", unauthorized("the request presents two different keys")
		}
	}
	if found[0] == "" || len(found[0]) > maxSecretBytes {
		return "", unauthorized("the presented key is empty or too long")
	}
	return found[0], nil
}
