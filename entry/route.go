package entry

import (
	"context"
	"net/http"
	"slices"

	"github.com/radishshelf/radishshelf/outcome"
)

// HeaderIdempotencyKey is the header that makes a non-idempotent request safe to retry.
const HeaderIdempotencyKey = "Idempotency-Key"

// routeMethods are the methods that configured routes accept.
var routeMethods = []string{
	http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut, http.MethodPatch, http.MethodDelete,
}

// serveRoute forwards the request to the service of the route with the longest matching path prefix.
func (x *exchange) serveRoute(ctx context.Context) error {
	name, route, ok := x.view.RouteFor(x.r.URL.Path)
	if !ok {
		if x.caller.refusal != nil {
			return x.caller.refusal
		}
		return destinationNotFound("path")
	}
	x.record.Destination = name
	d := routeDestination(name, route)
	if refusal := d.authorize(x.caller, x.view); refusal != nil {
		return refusal
	}
	if !slices.Contains(routeMethods, x.r.Method) {
		return newRefusal(outcome.KindMethodNotAllowed, http.StatusMethodNotAllowed,
			"the method is not allowed for this path", "use GET, HEAD, POST, PUT, PATCH or DELETE")
	}
	if refusal := x.loadBody(); refusal != nil {
		return refusal
	}
	limits := x.e.effectiveLimits(x.view, x.caller.workspace, "")
	j, refusal := x.newJob(d, x.r.URL.RequestURI(), x.body, max(route.CostTokens, 1), limits)
	if refusal != nil {
		return refusal
	}
	key := x.r.Header.Get(HeaderIdempotencyKey)
	if key != "" && !route.Idempotent {
		return x.deliverOnce(ctx, j, key)
	}
	_, err := x.deliver(ctx, j, x.newResponseRelay())
	return err
}
