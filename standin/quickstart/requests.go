package quickstart

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"

	"github.com/radishshelf/radishshelf/dataplane"
	"github.com/radishshelf/radishshelf/outcome"
)

// WaitReady waits until every entry and agent is ready.
func WaitReady(ctx context.Context) error {
	for _, base := range statusURLs() {
		err := poll(ctx, base+"/readyz", func() (bool, error) {
			a, err := call(ctx, http.MethodGet, base+"/readyz", "", nil)
			if err == nil && a.status != http.StatusOK {
				err = fmt.Errorf("not ready: %s", a.body)
			}
			return err == nil, err
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// checkRequests sends plain and streamed requests of both workspaces through both entries.
func checkRequests(ctx context.Context, f *fleet) (string, error) {
	const rounds, tokens = 4, 24
	var served, streamed, generated int64
	for i := range rounds {
		for _, workspace := range []string{"hraunvegur", "verband"} {
			base := []string{entry1URL, entry2URL}[i%2]
			n, err := chat(ctx, base, f.secrets[workspace], fmt.Sprintf("fare of tunnel %d", i), tokens)
			if err != nil {
				return "", err
			}
			s, err := openStream(ctx, base, f.secrets[workspace], "stream", tokens)
			if err != nil {
				return "", err
			}
			if err := s.readAll(); err != nil {
				return "", err
			}
			served, streamed, generated = served+1, streamed+1, generated+n
		}
	}
	a, err := call(ctx, http.MethodGet, entry2URL+"/fares/sudur/nordur", f.secrets["hraunvegur"], nil)
	if err != nil || a.status != http.StatusOK {
		return "", fmt.Errorf("fare lookup: status %d: %s: %w", a.status, a.body, err)
	}
	return fmt.Sprintf("plain=%d streamed=%d lookups=1 plain_tokens=%d", served, streamed, generated), nil
}

// checkWrongKey expects requests without a valid key to be refused with 401 and the outcome "not run".
func checkWrongKey(ctx context.Context, _ *fleet) (string, error) {
	for _, key := range []string{"", "wrong-secret-0123456789"} {
		a, err := call(ctx, http.MethodPost, entry1URL+"/v1/chat/completions", key, newChatRequest("x", 4, false))
		if err != nil {
			return "", err
		}
		if a.status != http.StatusUnauthorized || a.header.Get(dataplane.HeaderOutcome) != outcome.NotRun.String() {
			return "", fmt.Errorf("key %q: status %d, outcome %q", key, a.status, a.header.Get(dataplane.HeaderOutcome))
		}
	}
	return "refused=2 status=401 outcome=not-run", nil
}

// checkBookingOnce sends a booking through both entries with the same idempotency key and expects one execution.
func checkBookingOnce(ctx context.Context, f *fleet) (string, error) {
	const booking = "B-1001"
	var bodies [2][]byte
	for i, base := range []string{entry1URL, entry2URL} {
		a, err := call(ctx, http.MethodPost, base+"/bookings", f.secrets["verband"], map[string]string{"id": booking},
			"Idempotency-Key", "order-77")
		if err != nil {
			return "", err
		}
		if a.status >= http.StatusMultipleChoices {
			return "", fmt.Errorf("booking through %s: status %d: %s", base, a.status, a.body)
		}
		bodies[i] = a.body
	}
	if string(bodies[0]) != string(bodies[1]) {
		return "", fmt.Errorf("the responses differ: %s and %s", bodies[0], bodies[1])
	}
	var executions struct {
		Bookings map[string]int `json:"bookings"`
	}
	if err := getJSON(ctx, deskURL+"/admin/executions", &executions); err != nil {
		return "", err
	}
	if executions.Bookings[booking] != 1 {
		return "", fmt.Errorf("booking ran %d times", executions.Bookings[booking])
	}
	return "sent=2 executions=1", nil
}

// checkKeysUnseen asks the remaining upstreams whether they ever received a secret.
func checkKeysUnseen(ctx context.Context, f *fleet) (string, error) {
	queries := 0
	for _, base := range []string{engine1URL, deskURL} {
		for name, secret := range f.secrets {
			var seen struct {
				Seen bool `json:"seen"`
			}
			if err := getJSON(ctx, base+"/admin/seen?text="+url.QueryEscape(secret), &seen); err != nil {
				return "", err
			}
			if seen.Seen {
				return "", fmt.Errorf("upstream %s received the secret of %s", base, name)
			}
			queries++
		}
	}
	return fmt.Sprintf("questions=%d seen=0", queries), nil
}

// span is a span as reported by the stand-in trace collector.
type span struct {
	SpanID   string `json:"span_id"`
	ParentID string `json:"parent_id"`
	Name     string `json:"name"`
	Service  string `json:"service"`
}

// checkTrace follows the spans of a request from the caller to the engine.
func checkTrace(ctx context.Context, f *fleet) (string, error) {
	const traceID, callerSpan = "4bf92f3577b34da6a3ce929d0e0e4736", "00f067aa0ba902b7"
	a, err := call(ctx, http.MethodPost, entry1URL+"/v1/chat/completions", f.secrets["hraunvegur"], newChatRequest("trace", 4, false),
		"traceparent", "00-"+traceID+"-"+callerSpan+"-01")
	if err != nil || a.status != http.StatusOK {
		return "", fmt.Errorf("traced request: status %d: %s: %w", a.status, a.body, err)
	}
	var path string
	err = poll(ctx, "the spans of the trace", func() (bool, error) {
		var spans []span
		if err := getJSON(ctx, platformURL+"/admin/spans?trace_id="+traceID, &spans); err != nil {
			return false, err
		}
		var found bool
		path, found = spanPath(spans, callerSpan)
		if !found {
			data, _ := json.Marshal(spans)
			return false, fmt.Errorf("no span path from the caller to the engine in %s", data)
		}
		return true, nil
	})
	return "path=" + path, err
}

// spanPath follows child spans from the caller's span to the engine. It returns false if the engine is not reached.
func spanPath(spans []span, parent string) (string, bool) {
	path := "caller"
	for {
		next, ok := childOf(spans, parent)
		if !ok {
			return path, false
		}
		path += ">" + next.Name
		if next.Service == "standin-engine" {
			return path, true
		}
		parent = next.SpanID
	}
}

func childOf(spans []span, parent string) (span, bool) {
	for _, s := range spans {
		if s.ParentID == parent {
			return s, true
		}
	}
	return span{}, false
}
