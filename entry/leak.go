package entry

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/url"
	"strings"

	"github.com/radishshelf/radishshelf/outcome"
)

// containsSecret reports whether the target, headers, trailer or body of r contain the presented secret. Escaped forms
// are also decoded, because the upstream would decode them too.
func containsSecret(r *http.Request, body []byte, secret string) bool {
	if secret == "" {
		return false
	}
	return targetContains(r.URL, secret) || headerContains(r.Header, secret) || headerContains(r.Trailer, secret) || bodyContains(body, secret)
}

func targetContains(u *url.URL, secret string) bool {
	if strings.Contains(u.Path, secret) || strings.Contains(u.EscapedPath(), secret) || strings.Contains(u.RawQuery, secret) {
		return true
	}
	if decoded, err := url.PathUnescape(u.RawQuery); err == nil && strings.Contains(decoded, secret) {
		return true
	}
	decoded, err := url.QueryUnescape(u.RawQuery)
	return err != nil || strings.Contains(decoded, secret)
}

func headerContains(h http.Header, secret string) bool {
	for name, values := range h {
		if strings.Contains(strings.ToLower(name), strings.ToLower(secret)) {
			return true
		}
		if name == headerAuthorization || name == headerAPIKey {
			continue
		}
		for _, value := range values {
			if headerValueContains(value, secret) {
				return true
			}
		}
	}
	return false
}

func headerValueContains(value, secret string) bool {
	if strings.Contains(value, secret) {
		return true
	}
	decoded, err := url.PathUnescape(value)
	return err == nil && strings.Contains(decoded, secret)
}

func bodyContains(body []byte, secret string) bool {
	if bytes.Contains(body, []byte(secret)) {
		return true
	}
	if bytes.IndexByte(body, '%') >= 0 || bytes.IndexByte(body, '+') >= 0 {
		if decoded, err := url.QueryUnescape(string(body)); err == nil && strings.Contains(decoded, secret) {
			return true
		}
	}
	return bytes.IndexByte(body, '\\') >= 0 && jsonContains(body, secret)
}

// jsonContains searches the decoded strings of a JSON body, because escapes may hide the secret.
func jsonContains(body []byte, secret string) bool {
	dec := json.NewDecoder(bytes.NewReader(body))
	for {
		token, err := dec.Token()
		if err != nil {
			return false
		}
		if text, ok := token.(string); ok && strings.Contains(text, secret) {
			return true
		}
	}
}

func credentialLeak() *outcome.Refusal {
	return newRefusal(outcome.KindCredentialLeak, http.StatusBadRequest,
		"the request contains the presented key outside of its header",
		"send the key only in Authorization: Bearer or X-Api-Key, and replace it if others may have seen it")
}
