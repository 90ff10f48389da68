package dataplane

import (
	"fmt"
	"net/http"
	"testing"

	"github.com/radishshelf/radishshelf/outcome"
)

// Guards against an agent's response whose status is of no class and that is passed on, or believed that nothing ran.
func TestOddStatusIsNoResponse(t *testing.T) {
	for _, status := range []string{"000 None", "099 Low", "101 Switching Protocols", "150 Interim", "304 Not Modified", "600 High", "999 High"} {
		for _, kind := range []string{"", string(outcome.KindOverloaded)} {
			response, refusal := doCall(t, func(w http.ResponseWriter, r *http.Request) {
				echoRequestID(w, r)
				conn, _, err := http.NewResponseController(w).Hijack()
				if err != nil {
					t.Error(err)
					return
				}
				defer conn.Close()
				text := fmt.Sprintf("HTTP/1.1 %s\r\n%s: r1\r\n%s: %s\r\n%s: %s\r\n%s: true\r\nContent-Length: 2\r\n\r\n{}", status,
					HeaderRequestID, HeaderRefusalKind, kind, HeaderOutcome, outcome.NotRun, TrailerComplete)
				_, _ = conn.Write([]byte(text)) // the client may close the connection early
			}, Call{RequestID: "r1", Method: http.MethodPost, Target: "/x"})
			if refusal == nil || refusal.Outcome != outcome.MayHaveRun || refusal.Status != http.StatusBadGateway {
				t.Errorf("status %s, refusal kind %q: response %v, refusal %v; want status 502, may have run", status, kind, response, refusal)
			}
		}
	}
}
