package agent

import (
	"net/http"
	"net/url"
	"path"
	"strconv"
	"strings"
	"time"

	"github.com/radishshelf/radishshelf/dataplane"
	"github.com/radishshelf/radishshelf/fleetconfig"
	"github.com/radishshelf/radishshelf/outcome"
)

// Limits on a forwarded call.
const (
	maxNameBytes   = 256
	maxTargetBytes = 8 << 10
	maxTimeout     = 24 * time.Hour
	// enginePrefix is the only path prefix of an engine that callers can reach. Its control API is outside of it.
	enginePrefix = "/v1/"
	adminPrefix  = "/admin/"
)

// call describes a forwarded request. It is parsed from the Radishshelf headers.
type call struct {
	requestID   string
	attempt     string
	workspace   string
	policy      string
	fingerprint string
	method      string
	target      string
	timeout     time.Duration
	priority    int
	exclusive   bool
	sample      bool
}

func parseCall(h http.Header, kind string) (call, error) {
	c := call{
		requestID: h.Get(dataplane.HeaderRequestID), attempt: h.Get(dataplane.HeaderAttempt),
		workspace: h.Get(dataplane.HeaderWorkspace), policy: h.Get(dataplane.HeaderPolicy),
		fingerprint: h.Get(dataplane.HeaderFingerprint), method: h.Get(dataplane.HeaderMethod),
		target:    h.Get(dataplane.HeaderTarget),
		exclusive: h.Get(dataplane.HeaderExclusive) == "true", sample: h.Get(dataplane.HeaderSample) == "true",
	}
	if c.requestID == "" {
		return c, invalidHeader(dataplane.HeaderRequestID, "is missing")
	}
	for _, name := range []string{
		dataplane.HeaderRequestID, dataplane.HeaderAttempt, dataplane.HeaderWorkspace, dataplane.HeaderPolicy,
		dataplane.HeaderFingerprint, dataplane.HeaderMethod,
	} {
		if len(h.Get(name)) > maxNameBytes {
			c.requestID = c.requestID[:min(len(c.requestID), maxNameBytes)]
			return c, invalidHeader(name, "is longer than "+strconv.Itoa(maxNameBytes)+" bytes")
		}
	}
	if err := checkMethod(c.method); err != nil {
		return c, err
	}
	if err := checkTarget(c.target, kind); err != nil {
		return c, err
	}
	ms, err := strconv.ParseInt(h.Get(dataplane.HeaderTimeout), 10, 64)
	if err != nil {
		return c, invalidHeader(dataplane.HeaderTimeout, "is not a number of milliseconds")
	}
	c.timeout = time.Duration(max(0, min(ms, maxTimeout.Milliseconds()))) * time.Millisecond
	if text := h.Get(dataplane.HeaderPriority); text != "" {
		if c.priority, err = strconv.Atoi(text); err != nil {
			return c, invalidHeader(dataplane.HeaderPriority, "is not an integer")
		}
	}
	return c, nil
}

func checkMethod(method string) error {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut, http.MethodPatch, http.MethodDelete,
		http.MethodOptions:
		return nil
	default:
		return invalidHeader(dataplane.HeaderMethod, "is not a supported HTTP method")
	}
}

// checkTarget rejects targets that reach the control or admin API of the upstream.
func checkTarget(target, kind string) error {
	if len(target) > maxTargetBytes || !strings.HasPrefix(target, "/") || strings.HasPrefix(target, "//") {
		return invalidHeader(dataplane.HeaderTarget, "is not a path of at most "+strconv.Itoa(maxTargetBytes)+" bytes")
	}
	u, err := url.ParseRequestURI(target)
	if err != nil {
		return invalidHeader(dataplane.HeaderTarget, "is not a valid request URI")
	}
	clean := path.Clean(u.Path)
	if strings.HasSuffix(u.Path, "/") && clean != "/" {
		clean += "/"
	}
	if clean != u.Path {
		return invalidHeader(dataplane.HeaderTarget, "has empty, . or .. path segments")
	}
	if kind == fleetconfig.UpstreamEngine && !strings.HasPrefix(clean, enginePrefix) {
		return invalidHeader(dataplane.HeaderTarget, "does not start with "+enginePrefix)
	}
	if strings.HasPrefix(clean, adminPrefix) {
		return invalidHeader(dataplane.HeaderTarget, "is a path of the admin API")
	}
	return nil
}

func invalidHeader(header, problem string) *outcome.Refusal {
	return &outcome.Refusal{
		Kind: outcome.KindInvalid, Outcome: outcome.NotRun, Status: http.StatusBadRequest,
		Message: "header " + header + " " + problem, Remedy: "correct the header",
	}
}
